package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Tests the attempts of a request whose endpoints are silent for so long that it is sent to others as well: after 400 ms
 * for a repeatable request, after 1.6 s for a stream.
 */
class StandbyTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()

    private fun pause(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private fun refuse(
        request: RawRequest,
        out: OutputStream,
    ) = out.text("HTTP/1.1 503 Full\r\nX-Id: ${request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    private fun gateway(
        vararg endpoints: ScriptedEndpoint,
        stopTimeout: Duration = 8.seconds,
    ) = TestGateway(endpoints.toList(), stopTimeout, retrySlack = 10_000.0, journal = { lines += it })

    /** Returns the line of the end of the request, which is written after its answer. */
    private fun endLine(): RequestLine {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < 5.seconds) {
            lines.lastOrNull { it.event == "end" }?.let { return it }
            pause(10)
        }
        error("no line of the end: $lines")
    }

    private fun Socket.exchange(bytes: String): RawAnswer {
        getOutputStream().write(bytes.encodeToByteArray())
        getOutputStream().flush()
        return readAnswer(this)
    }

    /** Guards against a request that stays in progress after its answer, as an attempt of it is left running. */
    @Test
    fun `a connection serves the next request at once after an answer for which others stood by`() {
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "slow") pause(1_200)
            answerOk(r, out)
        }
        ScriptedEndpoint(slow).use { first ->
            ScriptedEndpoint(slow).use { second ->
                gateway(first, second).use { gateway ->
                    Socket("127.0.0.1", gateway.port).use { socket ->
                        socket.soTimeout = 10_000
                        assertEquals(200, socket.exchange(request("/safe/x", id = "slow")).status)
                        val answeredAt = TimeSource.Monotonic.markNow()
                        val next = socket.exchange(request("/safe/x", id = "next"))
                        val detail = "${answeredAt.elapsedNow()} $lines"
                        assertEquals(200, next.status, detail)
                        assertTrue(answeredAt.elapsedNow() < 500.milliseconds, detail)
                        assertEquals(2, (first.requests + second.requests).count { it.id == "slow" }, detail)
                    }
                }
            }
        }
    }

    /** Guards against a request that is sent a second time to an endpoint which still runs it. */
    @Test
    fun `a request is not sent again to a silent endpoint that has it`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> true.also { pause(5_000) } }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(silent).use { second ->
                gateway(first, second).use { gateway ->
                    assertTrue(exchange(gateway.port, request("/safe/x")).status in setOf(502, 504))
                    assertEquals(listOf(1, 1), listOf(first.requests.size, second.requests.size), "$lines")
                }
            }
        }
    }

    /**
     * Guards against an attempt that closes the connection of an earlier one which was refused, after another request
     * has taken the connection over.
     */
    @Test
    fun `a request on the connection of a refused attempt is not cut`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { r, out ->
            // The first one that receives the request is silent; if it gets it again, it answers that.
            if (r.id == "slow" && lateSends.add(r).let { lateSends.size } >= 2) {
                pause(600)
                answerOk(r, out)
            } else if (r.id == "slow") {
                true.also { pause(2_500) }
            } else {
                answerOk(r, out)
            }
        }
        val refusesLate: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "slow") {
                pause(500)
                refuse(r, out)
            } else {
                pause(1_000)
                answerOk(r, out)
            }
        }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(refusesLate).use { second ->
                gateway(first, second).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val slow = async { exchange(gateway.port, request("/safe/x", id = "slow")) }
                        delay(1_000.milliseconds)
                        val once = List(3) { async { exchange(gateway.port, request("/once/x", id = "once$it")) } }
                        assertEquals(List(3) { 200 }, once.map { it.await().status }, "$lines")
                        slow.await()
                    }
                }
            }
        }
    }

    private val lateSends = CopyOnWriteArrayList<RawRequest>()

    /** Guards against a refusal that says "not run" while an attempt is in progress. */
    @Test
    fun `a request that an endpoint is running is not answered as not run`() {
        val refusesLater: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (lateSends.add(r).let { lateSends.size } == 1) {
                pause(1_200)
                refuse(r, out)
            } else {
                true.also { pause(2_500) }
            }
        }
        val refusesLate: (RawRequest, OutputStream) -> Boolean = { r, out ->
            pause(550)
            refuse(r, out)
        }
        ScriptedEndpoint(refusesLater).use { first ->
            ScriptedEndpoint(refusesLate).use { second ->
                gateway(first, second).use { gateway ->
                    val answer = exchange(gateway.port, request("/safe/x"))
                    assertTrue(answer.status != 503 || lateSends.size == 1, "${answer.status} $lines")
                }
            }
        }
    }

    /** Guards against a request that gets no answer at the end of its process, as two endpoints have it. */
    @Test
    fun `a request that two endpoints have is answered at the end of its process`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> true.also { pause(12_000) } }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(silent).use { second ->
                gateway(first, second, stopTimeout = 4_700.milliseconds).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val start = TimeSource.Monotonic.markNow()
                        val answer = async { exchange(gateway.port, request("/long-stream/x")) }
                        // Both have the request; the last call comes 4 s after the start of the stop.
                        delay(2_300.milliseconds)
                        val sends = listOf(first.requests.size, second.requests.size)
                        gateway.stop()
                        val stopped = "${start.elapsedNow()}, sent $sends"
                        assertEquals(504, answer.await().status, "stopped after $stopped: $lines")
                    }
                }
            }
        }
    }

    /** Guards against a stream that goes on behind an event that may be the wrong one. */
    @Test
    fun `a stream whose last event may be wrong is cut although another endpoint stands by`() {
        val copied: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n"))
            out.text(event(1) + event(2))
            out.flush()
            pause(1_800)
            out.text("id: 2\ndata: another\n\n")
            out.flush()
            pause(3_000)
            false
        }
        val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
            pause(600)
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            out.text(streamAnswer(r, "t", (from + 1..4).joinToString("") { event(it) }))
        }
        ScriptedEndpoint(copied).use { first ->
            ScriptedEndpoint(continues).use { second ->
                gateway(first, second).use { gateway ->
                    val answer = exchange(gateway.port, request("/long-stream/x"))
                    assertTrue(!answer.isComplete, "${answer.body} $lines")
                }
            }
        }
    }

    /** Guards against known times that leave out what a request has waited for before its endpoint began to answer. */
    @Test
    fun `the time of an answer counts from the sending of its request`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> true.also { pause(5_000) } }
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            pause(1_000)
            answerOk(r, out)
        }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(slow).use { second ->
                gateway(first, second).use { gateway ->
                    assertEquals(200, exchange(gateway.port, request("/safe/x")).status)
                    assertTrue(checkNotNull(endLine().placedMs) < 1_000, "$lines")
                }
            }
        }
    }

    /** Guards against a stream of which the log and its readers do not know that and when it began. */
    @Test
    fun `the first event of an endpoint that stood by is recorded`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> true.also { pause(5_000) } }
        val pauses: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "t").replace("\r\n\r\n", "\r\nContent-Length: ${2 * event(1).length}\r\n\r\n"))
            out.text(event(1))
            out.flush()
            pause(1_000)
            out.text(event(2))
        }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(pauses).use { second ->
                gateway(first, second).use { gateway ->
                    assertTrue(exchange(gateway.port, request("/long-stream/x")).isComplete)
                    val end = endLine()
                    assertTrue(checkNotNull(end.firstMs) < checkNotNull(end.ms) - 800, "$lines")
                }
            }
        }
    }

    /** Guards against a stream that another endpoint could continue, but that waits until it is known why it broke off. */
    @Test
    fun `a stream that breaks off while another endpoint answers goes on at once`() {
        val breaksOff: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
            out.flush()
            pause(1_800)
            false
        }
        val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
            pause(400)
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            out.text(streamAnswer(r, "t", (from + 1..4).joinToString("") { event(it) }))
        }
        ScriptedEndpoint(breaksOff).use { first ->
            ScriptedEndpoint(continues).use { second ->
                gateway(first, second).use { gateway ->
                    val start = TimeSource.Monotonic.markNow()
                    val answer = exchange(gateway.port, request("/long-stream/x", "X-Prompt: shared own\r\n"))
                    val time = start.elapsedNow()
                    assertTrue(answer.isComplete, "$lines")
                    assertTrue(time < 2_400.milliseconds, "$time $lines")
                }
            }
        }
    }

    /** Guards against a request that is run at more endpoints than its route allows, after one refused a connection. */
    @Test
    fun `an endpoint that has had the request counts although it cannot be reached later`() {
        val received = CopyOnWriteArrayList<Int>()
        val endpoints = mutableListOf<ScriptedEndpoint>()

        // The first one to receive it pauses twice, the second one stays silent and then ends, the third one answers.
        fun script(own: Int): (RawRequest, OutputStream) -> Boolean =
            { r, out ->
                received += own
                when (received.size) {
                    1 -> {
                        out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
                        out.flush()
                        pause(1_850)
                        out.text(event(2))
                        out.flush()
                        pause(5_000)
                        false
                    }
                    2 -> {
                        pause(700)
                        endpoints[own].close()
                        false
                    }
                    else -> {
                        val from = r.header("Last-Event-Id")?.toInt() ?: 0
                        out.text(streamAnswer(r, "t", (from + 1..4).joinToString("") { event(it) }))
                    }
                }
            }
        endpoints += List(3) { ScriptedEndpoint(script(it)) }
        try {
            gateway(*endpoints.toTypedArray()).use { gateway ->
                exchange(gateway.port, request("/long-stream/x"))
                assertTrue(received.toSet().size <= 2, "$received $lines")
            }
        } finally {
            endpoints.forEach { it.close() }
        }
    }

    /** Guards against a caller that learns of a failure only when it has no time left for another attempt. */
    @Test
    fun `a repeatable request whose second endpoint fails leaves its caller time`() {
        val silent: (RawRequest, OutputStream) -> Boolean = { _, _ -> true.also { pause(5_000) } }
        val fails: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text("HTTP/1.1 500 Failed\r\nX-Id: ${r.id}\r\nContent-Length: 0\r\n\r\n")
        }
        ScriptedEndpoint(silent).use { first ->
            ScriptedEndpoint(fails).use { second ->
                gateway(first, second).use { gateway ->
                    val start = TimeSource.Monotonic.markNow()
                    val status = exchange(gateway.port, request("/safe/x")).status
                    assertTrue(start.elapsedNow() < 2.seconds, "$status after ${start.elapsedNow()} $lines")
                }
            }
        }
    }

    /** Guards against a whole answer after which the connection is not read until the deadline and then closed. */
    @Test
    fun `a stream for which two others stood by ends with its answer`() {
        val sends = CopyOnWriteArrayList<RawRequest>()
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "next") {
                answerNext(r, out)
            } else if (sends.add(r).let { sends.size } == 1) {
                out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: ${2 * event(1).length}\r\n\r\n"))
                out.text(event(1))
                out.flush()
                pause(3_600)
                out.text(event(2))
            } else {
                true.also { pause(12_000) }
            }
        }
        ScriptedEndpoint(script).use { first ->
            ScriptedEndpoint(script).use { second ->
                gateway(first, second).use { gateway ->
                    Socket("127.0.0.1", gateway.port).use { socket ->
                        socket.soTimeout = 12_000
                        assertTrue(socket.exchange(request("/long-stream/x", id = "slow")).isComplete)
                        val answeredAt = TimeSource.Monotonic.markNow()
                        val next = runCatching { socket.exchange(request("/long-stream/x", id = "next")) }
                        val detail = "$next ${next.getOrNull()?.status} after ${answeredAt.elapsedNow()} $lines"
                        assertEquals(200, next.getOrNull()?.status, detail)
                        assertTrue(answeredAt.elapsedNow() < 1.seconds, detail)
                    }
                }
            }
        }
    }

    private fun answerNext(
        request: RawRequest,
        out: OutputStream,
    ) = out.text(streamAnswer(request, "n", event(1)))
}
