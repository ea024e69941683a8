package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.RefusalCode

/** Compares the attempts of this process with the view: starts calls, gives answers and removes settled attempts. */
internal fun LedgerStepBuilder.reconcileAttempts() {
    val view = state.view ?: return
    for (own in state.attempts.values) {
        val record = view.records[own.key.key]
        // A write that expects another version than that of the view can no longer take effect.
        val isFenced = own.pendingWrite == null || own.pendingWrite.expected != view.version
        when (val phase = own.phase) {
            AttemptPhase.Claiming -> settleClaim(own, record, isFenced)
            AttemptPhase.Running -> Unit
            is AttemptPhase.Finished -> settleFinished(own, phase, record)
            is AttemptPhase.Releasing -> settleRelease(own, phase, record, isFenced)
        }
    }
}

private fun LedgerStepBuilder.settleClaim(
    own: OwnAttempt,
    record: ConfirmationRecord?,
    isFenced: Boolean,
) {
    when {
        record?.attempt == own.id && record.state == ClaimState.CLAIMED -> startCall(own)

        // Another attempt claimed the key first. The view has a later version than a pending write of this attempt
        // expects, so that write cannot take effect.
        isHeldByOther(own, record) -> removeAttempt(own.key.key)

        isFenced -> putAttempt(own.copy(pendingWrite = null))
    }
}

private fun LedgerStepBuilder.startCall(own: OwnAttempt) {
    val call = state.calls[own.call]
    if (call == null || now >= call.deadline) {
        putAttempt(own.copy(phase = AttemptPhase.Releasing(deadlinePassed), since = now, pendingWrite = null))
        return
    }
    putAttempt(own.copy(phase = AttemptPhase.Running, since = now, pendingWrite = null))
    actions += LedgerAction.Run(own.call, own.key.key, own.id)
}

private val deadlinePassed =
    CallResult.NotRun(RefusalCode.DEADLINE, "the deadline passed before the call could begin; repeat with the same key")

private fun LedgerStepBuilder.settleFinished(
    own: OwnAttempt,
    phase: AttemptPhase.Finished,
    record: ConfirmationRecord?,
) {
    if (record?.attempt == own.id && record.state == ClaimState.DONE) {
        removeAttempt(own.key.key)
        answer(own.call, ConfirmationResult.Answered(phase.answer, repeated = false))
    } else if (isHeldByOther(own, record)) {
        // This happens only if the call ran past the retention time and another process removed the claim.
        removeAttempt(own.key.key)
        answer(own.call, ConfirmationResult.Unknown("the claim of this call expired while it ran; ask the service"))
    }
}

private fun LedgerStepBuilder.settleRelease(
    own: OwnAttempt,
    phase: AttemptPhase.Releasing,
    record: ConfirmationRecord?,
    isFenced: Boolean,
) {
    val isOwn = record?.attempt == own.id
    val isReleased = if (isOwn) record.state == ClaimState.RELEASED else isFenced
    if (!isReleased) return
    removeAttempt(own.key.key)
    // A request whose claim never became durable was answered when its wait ended. A request that still waits had a
    // durable claim, and its release proves that the key is free.
    refuse(own.call, phase.reason.code, phase.reason.message, ClaimProof.PROVEN_FREE)
}

private fun isHeldByOther(
    own: OwnAttempt,
    record: ConfirmationRecord?,
): Boolean = record != null && record.attempt != own.id && record.state != ClaimState.RELEASED
