package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Tests the streams of services that number events otherwise than 1, 2, 3, without a setting that says so. */
class LearnedNumbersTest {
    private fun endpointWith(numbers: () -> List<Int>) =
        ScriptedEndpoint { r, out ->
            val after = r.header("Last-Event-Id")?.toInt() ?: -1
            out.text(streamAnswer(r, "s", numbers().filter { it > after }.joinToString("") { event(it) }))
        }

    private fun isWhole(
        gateway: TestGateway,
        route: String,
        numbers: List<Int>,
    ): Boolean {
        val answer = exchange(gateway.port, request("/$route/x"))
        return answer.isComplete && answer.body == numbers.joinToString("") { event(it) }
    }

    /** Guards against a deployment whose streams are all lost. PROTOCOL.md: "a series of events with increasing ids". */
    @ParameterizedTest
    @CsvSource("0, 1", "0, 4", "1, 2", "4, 4", "1000, 7")
    fun `streams with increasing numbers come whole after the first three`(
        first: Int,
        step: Int,
    ) {
        val numbers = List(5) { first + it * step }
        endpointWith { numbers }.use { one ->
            endpointWith { numbers }.use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    val lost =
                        List(20) {
                            if (it % 2 ==
                                0
                            ) {
                                "stream"
                            } else {
                                "stream-once"
                            }
                        }.count { !isWhole(gateway, it, numbers) }
                    assertTrue(lost <= 3, "$lost of 20 streams were not whole")
                }
            }
        }
    }

    /** Guards against a stream that goes on at another endpoint with an event that the caller has, or before it. */
    @Test
    fun `a stream with gaps is resumed behind its last event`() {
        val numbers = listOf(0, 4, 8, 12)
        var breaks = false
        val breaking =
            ScriptedEndpoint { r, out ->
                if (!breaks) {
                    return@ScriptedEndpoint out.text(
                        streamAnswer(r, "s", numbers.joinToString("") { event(it) }),
                    )
                }
                out.text(
                    streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(0) + event(4),
                )
                false
            }
        breaking.use { one ->
            endpointWith { numbers }.use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    repeat(5) { isWhole(gateway, "stream", numbers) }
                    assertTrue(isWhole(gateway, "stream", numbers))
                    breaks = true
                    assertTrue(isWhole(gateway, "stream", numbers))
                    assertEquals("4", other.requests.last().header("Last-Event-Id"))
                }
            }
        }
    }

    /** Guards against streams that are all cut as the first one began with 1, 2, 3 (review/8). */
    @Test
    fun `streams that count tokens are whole from the first on where another endpoint can confirm them`() {
        val numbers = listOf(1, 2, 3, 5, 7, 9)
        endpointWith { numbers }.use { one ->
            endpointWith { numbers }.use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    repeat(20) { assertTrue(isWhole(gateway, "stream", numbers), "stream $it") }
                }
            }
        }
    }

    /** As above, where no stream may be resumed. PROTOCOL.md: "A single stream event may contain several tokens". */
    @Test
    fun `streams that count tokens and may not be resumed are whole after the first four`() {
        val numbers = listOf(1, 2, 3, 5, 7, 9)
        val slow = { Thread.sleep(ANSWER_MS).let { numbers } }
        endpointWith(slow).use { one ->
            endpointWith(slow).use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    // Two at a time, so that both endpoints are asked; the last of them begins before the third ends.
                    val whole = ConcurrentLinkedQueue<Boolean>()
                    val callers =
                        List(2) { thread { repeat(10) { whole += isWhole(gateway, "stream-once", numbers) } } }
                    callers.forEach { it.join() }
                    assertTrue(whole.count { !it } <= 4, "$whole")
                }
            }
        }
    }

    /** Guards against a service that serves nothing as a second endpoint would have to show its numbers, too. */
    @ParameterizedTest
    @CsvSource("stream, 1", "stream, 3", "stream-once, 1", "stream-once, 3")
    fun `streams with increasing numbers of the only endpoint come whole after the first three`(
        route: String,
        consecutive: Int,
    ) {
        val numbers = (1..consecutive) + listOf(5, 7, 9)
        endpointWith { numbers }.use { only ->
            TestGateway(listOf(only)).use { gateway ->
                val lost = List(20) { isWhole(gateway, route, numbers) }.count { !it }
                assertTrue(lost <= 3, "$lost of 20 streams were not whole")
            }
        }
    }

    /** Guards against two endpoints that lose the same event of a service that has shown that it loses none. */
    @Test
    fun `an event that two endpoints leave out is noticed after complete streams with consecutive numbers`() {
        var numbers = (1..6).toList()
        endpointWith { numbers }.use { one ->
            endpointWith { numbers }.use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    repeat(3) { assertTrue(isWhole(gateway, "stream", numbers)) }
                    numbers = (1..6) - 4
                    repeat(2) { assertFalse(isWhole(gateway, "stream", numbers)) }
                }
            }
        }
    }

    /** Guards against a left-out event that passes as complete because it looks like a gap of the service. */
    @Test
    fun `an event that is left out is noticed after the first stream with consecutive numbers`() {
        var numbers = (1..5).toList()
        endpointWith { numbers }.use { one ->
            endpointWith { numbers }.use { other ->
                TestGateway(listOf(one, other)).use { gateway ->
                    assertTrue(isWhole(gateway, "stream", numbers))
                    for (left in 1..4) {
                        numbers = (1..5) - left
                        repeat(5) {
                            val answer = exchange(gateway.port, request("/stream-once/x"))
                            assertFalse(answer.status == 200 && answer.isComplete, "without event $left")
                            assertEquals(
                                (1..<left).joinToString("") { event(it) },
                                answer.body
                                    .takeIf {
                                        answer.status ==
                                            200
                                    }.orEmpty(),
                            )
                        }
                    }
                }
            }
        }
    }

    /** Guards against a left-out event that passes as sound streams, which last longer than faulty ones, still run. */
    @Test
    fun `a stream that is under way shows consecutive numbers`() {
        val release = CountDownLatch(1)
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "first") {
                out.text(streamHead(r, "s") + (1..3).joinToString("") { event(it) })
                out.flush()
                release.await(5, TimeUnit.SECONDS)
                !out.text(event(4))
            } else {
                out.text(streamAnswer(r, "s", listOf(1, 3, 4).joinToString("") { event(it) }))
            }
        }
        ScriptedEndpoint(script).use { one ->
            ScriptedEndpoint(script).use { other ->
                TestGateway(listOf(one, other), retrySlack = 10_000.0).use { gateway ->
                    Socket("127.0.0.1", gateway.port).use { caller ->
                        caller.soTimeout = 10_000
                        caller.getOutputStream().write(request("/stream-once/x", id = "first").encodeToByteArray())
                        readUntil(caller, event(3))
                        val others = List(12) { exchange(gateway.port, request("/stream/x", id = "c$it")) }
                        val whole = others.filter { it.status == 200 && it.isComplete }
                        assertEquals(emptyList<String>(), whole.map { it.body })
                        release.countDown()
                        readUntil(caller, event(4), "0\r\n\r\n")
                    }
                }
            }
        }
    }

    /** Reads from [caller] until all of [texts] have come; fails at the end of the connection. */
    private fun readUntil(
        caller: Socket,
        vararg texts: String,
    ) {
        val received = StringBuilder()
        while (texts.any { it !in received }) {
            val next = caller.getInputStream().read()
            check(next >= 0) { "the connection ended behind $received" }
            received.append(next.toChar())
        }
    }

    /** Guards against a service whose streams are judged by those of one faulty endpoint from before the first sound one. */
    @Test
    fun `one endpoint that leaves events out changes nothing`() {
        endpointWith { listOf(1, 3, 4) }.use { faulty ->
            endpointWith { listOf(1, 2, 3, 4) }.use { sound ->
                TestGateway(listOf(faulty, sound)).use { gateway ->
                    val whole = (1..4).joinToString("") { event(it) }
                    val answers =
                        List(20) {
                            exchange(
                                gateway.port,
                                request(
                                    if (it % 2 ==
                                        0
                                    ) {
                                        "/stream/x"
                                    } else {
                                        "/stream-once/x"
                                    },
                                ),
                            )
                        }
                    for (answer in answers.filter { it.status == 200 }) {
                        assertTrue(whole.startsWith(answer.body), answer.body)
                        assertEquals(answer.body == whole, answer.isComplete)
                    }
                    assertTrue(answers.any { it.isComplete && it.body == whole })
                }
            }
        }
    }

    private companion object {
        /** Time that an endpoint takes, so that requests overlap. */
        const val ANSWER_MS = 50L
    }
}
