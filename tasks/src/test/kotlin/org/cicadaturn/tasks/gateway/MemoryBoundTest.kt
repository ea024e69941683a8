package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Tests that what one process keeps for all its connections together fits into the heap of the deployment. */
class MemoryBoundTest {
    private val release = CountDownLatch(1)

    /** Sends [bytes] of the body of an answer and no more until [release]. */
    private fun longAnswer(
        request: RawRequest,
        out: OutputStream,
        bytes: Int,
    ): Boolean {
        out.text(okHead(request, "Transfer-Encoding: chunked"))
        out.text("${bytes.toString(16)}\r\n")
        out.write(ByteArray(bytes))
        out.flush()
        release.await(20, TimeUnit.SECONDS)
        return false
    }

    /**
     * Guards against an endpoint whose long answers, each within the limit of one answer, take the whole heap together
     * and end the requests of all callers.
     */
    @Test
    fun `many long answers that do not end leave other requests served`() {
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "sound") answerOk(r, out) else longAnswer(r, out, 240_000)
        }
        ScriptedEndpoint(script).use { endpoint ->
            GatewayProcess(endpoint).use { gateway ->
                val callers =
                    (1..400).map { i ->
                        Socket("127.0.0.1", gateway.port).also {
                            it.getOutputStream().write(request("/patient/x", id = "long$i").encodeToByteArray())
                        }
                    }
                awaitRequests(endpoint, 400)
                Thread.sleep(ANSWER_TIME_MS)
                val answer = exchange(gateway.port, request("/once/x", id = "sound"))
                assertEquals(200, answer.status)
                assertEquals("ok", answer.body)
                callers.forEach { it.close() }
            }
            release.countDown()
        }
    }

    private fun awaitRequests(
        endpoint: ScriptedEndpoint,
        count: Int,
    ) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(8)
        while (endpoint.requests.size < count && System.nanoTime() < end) Thread.sleep(10)
    }

    /** Guards against uploads that take the whole heap together, after which the process answers nothing any more. */
    @Test
    fun `many long uploads at once leave other requests served`() {
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id != "sound") CountDownLatch(1).await(1, TimeUnit.SECONDS)
            answerOk(r, out)
        }
        ScriptedEndpoint(slow).use { endpoint ->
            GatewayProcess(endpoint).use { gateway ->
                val statuses = ConcurrentLinkedQueue<Int>()
                val uploads =
                    (1..120).map { i ->
                        thread(isDaemon = true) {
                            statuses +=
                                runCatching { upload(gateway.port, "up$i") }.getOrDefault(0)
                        }
                    }
                Thread.sleep(ANSWER_TIME_MS)
                assertEquals(200, exchange(gateway.port, request("/once/x", id = "sound")).status)
                uploads.forEach { it.join(15_000) }
                assertEquals(120, statuses.size, "uploads that ended")
                assertTrue(
                    statuses.all { it == 200 || it == 503 },
                    "statuses ${statuses.groupingBy { it }.eachCount()}",
                )
                assertTrue(statuses.count { it == 200 } >= 10, "statuses ${statuses.groupingBy { it }.eachCount()}")
            }
        }
    }

    private fun upload(
        port: Int,
        id: String,
    ): Int =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 12_000
            val head =
                "POST /patient/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: $id\r\nAuthorization: Bearer key\r\n" +
                    "Content-Length: 1000000\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            socket.getOutputStream().write(ByteArray(1_000_000))
            readAnswer(socket).status
        }

    private companion object {
        /** Time for the gateway to read what the endpoint or the callers have sent; no verdict depends on it. */
        const val ANSWER_TIME_MS = 1_500L
    }
}
