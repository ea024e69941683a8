package org.cicadaturn.tasks.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.channels.getOrElse
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.outcome.AnswerStreamValidator
import org.cicadaturn.decisions.outcome.answerStreamValidator
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.WireError

/** Number of chunks that an endpoint process may send on a stream before it gets further credit. */
internal const val STREAM_CREDIT_CHUNKS: Int = 64

/** Capacity for the chunks that the credit allows and for the accepted frame, the head, the end and a failure. */
private const val STREAM_QUEUE_FRAMES = STREAM_CREDIT_CHUNKS + 4

/** Number of commands that may wait for a session; a full queue suspends the sender. */
private const val COMMAND_QUEUE = 256

/** Stream with the answer to one attempt. */
internal interface AnswerStream {
    /** Frames of the answer in order; the last one is [Frame.End], [Frame.Refused] or [Frame.Failed]. */
    val frames: ReceiveChannel<Frame>

    /** Allows the endpoint process to send [chunks] further chunks. */
    suspend fun credit(chunks: Int)

    /** Cancels the attempt at the endpoint process. */
    suspend fun cancel()
}

/** Opens streams to one endpoint process. */
internal interface EndpointSession {
    /**
     * Opens a stream for [attempt]; [makeOpen] returns the frame to send for the given stream identifier.
     *
     * Returns null if the session ended before the frame was queued for sending.
     */
    suspend fun open(
        attempt: AttemptId,
        makeOpen: (StreamId) -> Frame.Open,
    ): AnswerStream?
}

private sealed interface Command {
    class Open(
        val attempt: AttemptId,
        val makeOpen: (StreamId) -> Frame.Open,
        val reply: CompletableDeferred<AnswerStream?>,
    ) : Command

    class Credit(
        val stream: StreamId,
        val chunks: Int,
    ) : Command

    class Cancel(
        val stream: StreamId,
    ) : Command
}

private class OpenStream(
    val validator: AnswerStreamValidator,
    val frames: Channel<Frame>,
)

/**
 * Owns the streams on [link]; only the coroutine that runs [run] accesses them.
 *
 * The session does not receive while it waits for space in the send queue. This cannot deadlock, because the endpoint
 * process continues to receive while its own send queue is full.
 *
 * Frames that belong to no stream, such as load reports, are passed to [onConnectionFrame].
 */
internal class LinkSession(
    private val link: FrameLink,
    private val onConnectionFrame: suspend (Frame) -> Unit,
    private val onViolation: (String) -> Unit,
) : EndpointSession {
    private val commands = Channel<Command>(COMMAND_QUEUE)
    private val streams = HashMap<StreamId, OpenStream>()
    private var lastStream = 0L

    override suspend fun open(
        attempt: AttemptId,
        makeOpen: (StreamId) -> Frame.Open,
    ): AnswerStream? {
        val reply = CompletableDeferred<AnswerStream?>()
        if (!commands.sendUnlessClosed(Command.Open(attempt, makeOpen, reply))) return null
        try {
            return reply.await()
        } catch (e: CancellationException) {
            // The stream may already be open, and only this call can cancel it.
            withContext(NonCancellable) { reply.await()?.cancel() }
            throw e
        }
    }

    /** Serves the link until it ends; every stream that is open then fails with an unknown outcome. */
    suspend fun run() {
        try {
            while (true) {
                val isOpen =
                    select<Boolean> {
                        link.incoming.onReceiveCatching { result ->
                            val frame = result.getOrNull()
                            if (frame != null) receive(frame)
                            frame != null
                        }
                        commands.onReceive { command ->
                            handle(command)
                            true
                        }
                    }
                if (!isOpen) break
            }
        } finally {
            finish()
        }
    }

    private suspend fun handle(command: Command) {
        when (command) {
            is Command.Open -> openStream(command)
            is Command.Credit -> if (command.stream in streams) link.send(Frame.Credit(command.stream, command.chunks))
            is Command.Cancel -> if (streams.remove(command.stream) != null) link.send(Frame.Cancel(command.stream))
        }
    }

    private suspend fun openStream(command: Command.Open) {
        val id = StreamId(++lastStream)
        val stream = OpenStream(answerStreamValidator(command.attempt), Channel(STREAM_QUEUE_FRAMES))
        streams[id] = stream
        if (!link.send(command.makeOpen(id))) {
            streams.remove(id)
            command.reply.complete(null)
            return
        }
        command.reply.complete(SessionStream(id, stream.frames, commands))
    }

    private suspend fun receive(frame: Frame) {
        val id = streamOf(frame)
        if (id == null) {
            onConnectionFrame(frame)
            return
        }
        // Frames of a cancelled stream may still arrive.
        val stream = streams[id] ?: return
        val checked = stream.validator.accept(frame).fold({ endInvalid(id, stream, it.detail) }, { it }) ?: return
        if (!stream.frames.trySend(checked).isSuccess) {
            endInvalid(id, stream, "more chunks than the credit allows")
            return
        }
        if (isLast(checked)) streams.remove(id)
    }

    private suspend fun endInvalid(
        id: StreamId,
        stream: OpenStream,
        detail: String,
    ): Frame? {
        onViolation(detail)
        streams.remove(id)
        fail(id, stream, detail)
        link.send(Frame.Cancel(id))
        return null
    }

    private fun fail(
        id: StreamId,
        stream: OpenStream,
        detail: String,
    ) {
        // The queue has space for this frame unless the peer exceeded its credit. The reader treats a queue that is
        // closed without a last frame as the same failure.
        stream.frames.trySend(Frame.Failed(id, Outcome.UNKNOWN, detail))
        stream.frames.close()
    }

    private fun finish() {
        link.close(WireError.ConnectionLost("session ended"))
        commands.close()
        while (true) {
            val command = commands.tryReceive().getOrElse { null } ?: break
            if (command is Command.Open) command.reply.complete(null)
        }
        streams.forEach { (id, stream) -> fail(id, stream, "connection to the endpoint process lost") }
        streams.clear()
    }
}

private class SessionStream(
    private val id: StreamId,
    override val frames: ReceiveChannel<Frame>,
    private val commands: SendChannel<Command>,
) : AnswerStream {
    override suspend fun credit(chunks: Int) {
        commands.sendUnlessClosed(Command.Credit(id, chunks))
    }

    override suspend fun cancel() {
        commands.sendUnlessClosed(Command.Cancel(id))
    }
}

/** Sends [message]; returns false if the channel is closed. */
private suspend fun <T> SendChannel<T>.sendUnlessClosed(message: T): Boolean {
    val result = trySend(message)
    if (result.isSuccess) return true
    if (result.isClosed) return false
    return try {
        send(message)
        true
    } catch (_: ClosedSendChannelException) {
        false
    }
}

private fun streamOf(frame: Frame): StreamId? =
    when (frame) {
        is Frame.Accepted -> frame.stream
        is Frame.Head -> frame.stream
        is Frame.Chunk -> frame.stream
        is Frame.End -> frame.stream
        is Frame.Refused -> frame.stream
        is Frame.Failed -> frame.stream
        else -> null
    }

private fun isLast(frame: Frame): Boolean = frame is Frame.End || frame is Frame.Refused || frame is Frame.Failed
