package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.answer.BodyHandling
import org.cicadaturn.decisions.answer.RequestedAnswer
import org.cicadaturn.decisions.answer.verifyHead
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.proofOfRefusal
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.REPEAT_WITH_SAME_KEY
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.outcome.refusalOf
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.StreamId
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** Maximum length of an answer that is buffered before its head is sent to the caller; a longer one is streamed. */
private const val MAX_BUFFERED_BYTES = 1 shl 20

/** Answer of a back end, ready to be sent to the caller. */
internal sealed interface Answer {
    val status: Int
    val headers: List<Header>

    /** Answer with the complete [body]. */
    class Buffered(
        override val status: Int,
        override val headers: List<Header>,
        val body: ByteArray,
    ) : Answer

    /**
     * Answer that is forwarded while it arrives.
     *
     * [relay] calls its argument with each part of the body. It returns null after the last part, or the reason why the
     * answer is incomplete. If [isChat] is true, each part consists of whole events, so that an error event can follow.
     */
    class Streamed(
        override val status: Int,
        override val headers: List<Header>,
        val isChat: Boolean,
        val relay: suspend (suspend (ByteArray) -> Unit) -> Refusal?,
    ) : Answer {
        /** Returns this answer with another [relay]. */
        fun relayedBy(relay: suspend (suspend (ByteArray) -> Unit) -> Refusal?): Streamed =
            Streamed(status, headers, isChat, relay)
    }
}

/**
 * Reads an answer from the frames of one stream and verifies that it is what was [expected].
 *
 * Events of a chat completion are read by [chatEvents]. Passing them on fails if no frame arrives for [stallLimit], so
 * that another endpoint can be asked for the rest; after that it can be called again to read on.
 */
