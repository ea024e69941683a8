package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Instant

/**
 * Decides on each waiting request whose key has no attempt of this process, and refuses those whose body differs from
 * that of a durable claim of this process.
 */
internal fun LedgerStepBuilder.decideCalls() {
    isReadDue = false
    for (call in state.calls.values) {
        val own = state.attempts[call.key.key]
        if (own == null) decideWithoutAttempt(call) else decideWithAttempt(call, own)
    }
}

private fun LedgerStepBuilder.decideWithAttempt(
    call: WaitingCall,
    own: OwnAttempt,
) {
    val isClaimDurable = own.phase == AttemptPhase.Running || own.phase is AttemptPhase.Finished
    if (isClaimDurable && own.key.body != call.key.body) refuseOtherBody(call)
}

private fun LedgerStepBuilder.decideWithoutAttempt(call: WaitingCall) {
    val view = state.view
    if (view == null) {
        isReadDue = true
        return
    }
    val record = view.records[call.key.key]
    val isFinal = record != null && isFinal(record, now, policy.retention)
    val isLost = record != null && record.attempt in state.lost && !isExpired(record, now, policy.retention)
    when (val decision = decideKey(call.key, record, isFresh(call), isFinal, isLost)) {
        KeyDecision.Claim -> claim(call, view)
        is KeyDecision.AnswerFrom -> answerFrom(call, decision.record)
        KeyDecision.Read -> isReadDue = true
        KeyDecision.AwaitHolder -> awaitHolder(call, view)
        KeyDecision.HolderLost -> answer(call.id, holderLost)
        KeyDecision.OtherBody -> refuseOtherBody(call)
    }
}

private fun LedgerStepBuilder.refuseOtherBody(call: WaitingCall) {
    val message = "the idempotency key was used with another body; use a new key for a new request"
    refuse(call.id, RefusalCode.KEY_REUSED, message, ClaimProof.OTHER_BODY)
}

private val holderLost =
    ConfirmationResult.Unknown("an earlier call with this key ended without a known outcome; ask the service")

private fun LedgerStepBuilder.answerFrom(
    call: WaitingCall,
    record: ConfirmationRecord,
) {
    val stored = record.answer
    val result =
        if (stored == null) {
            ConfirmationResult.DoneWithoutAnswer
        } else {
            ConfirmationResult.Answered(stored, repeated = true)
        }
    answer(call.id, result)
}

/** Returns true if the view was confirmed by a store call that was sent in the turn of [call]'s arrival or later. */
private fun LedgerStepBuilder.isFresh(call: WaitingCall): Boolean {
    val view = state.view ?: return false
    return view.provenInTurn >= call.arrivedInTurn
}

private fun LedgerStepBuilder.claim(
    call: WaitingCall,
    view: ShardView,
) {
    if (hasRoom(call, view)) {
        putAttempt(OwnAttempt(call.attempt, call.key, call.id, AttemptPhase.Claiming, since = now))
    } else if (isFresh(call)) {
        val message = "the shard of this key is full of recent confirmations; repeat later with the same key"
        refuse(call.id, RefusalCode.STORE_UNAVAILABLE, message, ClaimProof.PROVEN_FREE)
    } else {
        isReadDue = true
    }
}

private fun LedgerStepBuilder.hasRoom(
    call: WaitingCall,
    view: ShardView,
): Boolean {
    val claims = state.attempts.values.filter { it.phase == AttemptPhase.Claiming }
    val claimBytes = claims.sumOf { recordBytes(recordOf(it)) }
    val ownBytes = recordBytes(ConfirmationRecord(call.key.key, call.key.body, call.attempt, ClaimState.CLAIMED, now))
    val room = claimLimit() - claimBytes - ownBytes
    if (view.bytes <= room) return true
    val kept = retained(view.records, now, policy, room, state.attempts.keys)
    return kept.values.sumOf { recordBytes(it) } <= room
}

private fun LedgerStepBuilder.awaitHolder(
    call: WaitingCall,
    view: ShardView,
) {
    var current = call
    if (view.provenInTurn > call.lastHeldTurn) {
        val heldViews = call.heldViews + 1
        val rereadAt = now + policy.rereadBackoff.delayBefore(heldViews)
        current = call.copy(heldViews = heldViews, lastHeldTurn = view.provenInTurn, rereadAt = rereadAt)
        state = state.copy(calls = state.calls + (call.id to current))
    }
    val rereadAt = current.rereadAt ?: now
    if (rereadAt <= now) isReadDue = true else wakeNoLaterThan(rereadAt)
}

/** Sets the wake-up time for the next request that expires. */
internal fun LedgerStepBuilder.scheduleExpiry() {
    for (call in state.calls.values) {
        wakeNoLaterThan(expiryOf(call, state.attempts[call.key.key]))
    }
}

/** Ends the wait of requests that have expired. */
internal fun LedgerStepBuilder.expireCalls() {
    for (call in state.calls.values) {
        val own = state.attempts[call.key.key]
        val expiry = expiryOf(call, own)
        if (now >= expiry) expire(call, own)
    }
}

private fun LedgerStepBuilder.expiryOf(
    call: WaitingCall,
    own: OwnAttempt?,
): Instant {
    val claimWait = if (state.failures >= policy.outageFailures) policy.outageWait else policy.claimWait
    val untilClaim = minOf(call.deadline, call.arrivedAt + claimWait)
    return when {
        own == null -> if (call.heldViews > 0) call.deadline else untilClaim
        own.call != call.id -> call.deadline
        own.phase == AttemptPhase.Claiming -> minOf(call.deadline, own.since + claimWait)
        own.phase is AttemptPhase.Releasing -> minOf(call.deadline, own.since + policy.claimWait)
        else -> call.deadline
    }
}

private fun LedgerStepBuilder.expire(
    call: WaitingCall,
    own: OwnAttempt?,
) {
    val phase = own?.phase
    when {
        own == null -> {
            if (call.heldViews > 0) answer(call.id, stillHeld) else refuseUnclaimed(call, isProvenFree = false)
        }

        own.call != call.id -> {
            answer(call.id, stillHeld)
        }

        phase is AttemptPhase.Releasing -> {
            refuse(call.id, phase.reason.code, phase.reason.message, ClaimProof.PROVEN_FREE)
        }

        phase == AttemptPhase.Claiming -> {
            val isProvenFree = isFresh(call) && !state.isViewStale
            abandon(own, claimWaitEnded)
            refuseUnclaimed(call, isProvenFree)
        }

        else -> {
            answer(call.id, notDurable)
        }
    }
}

private val claimWaitEnded =
    CallResult.NotRun(RefusalCode.DEADLINE, "the wait ended before the claim was durable; repeat with the same key")

private val stillHeld =
    ConfirmationResult.Unknown("a call with this key may be running; repeat with the same key to get its answer")

private val notDurable =
    ConfirmationResult.Unknown("the outcome was not stored before the deadline; repeat with the same key to get it")

private fun LedgerStepBuilder.refuseUnclaimed(
    call: WaitingCall,
    isProvenFree: Boolean,
) {
    val code = if (now >= call.deadline) RefusalCode.DEADLINE else RefusalCode.STORE_UNAVAILABLE
    val proof = if (isProvenFree) ClaimProof.PROVEN_FREE else ClaimProof.NOT_READ
    refuse(call.id, code, "the store confirmed no claim in time; repeat with the same key, which is safe", proof)
}
