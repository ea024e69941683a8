package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the streams that callers get during a planned stop, whose requests end 4.3 s after its start here. */
class StreamInStopTest {
    private val stopTimeout = 5.seconds
    private val lines = CopyOnWriteArrayList<RequestLine>()
    private val whole = (1..EVENTS).joinToString("") { event(it) }

    private fun pause(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private fun streamHead(
        request: RawRequest,
        length: Int,
    ): String = streamHead(request, "s").replace("\r\n\r\n", "\r\nContent-Length: $length\r\n\r\n")

    /** Breaks a new stream off after two events and [millis], and sends the rest of a resumed one at once. */
    private fun breaksOffAfter(millis: Long): (RawRequest, OutputStream) -> Boolean =
        { r, out ->
            if (r.header("Last-Event-Id") == null) {
                out.text(streamHead(r, length = 999) + event(1) + event(2))
                out.flush()
                pause(millis)
                false
            } else {
                out.text(streamAnswer(r, "t", restOf(r).joinToString("")))
            }
        }

    private fun restOf(request: RawRequest): List<String> {
        val from = request.header("Last-Event-Id")?.toInt() ?: 0
        return (from + 1..EVENTS).map { event(it) }
    }

    /** Sends an event each 400 ms and pauses for 1.8 s, which is shorter than callers wait, before the last one. */
    private val pausesBeforeEnd: (RawRequest, OutputStream) -> Boolean = { r, out ->
        val rest = restOf(r)
        out.text(streamHead(r, rest.sumOf { it.length }))
        for (event in rest) {
            pause(if (event == rest.last()) 1_800 else 400)
            out.text(event)
            out.flush()
        }
        true
    }

    /** Returns the answers to streams that begin just before a stop, of which nothing is known. */
    private fun answersInStop(endpoints: List<ScriptedEndpoint>): List<RawAnswer> =
        TestGateway(endpoints, stopTimeout, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
            runBlocking(Dispatchers.IO) {
                val answers =
                    List(CASES) { async { exchange(gateway.port, request("/long-stream/x", id = "c$it")) } }
                while (endpoints.sumOf { it.requests.size } < CASES) delay(10.milliseconds)
                gateway.stop()
                answers.awaitAll()
            }
        }

    private fun assertWhole(answers: List<RawAnswer>) {
        val broken = answers.filter { !it.isComplete || it.body != whole }
        assertEquals(0, broken.size, "${lines.filter { it.end != "ANSWERED" }}")
    }

    /** Guards against a stop that cuts a stream that could go on, as its process knows no times of the service. */
    @Test
    fun `a stream that breaks off during a stop goes on at another endpoint`() {
        ScriptedEndpoint(breaksOffAfter(millis = 800)).use { first ->
            ScriptedEndpoint(breaksOffAfter(millis = 800)).use { second ->
                assertWhole(answersInStop(listOf(first, second)))
            }
        }
    }

    /** Guards against a stream that is given up because its endpoint pauses and begins again when the process ends. */
    @Test
    fun `a stream that pauses late in a stop is not given up for another endpoint`() {
        ScriptedEndpoint(pausesBeforeEnd).use { first ->
            ScriptedEndpoint(pausesBeforeEnd).use { second -> assertWhole(answersInStop(listOf(first, second))) }
        }
    }

    /** Guards against a stream that is given up because its endpoint pauses although no other endpoint is left. */
    @Test
    fun `a stream whose only endpoint pauses goes on in calm`() {
        ScriptedEndpoint(pausesBeforeEnd).use { only ->
            TestGateway(listOf(only), stopTimeout, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                assertWhole(listOf(exchange(gateway.port, request("/long-stream/x", id = "c0"))))
            }
        }
    }

    /** Guards against a stream that is given up because its endpoint pauses although no retry is allowed. */
    @Test
    fun `a stream that pauses while the retry budget is used up goes on`() {
        ScriptedEndpoint(pausesBeforeEnd).use { first ->
            ScriptedEndpoint(pausesBeforeEnd).use { second ->
                TestGateway(listOf(first, second), stopTimeout, retrySlack = 0.0, journal = { lines += it }).use {
                    assertWhole(listOf(exchange(it.port, request("/long-stream/x", id = "c0"))))
                }
            }
        }
    }

    /** Sends an event each 100 ms and pauses for 1.8 s before the second. */
    private val pausesEarly: (RawRequest, OutputStream) -> Boolean = { r, out ->
        val rest = restOf(r)
        out.text(streamHead(r, rest.sumOf { it.length }))
        for (event in rest) {
            pause(if (event == event(2)) 1_800 else 100)
            out.text(event)
            out.flush()
        }
        true
    }

    /** Guards against a stream that a stop cuts because its endpoint pauses although no other endpoint is left. */
    @Test
    fun `a stream whose only endpoint pauses goes on in a stop`() {
        ScriptedEndpoint(pausesEarly).use { only ->
            TestGateway(listOf(only), 15.seconds, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val answers =
                        List(CASES) { async { exchange(gateway.port, request("/long-stream/x", id = "c$it")) } }
                    while (only.requests.size < CASES) delay(10.milliseconds)
                    gateway.stop()
                    assertWhole(answers.awaitAll())
                }
            }
        }
    }

