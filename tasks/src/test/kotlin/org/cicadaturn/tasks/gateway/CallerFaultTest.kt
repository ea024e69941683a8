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

/** What callers that send odd bytes, leave early or reuse connections get. */
class CallerFaultTest {
    private fun good(
        request: RawRequest,
        out: OutputStream,
    ): Boolean {
        val answer = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"
        out.write(answer.encodeToByteArray())
        return true
    }

    private val start = "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\n"

    private val odd: Map<String, Pair<String, Int>> =
        mapOf(
            "two ways to tell the length" to
                (start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /" to 400),
            "two lengths" to (start + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!" to 400),
            "an unknown transfer encoding" to (start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" to 400),
            "a body that is too long" to (start + "Content-Length: 2001\r\n\r\n" + "x".repeat(2_001) to 413),
            "a header that is too long" to (start + "X-Long: " + "x".repeat(70_000) + "\r\n\r\n" to 431),
            "no request" to ("nonsense\r\n\r\n" to 400),
            "an unknown key" to
                ("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer no\r\n\r\n" to 401),
            "an unknown route" to ("GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n" to 404),
        )

    /** Guards against smuggled requests and against requests over the limits that reach an endpoint. */
    @TestFactory
    fun `odd requests are refused and reach no endpoint`() =
        odd.map { (name, case) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(::good).use { endpoint ->
                    TestGateway(listOf(endpoint)).use { gateway ->
                        assertEquals(case.second, exchange(gateway.port, case.first).status)
                        assertEquals(0, endpoint.requests.size)
                    }
                }
            }
        }

    /** Guards against bodies in chunks that arrive changed, and against answers of pipelined requests out of order. */
    @Test
    fun `chunked and pipelined requests on one connection are answered in order`() {
        ScriptedEndpoint(::good).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 10_000
                    val first = start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                    val second = start.replace("r1", "r2") + "Content-Length: 1\r\n\r\nz"
                    socket.getOutputStream().write((first + second).encodeToByteArray())
                    assertTrue("X-Id: r1" in readAnswer(socket).head)
                    assertTrue("X-Id: r2" in readAnswer(socket).head)
                    assertEquals(listOf("abcde", "z"), endpoint.requests.map { it.body })
                }
            }
        }
    }

    /** Guards against a process without a configuration that denies routes and keys which others know. */
    @Test
    fun `without a configuration the answer is 503`() {
        TestGateway(null).use { gateway ->
            assertEquals(503, exchange(gateway.readyPort, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status)
            assertEquals(503, exchange(gateway.port, "$start\r\n").status)
        }
    }

    /** Guards against work that goes on at an endpoint after its caller has left. */
    @Test
    fun `a caller that leaves ends the work at the endpoint`() {
        val ended = CountDownLatch(1)
        val writesOn: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.write("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\n\r\n".encodeToByteArray())
            // Writes fail once the gateway has closed the connection.
            val failure = runCatching { while (true) out.write(ByteArray(1_000)) }
            if (failure.isFailure) ended.countDown()
            false
        }
        ScriptedEndpoint(writesOn).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.getOutputStream().write("$start\r\n".encodeToByteArray())
                    socket.getInputStream().read()
                }
                assertTrue(ended.await(10, TimeUnit.SECONDS))
            }
        }
    }

    /** Guards against a stop that leaves an idle connection open, whose next request would be cut. */
    @Test
    fun `a stop answers what it has and closes idle connections`() {
        ScriptedEndpoint(::good).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 10_000
                    socket.getOutputStream().write("$start\r\n".encodeToByteArray())
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
