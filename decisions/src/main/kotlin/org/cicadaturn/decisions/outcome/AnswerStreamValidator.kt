package org.cicadaturn.decisions.outcome

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame

/**
 * Checks that the frames of one stream form a complete answer to one attempt.
 *
 * An answer is either a refusal, or a head, chunks numbered from 0 and an end with their count. [Frame.Accepted] may
 * precede either, and a failure may end the stream at any point. Any other sequence is a [StreamViolation], after which
 * no further frame of the stream may reach a caller.
 */
public class AnswerStreamValidator internal constructor(
    private val attempt: AttemptId,
) {
    private var headSeen = false
    private var chunks = 0
    private var ended = false

    /** Number of chunks accepted so far. */
    public val accepted: Int get() = chunks

    /** Returns [frame] if it may follow the frames accepted so far, otherwise the violation; takes constant time. */
    public fun accept(frame: Frame): Either<StreamViolation, Frame> {
        if (ended) return StreamViolation("frame after the end of the answer").left()
        return when (frame) {
            is Frame.Accepted -> if (headSeen) StreamViolation("accepted after the head").left() else frame.right()
            is Frame.Head -> acceptHead(frame)
            is Frame.Chunk -> acceptChunk(frame)
            is Frame.End -> acceptEnd(frame)
            is Frame.Refused -> acceptRefusal(frame)
            is Frame.Failed -> frame.right().also { ended = true }
            else -> StreamViolation("a frame that does not belong to a stream").left()
        }
    }

    private fun acceptHead(frame: Frame.Head): Either<StreamViolation, Frame> {
        if (frame.attempt != attempt) {
            return StreamViolation("head of attempt ${frame.attempt} on the stream of $attempt").left()
        }
        if (headSeen) return StreamViolation("second head").left()
        headSeen = true
        return frame.right()
    }

    private fun acceptChunk(frame: Frame.Chunk): Either<StreamViolation, Frame> {
        if (!headSeen) return StreamViolation("chunk before the head").left()
        if (frame.sequence != chunks) {
            return StreamViolation("chunk ${frame.sequence} in place of $chunks").left()
        }
        chunks++
        return frame.right()
    }

    private fun acceptEnd(frame: Frame.End): Either<StreamViolation, Frame> {
        if (!headSeen) return StreamViolation("end before the head").left()
        if (frame.chunks != chunks) return StreamViolation("end after $chunks of ${frame.chunks} chunks").left()
        ended = true
        return frame.right()
    }

    private fun acceptRefusal(frame: Frame.Refused): Either<StreamViolation, Frame> {
        if (headSeen) return StreamViolation("refusal after the head").left()
        ended = true
        return frame.right()
    }
}

/** Returns a validator for the stream that answers [attempt]. */
public fun answerStreamValidator(attempt: AttemptId): AnswerStreamValidator = AnswerStreamValidator(attempt)

/**
 * Violation of the frame order of a stream by a peer.
 *
 * @property detail the received frame and what was expected
 */
public data class StreamViolation(
    val detail: String,
)
