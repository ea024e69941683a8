package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode

/** Tells what an attempt learned from the store about the claim of its idempotency key. */
public enum class ClaimProof {
    /** The claim was not read for this request: an earlier request with the key may have run. */
    NOT_READ,

    /** The claim was read for this request and is absent, released, or held by an attempt that did not run. */
    PROVEN_FREE,

    /** The key belongs to another body, so a request with this body has not run. */
    OTHER_BODY,

    /** Another attempt holds the claim and may have run. */
    HELD,
}

/** Describes how one attempt of a request with an idempotency key ended and what it learned about the claim. */
public data class AttemptReport(
    /** Whether this attempt ran; decides about another attempt. */
    val outcome: Outcome,
    /** What the attempt learned about the key. */
    val proof: ClaimProof,
)

/**
 * Returns what the caller is told about the key of a request to a non-idempotent service, after [attempts].
 *
 * An attempt that was refused has not run, but an earlier request with the same key may have. NOT_RUN is told
 * only if no attempt of this request ran and at least one of them proved that the key had not run.
 * Without any attempt (refusal by the entry process) the key is unknown.
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
 * Returns what a refusal with [code] says about the key, for a refusal frame that carries nothing but its code.
 *
 * Only KEY_REUSED is produced from the claim alone; every other code may come from before the claim was read.
 */
public fun proofOfRefusal(code: RefusalCode): ClaimProof =
    if (code == RefusalCode.KEY_REUSED) ClaimProof.OTHER_BODY else ClaimProof.NOT_READ
