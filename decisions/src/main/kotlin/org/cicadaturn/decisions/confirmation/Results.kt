package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer

/** Result of a call to the back end. */
public sealed interface CallResult {
    /** The back end gave a complete answer. */
    public data class Answered(
        val answer: StoredAnswer,
    ) : CallResult

    /** The back end certainly did not begin the call, for example because no connection was made. */
    public data class NotRun(
        val code: RefusalCode,
        val message: String,
    ) : CallResult

    /** The back end may have run the call. */
    public data class Unknown(
        val message: String,
    ) : CallResult
}

/** Result of a confirmation, that is, a call that must run at most once, at the endpoint process. */
public sealed interface ConfirmationResult {
    /** The confirmation ran once and its outcome is durable; [repeated] is true if an earlier request ran it. */
    public data class Answered(
        val answer: StoredAnswer,
        val repeated: Boolean,
    ) : ConfirmationResult

    /** The confirmation ran once, but its answer was too long to be stored. */
    public data object DoneWithoutAnswer : ConfirmationResult

    /**
     * This attempt has not run and will not run; another endpoint may be tried.
     *
     * [proof] determines which outcome the caller gets for the key; see [callerOutcome].
     */
    public data class Refused(
        val code: RefusalCode,
        val message: String,
        val proof: ClaimProof,
    ) : ConfirmationResult

    /** The confirmation may have run; a retry with the same key is safe and may return the answer. */
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
