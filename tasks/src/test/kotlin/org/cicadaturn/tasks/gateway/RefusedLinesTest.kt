package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Tests the lines of requests that callers outside any control send. */
class RefusedLinesTest {
    private val lines = ConcurrentLinkedQueue<RequestLine>()

    /** Guards against callers without a route who use up the limit of the log. */
    @Test
    fun `most requests without a route get no line`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint), journal = lines::add).use { gateway ->
                val start = System.nanoTime()
                Socket("127.0.0.1", gateway.port).use { socket ->
                    repeat(300) {
                        socket.getOutputStream().write("GET /none HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray())
                        assertEquals(404, readAnswer(socket).status)
                    }
                }
                val seconds = (System.nanoTime() - start) / 1_000_000_000
                assertEquals(200, exchange(gateway.port, request("/once/x", id = "sound")).status)
                // The last line of a request is written after its answer, so the caller may see the answer first.
                awaitLine { it.event == "end" && it.request == "sound" }
                assertTrue(lines.count { it.status == 404 } <= 10 * (seconds + 2), "${lines.size} lines in $seconds s")
                assertEquals(1, lines.count { it.event == "end" && it.request == "sound" })
            }
        }
    }

    private fun awaitLine(predicate: (RequestLine) -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (lines.none(predicate) && System.nanoTime() < until) Thread.sleep(5)
    }

    /** Guards against lines that fill the memory of the log, as 2,000 of them may wait. */
    @Test
    fun `a long identifier is cut in a line`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint), journal = lines::add).use { gateway ->
                assertEquals(200, exchange(gateway.port, request("/safe/x", id = "i".repeat(10_000))).status)
            }
        }
        assertEquals(emptyList<Int>(), lines.mapNotNull { it.request?.length }.filter { it > 128 })
    }
}
