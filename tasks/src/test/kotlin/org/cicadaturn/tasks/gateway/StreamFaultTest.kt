package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream

/** Tests the event streams that callers receive while endpoints break, stall or slow them. */
class StreamFaultTest {
    /** Guards against a missing, repeated or truncated event where a stream is resumed at another endpoint. */
    @Test
    fun `a stream that breaks within an event is resumed at another endpoint`() {
        val breaks: (RawRequest, OutputStream) -> Boolean = { r, out ->
            !out.text(
                streamHead(r, "first").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1) + event(2) +
                    "id: 3\nda",
            )
        }
        val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            !out.text(streamAnswer(r, "second", (from + 1..5).joinToString("") { event(it) }))
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

    /** Guards against a truncated stream that looks complete to the caller. */
    @Test
    fun `a stream that no endpoint resumes does not look complete`() {
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

    /** Guards against the answer of the next endpoint, or its head, in the middle of a stream that has begun. */
    @TestFactory
    fun `an answer that is no stream does not continue one`() =
        mapOf<String, (RawRequest) -> String>(
            "client error" to { r -> "HTTP/1.1 404 No\r\nX-Id: ${r.id}\r\nContent-Length: 3\r\n\r\nbad" },
            "server error" to { r -> "HTTP/1.1 500 No\r\nX-Id: ${r.id}\r\nContent-Length: 3\r\n\r\nbad" },
            "redirect" to { r -> "HTTP/1.1 302 No\r\nX-Id: ${r.id}\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n" },
            "refusal" to { r ->
                "HTTP/1.1 503 No\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            },
            "success of another type" to { r -> okHead(r, "Content-Type: text/plain\r\nContent-Length: 3") + "bad" },
            "success of another type without a length" to { r -> okHead(r, "Content-Type: text/plain") + "bad" },
            "long success of another type" to { r ->
                okHead(r, "Content-Type: text/plain\r\nContent-Length: 300000") + "x".repeat(300_000)
            },
            "success without content" to { r -> "HTTP/1.1 204 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\n\r\n" },
        ).map { (name, answer) ->
            DynamicTest.dynamicTest(name) {
                val breaks: (RawRequest, OutputStream) -> Boolean = { r, out ->
                    !out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
                }
                ScriptedEndpoint(breaks).use { first ->
                    ScriptedEndpoint { r, out -> !out.text(answer(r)) }.use { second ->
                        TestGateway(listOf(first, second)).use { gateway ->
                            val received = exchange(gateway.port, request("/stream/x"))
                            // One that refuses has not run the request, and is asked again while the caller waits.
                            val sends = if (name == "refusal") 2..4 else 1..1
                            assertTrue(second.requests.size in sends, "sent ${second.requests.size} times")
                            assertEquals(event(1), received.body)
                            assertEquals(null, received.stray)
                            assertFalse(received.isComplete)
                        }
                    }
                }
            }
        }

    /** Guards against a stream that ends before its first event, as its endpoint crashed, and looks complete. */
    @Test
    fun `a stream without a length that ends before its first event is not complete`() {
        val ends: (RawRequest, OutputStream) -> Boolean = { r, out -> !out.text(streamHead(r, "first")) }
        val answers: (
            RawRequest,
            OutputStream,
        ) -> Boolean = { r, out -> !out.text(streamAnswer(r, "second", event(1))) }
        ScriptedEndpoint(ends).use { first ->
            ScriptedEndpoint(answers).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(event(1), answer.body)
                    assertTrue(answer.isComplete)
                }
            }
        }
    }

    /** Guards against a stream that was cut between two events and looks complete, as only its connection ends it. */
    @Test
    fun `a stream without a length whose connection is reset goes on at another endpoint`() {
        val ends: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s") + event(1))
            out.flush()
            Thread.sleep(50)
            throw ResetConnection()
        }
        val continues: (RawRequest, OutputStream) -> Boolean = { r, out -> !out.text(streamAnswer(r, "t", event(2))) }
        ScriptedEndpoint(ends).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(event(1) + event(2), answer.body)
                    assertTrue(answer.isComplete)
                    assertEquals("1", second.requests.single().header("Last-Event-Id"))
                }
            }
        }
    }

    /** As above, where no endpoint can tell whether events are missing. */
    @Test
    fun `a stream without a length whose endpoint crashes does not look complete`() {
        lateinit var crashing: ScriptedEndpoint
        val crashes: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s") + event(1))
            out.flush()
            // Its sockets are closed, so that callers read the end of the connection and not a reset.
            crashing.close()
            false
        }
        crashing = ScriptedEndpoint(crashes)
        crashing.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1), answer.body)
                assertFalse(answer.isComplete)
            }
        }
    }

    /** Guards against memory that grows with an event that never ends. */
    @Test
    fun `a stream whose event does not end is given up`() {
        val endless: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s") + event(1) + "id: 2\ndata: ")
            while (true) out.write(ByteArray(8_192) { 'x'.code.toByte() })
            @Suppress("UNREACHABLE_CODE")
            false
        }
        ScriptedEndpoint(endless).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1), answer.body)
                assertFalse(answer.isComplete)
            }
        }
    }

    /** Guards against a stalled stream that never ends because a byte arrives now and then. */
    @Test
    fun `a stream that sends single bytes ends at the timeout of its route`() {
        val trickling: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s") + event(1) + "id: 2\ndata: ")
            repeat(50) {
                Thread.sleep(100)
                out.text("x")
                out.flush()
            }
            false
        }
        ScriptedEndpoint(trickling).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val began = System.nanoTime()
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1), answer.body)
                assertFalse(answer.isComplete)
                // The route's timeout is 3 s.
                assertTrue(System.nanoTime() - began < 4_000_000_000L)
            }
        }
    }

    /** Guards against a sound stream that is cut because its events are further apart than usual. */
    @Test
    fun `a slow stream is passed on to its end`() {
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: ${3 * event(1).length}\r\n\r\n"))
            for (i in 1..3) {
                out.text(event(i))
                out.flush()
                Thread.sleep(700)
            }
            true
        }
        ScriptedEndpoint(slow).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals((1..3).joinToString("") { event(it) }, answer.body)
                assertTrue(answer.isComplete)
                assertEquals(1, endpoint.requests.size)
            }
        }
    }
}
