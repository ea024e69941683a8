package org.cicadaturn.daemons.system

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val COMPLETION =
    """{"id":"run-1","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,""" +
        """"message":{"role":"assistant","content":"alpha"},"finish_reason":"stop"}],""" +
        """"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}"""

/** Time that a caller allows for an answer that begins only after more than half of it. */
private const val TIME_ALLOWED_MS = 6_000
private val LATE: Duration = 3_800.milliseconds

/** Pause that is longer than the time of a caller. */
private val SILENT: Duration = 8.seconds

private const val CALLS = 8

private const val MAX_CALLS = 40

private fun event(
    delta: String,
    finish: String = "null",
): String =
    """data: {"id":"run-1","object":"chat.completion.chunk","created":1,"model":"m",""" +
        """"choices":[{"index":0,"delta":{$delta},"finish_reason":$finish}]}""" + "\n\n"

/** Sends requests to endpoints that pause, while no other endpoint takes over. */
class StandbyEndpointTest {
    private val completion =
        scriptedAnswer(COMPLETION.encodeToByteArray(), Framing.LENGTH, listOf("Content-Type: application/json"))

    private val firstEvents = event(""""content":"one """")
    private val allEvents = firstEvents + event(""""content":"two """") + event("", "\"stop\"") + "data: [DONE]\n\n"

    /** Guards against an endpoint that is given up for another one, although no other one exists. */
    @Test
    fun `the only endpoint may answer late`() {
        val pauses = mapOf("late" to Pause(0, LATE))
        ScriptedBackend(mapOf("late" to completion), pauses = pauses).use { backend ->
            withEndpoints(listOf(backend.address)) { system ->
                assertEquals(200 to COMPLETION, ask(system, "late").let { it.status to it.body })
                assertEquals(mapOf("late" to 1), backend.requests)
            }
        }
    }

    /** Guards against an endpoint that is given up for another one, which then refuses. */
    @Test
    fun `a late endpoint answers although another one refuses`() {
        val names = (1..CALLS).map { "late $it" }
        val pauses = names.associateWith { Pause(0, LATE) }
        ScriptedBackend(names.associateWith { completion }, pauses = pauses).use { backend ->
            withEndpoints(listOf(backend.address, closedAddress())) { system ->
                val answers = askAll(system, names, stream = false).filterKeys { it in backend.requests }
                assertEquals(setOf(200 to COMPLETION), answers.values.map { it.status to it.body }.toSet())
            }
        }
    }

    /** Guards against a silent endpoint that keeps a request which another one would answer in time. */
    @Test
    fun `another endpoint answers in place of a silent one`() {
        val pauses = mapOf("silent" to Pause(0, SILENT))
        ScriptedBackend(mapOf("silent" to completion), pauses = pauses).use { backend ->
            val silent = EndpointOptions("drafts-1", "fd-1", Backend.Scripted(DRAFTS, backend.address))
            val sound = EndpointOptions("drafts-2", "fd-1", Backend.Engine())
            withSystem(SystemOptions(listOf(silent, sound), listOf(EntryOptions("entry-1", "fd-1")))) { system ->
                var calls = 0
                while (backend.requests.isEmpty() && calls++ < MAX_CALLS) {
                    assertEquals(200, ask(system, "silent").status)
                }
                check(backend.requests.isNotEmpty()) { "no request reached the silent back end" }
            }
        }
    }

    /** Guards against a stream that is cut as its endpoint pauses, although no other one continues it. */
    @Test
    fun `a stream that pauses is read on if no other endpoint continues it`() {
        val names = (1..CALLS).map { "pause $it" }
        val stream =
            scriptedAnswer(allEvents.encodeToByteArray(), Framing.CHUNKED, listOf("Content-Type: text/event-stream"))
        val after = stream.decodeToString().indexOf(firstEvents) + firstEvents.length
        val pauses = names.associateWith { Pause(after, 1_500.milliseconds) }
        ScriptedBackend(names.associateWith { stream }, pauses = pauses).use { backend ->
            withEndpoints(listOf(backend.address, closedAddress())) { system ->
                val answers = askAll(system, names, stream = true).filterKeys { it in backend.requests }
                assertEquals(setOf(true to allEvents), answers.values.map { it.isWhole to it.body }.toSet())
            }
        }
    }

    /** Guards against an event stream of a plain service that is cut for a pause, as nothing can continue it. */
    @Test
    fun `a stream of a plain service may pause`() {
        val events = "data: one\n\ndata: two\n\n"
        val stream =
            scriptedAnswer(events.encodeToByteArray(), Framing.CHUNKED, listOf("Content-Type: text/event-stream"))
        val after = stream.decodeToString().indexOf("data: two")
        val pauses = mapOf("pause" to Pause(after, 1_500.milliseconds))
        ScriptedBackend(mapOf("pause" to stream), pauses = pauses).use { backend ->
            withEndpoints(listOf(backend.address), ORDERS) { system ->
                val answer = StandardCaller().call(system.entry("entry-1"), "POST", "/$ORDERS", body = "#pause#")
                assertEquals(true to events, answer.isWhole to answer.body)
            }
        }
    }

    /** Guards against "not run" for a request that an earlier attempt may have run. */
    @Test
    fun `a refusal after an attempt that may have run does not say that the request has not run`() {
        val names = (1..CALLS).map { "cut $it" }
        val cut = scriptedAnswer("{".encodeToByteArray(), Framing.CUT_CHUNKED, listOf("Content-Type: application/json"))
        ScriptedBackend(names.associateWith { cut }).use { backend ->
            withEndpoints(listOf(backend.address, closedAddress())) { system ->
                val answers = names.associateWith { ask(system, it) }.filterKeys { it in backend.requests }
                val notRun = answers.filterValues { "\"outcome\":\"not_run\"" in it.body }
                assertEquals(emptyMap<String, ReceivedAnswer>(), notRun)
            }
            check(backend.requests.isNotEmpty()) { "no request reached the back end" }
        }
    }

    /** Returns an address at which nothing listens. */
    private fun closedAddress(): NetworkAddress =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { NetworkAddress("127.0.0.1", it.localPort) }

    private fun withEndpoints(
        backends: List<NetworkAddress>,
        service: String = DRAFTS,
        test: suspend (TestSystem) -> Unit,
    ) {
        val endpoints =
            backends.mapIndexed { i, address ->
                EndpointOptions("$service-${i + 1}", "fd-1", Backend.Scripted(service, address))
            }
        val entries = listOf(EntryOptions("entry-1", "fd-1"))
        withSystem(SystemOptions(endpoints, entries, streamStall = 0.5.seconds)) { test(it) }
    }

    /**
     * Returns the answers to requests that are sent at once. Some of them meet the endpoint that refuses first, and are
     * refused once the retry budget is used up.
     */
    private suspend fun askAll(
        system: TestSystem,
        names: List<String>,
        stream: Boolean,
    ): Map<String, ReceivedAnswer> =
        coroutineScope { names.map { async { it to ask(system, it, stream) } }.awaitAll().toMap() }

    private suspend fun ask(
        system: TestSystem,
        name: String,
        stream: Boolean = false,
    ): ReceivedAnswer {
        val headers = mapOf("X-Deadline-Ms" to "$TIME_ALLOWED_MS")
        val body = chatBody("#$name#", 100, stream)
        return StandardCaller().call(system.entry("entry-1"), "POST", CHAT, headers, body)
    }
}
