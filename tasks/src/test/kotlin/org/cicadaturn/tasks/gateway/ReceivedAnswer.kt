package org.cicadaturn.tasks.gateway

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket

/**
 * Answer as a caller received it.
 *
 * @property status status of the answer; 0 if its head was cut
 * @property isComplete false if the connection was reset or ended before the end that the head announces
 * @property surplus bytes that followed the answer
 */
internal class ReceivedAnswer(
    val status: Int,
    val head: String,
    val body: ByteArray,
    val isComplete: Boolean,
    val surplus: ByteArray = ByteArray(0),
) {
    val isSuccess: Boolean get() = status in 200..299

    fun header(name: String): String? = headerIn(head, name)

    override fun toString(): String =
        "${head.trim()}\n[${if (isComplete) "complete" else "cut"}] ${body.toString(Charsets.ISO_8859_1)}"
}

/** Sends [request], which asks to close the connection, on a new connection and reads to its end. */
internal fun exchangeToEnd(
    port: Int,
    request: String,
): ReceivedAnswer =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 10_000
        socket.getOutputStream().write(request.encodeToByteArray())
        AnswerReader(socket.getInputStream().buffered()).read()
    }

private class AnswerReader(
    private val input: InputStream,
) {
    private val body = ByteArrayOutputStream()

    fun read(): ReceivedAnswer {
        val head = orNull { readHead(input) } ?: return ReceivedAnswer(0, "", ByteArray(0), false)
        val isComplete = orNull { readBody(head) } ?: false
        val surplus = if (isComplete) orNull { input.readAllBytes() } else null
        return ReceivedAnswer(statusIn(head), head, body.toByteArray(), isComplete, surplus ?: ByteArray(0))
    }

    /** Returns true if the body has ended as announced. */
    private fun readBody(head: String): Boolean {
        if (statusIn(head) == 204) return true
        if (headerIn(head, "Transfer-Encoding")?.endsWith("chunked") == true) return readChunks()
        val length = headerIn(head, "Content-Length")?.toInt()
        while (length == null || body.size() < length) {
            val next = input.read()
            if (next < 0) return length == null
            body.write(next)
        }
        return true
    }

    private fun readChunks(): Boolean {
        while (true) {
            val size = readLine(input)?.substringBefore(';')?.trim()?.toIntOrNull(16) ?: return false
            if (size == 0) break
            repeat(size) {
                val next = input.read()
                if (next < 0) return false
                body.write(next)
            }
            if (readLine(input) != "") return false
        }
        while (true) {
            val trailer = readLine(input) ?: return false
            if (trailer.isEmpty()) return true
        }
    }

    /** Returns null if the connection was reset within [read]. */
    private fun <T> orNull(read: () -> T?): T? =
        try {
            read()
        } catch (e: IOException) {
            null
        }
}

private fun statusIn(head: String): Int = head.substringAfter(' ').take(3).toInt()
