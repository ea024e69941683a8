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
 * Event loop thread on which all sockets and tasks of a process run.
 *
 * Sockets, timers and coroutines share one thread, so that no event needs a thread switch.
 */
public interface HttpRuntime : AutoCloseable {
    /** Dispatcher that runs coroutines on the event loop thread. */
    public val dispatcher: CoroutineDispatcher
}

/** Starts an event loop thread. */
public fun httpRuntime(): HttpRuntime = NioRuntime()

internal class NioRuntime : HttpRuntime {
    val group = NioEventLoopGroup(1, DefaultThreadFactory("cicadaturn-loop", true))
    override val dispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully()
    }
}

internal fun HttpRuntime.group(): NioEventLoopGroup = (this as NioRuntime).group

/** Waits for the operation and returns its result; throws the cause if it failed. */
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
 * Socket options for TCP keep-alive probes after one idle second. Only probes detect on an idle connection that the
 * peer has lost power, was cut off or has lost the connection.
 */
internal val keepAliveOptions: Map<ChannelOption<*>, Any> =
    mapOf(
        ChannelOption.SO_KEEPALIVE to true,
        option(ExtendedSocketOptions.TCP_KEEPIDLE) to KEEPALIVE_SECONDS,
        option(ExtendedSocketOptions.TCP_KEEPINTERVAL) to KEEPALIVE_SECONDS,
        option(ExtendedSocketOptions.TCP_KEEPCOUNT) to KEEPALIVE_PROBES,
    )

private fun option(option: SocketOption<Int>): ChannelOption<Int> = NioChannelOption.of(option)

private const val KEEPALIVE_SECONDS = 1
private const val KEEPALIVE_PROBES = 2

/** Allocator that reads at most one buffer from a socket for each requested read. */
internal val oneBufferPerRead: RecvByteBufAllocator = FixedRecvByteBufAllocator(READ_BUFFER_BYTES).maxMessagesPerRead(1)

private const val READ_BUFFER_BYTES = 16_384
