package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Tests requests whose endpoints send bytes that take the answer no further, while another endpoint could answer. */
class DrippingEndpointTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()

    /** Guards against an endpoint that holds a request by sending a few bytes now and then that are no answer. */
    @TestFactory
    fun `a request whose endpoint drips bytes is answered by another one`() =
        listOf(
            Triple("comments in a stream", "/long-stream/x", ": x\n\n"),
            Triple("an event without end", "/long-stream/x", "data: x\n"),
            Triple("interim answers", "/safe/x", "HTTP/1.1 100 Continue\r\n\r\n"),
        ).map { (name, path, drip) ->
            DynamicTest.dynamicTest(name) { assertAnsweredByAnother(name, path, drip) }
        }

    /** Guards against an endpoint that holds a request by sending a body bit by bit, none of which is passed on. */
    @Test
    fun `a request whose endpoint drips a body is answered by another one`() =
        assertAnsweredByAnother("a body", "/safe/x", "x")

    /** Guards against a slow body that is given up for an endpoint that refuses, fails, or takes longer. */
    @TestFactory
    fun `a body that comes bit by bit is passed on if no other endpoint is faster`(): List<DynamicTest> {
        val slowly: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(okHead(r, "Content-Length: ${SLOW_BODY.length}"))
            SLOW_BODY.all { sent ->
                out.text(sent.toString())
                out.flush()
                CountDownLatch(1).await(100, TimeUnit.MILLISECONDS)
                true
            }
        }
        val others: Map<String, (RawRequest, OutputStream) -> Boolean> =
            mapOf(
                "refuses" to { r, out ->
                    out.text("HTTP/1.1 503 No\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                },
                "closes the connection" to { _, _ -> false },
                "takes longer" to { r, out ->
                    CountDownLatch(1).await(2_500, TimeUnit.MILLISECONDS)
                    answerOk(r, out)
                },
            )
        return others.map { (name, other) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(slowly).use { first ->
                    ScriptedEndpoint(other).use { second ->
                        gatewayOf(first, second).use { gateway ->
                            val answer = exchange(gateway.port, request("/safe/x"))
                            assertEquals(200 to SLOW_BODY, answer.status to answer.body, "$lines")
                            assertEquals(1, first.requests.size, "$lines")
                            assertTrue(second.requests.isNotEmpty(), "$lines")
                        }
                    }
                }
            }
        }
    }

    private fun gatewayOf(vararg endpoints: ScriptedEndpoint) =
        TestGateway(endpoints.toList(), retrySlack = 10_000.0, journal = { lines += it })

    private fun assertAnsweredByAnother(
        name: String,
        path: String,
        drip: String,
    ) {
        val drips: (RawRequest, OutputStream) -> Boolean = { r, out ->
            when {
                name == "a body" -> out.text(okHead(r, "Content-Length: 999"))
                path != "/safe/x" -> out.text(streamHead(r, "s") + event(1))
            }
            repeat(100) {
                out.text(drip)
                out.flush()
                CountDownLatch(1).await(100, TimeUnit.MILLISECONDS)
            }
            false
        }
        val answers: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            if (path == "/safe/x") {
                answerOk(r, out)
            } else {
                out.text(streamAnswer(r, "t", (from + 1..4).joinToString("") { event(it) }))
            }
        }
        ScriptedEndpoint(drips).use { first ->
            ScriptedEndpoint(answers).use { second ->
                gatewayOf(first, second).use { gateway ->
                    val start = TimeSource.Monotonic.markNow()
                    val answer = exchange(gateway.port, request(path))
                    val detail = "${answer.status} ${answer.body} ${start.elapsedNow()} $lines"
                    assertTrue(answer.isComplete && answer.status == 200, detail)
                    assertTrue(start.elapsedNow() < 2_400.milliseconds, detail)
                }
            }
        }
    }

    private companion object {
        const val SLOW_BODY = "a slow body"
    }
}
