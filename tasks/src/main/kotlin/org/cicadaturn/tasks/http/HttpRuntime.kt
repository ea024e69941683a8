package org.cicadaturn.tasks.http

import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.Future
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.SocketOption
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * The thread on which all sockets and tasks of a process run.
 *
 * One thread serves sockets, timers and coroutines, so that no event needs a switch between threads.
 */
public interface HttpRuntime : AutoCloseable {
    /** Runs coroutines on the thread. */
    public val dispatcher: CoroutineDispatcher
}

/** Starts the thread. */
public fun httpRuntime(): HttpRuntime = NioRuntime()

internal class NioRuntime : HttpRuntime {
    val group = NioEventLoopGroup(1, DefaultThreadFactory("cicadaturn-loop", true))
    override val dispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully()
    }
}

internal fun HttpRuntime.group(): NioEventLoopGroup = (this as NioRuntime).group

/** Waits until the operation is done; a failed one throws its cause. */
internal suspend fun <T> Future<T>.awaitDone(): T =
    suspendCancellableCoroutine { continuation ->
        addListener { done: Future<in T> ->
            if (done.isSuccess) {
                @Suppress("UNCHECKED_CAST")
                continuation.resume(done.now as T)
            } else {
                continuation.resumeWithException(done.cause())
            }
        }
    }

/**
 * Keep-alive probes after a second of silence: a peer without power, behind a cut or with a lost connection
 * answers nothing, and only probes find that out on an idle connection.
 */
internal val keepAlive: Map<ChannelOption<*>, Any> =
    mapOf(
        ChannelOption.SO_KEEPALIVE to true,
        option(ExtendedSocketOptions.TCP_KEEPIDLE) to KEEPALIVE_SECONDS,
        option(ExtendedSocketOptions.TCP_KEEPINTERVAL) to KEEPALIVE_SECONDS,
        option(ExtendedSocketOptions.TCP_KEEPCOUNT) to KEEPALIVE_PROBES,
    )

private fun option(option: SocketOption<Int>): ChannelOption<Int> = NioChannelOption.of(option)

private const val KEEPALIVE_SECONDS = 1
private const val KEEPALIVE_PROBES = 2

/** Bounds what one demand for data reads from a socket. */
internal val oneBufferPerRead: RecvByteBufAllocator = FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1)

private const val READ_BYTES = 16_384
