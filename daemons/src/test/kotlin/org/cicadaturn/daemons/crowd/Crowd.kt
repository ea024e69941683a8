package org.cicadaturn.daemons.crowd

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * What the connections of a crowd send. A connection that the other side closes is opened again.
 *
 * @property size number of connections
 * @property opening bytes that a connection sends first
 * @property repeated bytes that it sends after them without end; if empty, it sends nothing more
 * @property drip pause after each byte; with zero, a connection sends as fast as the other side reads
 * @property isReset true if a connection is reset as soon as it has sent [opening]
 */
internal class CrowdScript(
    val name: String,
    val size: Int,
    val opening: ByteArray,
    val repeated: ByteArray = ByteArray(0),
    val drip: Duration = Duration.ZERO,
    val isReset: Boolean = false,
) {
    override fun toString(): String = name
}

/** Callers on loopback that send what [script] says to [port] and do not read answers while they have bytes to send. */
internal class Crowd(
    private val port: Int,
    private val script: CrowdScript,
) : AutoCloseable {
    private val selector = Selector.open()
    private val thread = Thread(::run, "crowd").apply { isDaemon = true }

    @Volatile
    private var isOver = false

    /** Number of connections that were opened again. */
    @Volatile
    var reopened = 0
        private set

    fun start(): Crowd {
        thread.start()
        return this
    }

    /** Closes all connections. */
    override fun close() {
        isOver = true
        thread.join()
    }

    private class Sender(
        var remaining: ByteBuffer,
    )

    private fun run() {
        repeat(script.size) { open() }
        var dripped = TimeSource.Monotonic.markNow()
        while (!isOver) {
            selector.select(SELECT_MILLIS)
            val isDripDue = script.drip > Duration.ZERO && dripped.elapsedNow() >= script.drip
            if (isDripDue) dripped = TimeSource.Monotonic.markNow()
            val ready = selector.selectedKeys().toList()
            selector.selectedKeys().clear()
            (if (isDripDue) selector.keys().toList() else ready).forEach(::serve)
        }
        selector.keys().toList().forEach { it.channel().close() }
        selector.close()
    }

    private fun open() {
        val channel = SocketChannel.open().apply { configureBlocking(false) }
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        val key = channel.register(selector, SelectionKey.OP_CONNECT, Sender(ByteBuffer.wrap(script.opening)))
        runCatching { channel.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port)) }
            .onFailure { key.cancel() }
    }

    private fun serve(key: SelectionKey) {
        val channel = key.channel() as SocketChannel
        try {
            if (!channel.isConnected && !channel.finishConnect()) return
            if (!send(channel, key.attachment() as Sender)) key.interestOps(SelectionKey.OP_READ)
            if (key.interestOps() == SelectionKey.OP_CONNECT) key.interestOps(interest())
            val isEnded = key.isReadable && channel.read(ByteBuffer.allocate(RECEIVE_BUFFER_BYTES)) < 0
            if (isEnded || script.isReset) reopen(channel)
        } catch (_: IOException) {
            reopen(channel)
        }
    }

    private fun interest(): Int = if (script.drip > Duration.ZERO) SelectionKey.OP_READ else SelectionKey.OP_WRITE

    /** Sends what is due; returns false if nothing more is to be sent. */
    private fun send(
        channel: SocketChannel,
        sender: Sender,
    ): Boolean {
        if (!sender.remaining.hasRemaining()) {
            if (script.repeated.isEmpty()) return false
            sender.remaining = ByteBuffer.wrap(script.repeated)
        }
        if (script.drip == Duration.ZERO) {
            channel.write(sender.remaining)
        } else {
            channel.write(ByteBuffer.wrap(byteArrayOf(sender.remaining.get())))
        }
        return true
    }

    private fun reopen(channel: SocketChannel) {
        if (script.isReset) channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        channel.close()
        reopened += 1
        open()
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096
        val SELECT_MILLIS = 10.milliseconds.inWholeMilliseconds
    }
}
