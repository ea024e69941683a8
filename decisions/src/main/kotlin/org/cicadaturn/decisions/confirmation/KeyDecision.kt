package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord

/** Next step for a request whose key has no unsettled attempt in this process. */
public sealed interface KeyDecision {
    /** A claim of the key may be written. */
    public data object Claim : KeyDecision

    /** The request is answered from [record]. */
    public data class AnswerFrom(
        val record: ConfirmationRecord,
    ) : KeyDecision

    /** The shard must be read for this request before a decision is possible. */
    public data object Read : KeyDecision

    /** Another process holds the claim and may still finish the call; the shard is read again later. */
    public data object AwaitHolder : KeyDecision

    /** The attempt that holds the claim ended without a known outcome; the call is not run again under this claim. */
    public data object HolderLost : KeyDecision

    /** The key was used before with another request body. */
    public data object OtherBody : KeyDecision
}

/**
 * Returns the next step for a request with [key], given the [record] of that key.
 *
 * [isFresh] is true if the record was read from the store after this request arrived. [isFinal] is true if the record
 * can no longer change. A copy that is neither fresh nor final only permits an attempt to claim the key, because the
 * conditional write then confirms or rejects the claim. [isLost] is true if the attempt in the record belongs to this
 * process and ended without a known outcome; no process changes such a record before the retention time has passed.
 */
public fun decideKey(
    key: ConfirmationKey,
    record: ConfirmationRecord?,
    isFresh: Boolean,
    isFinal: Boolean,
    isLost: Boolean,
): KeyDecision =
    when {
        record == null || record.state == ClaimState.RELEASED -> KeyDecision.Claim
        !isFresh && !isFinal && !isLost -> KeyDecision.Read
        record.body != key.body -> KeyDecision.OtherBody
        record.state == ClaimState.DONE -> KeyDecision.AnswerFrom(record)
        isLost -> KeyDecision.HolderLost
        else -> KeyDecision.AwaitHolder
    }
