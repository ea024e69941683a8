package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Tests streams whose silent endpoint was replaced by another one, which then breaks off. */
class ReplacedEndpointTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()
    private val sends = CopyOnWriteArrayList<RawRequest>()

    private fun pause(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private fun OutputStream.begin(
        request: RawRequest,
        events: IntRange,
    ) {
        text(streamHead(request, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n"))
        text(events.joinToString("") { event(it) })
        flush()
    }

    /** The first endpoint that receives the request falls silent, the second one breaks off, and [onThird] is next. */
    private fun script(onThird: (RawRequest, OutputStream) -> Boolean): (RawRequest, OutputStream) -> Boolean =
        { r, out ->
            when (sends.add(r).let { sends.size }) {
                1 -> {
                    out.begin(r, 1..2)
                    pause(8_000)
                    false
                }
                2 -> {
                    out.begin(r, 3..4)
                    pause(200)
                    false
                }
                else -> onThird(r, out)
            }
        }

    private fun finish(
        request: RawRequest,
        out: OutputStream,
    ): Boolean = out.text(streamAnswer(request, "t", event(5) + event(6)))

    private fun answerOf(
        path: String = "/long-stream/x",
        script: (RawRequest, OutputStream) -> Boolean,
    ): RawAnswer =
        ScriptedEndpoint(script).use { first ->
            ScriptedEndpoint(script).use { second ->
                TestGateway(listOf(first, second), retrySlack = 10_000.0, journal = { lines += it }).use { gateway ->
                    exchange(gateway.port, request(path))
                }
            }
        }

    /** Guards against a stream that is cut although the endpoint that was only silent could go on with it. */
    @Test
    fun `a stream goes on at its silent endpoint after the one that replaced it breaks off`() {
        val answer = answerOf(script = script(::finish))
        assertTrue(answer.isComplete, "$lines")
        assertEquals((1..6).joinToString("") { event(it) }, answer.body, "$lines")
        assertEquals(listOf(null, "2", "4"), sends.map { it.header("Last-Event-Id") })
    }

    /** Guards against a stream that is sent to the same two endpoints in turn, both of which break off. */
    @Test
    fun `a stream that its silent endpoint breaks off as well is cut`() {
        val answer =
            answerOf(
                script =
                    script { r, out ->
                        out.begin(r, 5..5)
                        false
                    },
            )
        assertTrue(!answer.isComplete, "$lines")
        assertEquals((1..5).joinToString("") { event(it) }, answer.body, "$lines")
        assertEquals(3, sends.size)
    }

    /** Guards against a stream that is cut as it may be sent to a further endpoint, but there is none. */
    @Test
    fun `a stream goes on at its silent endpoint if no other one is left`() {
        val answer = answerOf("/three-stream/x", script(::finish))
        assertTrue(answer.isComplete, "$lines")
        assertEquals((1..6).joinToString("") { event(it) }, answer.body, "$lines")
    }

    /** Guards against a stream that is cut as the run that was given up still holds its place. */
    @Test
    fun `a silent endpoint that refuses at first is asked again`() {
        val answer =
            answerOf(
                script =
                    script { r, out ->
                        if (sends.size == 3) {
                            out.text(
                                "HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                            )
                        } else {
                            finish(r, out)
                        }
                    },
            )
        assertTrue(answer.isComplete, "$lines")
        assertEquals((1..6).joinToString("") { event(it) }, answer.body, "$lines")
    }
}
