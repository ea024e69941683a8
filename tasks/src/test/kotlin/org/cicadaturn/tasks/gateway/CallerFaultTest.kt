package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Tests the handling of callers that send invalid requests, close connections early or reuse them. */
class CallerFaultTest {
    private val requestHead = "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\n"

    private val invalidRequests: Map<String, Pair<String, Int>> =
        mapOf(
            "both a length and a transfer encoding" to
                (requestHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /" to 400),
            "two lengths" to (requestHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!" to 400),
            "an unknown transfer encoding" to
                (requestHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" to 400),
            "a body that is too long" to
                (requestHead + "Content-Length: 2001\r\n\r\n" + "x".repeat(2_001) to 413),
            "a header that is too long" to (requestHead + "X-Long: " + "x".repeat(70_000) + "\r\n\r\n" to 431),
            "bytes that are not a request" to ("nonsense\r\n\r\n" to 400),
            "an unknown key" to
                ("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer no\r\n\r\n" to 401),
            "an unknown route" to ("GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n" to 404),
        )

    /** Guards against request smuggling and against requests over the limits that reach an endpoint. */
    @TestFactory
    fun `invalid requests are refused and reach no endpoint`() =
        invalidRequests.map { (name, case) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(::answerOk).use { endpoint ->
                    TestGateway(listOf(endpoint)).use { gateway ->
                        assertEquals(case.second, exchange(gateway.port, case.first).status)
                        assertEquals(0, endpoint.requests.size)
                    }
                }
            }
        }

    /** Guards against chunked bodies that are changed, and against pipelined requests answered out of order. */
    @Test
    fun `chunked and pipelined requests on one connection are answered in order`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 10_000
                    val first = requestHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                    val second = requestHead.replace("r1", "r2") + "Content-Length: 1\r\n\r\nz"
                    socket.getOutputStream().write((first + second).encodeToByteArray())
                    assertTrue("X-Id: r1" in readAnswer(socket).head)
                    assertTrue("X-Id: r2" in readAnswer(socket).head)
                    assertEquals(listOf("abcde", "z"), endpoint.requests.map { it.body })
                }
            }
        }
    }

    /** Guards against a process without a configuration that answers 404 or 401 to requests that are valid. */
    @Test
    fun `without a configuration the answer is 503`() {
        TestGateway(null).use { gateway ->
            assertEquals(503, exchange(gateway.readyPort, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status)
            assertEquals(503, exchange(gateway.port, "$requestHead\r\n").status)
        }
    }

    /** Guards against a request that keeps running at an endpoint after its caller has closed the connection. */
    @Test
    fun `a caller that closes its connection ends the request at the endpoint`() {
        val ended = CountDownLatch(1)
        val writesUntilClosed: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.write("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\n\r\n".encodeToByteArray())
            // Writes fail once the gateway has closed the connection.
            val failure = runCatching { while (true) out.write(ByteArray(1_000)) }
            if (failure.isFailure) ended.countDown()
            false
        }
        ScriptedEndpoint(writesUntilClosed).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.getOutputStream().write("$requestHead\r\n".encodeToByteArray())
                    socket.getInputStream().read()
                }
                assertTrue(ended.await(10, TimeUnit.SECONDS))
            }
        }
    }

    /** Guards against a stop that leaves idle connections open, whose next request would be cut. */
    @Test
    fun `a stop closes idle connections`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 10_000
                    socket.getOutputStream().write("$requestHead\r\n".encodeToByteArray())
                    assertEquals("ok", readAnswer(socket).body)
                    runBlocking {
                        val stop = async(Dispatchers.Default) { gateway.stop() }
                        assertEquals(-1, socket.getInputStream().read())
                        stop.await()
                    }
                }
            }
        }
    }
}
