package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode

/** What an attempt learned from the store about the claim of its idempotency key. */
public enum class ClaimProof {
    /** The claim was not read for this request; an earlier request with the key may have run. */
    NOT_READ,

    /** The claim was read for this request and is absent, released, or held by an attempt that did not run. */
    PROVEN_FREE,

    /** The key was used with another request body, so a request with this body has not run. */
    OTHER_BODY,

    /** This attempt or another one holds the claim and may have run. */
    HELD,
}

/** Result of one attempt of a request with an idempotency key. */
public data class AttemptReport(
    /** Whether this attempt ran; determines whether another attempt is made. */
    val outcome: Outcome,
    /** What the attempt learned about the key. */
    val proof: ClaimProof,
)

/**
 * Returns the outcome that a caller gets for the key of a request to a non-idempotent service after [attempts].
 *
 * An attempt that was refused has not run, but an earlier request with the same key may have run. The result is
 * NOT_RUN only if no attempt of this request ran and at least one of them proved that no earlier request with the key
 * had run. Without any attempt, as after a refusal by the entry process, the result is UNKNOWN.
 */
public fun callerOutcome(attempts: List<AttemptReport>): Outcome =
    when {
        attempts.any { it.outcome == Outcome.DONE } -> Outcome.DONE
        attempts.any { it.outcome == Outcome.UNKNOWN } -> Outcome.UNKNOWN
        attempts.any { it.proof == ClaimProof.HELD } -> Outcome.UNKNOWN
        attempts.any { it.proof == ClaimProof.PROVEN_FREE || it.proof == ClaimProof.OTHER_BODY } -> Outcome.NOT_RUN
        else -> Outcome.UNKNOWN
    }

/**
 * Returns what a refusal with [code] proves about the key if the refusal frame carries no other information.
 *
 * Only KEY_REUSED implies that the claim was read; any other code may be sent before the claim was read.
 */
public fun proofOfRefusal(code: RefusalCode): ClaimProof =
    if (code == RefusalCode.KEY_REUSED) ClaimProof.OTHER_BODY else ClaimProof.NOT_READ
