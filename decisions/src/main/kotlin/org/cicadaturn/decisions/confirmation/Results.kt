package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer

/** Tells how a call to the back end ended. */
public sealed interface CallResult {
    /** The back end answered completely. */
    public data class Answered(
        val answer: StoredAnswer,
    ) : CallResult

    /** It is proven that the back end did not begin, for example because no connection was made. */
    public data class NotRun(
        val code: RefusalCode,
        val message: String,
    ) : CallResult

    /** The back end may have run. */
    public data class Unknown(
        val message: String,
    ) : CallResult
}

/** Is what the endpoint process learns about a confirmation. */
public sealed interface ConfirmationResult {
    /** The confirmation ran once and [answer] is durable; [repeated] is true if an earlier request ran it. */
    public data class Answered(
        val answer: StoredAnswer,
        val repeated: Boolean,
    ) : ConfirmationResult

    /** The confirmation ran once, but its answer was too long to be stored. */
    public data object DoneWithoutAnswer : ConfirmationResult

    /**
     * This attempt has not run and never will; another endpoint may be tried.
     *
     * [proof] decides what the caller is told about the key, see [callerOutcome].
     */
    public data class Refused(
        val code: RefusalCode,
        val message: String,
        val proof: ClaimProof,
    ) : ConfirmationResult

    /** The confirmation may have run; a repetition with the same key is safe and may fetch the answer. */
    public data class Unknown(
        val message: String,
    ) : ConfirmationResult
}

/** Returns the report of an attempt that ended with this result. */
public fun ConfirmationResult.report(): AttemptReport =
    when (this) {
        is ConfirmationResult.Answered -> AttemptReport(Outcome.DONE, ClaimProof.HELD)
        ConfirmationResult.DoneWithoutAnswer -> AttemptReport(Outcome.DONE, ClaimProof.HELD)
        is ConfirmationResult.Refused -> AttemptReport(Outcome.NOT_RUN, proof)
        is ConfirmationResult.Unknown -> AttemptReport(Outcome.UNKNOWN, ClaimProof.HELD)
    }