    /** Guards against a stream that a stop cuts because its endpoint pauses while the other one refuses. */
    @Test
    fun `a stream that pauses in a stop goes on if the other endpoint refuses`() =
        assertGoesOnWithout { r, out ->
            out.text("HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }

    /** Guards against a stream that is cut because its endpoint pauses while another one is at its limit of connections. */
    @Test
    fun `a stream that pauses in a stop goes on if the other endpoint resets new connections`() =
        assertGoesOnWithout { _, _ -> throw ResetConnection() }

    /** Guards against a stream that a stop cuts because its endpoint pauses while the other one is at its limit. */
    @Test
    fun `a stream that pauses in a stop goes on if the other endpoint is at its limit`() =
        assertGoesOnWithout { r, out ->
            val refusal = "HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nX-Limit: 0\r\n"
            out.text("${refusal}Content-Length: 0\r\n\r\n")
        }

    private fun assertGoesOnWithout(other: (RawRequest, OutputStream) -> Boolean) =
        ScriptedEndpoint(pausesEarly).use { first ->
            ScriptedEndpoint(other).use { second ->
                val endpoints = listOf(first, second)
                TestGateway(endpoints, 15.seconds, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val answers =
                            List(CASES) { async { exchange(gateway.port, request("/long-stream/x", id = "c$it")) } }
                        while (first.requests.size < CASES) delay(10.milliseconds)
                        gateway.stop()
                        assertWhole(answers.awaitAll())
                    }
                }
            }
        }

    /** Guards against a stream that is cut because the only other endpoint refuses at the moment of the break. */
    @Test
    fun `a stream that breaks off goes on once the other endpoint accepts it`() {
        val start = System.nanoTime()
        val acceptsLater: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (System.nanoTime() - start < 800_000_000) {
                out.text("HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                out.text(streamAnswer(r, "t", restOf(r).joinToString("")))
            }
        }
        ScriptedEndpoint(breaksOffAfter(millis = 100)).use { first ->
            ScriptedEndpoint(acceptsLater).use { second ->
                val endpoints = listOf(first, second)
                TestGateway(endpoints, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val answers =
                            List(CASES) { async { exchange(gateway.port, request("/long-stream/x", id = "c$it")) } }
                        assertWhole(answers.awaitAll())
                    }
                }
            }
        }
    }

    /** Guards against two endpoints that both write to a caller after one of them was silent for a while. */
    @Test
    fun `a stream whose endpoint goes on while another stands by has each event once`() {
        val pausesLong: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val rest = restOf(r)
            out.text(streamHead(r, rest.sumOf { it.length }))
            for (event in rest) {
                // The second endpoint begins to answer at about the time at which the first goes on.
                if (event == event(3)) pause(if (r.header("Last-Event-Id") == null) 1_700 else 90)
                out.text(event)
                out.flush()
            }
            true
        }
        ScriptedEndpoint(pausesLong).use { first ->
            ScriptedEndpoint(pausesLong).use { second ->
                val endpoints = listOf(first, second)
                TestGateway(endpoints, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val answers =
                            List(4 * CASES) {
                                async {
                                    delay((it * 5).milliseconds)
                                    exchange(gateway.port, request("/long-stream/x", id = "c$it"))
                                }
                            }
                        assertWhole(answers.awaitAll())
                    }
                }
            }
        }
    }

    /** Guards against a begun stream that is cut at once because another one with the same segment is on trial. */
    @Test
    fun `begun streams whose endpoint crashes go on one after the other`() {
        val begins: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
            out.flush()
            pause(5_000)
            false
        }
        val resumes: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val rest = restOf(r)
            out.text(streamHead(r, rest.sumOf { it.length }))
            for (event in rest) {
                out.text(event)
                out.flush()
                pause(80)
            }
            true
        }
        ScriptedEndpoint(begins).use { first ->
            ScriptedEndpoint(resumes).use { second ->
                val endpoints = listOf(first, second)
                TestGateway(endpoints, retrySlack = RETRY_SLACK, journal = { lines += it }).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val answers =
                            List(3) {
                                val prompt = "X-Prompt: shared own$it\r\n"
                                async { exchange(gateway.port, request("/long-stream/x", prompt, id = "c$it")) }
                            }
                        while (first.requests.size + second.requests.size < 3) delay(10.milliseconds)
                        delay(100.milliseconds)
                        first.close()
                        assertWhole(answers.awaitAll())
                    }
                }
            }
        }
    }

    private companion object {
        const val EVENTS = 6
        const val CASES = 10

        /** Lets a process that has just started repeat each request. */
        const val RETRY_SLACK = 10_000.0
    }
}