internal class AnswerReader(
    private val stream: AnswerStream,
    private val expected: RequestedAnswer,
    private val chatEvents: ChatEvents,
    private val stallLimit: Duration,
    private val timeLeft: () -> Duration,
) {
    private var chunksSinceCredit = 0

    /** True once the whole answer has been received. */
    var isComplete = false
        private set

    /** True once the last frame has been received, after which there is nothing to cancel. */
    var isEnded = false
        private set

    /** True if the last failure to pass on events was a pause of the endpoint, after which the answer may go on. */
    var isStalled = false
        private set

    private var unsent: ChatBatch? = null

    /** What a refusal or failure of the endpoint proves about the claim on the idempotency key. */
    var proof = ClaimProof.NOT_READ
        private set

    /** Waits for the answer and returns it, or the reason why there is none. */
    suspend fun awaitAnswer(): Either<Refusal, Answer> {
        while (true) {
            when (val frame = next()) {
                is Frame.Accepted -> continue
                is Frame.Head -> return readBody(frame)
                else -> return failureOf(frame).left()
            }
        }
    }

    private suspend fun readBody(head: Frame.Head): Either<Refusal, Answer> =
        expected.verifyHead(head.status, head.headers).fold(
            { unexpected(it).left() },
            {
                when (it) {
                    BodyHandling.CHAT_EVENTS -> awaitFirstEvents(head)
                    BodyHandling.STREAMED -> streamed(head, ByteArray(0)).right()
                    BodyHandling.BUFFERED -> readWhole(head) { true }
                    BodyHandling.CHAT_OBJECT -> readWhole(head, ::isChatCompletion)
                }
            },
        )

    private fun streamed(
        head: Frame.Head,
        first: ByteArray,
    ): Answer = Answer.Streamed(head.status, head.headers, isChat = false) { relay(first, it) }

    private suspend fun readWhole(
        head: Frame.Head,
        isValid: (ByteArray) -> Boolean,
    ): Either<Refusal, Answer> {
        val body = ByteArrayOutputStream()
        while (true) {
            val frame = next()
            if (frame is Frame.End) {
                if (!isValid(body.toByteArray())) return unexpected("a body that is no chat completion").left()
                isComplete = true
                return Answer.Buffered(head.status, head.headers, body.toByteArray()).right()
            }
            if (frame !is Frame.Chunk) return failureOf(frame).left()
            body.write(frame.data)
            credit()
            if (body.size() >= MAX_BUFFERED_BYTES) return streamed(head, body.toByteArray()).right()
        }
    }

    /** Waits for the first valid events, so that an answer without any can still be replaced by that of another endpoint. */
    private suspend fun awaitFirstEvents(head: Frame.Head): Either<Refusal, Answer> {
        chatEvents.beginAnswer()
        while (true) {
            val batch = nextEvents().fold({ return it.left() }, { it })
            if (batch.sound.isNotEmpty()) {
                unsent = batch
                return Answer.Streamed(head.status, head.headers, isChat = true) { relayEvents(it) }.right()
            }
            if (batch.defect != null) return unexpected(batch.defect).left()
        }
    }

    private suspend fun nextEvents(limit: Duration = Duration.INFINITE): Either<Refusal, ChatBatch> {
        val frame = next(limit)
        if (frame is Frame.End) return unexpected("the stream ended without its end mark").left()
        if (frame !is Frame.Chunk) return failureOf(frame).left()
        val batch = chatEvents.accept(frame.data)
        credit()
        return batch.right()
    }

    private suspend fun relayEvents(write: suspend (ByteArray) -> Unit): Refusal? {
        while (!chatEvents.isEnded || unsent != null) {
            val batch = unsent ?: nextEvents(stallLimit).fold({ return broken(it) }, { it })
            unsent = null
            if (batch.sound.isNotEmpty()) write(batch.sound)
            batch.defect?.let { return broken(unexpected(it)) }
        }
        isComplete = true
        awaitLastFrame()
        return null
    }

    /** Waits until the endpoint process has ended the stream, so that it counts the request as finished. */
    private suspend fun awaitLastFrame() {
        withTimeoutOrNull(stallLimit) {
            while (next() is Frame.Chunk) credit()
        }
    }

    private suspend fun relay(
        first: ByteArray,
        write: suspend (ByteArray) -> Unit,
    ): Refusal? {
        if (first.isNotEmpty()) write(first)
        while (true) {
            val frame = next()
            if (frame is Frame.End) {
                isComplete = true
                return null
            }
            if (frame !is Frame.Chunk) return broken(failureOf(frame))
            write(frame.data)
            credit()
        }
    }

    private fun broken(failure: Refusal): Refusal =
        failure.copy(kind = ErrorKind.ANSWER_BROKEN, outcome = Outcome.UNKNOWN)

    private fun unexpected(detail: String): Refusal =
        Refusal(ErrorKind.ATTEMPT_FAILED, "the answer is not what was asked for: $detail", RETRY, Outcome.UNKNOWN)

    private suspend fun next(limit: Duration = Duration.INFINITE): Frame? {
        val timeout = minOf(timeLeft(), limit)
        isStalled = false
        if (timeout <= Duration.ZERO) return null
        val frame = withTimeoutOrNull(timeout) { stream.frames.receiveCatching().getOrNull() ?: CONNECTION_LOST }
        isStalled = frame == null && timeLeft() > Duration.ZERO
        isEnded = frame is Frame.End || frame is Frame.Refused || frame is Frame.Failed
        return frame
    }

    private suspend fun credit() {
        chunksSinceCredit++
        if (chunksSinceCredit < STREAM_CREDIT_CHUNKS / 2) return
        stream.credit(chunksSinceCredit)
        chunksSinceCredit = 0
    }

    private fun failureOf(frame: Frame?): Refusal =
        when (frame) {
            null -> {
                Refusal(ErrorKind.DEADLINE, "the deadline passed", "allow more time in X-Deadline-Ms", Outcome.UNKNOWN)
            }

            is Frame.Refused -> {
                proof = if (frame.keyFree) ClaimProof.PROVEN_FREE else proofOfRefusal(frame.code)
                refusalOf(frame.code, frame.message, frame.retryAfter)
            }

            is Frame.Failed -> {
                refusalOfFailure(frame)
            }

            else -> {
                Refusal(ErrorKind.ATTEMPT_FAILED, "unexpected frame", REPEAT_WITH_SAME_KEY, Outcome.UNKNOWN)
            }
        }

    private fun refusalOfFailure(frame: Frame.Failed): Refusal {
        if (frame.outcome == Outcome.UNKNOWN) proof = ClaimProof.HELD
        if (frame.outcome == Outcome.DONE) {
            val remedy = "the request has run; ask the service for its result"
            return Refusal(ErrorKind.ANSWER_NOT_KEPT, frame.message, remedy, Outcome.DONE)
        }
        return Refusal(ErrorKind.ATTEMPT_FAILED, frame.message, REPEAT_WITH_SAME_KEY, frame.outcome)
    }

    private companion object {
        const val RETRY = "repeat the request; if it fails again, an operator must replace the endpoint"

        val CONNECTION_LOST: Frame =
            Frame.Failed(StreamId(0), Outcome.UNKNOWN, "the connection to the endpoint process was lost")
    }
}
