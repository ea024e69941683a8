package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** What callers get while an endpoint misbehaves on the wire. */
class EndpointFaultTest {
    private fun request(
        path: String,
        headers: String = "",
    ) = "POST $path HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\n" +
        "Content-Length: 2\r\n$headers\r\nhi"

    private fun OutputStream.text(text: String): Boolean {
        write(text.encodeToByteArray())
        return true
    }

    private fun okHead(
        request: RawRequest,
        headers: String,
    ) = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\n$headers\r\n\r\n"

    private fun good(
        request: RawRequest,
        out: OutputStream,
    ): Boolean = out.text("HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")

    private val faults: Map<String, (RawRequest, OutputStream) -> Boolean> =
        mapOf(
            "closes without an answer" to { _, _ -> false },
            "cuts a sized body" to { r, out ->
                !out.text("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nok")
            },
            "cuts a chunked body between chunks" to { r, out ->
                !out.text(okHead(r, "Transfer-Encoding: chunked") + "2\r\nok\r\n")
            },
            "answers another request" to { _, out ->
                out.text("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno")
            },
            "answers without a signature" to { r, out ->
                out.text("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nContent-Length: 2\r\n\r\nno")
            },
            "answers with a content encoding" to { r, out ->
                out.text(okHead(r, "Content-Encoding: gzip\r\nContent-Length: 2") + "no")
            },
            "sends bytes that are no answer" to { _, out -> out.text("garbage garbage\r\n\r\n") },
            "claims 503 without a denial" to { r, out ->
                out.text("HTTP/1.1 503 No\r\nX-Id: ${r.id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n")
            },
        )

    /** Guards against an answer that is cut, foreign or forged and still reaches the caller as a success. */
    @TestFactory
    fun `a request that may run twice is answered by another endpoint`() =
        faults.map { (name, fault) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(fault).use { bad ->
                    ScriptedEndpoint(::good).use { sound ->
                        TestGateway(listOf(bad, sound)).use { gateway ->
                            val answer = exchange(gateway.port, request("/safe/x"))
                            assertEquals(200, answer.status)
                            assertEquals("ok", answer.body)
                        }
                    }
                }
            }
        }

    /** Guards against a request that runs twice, and against a promise that it has not run. */
    @TestFactory
    fun `a request that may run only once is not sent again and its outcome is told as unknown`() =
        faults.map { (name, fault) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(fault).use { bad ->
                    ScriptedEndpoint(::good).use { sound ->
                        TestGateway(listOf(bad, sound)).use { gateway ->
                            val answer = exchange(gateway.port, request("/once/x"))
                            assertEquals(502, answer.status)
                            assertTrue("X-Signature" !in answer.head)
                            assertEquals(1, bad.requests.size + sound.requests.size)
                        }
                    }
                }
            }
        }

    /** Guards against a refusal of the endpoint that is hidden from the caller of a request that runs only once. */
    @Test
    fun `a denial becomes a refusal that says when to come back`() {
        val full: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text("HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        ScriptedEndpoint(full).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/once/x"))
                assertEquals(503, answer.status)
                assertTrue(answer.head.contains("Retry-After", ignoreCase = true))
            }
        }
    }

    /** Guards against attempts that all go to the one endpoint that accepts no connection. */
    @Test
    fun `an endpoint without a connection is not tried again`() {
        val gone = ScriptedEndpoint(::good)
        ScriptedEndpoint(::good).use { sound ->
            TestGateway(listOf(gone, sound)).use { gateway ->
                gone.close()
                assertEquals(200, exchange(gateway.port, request("/once/x")).status)
            }
        }
    }

    /** Guards against an answer at the deadline that the end of the deadline cuts. */
    @Test
    fun `a request that is not answered by its deadline gets a whole answer`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> CountDownLatch(1).await(2, TimeUnit.SECONDS) }
        ScriptedEndpoint(silent).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                repeat(5) {
                    val answer = exchange(gateway.port, request("/once/x", "X-Deadline: 300\r\n"))
                    assertTrue(answer.isComplete && answer.status in setOf(502, 504), "status ${answer.status}")
                }
            }
        }
    }

    /** Guards against an extra answer that is taken for the answer to the next request. */
    @Test
    fun `bytes after an answer belong to no request`() {
        val twice: (RawRequest, OutputStream) -> Boolean = { r, out ->
            good(r, out)
            out.text("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nextra")
        }
        ScriptedEndpoint(twice).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                repeat(5) { assertEquals("ok", exchange(gateway.port, request("/safe/x")).body) }
            }
        }
    }

    /** Guards against headers that a caller forges and against the key reaching the endpoint. */
    @Test
    fun `the endpoint gets the organisation, the time left and no key`() {
        ScriptedEndpoint(::good).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                exchange(gateway.port, request("/safe/x", "X-Organisation: forged\r\nX-Deadline: 900\r\n"))
                val sent = endpoint.requests.single()
                assertEquals("org", sent.header("X-Organisation"))
                assertEquals("e0", sent.header("X-Endpoint"))
                assertEquals(null, sent.header("Authorization"))
                assertTrue(sent.header("X-Deadline")!!.toInt() in 1..900)
            }
        }
    }

    private fun event(id: Int) = "id: $id\ndata: d$id\n\n"

    private fun streamHead(
        request: RawRequest,
        signature: String,
    ) = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: $signature\r\nContent-Type: text/event-stream\r\n\r\n"

    /** Guards against an event that is missing, doubled or cut where a stream is continued at another endpoint. */
    @Test
    fun `a stream that breaks within an event is continued elsewhere`() {
        val breaks: (RawRequest, OutputStream) -> Boolean = { r, out ->
            !out.text(
                streamHead(r, "first").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1) + event(2) +
                    "id: 3\nda",
            )
        }
        val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            !out.text(streamHead(r, "second") + (from + 1..5).joinToString("") { event(it) })
        }
        ScriptedEndpoint(breaks).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals((1..5).joinToString("") { event(it) }, answer.body)
                    assertTrue(answer.isComplete)
                    assertTrue("X-Signature: first" in answer.head)
                }
            }
        }
    }

    /** Guards against a cut stream that looks complete. */
    @Test
    fun `a stream that nobody continues does not look complete`() {
        val breaks: (RawRequest, OutputStream) -> Boolean = { r, out ->
            !out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
        }
        ScriptedEndpoint(breaks).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1), answer.body)
                assertFalse(answer.isComplete)
            }
        }
    }
}
