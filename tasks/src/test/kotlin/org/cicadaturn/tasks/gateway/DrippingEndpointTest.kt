package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Tag
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
    @Tag("known-red")
    @Test
    fun `a request whose endpoint drips a body is answered by another one`() =
        assertAnsweredByAnother("a body", "/safe/x", "x")

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
                TestGateway(listOf(first, second), retrySlack = 10_000.0, journal = { lines += it }).use { gateway ->
                    val start = TimeSource.Monotonic.markNow()
                    val answer = exchange(gateway.port, request(path))
                    val detail = "${answer.status} ${answer.body} ${start.elapsedNow()} $lines"
                    assertTrue(answer.isComplete && answer.status == 200, detail)
                    assertTrue(start.elapsedNow() < 2_400.milliseconds, detail)
                }
            }
        }
    }
}
