package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests streams whose endpoints pause, refuse, reset and break off at random, beside each other. */
class StandbyLoadTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()

    private fun pause(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private fun randomEndpoint(
        random: Random,
        mayBreak: Boolean,
    ): (RawRequest, OutputStream) -> Boolean =
        { r, out ->
            val from = r.header("Last-Event-Id")?.toInt() ?: 0
            val draw = synchronized(random) { random.nextInt(100) }
            when {
                draw < 12 -> {
                    pause(synchronized(random) { random.nextLong(300) })
                    out.text("HTTP/1.1 503 Full\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                }
                draw < 18 -> throw ResetConnection()
                else -> stream(r, out, from, random, mayBreak)
            }
        }

    private fun stream(
        r: RawRequest,
        out: OutputStream,
        from: Int,
        random: Random,
        mayBreak: Boolean,
    ): Boolean {
        val events = (from + 1..EVENTS).map { "id: $it\ndata: ${r.id}-$it\n\n" }
        out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: ${events.sumOf { it.length }}\r\n\r\n"))
        for (event in events) {
            val draw = synchronized(random) { random.nextInt(100) }
            // Around the silence after which the request is sent to another endpoint as well.
            if (draw < 25) pause(synchronized(random) { random.nextLong(1_550, 1_950) }) else pause(10)
            if (mayBreak && draw > 97) return false
            if (draw % 3 == 0) {
                out.text(event.take(5))
                out.flush()
                pause(5)
                out.text(event.drop(5))
            } else {
                out.text(event)
            }
            out.flush()
        }
        return true
    }

    /** Guards against lost, repeated and foreign events when an endpoint goes on as another one takes its stream over. */
    @Test
    fun `each caller gets a prefix of its own stream and no event of another`() {
        val random = Random(39)
        val endpoints = List(4) { ScriptedEndpoint(randomEndpoint(random, mayBreak = it % 2 == 0)) }
        val faults = CopyOnWriteArrayList<String>()
        TestGateway(endpoints, retrySlack = 10_000.0, journal = { lines += it }).use { gateway ->
            runBlocking(Dispatchers.IO) {
                List(48) { c ->
                    async { repeat(4) { n -> call(gateway.port, "c$c-$n", faults) } }
                }.awaitAll()
            }
        }
        endpoints.forEach { it.close() }
        assertEquals(emptyList<String>(), faults)
    }

    private fun call(
        port: Int,
        id: String,
        faults: MutableList<String>,
    ) {
        val start = TimeSource.Monotonic.markNow()
        val answer =
            runCatching {
                Socket("127.0.0.1", port).use { socket ->
                    socket.soTimeout = 12_000
                    socket.getOutputStream().write(request("/long-stream/x", id = id).encodeToByteArray())
                    readAnswer(socket)
                }
            }.getOrElse {
                faults += "$id $it after ${start.elapsedNow()}"
                return
            }
        val whole = (1..EVENTS).joinToString("") { "id: $it\ndata: $id-$it\n\n" }
        if (answer.status == 200 && answer.isComplete &&
            answer.body != whole
        ) {
            faults += "$id complete but ${answer.body}"
        }
        if (answer.status == 200 && !whole.startsWith(answer.body)) faults += "$id not a prefix: ${answer.body}"
        if (answer.stray != null) faults += "$id stray ${answer.stray}"
        val sends = lines.filter { it.request == id }
        if (answer.status == 503 && sends.any { (it.events ?: 0) > 0 }) faults += "$id 503 after events $sends"
    }

    private companion object {
        const val EVENTS = 8
    }
}
