package org.cicadaturn.tasks.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import org.cicadaturn.tasks.EventLoopEndedError
import org.cicadaturn.tasks.FatalErrorHandler
import org.cicadaturn.tasks.fatalErrorIn
import java.net.SocketOption
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Event loop thread on which all sockets and tasks of a process run.
 *
 * Sockets, timers and coroutines share one thread, so that no event needs a thread switch.
 */
public interface HttpRuntime : AutoCloseable {
    /** Dispatcher that runs coroutines on the event loop thread. */
    public val dispatcher: CoroutineDispatcher

    /** Handler of errors after which the event loop or its coroutines cannot be relied on. */
    public val onFatalError: FatalErrorHandler

    /**
     * Returns the longest part of the last [age] in which the event loop may not have handled an event, if it has ended
     * within the last second; to be called on the loop.
     */
    public fun stallWithin(age: Duration): Duration
}

/**
 * Starts an event loop thread.
 *
 * @param onFatalError called, possibly with a full heap, if the thread ends before the runtime is closed or if an error
 * that [fatalErrorIn] names reaches a handler of sockets or coroutines
 */
public fun httpRuntime(onFatalError: FatalErrorHandler): HttpRuntime = NioRuntime(onFatalError)

internal class NioRuntime(
    override val onFatalError: FatalErrorHandler,
) : HttpRuntime {
    // Created in advance, as the heap may be full when it is needed.
    private val loopEnded = EventLoopEndedError()

    @Volatile
    private var isClosed = false
    val group = NioEventLoopGroup(1, DefaultThreadFactory("cicadaturn-loop", true).watched())
    override val dispatcher = group.next().asCoroutineDispatcher()
    private val stalls = loopStalls(TimeSource.Monotonic)

    init {
        val interval = STALL_CHECK_INTERVAL.inWholeMilliseconds
        group.next().scheduleWithFixedDelay(stalls::tick, interval, interval, TimeUnit.MILLISECONDS)
    }

    override fun stallWithin(age: Duration): Duration = stalls.within(age)

    override fun close() {
        isClosed = true
        group.shutdownGracefully()
    }

    /** Reports the end of a thread from the thread itself, as a notification in another thread may need memory. */
    private fun ThreadFactory.watched(): ThreadFactory =
        ThreadFactory { loop ->
            newThread {
                var cause: Throwable? = null
                try {
                    loop.run()
                } catch (e: Throwable) {
                    cause = e
                }
                if (!isClosed) onFatalError(cause?.let(::fatalErrorIn) ?: loopEnded)
            }
        }
}

/** Handler of the pipeline of a listener that reports fatal errors of accepting connections. */
internal class FatalErrorReporter(
    private val onFatalError: FatalErrorHandler,
) : ChannelInboundHandlerAdapter() {
    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fatalErrorIn(cause)?.let(onFatalError)
        context.fireExceptionCaught(cause)
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

/** A fifth of the stall from which the ends of answers are verified otherwise; ten wake-ups a second cost little time. */
private val STALL_CHECK_INTERVAL = 100.milliseconds

private const val KEEPALIVE_SECONDS = 1
private const val KEEPALIVE_PROBES = 2

/** Allocator that reads at most one buffer from a socket for each requested read. */
internal val oneBufferPerRead: RecvByteBufAllocator = FixedRecvByteBufAllocator(READ_BUFFER_BYTES).maxMessagesPerRead(1)

private const val READ_BUFFER_BYTES = 16_384
