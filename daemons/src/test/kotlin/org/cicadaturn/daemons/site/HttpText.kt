package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** Head of an HTTP message; the names in [headers] are in lower case. */
internal data class TextHead(
    val start: String,
    val headers: Map<String, String>,
) {
    operator fun get(name: String): String? = headers[name.lowercase()]

    /** True if the end of the answer is not that of the connection. */
    val keepsConnection: Boolean
        get() =
            !this["Connection"].equals("close", ignoreCase = true) &&
                ("content-length" in headers || "transfer-encoding" in headers)
}

/** Request with its whole body. */
internal data class TextRequest(
    val head: TextHead,
    val body: String,
) {
    val method: String get() = head.start.substringBefore(' ')
    private val target: String get() = head.start.substringAfter(' ').substringBefore(' ')
    val path: String get() = target.substringBefore('?')
    val query: Map<String, String>
        get() =
            target.substringAfter('?', "").split('&').filter { '=' in it }.associate {
                it.substringBefore('=') to it.substringAfter('=')
            }
}

/** Returns the next request, or null at the end of the input before it. */
internal fun InputStream.readRequest(): TextRequest? {
    val head = readHead() ?: return null
    return TextRequest(head, readWhole(head["Content-Length"]?.toInt() ?: 0).decodeToString())
}

/** Returns the next head, or null at the end of the input before it. */
internal fun InputStream.readHead(): TextHead? {
    val start = readTextLine() ?: return null
    val lines = generateSequence { readTextLine() ?: throw EOFException() }.takeWhile { it.isNotEmpty() }.toList()
    return TextHead(start, lines.associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() })
}

/** Returns the next line without its end, or null at the end of the input before it. */
internal fun InputStream.readTextLine(): String? {
    val line = StringBuilder()
    while (true) {
        val next = read()
        if (next < 0 && line.isEmpty()) return null
        if (next < 0) throw EOFException()
        if (next == '\n'.code) return line.removeSuffix("\r").toString()
        line.append(next.toChar())
    }
}

/** Returns the next [count] bytes. */
internal fun InputStream.readWhole(count: Int): ByteArray =
    readNBytes(count).also { if (it.size < count) throw EOFException() }

/** Returns the bytes of a message with [start], [headers] and [body]. */
internal fun messageOf(
    start: String,
    headers: Map<String, String>,
    body: String = "",
): ByteArray {
    val length = mapOf("Content-Length" to "${body.encodeToByteArray().size}")
    return headOf(start, headers + length) + body.encodeToByteArray()
}

/** Returns the bytes of an answer with [status], [headers] and [body] in the form [shape]. */
internal fun messageOf(
    status: String,
    headers: Map<String, String>,
    body: String,
    shape: AnswerShape,
): ByteArray {
    val length = if (shape.isFramed) mapOf("Content-Length" to "${body.encodeToByteArray().size}") else emptyMap()
    return headOf("${shape.version} $status", headers + shape.headers() + length) + body.encodeToByteArray()
}

/** Returns the bytes of a head with [start] and [headers]. */
internal fun headOf(
    start: String,
    headers: Map<String, String>,
): ByteArray =
    (start + "\r\n" + headers.entries.joinToString("") { "${it.key}: ${it.value}\r\n" } + "\r\n").encodeToByteArray()

/** Closes this socket so that its peer sees a reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}

/** Listener on loopback that runs [serve] for each connection until it returns or fails, and then closes it. */
internal class LoopbackServer(
    private val scope: CoroutineScope,
    private val serve: suspend (Socket) -> Unit,
) {
    private val server = ServerSocket(0, 200, InetAddress.getLoopbackAddress())
    private val connections = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext.job))
    val address: String get() = "127.0.0.1:${server.localPort}"

    fun start(): Job =
        scope.launch {
            closeOnCancel(server) {
                while (true) {
                    val socket = server.accept().apply { tcpNoDelay = true }
                    connections.launch { runCatchingIo { closeOnCancel(socket) { serve(socket) } } }
                }
            }
        }

    /** Closes all connections. */
    fun cutAll() = connections.coroutineContext.cancelChildren()
}

/** Runs [block], which may wait for bytes of [resource], and closes that at the end and when the caller is cancelled. */
internal suspend fun closeOnCancel(
    resource: AutoCloseable,
    block: suspend () -> Unit,
) = coroutineScope {
    val closer =
        launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                awaitCancellation()
            } finally {
                resource.close()
            }
        }
    try {
        block()
    } catch (e: IOException) {
        // A read that fails because this scope was cancelled is no failure of the connection.
        coroutineContext.job.ensureActiveOr(e)
    } finally {
        closer.cancel()
    }
}

private fun Job.ensureActiveOr(failure: IOException) {
    if (isActive) throw failure
}

private inline fun runCatchingIo(block: () -> Unit) {
    try {
        block()
    } catch (_: IOException) {
        // The peer has closed or reset the connection.
    }
}
