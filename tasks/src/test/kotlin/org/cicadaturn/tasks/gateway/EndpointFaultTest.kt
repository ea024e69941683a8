package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Tests the answers to callers while an endpoint sends faulty answers or none. */
class EndpointFaultTest {
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
            "sends bytes that are not an answer" to { _, out -> out.text("garbage garbage\r\n\r\n") },
            "answers 503 without stating that the request was not run" to { r, out ->
                out.text("HTTP/1.1 503 No\r\nX-Id: ${r.id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n")
            },
        )

    /** Guards against an answer that is truncated, unsigned or for another request and is passed on as a success. */
    @TestFactory
    fun `an idempotent request is answered by another endpoint`() =
        faults.map { (name, fault) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(fault).use { faulty ->
                    ScriptedEndpoint(::answerOk).use { healthy ->
                        TestGateway(listOf(faulty, healthy)).use { gateway ->
                            val answer = exchange(gateway.port, request("/safe/x"))
                            assertEquals(200, answer.status)
                            assertEquals("ok", answer.body)
                        }
                    }
                }
            }
        }

    /** Guards against a request that is run twice, and against a false statement that it was not run. */
    @TestFactory
    fun `an at-most-once request is not sent again and its outcome is reported as unknown`() =
        faults.map { (name, fault) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(fault).use { faulty ->
                    ScriptedEndpoint(::answerOk).use { healthy ->
                        TestGateway(listOf(faulty, healthy)).use { gateway ->
                            val answer = exchange(gateway.port, request("/once/x"))
                            assertEquals(502, answer.status)
                            assertTrue("X-Signature" !in answer.head)
                            assertEquals(1, faulty.requests.size + healthy.requests.size)
                        }
                    }
                }
            }
        }

    /** Guards against a refusal by the endpoint that the caller of an at-most-once request does not learn of. */
    @Test
    fun `a refusal by the endpoint is answered with a time to retry`() {
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

    /** Guards against a request that fails because all its attempts go to an endpoint that accepts no connection. */
    @Test
    fun `an endpoint that accepts no connection is not tried again`() {
        val closed = ScriptedEndpoint(::answerOk)
        ScriptedEndpoint(::answerOk).use { healthy ->
            TestGateway(listOf(closed, healthy)).use { gateway ->
                closed.close()
                assertEquals(200, exchange(gateway.port, request("/once/x")).status)
            }
        }
    }

    /** Guards against an answer that is truncated because it is sent at the deadline. */
    @Test
    fun `a request that no endpoint answers by the deadline gets a complete answer`() {
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

    /** Guards against a surplus answer that is used as the answer to the next request. */
    @Test
    fun `bytes after an answer are not used for another request`() {
        val twice: (RawRequest, OutputStream) -> Boolean = { r, out ->
            answerOk(r, out)
            out.text("HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nextra")
        }
        ScriptedEndpoint(twice).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                repeat(5) { assertEquals("ok", exchange(gateway.port, request("/safe/x")).body) }
            }
        }
    }

    /** Endpoint that sends its answer to the first request again, just before its answer to the second one. */
    private fun endpointWithSurplus(surplus: (RawRequest) -> String): ScriptedEndpoint {
        val received = CopyOnWriteArrayList<RawRequest>()
        return ScriptedEndpoint { r, out ->
            received += r
            if (received.size == 2) out.text(surplus(received.first()))
            answerOk(r, out)
        }
    }

    /** Guards against a surplus answer that arrives after the next request was sent and is used as its answer. */
    @TestFactory
    fun `a late surplus answer is skipped and the next request gets its own`() =
        mapOf<String, (RawRequest) -> String>(
            "success" to { r -> okHead(r, "Content-Length: 3") + "old" },
            "failure" to { r -> "HTTP/1.1 500 No\r\nX-Id: ${r.id}\r\nContent-Length: 3\r\n\r\nold" },
            "refusal" to { r ->
                "HTTP/1.1 503 No\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            },
        ).map { (name, surplus) ->
            DynamicTest.dynamicTest(name) {
                endpointWithSurplus(surplus).use { endpoint ->
                    TestGateway(listOf(endpoint)).use { gateway ->
                        val bodies =
                            listOf(
                                "r1",
                                "r2",
                                "r3",
                            ).map { exchange(gateway.port, request("/once/x", id = it)) }
                        assertEquals(listOf("ok", "ok", "ok"), bodies.map { it.body })
                        assertEquals(3, endpoint.requests.size)
                    }
                }
            }
        }

    /** Guards against a surplus refusal without an identifier that is reported as "not run" for a request that ran. */
    @Test
    fun `a failure without an identifier on a used connection says nothing about the request`() {
        endpointWithSurplus { "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                assertEquals("ok", exchange(gateway.port, request("/once/x", id = "r1")).body)
                assertEquals(502, exchange(gateway.port, request("/once/x", id = "r2")).status)
            }
        }
    }

    private fun refusal(id: String?) = "HTTP/1.1 503 No\r\nX-Id: $id\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    /**
     * Guards against an earlier refusal, written once more on a kept connection, that is reported as "not run" for a
     * request that runs, or makes that request run at a second endpoint.
     */
    @TestFactory
    fun `an earlier refusal that is repeated says nothing about the next request`() =
        mapOf<String, Pair<(RawRequest, OutputStream) -> Boolean, Int>>(
            "and the answer follows" to Pair({ r, out -> answerOk(r, out) }, 200),
            "and the answer follows late" to Pair({ r, out -> Thread.sleep(300).let { answerOk(r, out) } }, 200),
            "and the connection ends" to Pair({ _, _ -> false }, 502),
            "again and again" to Pair({ _, out -> out.text(refusal("r1").repeat(5)).let { false } }, 502),
        ).map { (name, case) ->
            DynamicTest.dynamicTest(name) {
                val (rest, status) = case
                val received = CopyOnWriteArrayList<RawRequest>()
                // Counted as a request arrives; a request that is lost is followed by a probe on a connection of its own.
                val connectionsAtRequest = CopyOnWriteArrayList<Int>()
                lateinit var faulty: ScriptedEndpoint
                faulty =
                    ScriptedEndpoint { r, out ->
                        received += r
                        connectionsAtRequest += faulty.connections
                        out.text(refusal("r1"))
                        if (r.id == "r1") true else rest(r, out)
                    }
                faulty.use { first ->
                    TestGateway(listOf(first)).use { gateway ->
                        assertEquals(
                            503,
                            exchange(gateway.port, request("/once/x", "X-Deadline: 600\r\n", "r1")).status,
                        )
                        val connections = first.connections
                        val refused = received.size
                        assertEquals(status, exchange(gateway.port, request("/once/x", id = "r2")).status)
                        assertEquals(1, received.size - refused)
                        assertEquals(connections, connectionsAtRequest.last(), "the connection was not kept")
                    }
                }
            }
        }

    /** Guards against an endpoint that keeps a request waiting with surplus answers that never end. */
    @Test
    fun `surplus answers without end do not delay the answer`() {
        val received = CopyOnWriteArrayList<RawRequest>()
        val endless =
            ScriptedEndpoint { r, out ->
                received += r
                if (received.size == 1) return@ScriptedEndpoint answerOk(r, out)
                while (true) out.text(okHead(received.first(), "Content-Length: 3") + "old")
                @Suppress("UNREACHABLE_CODE")
                false
            }
        endless.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                assertEquals("ok", exchange(gateway.port, request("/once/x", id = "r1")).body)
                val start = System.nanoTime()
                assertEquals(502, exchange(gateway.port, request("/once/x", id = "r2")).status)
                // The route's timeout is 3 s; the answer must not wait for it.
                assertTrue(System.nanoTime() - start < 2_000_000_000L)
            }
        }
    }

    /** Guards against forged headers of a caller and against keys that are forwarded to the endpoint. */
    @Test
    fun `the endpoint receives the organisation and the time left but no key`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
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

    /** Guards against an answer without a length that is taken for complete although its connection was reset. */
    @Test
    fun `an answer without a length is complete only if its connection was closed`() {
        val ends: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(okHead(r, "X-Any: 1") + "whole")
            if (r.id == "reset") throw ResetConnection()
            false
        }
        ScriptedEndpoint(ends).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/once/x"))
                assertEquals("whole", answer.body)
                assertTrue(answer.isComplete)
                assertEquals(502, exchange(gateway.port, request("/once/x", id = "reset")).status)
            }
        }
    }

    /** Guards against memory that grows with the body of a failure, and a head, that never ends. */
    @TestFactory
    fun `bytes without end that are no answer are given up`() =
        mapOf(
            "head" to "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Filler: ",
            "status line" to "HTTP/1.1 200 ",
            "body of a failure" to "HTTP/1.1 500 No\r\nX-Id: r1\r\n\r\n",
            "no protocol" to "",
        ).map { (name, start) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint { _, out ->
                    out.text(start)
                    while (true) out.write(ByteArray(8_192) { 'x'.code.toByte() })
                    @Suppress("UNREACHABLE_CODE")
                    false
                }.use { endpoint ->
                    TestGateway(listOf(endpoint)).use { gateway ->
                        val began = System.nanoTime()
                        assertEquals(502, exchange(gateway.port, request("/once/x")).status)
                        // The route's timeout is 3 s; the answer must not wait for it.
                        assertTrue(System.nanoTime() - began < 2_000_000_000L)
                    }
                }
            }
        }

    /** Guards against an answer that is cut because it pauses, although no other endpoint could continue it. */
    @Test
    fun `a long answer that pauses is passed on to its end`() {
        val half = "x".repeat(300_000)
        val pauses: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(okHead(r, "Content-Length: 600000") + half)
            out.flush()
            Thread.sleep(800)
            out.text(half)
        }
        ScriptedEndpoint(pauses).use { first ->
            ScriptedEndpoint(pauses).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/safe/x"))
                    assertTrue(answer.isComplete)
                    assertEquals(half + half, answer.body)
                }
            }
        }
    }
}
