package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.NetworkAddress
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.time.Duration

private const val HEAD_END = "\r\n\r\n"

/**
 * Back end on loopback that sends scripted bytes and closes the connection after each answer; it resets the connection
 * behind an answer whose name is in [resets], and pauses within one that [pauses] names.
 *
 * A request gets the answer whose name its body or path contains, between two `#`.
 */
internal class ScriptedBackend(
    private val answers: Map<String, ByteArray>,
    private val resets: Set<String> = emptySet(),
    private val pauses: Map<String, Pause> = emptyMap(),
) : AutoCloseable {
    private val server = ServerSocket(0, 200, InetAddress.getLoopbackAddress())
    private val counts = ConcurrentHashMap<String, Int>()
    val address: NetworkAddress = NetworkAddress("127.0.0.1", server.localPort)

    /** Number of requests for each answer. */
    val requests: Map<String, Int> get() = counts

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val request = readRequest(socket.getInputStream()).replace("%23", "#").replace("%20", " ")
        // The endpoint process asks with an empty connection whether the back end still accepts connections.
        if (request.isEmpty()) return
        val name = request.substringAfter('#').substringBefore('#')
        counts.merge(name, 1, Int::plus)
        val answer = answers.getValue(name)
        val pause = pauses[name] ?: Pause(0, Duration.ZERO)
        socket.getOutputStream().write(answer.copyOf(pause.after))
        socket.getOutputStream().flush()
        Thread.sleep(pause.time.inWholeMilliseconds)
        socket.getOutputStream().write(answer.copyOfRange(pause.after, answer.size))
        socket.getOutputStream().flush()
        if (name in resets) socket.setSoLinger(true, 0) else socket.shutdownOutput()
    }

    private fun readRequest(input: InputStream): String {
        val request = StringBuilder()
        while (!request.endsWith(HEAD_END)) {
            val byte = input.read()
            if (byte < 0) return request.toString()
            request.append(byte.toChar())
        }
        val length =
            Regex("(?i)content-length: *(\\d+)")
                .find(request)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        return request.append(input.readNBytes(length).decodeToString()).toString()
    }

    override fun close() = server.close()
}

/** Pause of [time] behind the first [after] bytes of an answer. */
internal class Pause(
    val after: Int,
    val time: Duration,
)

/** How the end of a scripted body is marked. */
internal enum class Framing { CHUNKED, LENGTH, UNTIL_CLOSE, CUT_CHUNKED, CUT_LENGTH }

/** Returns the bytes of an answer with [body]; its [headers] are lines without their ends. */
internal fun scriptedAnswer(
    body: ByteArray,
    framing: Framing,
    headers: List<String> = emptyList(),
    status: String = "200 OK",
    version: String = "HTTP/1.1",
): ByteArray {
    val framingHeader =
        when (framing) {
            Framing.CHUNKED, Framing.CUT_CHUNKED -> listOf("Transfer-Encoding: chunked")
            Framing.LENGTH -> listOf("Content-Length: ${body.size}")
            Framing.CUT_LENGTH -> listOf("Content-Length: ${body.size + 1}")
            Framing.UNTIL_CLOSE -> emptyList()
        }
    val head = (listOf("$version $status") + headers + framingHeader).joinToString("\r\n", postfix = HEAD_END)
    val isChunked = framing == Framing.CHUNKED || framing == Framing.CUT_CHUNKED
    val chunk =
        if (isChunked &&
            body.isNotEmpty()
        ) {
            "${body.size.toString(16)}\r\n".encodeToByteArray()
        } else {
            ByteArray(0)
        }
    val chunkEnd = if (chunk.isEmpty()) "" else "\r\n"
    val end = if (framing == Framing.CHUNKED) "0\r\n\r\n" else ""
    return head.encodeToByteArray() + chunk + body + (chunkEnd + end).encodeToByteArray()
}
