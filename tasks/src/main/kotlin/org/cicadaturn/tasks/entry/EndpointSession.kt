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

/** Chunks that an endpoint process may send on a stream before the caller has taken any. */
internal const val STREAM_CREDIT_CHUNKS: Int = 64

/** Room for a stream's head, end and failure beside the chunks that its credit allows. */
private const val STREAM_QUEUE_FRAMES = STREAM_CREDIT_CHUNKS + 4

/** Commands that wait for a session; a full queue suspends the request that sends one. */
private const val COMMAND_QUEUE = 256

/** Carries the answer to one attempt; ends with an end, refused or failed frame. */
internal interface AnswerStream {
    /** Frames in order; the last is an end, a refusal or a failure. */
    val frames: ReceiveChannel<Frame>

    /** Allows [chunks] further chunks. */
    suspend fun credit(chunks: Int)

    /** Tells the endpoint process that nobody waits any more. */
    suspend fun cancel()
}

/** Opens streams to one endpoint process. */
internal interface EndpointSession {
    /**
     * Opens a stream for [attempt]; [makeOpen] gets the stream identifier and returns the frame to send.
     *
     * Returns null if the session has ended and the frame was not handed to the socket.
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
    val assembly: AnswerStreamValidator,
    val frames: Channel<Frame>,
)

/**
 * Owns the streams on [link]; its [run] is the only coroutine that touches them.
 *
 * It may wait for room to send while it does not receive. This cannot lock up, because the endpoint process
 * never waits for room to send while it has frames to receive.
 *
 * Frames that belong to no stream, such as load reports, go to [onOther].
 */
internal class LinkSession(
    private val link: FrameLink,
    private val onOther: suspend (Frame) -> Unit,
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
        if (!commands.trySendOrSuspend(Command.Open(attempt, makeOpen, reply))) return null
        try {
            return reply.await()
        } catch (e: CancellationException) {
            // The stream may be open already; nobody else knows of it.
            withContext(NonCancellable) { reply.await()?.cancel() }
            throw e
        }
    }

    /** Works until the link ends; then every open stream fails with an unknown outcome. */
    suspend fun run() {
        try {
            while (true) {
                val open =
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
                if (!open) break
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
            onOther(frame)
            return
        }
        // A frame of a stream that was cancelled may still be on its way.
        val stream = streams[id] ?: return
        val checked = stream.assembly.accept(frame).fold({ violated(id, stream, it.detail) }, { it }) ?: return
        if (!stream.frames.trySend(checked).isSuccess) {
            violated(id, stream, "more chunks than the credit allows")
            return
        }
        if (isLast(checked)) streams.remove(id)
    }

    private suspend fun violated(
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
        // The queue has room for one more frame than the credit lets the peer fill, but a peer that breaks
        // the credit may have filled it; a closed queue without a last frame reads as the same failure.
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
        commands.trySendOrSuspend(Command.Credit(id, chunks))
    }

    override suspend fun cancel() {
        commands.trySendOrSuspend(Command.Cancel(id))
    }
}

/** Sends [message]; returns false if the channel is closed. */
private suspend fun <T> SendChannel<T>.trySendOrSuspend(message: T): Boolean {
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
