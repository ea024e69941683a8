package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Tests what the log tells about the connection to an endpoint whose answer is not complete. */
class ConnectionLogTest {
    private fun flushAndPause(out: OutputStream) {
        out.flush()
        // Without it, the reset may overtake the bytes.
        CountDownLatch(1).await(50, TimeUnit.MILLISECONDS)
    }

    private val answers: Map<String, Pair<String?, (RawRequest, OutputStream) -> Boolean>> =
        mapOf(
            "closed within a body" to
                Pair("CLOSED_BY_ENDPOINT") { r, out -> !out.text(okHead(r, "Content-Length: 9") + "ok") },
            "closed before a head" to Pair("CLOSED_BY_ENDPOINT") { _, _ -> false },
            "reset within a body" to
                Pair("RESET") { r, out ->
                    out.text(okHead(r, "Content-Length: 9") + "ok")
                    flushAndPause(out)
                    throw ResetConnection()
                },
            "reset before a head" to Pair("RESET") { _, _ -> throw ResetConnection() },
            "open after an unreadable answer" to
                Pair(null) { _, out ->
                    out.text("no answer\r\n\r\n")
                    out.flush()
                    CountDownLatch(1).await(1, TimeUnit.SECONDS)
                },
        )

    /** Guards against a failure of which the log does not tell whether the endpoint or this process broke it off. */
    @TestFactory
    fun `the lines of an attempt and of its request tell how the connection to the endpoint ended`() =
        answers.map { (name, expected) ->
            DynamicTest.dynamicTest(name) {
                val lines = CopyOnWriteArrayList<RequestLine>()
                ScriptedEndpoint(expected.second).use { endpoint ->
                    TestGateway(listOf(endpoint), journal = { lines += it }).use { gateway ->
                        exchange(gateway.port, request("/once/x"))
                        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
                        while (lines.none { it.event == "end" } && System.nanoTime() < deadline) Thread.sleep(10)
                        assertEquals(
                            listOf("attempt" to expected.first, "end" to expected.first),
                            lines.map { it.event to it.connection },
                        )
                    }
                }
            }
        }
}
