package org.cicadaturn.tasks.gateway

import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Request as received: the head as text with its line ends, and the body. */
internal class RawRequest(
    val head: String,
    val body: String,
) {
    val id: String? get() = header("X-Id")

    fun header(name: String): String? = headerIn(head, name)
}

/** Thrown by a script to end its connection with a reset. */
internal class ResetConnection : RuntimeException()

/** Thrown by a script to close its output and go on reading until the other side closes the connection too. */
internal class CloseOutput : RuntimeException()

/** Endpoint that listens on [port] of the loopback address. */
internal interface TestEndpoint {
    val port: Int

    /** Service that it belongs to. */
    val service: String get() = "s"
}

/** Endpoint on loopback that answers each request with [script], which returns false to close the connection. */
internal class ScriptedEndpoint(
    private val script: (RawRequest, OutputStream) -> Boolean,
) : TestEndpoint,
    AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    val requests = CopyOnWriteArrayList<RawRequest>()

    /** Number of connections beyond which it resets each further one. */
    @Volatile
    var maxConnections = Int.MAX_VALUE
    override val port: Int get() = server.localPort

    /** Number of connections that were made to it. */
    val connections: Int get() = sockets.size

    private val acceptor =
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                // Each write of a script is to arrive by itself.
                socket.tcpNoDelay = true
                sockets += socket
                if (sockets.size > maxConnections) {
                    socket.setSoLinger(true, 0)
                    socket.close()
                    continue
                }
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }

    private fun serve(socket: Socket) {
        socket.use {
            while (true) {
                val request = readRequest(it.getInputStream()) ?: return
                requests += request
                val out = it.getOutputStream()
                val keepsConnection =
                    try {
                        script(request, out)
                    } catch (e: ResetConnection) {
                        it.setSoLinger(true, 0)
                        false
                    } catch (e: CloseOutput) {
                        it.shutdownOutput()
                        true
                    }
                if (!it.isOutputShutdown) out.flush()
                if (!keepsConnection) return
            }
        }
    }

    override fun close() {
        server.close()
        // A thread that waits for a connection keeps the listening socket open until it wakes up. A process that crashes
        // has none, so its connections must not end before that.
        acceptor.join(MAX_CLOSING_MILLIS)
        sockets.forEach { it.close() }
    }

    private companion object {
        /** Longest wait for the thread that accepts connections, which wakes up at once unless processor time is short. */
        const val MAX_CLOSING_MILLIS = 1_000L
    }
}

/** Returns the next request from [input], or null at its end. */
internal fun readRequest(input: InputStream): RawRequest? {
    val head = readHead(input) ?: return null
    val length = lengthIn(head)
    return RawRequest(head, input.readNBytes(length).decodeToString())
}

/** Returns the bytes up to the blank line, or null if the input ends before. */
internal fun readHead(input: InputStream): String? {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val next = input.read()
        if (next < 0) return null
        head.append(next.toChar())
    }
    return head.toString()
}

internal fun lengthIn(head: String): Int = headerIn(head, "Content-Length")?.toInt() ?: 0

/** Returns the value of the first header [name] in [head], or null. */
internal fun headerIn(
    head: String,
    name: String,
): String? =
    head
        .lines()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(':')
        ?.trim()
