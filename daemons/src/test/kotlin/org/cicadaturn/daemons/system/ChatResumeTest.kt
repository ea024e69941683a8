package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val STALL: Duration = 500.milliseconds

private fun event(
    delta: String,
    finish: String = "null",
): String =
    """data: {"id":"run-1","object":"chat.completion.chunk","created":1,"model":"m",""" +
        """"choices":[{"index":0,"delta":{$delta},"finish_reason":$finish}]}""" + "\n\n"

private fun token(n: Int): String = event(""""content":"token $n """")

/** Tests streams that several endpoints continue one after the other. */
class ChatResumeTest {
    private val last = event("", "\"stop\"") + "data: [DONE]\n\n"
    private val streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

    private fun OutputStream.send(text: String) {
        write(text.encodeToByteArray())
        flush()
    }

    private val hasFailed = CountDownLatch(1)

    /** Pauses behind its first token until another endpoint was asked and has failed, sends two others and breaks off. */
    private fun pauseAndBreakOff(out: OutputStream) {
        out.send(streamHead + chunk(token(1)))
        hasFailed.await(8, TimeUnit.SECONDS)
        Thread.sleep((STALL / 2).inWholeMilliseconds)
        out.send(chunk(token(2)) + chunk(token(3)))
        Thread.sleep((STALL / 2).inWholeMilliseconds)
    }

    private fun fail(out: OutputStream) {
        val body = """{"error":"no memory"}"""
        val headers = "Content-Type: application/json\r\nContent-Length: ${body.length}"
        out.send("HTTP/1.1 500 Internal Server Error\r\n$headers\r\n\r\n$body")
        hasFailed.countDown()
    }

    private fun finish(
        out: OutputStream,
        position: Int,
    ) = out.send(streamHead + chunk((position + 1..4).joinToString("") { token(it) } + last) + "0\r\n\r\n")

    /** Guards against tokens that come twice, as a third endpoint is asked for them from an older position. */
    @Test
    fun `a stream that is read on after an error of its replacement is resumed behind its last token`() {
        val positions = CopyOnWriteArrayList<Int>()
        val calls = AtomicInteger()
        val answer = { position: Int, out: OutputStream ->
            positions += position
            when (calls.incrementAndGet()) {
                1 -> pauseAndBreakOff(out)
                2 -> fail(out)
                else -> finish(out, position)
            }
        }
        val backends = List(3) { ResumingBackend(answer) }
        try {
            val endpoints =
                backends.mapIndexed { i, backend ->
                    EndpointOptions("$DRAFTS-${i + 1}", "fd-1", Backend.Scripted(DRAFTS, backend.address))
                }
            val entries = listOf(EntryOptions("entry-1", "fd-1"))
            withSystem(SystemOptions(endpoints, entries, streamStall = STALL)) { system ->
                val headers = mapOf("X-Deadline-Ms" to "${10.seconds.inWholeMilliseconds}")
                val body = chatBody("resume", 100, true)
                val received = StandardCaller().call(system.entry("entry-1"), "POST", CHAT, headers, body)
                assertEquals(listOf(0, 1, 3), positions)
                assertEquals((1..4).joinToString("") { token(it) } + last, received.body)
                assertTrue(received.isWhole)
            }
        } finally {
            backends.forEach { it.close() }
        }
    }
}

/** Back end on loopback whose [answer] gets the position from which a request resumes a stream; 0 without one. */
private class ResumingBackend(
    private val answer: (Int, OutputStream) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val address: NetworkAddress = NetworkAddress("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        val head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        // The endpoint process asks with an empty connection whether the back end still accepts connections.
        if (head.isEmpty()) return
        val length = valueOf("Content-Length", head)
        repeat(length) { reader.read() }
        answer(valueOf("X-Resume-From", head), socket.getOutputStream())
    }

    private fun valueOf(
        name: String,
        head: List<String>,
    ): Int =
        head
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
            ?.toInt() ?: 0

    override fun close() = server.close()
}
