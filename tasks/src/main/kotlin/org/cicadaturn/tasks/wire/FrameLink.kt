package org.cicadaturn.tasks.wire

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.Frame
import kotlin.math.ceil
import kotlin.time.Duration

/**
 * Capacity of the queues between a socket and the tasks that use it, in frames for each direction.
 *
 * A full outgoing queue suspends the sender; a full incoming queue stops reads from the socket, which applies TCP
 * backpressure to the peer. Each stream has its own credit-based flow control, so a slow caller alone fills neither
 * queue.
 */
private const val QUEUE_FRAMES = 256

/** Connection that carries frames to and from one authenticated peer. */
public interface FrameLink {
    /** Hello frame of the peer. */
    public val peer: Frame.Hello

    /** Frames received from the peer, in order; closed when the link ends. */
    public val incoming: ReceiveChannel<Frame>

    /** Completes with the reason when the link ends. */
    public val ended: Deferred<WireError>

    /**
     * Queues [frame] for sending and suspends while the queue is full.
     *
     * Returns false if the link has ended and the frame was not queued.
     */
    public suspend fun send(frame: Frame): Boolean

    /** Ends the link for [reason]; queued frames may be lost. */
    public fun close(reason: WireError)
}

/**
 * Timeouts and intervals of a connection.
 *
 * @property connectTimeout longest time to connect, and longest time for the handshake
 * @property keepaliveInterval time between pings
 * @property keepaliveTimeout time without a frame from the peer after which a connection counts as lost
 */
public data class WireTimes(
    val connectTimeout: Duration,
    val keepaliveInterval: Duration,
    val keepaliveTimeout: Duration,
)

/** Owns [socket] until the link ends; [run] returns only then. */
internal class SocketLink(
    override val peer: Frame.Hello,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val times: WireTimes,
) : FrameLink {
    private val received = Channel<Frame>(QUEUE_FRAMES)
    private val outgoing = Channel<Frame>(QUEUE_FRAMES)
    private val end = CompletableDeferred<WireError>()

    /** Number of the frame that is awaited from the peer, or null while one waits for the tasks that use the link. */
    private val awaited = MutableStateFlow<Long?>(0)

    override val incoming: ReceiveChannel<Frame> get() = received
    override val ended: Deferred<WireError> get() = end

    override suspend fun send(frame: Frame): Boolean =
        try {
            outgoing.send(frame)
            true
        } catch (_: ClosedSendChannelException) {
            false
        }

    override fun close(reason: WireError) {
        end.complete(reason)
    }

    /** Transfers frames and runs [use] until the link ends; ends the link when [use] returns. */
    suspend fun run(use: suspend (FrameLink) -> Unit) {
        try {
            coroutineScope {
                val reader = launch { close(readFrames()) }
                val writer = launch { close(writeFrames()) }
                val silence = launch { close(awaitSilence()) }
                val pings = launch { sendPings() }
                val user =
                    launch {
                        use(this@SocketLink)
                        close(WireError.ConnectionLost("closed by this process"))
                    }
                end.await()
                silence.cancel()
                pings.cancel()
                outgoing.close()
                withTimeoutOrNull(times.connectTimeout) { writer.join() }
                socket.close()
                reader.cancel()
                writer.cancel()
                received.close()
                user.join()
            }
        } finally {
            release()
        }
    }

    private fun release() {
        close(WireError.ConnectionLost("cancelled"))
        outgoing.close()
        received.close()
        socket.close()
    }

    private suspend fun readFrames(): WireError {
        var number = 0L
        while (true) {
            awaited.value = number++
            val frame = input.readFrame(MAX_FRAME_BYTES).fold({ return it }, { it })
            if (frame is Frame.Ping) continue
            if (frame is Frame.Hello || frame is Frame.Proof) return WireError.UnexpectedFrame("second handshake")
            awaited.value = null
            try {
                received.send(frame)
            } catch (_: ClosedSendChannelException) {
                return WireError.ConnectionLost("closed by this process")
            }
        }
    }

    /**
     * Returns once the peer has sent no frame for the keepalive timeout.
     *
     * The time is counted in intervals that this process has seen pass: while it is stalled, for example because its
     * host is overloaded, frames of a live peer wait in the socket.
     */
    private suspend fun awaitSilence(): WireError {
        val allowed = ceil(times.keepaliveTimeout / times.keepaliveInterval).toInt()
        var silent = 0
        var last: Long? = null
        while (silent < allowed) {
            delay(times.keepaliveInterval)
            val current = awaited.value
            silent = if (current != null && current == last) silent + 1 else 0
            last = current
        }
        return WireError.PeerSilent(times.keepaliveTimeout)
    }

    private suspend fun writeFrames(): WireError =
        try {
            for (first in outgoing) {
                output.writeFrame(first)
                // A single flush for all queued frames reduces the number of system calls under load.
                while (true) output.writeFrame(outgoing.tryReceive().getOrNull() ?: break)
                output.flush()
            }
            WireError.ConnectionLost("closed by this process")
        } catch (e: IOException) {
            WireError.ConnectionLost(detailOf(e))
        }

    private suspend fun sendPings() {
        var n = 0L
        while (true) {
            delay(times.keepaliveInterval)
            if (!send(Frame.Ping(n++))) return
        }
    }
}
