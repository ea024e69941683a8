package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Tests which endpoints survive a request that crashes each endpoint that begins to run it, and comes again with the same
 * path, caller and body at any gateway, and whether sound requests are served beside it.
 */
class ReturningRequestTest {
    /** Endpoints that end, with all of their connections, as they begin to run a request with the body [DEADLY]. */
    private class FragileFleet : AutoCloseable {
        val endpoints: List<ScriptedEndpoint> =
            List(ENDPOINTS) { i -> ScriptedEndpoint { r, out -> answer(i, r, out) } }
        private val crashed = CopyOnWriteArraySet<Int>()
        val crashes: Int get() = crashed.size

        private fun answer(
            index: Int,
            request: RawRequest,
            out: OutputStream,
        ): Boolean {
            val isStream = "/stream" in request.head.lines().first()
            val form =
                if (isStream) "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked" else "Content-Length: 2"
            val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\n$form\r\n\r\n"
            if (isStream) {
                out.write(head.encodeToByteArray())
                out.flush()
            }
            val isUnlucky = request.body == UNLUCKY && crashed.isEmpty()
            if (request.body == DEADLY_LATE) {
                writeEvents(out, firstId = 1 + (lastEventId(request) ?: 0))
            }
            if (request.body in DEADLY_BODIES || isUnlucky) {
                crashed += index
                endpoints[index].close()
                return false
            }
            out.write((if (isStream) "f\r\nid: 1\ndata: d\n\n\r\n0\r\n\r\n" else head + "ok").encodeToByteArray())
            return true
        }

        private fun lastEventId(request: RawRequest): Int? =
            LAST_EVENT_ID.find(request.head)?.let { it.groupValues[1].toInt() }

        /** Writes two events, the second of them when the answer counts as under way. */
        private fun writeEvents(
            out: OutputStream,
            firstId: Int,
        ) {
            for (id in firstId..firstId + 1) {
                val event = "id: $id\ndata: d\n\n"
                out.write("${event.length.toString(16)}\r\n$event\r\n".encodeToByteArray())
                out.flush()
                Thread.sleep(UNDER_WAY_MS)
            }
        }

        override fun close() = endpoints.forEach { it.close() }
    }

    /** Gateways that know each other as peers. */
    private class Site(
        fleet: FragileFleet,
    ) : AutoCloseable {
        private val ports = freePorts(GATEWAYS)
        private val peers =
            ports.mapIndexed { i, port ->
                GatewayPeer(ProcessId("g$i"), NetworkAddress("127.0.0.1", port), FailureDomainId("a"))
            }

        /** Identifiers of requests that were held back or delayed as suspects. */
        val heldBack = ConcurrentLinkedQueue<String>()
        val gateways =
            ports.mapIndexed { i, port ->
                TestGateway(
                    fleet.endpoints,
                    random = Random(i),
                    id = "g$i",
                    peerPort = port,
                    peers = peers,
                    journal = { line -> if (line.event == "quarantine") heldBack += line.request.orEmpty() },
                )
            }

        override fun close() = gateways.forEach { it.close() }
    }

    /** Form in which a request comes. */
    private data class Form(
        val path: String,
        val prompt: String? = null,
        val isChunked: Boolean = false,
    )

    private fun send(
        gateway: TestGateway,
        form: Form,
        id: String,
        own: String,
        body: String,
    ): RawAnswer {
        val prompt = form.prompt?.let { "X-Prompt: $it $own\r\n" }.orEmpty()
        val sent =
            if (form.isChunked) {
                val pieces = body.chunked(1 + id.length % 2).joinToString("") { "${it.length}\r\n$it\r\n" }
                "Transfer-Encoding: chunked\r\n\r\n${pieces}0\r\n\r\n"
            } else {
                "Content-Length: ${body.length}\r\n\r\n$body"
            }
        return exchange(
            gateway.port,
            "POST ${form.path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: $id\r\nAuthorization: Bearer key\r\n$prompt$sent",
        )
    }

    private fun assertHeldBack(
        form: Form,
        deadly: String = DEADLY,
        maxCrashes: Int = MAX_CRASHES,
    ) {
        FragileFleet().use { fleet ->
            Site(fleet).use { site ->
                repeat(SENDS) { i ->
                    val gateway = site.gateways[i % GATEWAYS]
                    val sound = send(gateway, form, "sound$i", "own$i", "sound$i")
                    assertEquals(200, sound.status, "$form: sound request $i: ${sound.body}")
                    assertTrue(sound.isComplete, "$form: sound request $i")
                    val bad = send(gateway, form, "bad$i", "ownbad", deadly)
                    assertTrue(bad.status != 200 || !bad.isComplete, "$form: answer ${bad.status} to the request")
                }
                assertTrue(fleet.crashes <= maxCrashes, "$form: ${fleet.crashes} of $ENDPOINTS endpoints crashed")
                assertEquals(emptyList<String>(), site.heldBack.filter { it.startsWith("sound") }, "$form: held back")
            }
        }
    }

    /** Guards against a request whose shared segment is blamed, which frees the request and holds others back. */
    @Test
    fun `a stream with a shared prompt crashes two endpoints at most`() =
        assertHeldBack(Form("/stream/x", prompt = "shared"))

    /** Guards against requests that are not considered, as they name no prompt or no part that others share. */
    @Test
    fun `a stream without a shared prompt crashes two endpoints at most`() {
        assertHeldBack(Form("/stream/x"))
        assertHeldBack(Form("/stream-once/x", prompt = ""))
    }

    /** Guards against an identity that depends on how the body was sent. */
    @Test
    fun `a request with a chunked body crashes two endpoints at most`() =
        assertHeldBack(Form("/stream/x?q=1", isChunked = true))

    /** Guards against a gateway that repeats a request before it is known that the request crashed its endpoint. */
    @Test
    fun `a repeatable request crashes two endpoints at most`() = assertHeldBack(Form("/safe/x"))

    /** Guards against a caller that sends a request again which no gateway may repeat. */
    @Test
    fun `a request that runs at most once crashes two endpoints at most`() = assertHeldBack(Form("/once/x"))

    /** Guards against a request that counts as answered once its answer is under way, and then crashes its endpoint. */
    @Test
    fun `a stream that crashes endpoints after its first events crashes three of them at most`() {
        for (form in listOf(Form("/stream/x"), Form("/stream-once/x", prompt = "shared"))) {
            assertHeldBack(form, DEADLY_LATE, MAX_LATE_CRASHES)
        }
    }

    /** Guards against a sound request that fails as it is a suspect of a crash with another cause. */
    @Test
    fun `a request that may be repeated is served after a crash with another cause`() {
        for (form in listOf(Form("/safe/x"), Form("/stream/x"))) {
            FragileFleet().use { fleet ->
                Site(fleet).use { site ->
                    val answer = send(site.gateways[0], form, "unlucky", "own", UNLUCKY)
                    assertEquals(1, fleet.crashes, "$form")
                    assertEquals(200, answer.status, "$form")
                    assertTrue(answer.isComplete, "$form")
                }
            }
        }
    }

    /** Guards against a request that is refused for good after one crash with another cause (review/9). */
    @Test
    fun `a sound stream that is lost alone behind its head is served, and so are its copies at all gateways`() {
        FragileFleet().use { fleet ->
            Site(fleet).use { site ->
                // Answers tell the gateway that streams are rarely between their head and their first event.
                repeat(KNOWN_ANSWERS) { i -> send(site.gateways[0], Form("/stream/x"), "sound$i", "own$i", "sound$i") }
                val answer = send(site.gateways[0], Form("/stream/x"), "unlucky", "own", UNLUCKY)
                assertEquals(1, fleet.crashes)
                assertEquals(200, answer.status, answer.body)
                assertTrue(answer.isComplete)
                repeat(SENDS) { i ->
                    val copy = send(site.gateways[i % GATEWAYS], Form("/stream/x"), "copy$i", "own", UNLUCKY)
                    assertEquals(200, copy.status, "copy $i: ${copy.body}")
                    assertTrue(copy.isComplete, "copy $i")
                }
            }
        }
    }

    /** Guards against more than one further crash by the copies of a request, which is tried after the first. */
    @Test
    fun `a stream whose copies come at once to all gateways after its first crash crashes one more endpoint at most`() {
        FragileFleet().use { fleet ->
            Site(fleet).use { site ->
                repeat(KNOWN_ANSWERS) { i -> send(site.gateways[0], Form("/stream/x"), "sound$i", "own$i", "sound$i") }
                send(site.gateways[0], Form("/stream-once/x"), "first", "own", DEADLY)
                assertEquals(1, fleet.crashes)
                Thread.sleep(NEWS_MS)
                val copies =
                    List(SENDS * GATEWAYS) { i ->
                        thread { send(site.gateways[i % GATEWAYS], Form("/stream-once/x"), "copy$i", "own", DEADLY) }
                    }
                copies.forEach { it.join() }
                assertTrue(fleet.crashes <= MAX_CRASHES, "${fleet.crashes} of $ENDPOINTS endpoints crashed")
            }
        }
    }

    private companion object {
        const val DEADLY = "deadly"

        /** Body of a request that ends its endpoint after its answer has been arriving for a while. */
        const val DEADLY_LATE = "deadly later"
        val DEADLY_BODIES = setOf(DEADLY, DEADLY_LATE)

        /** Longer than an answer takes until it counts as under way. */
        const val UNDER_WAY_MS = 300L
        val LAST_EVENT_ID = Regex("(?i)last-event-id: *(\\d+)")

        /** Body of a request beside which an endpoint ends for another reason, once. */
        const val UNLUCKY = "unlucky"
        const val ENDPOINTS = 10
        const val GATEWAYS = 3
        const val SENDS = 8

        /** Time in which the other gateways learn of a crash, shorter than the pause before a trial. */
        const val NEWS_MS = 300L

        /** Answers from which the gateway knows in which state streams are for how long. */
        const val KNOWN_ANSWERS = 12
        const val MAX_CRASHES = 2

        /** One more, as the loss of an answer that is under way is weaker evidence. */
        const val MAX_LATE_CRASHES = 3
    }
}
