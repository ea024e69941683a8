package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Instant

/**
 * Returns the state of a shard ledger after [event] at [now], and what its owner has to do.
 *
 * Rules: a call is run only after a view of the store showed the claim of its own attempt; an answer is given only
 * after a view showed it as done; an attempt that did not run is released, and until a view shows that it is
 * released or can no longer take effect, no other attempt of this process claims the key.
 */
public fun step(
    state: LedgerState,
    event: LedgerEvent,
    now: Instant,
    policy: LedgerPolicy,
): LedgerStep {
    val turn = LedgerTurn(state.copy(turn = state.turn + 1), now, policy)
    turn.receive(event)
    turn.settleAttempts()
    turn.decideCalls()
    turn.expireCalls()
    // An expired request may have dropped an attempt that others waited for.
    turn.decideCalls()
    turn.planExpiry()
    turn.planStoreCall()
    return LedgerStep(turn.state, turn.actions, turn.wakeAt())
}

/** Returns true if a ledger in this state has nothing to do and nobody waits, so that its memory can be freed. */
public fun LedgerState.isIdle(): Boolean = calls.isEmpty() && attempts.isEmpty() && store == StoreActivity.Idle

/** Collects the changes and actions of one step. */
internal class LedgerTurn(
    var state: LedgerState,
    val now: Instant,
    val policy: LedgerPolicy,
) {
    val actions = mutableListOf<LedgerAction>()

    /** True if a request needs the shard to be read now. */
    var isReadDue = false

    private var wake: Instant? = null

    fun wakeAt(): Instant? = wake

    fun wakeNoLaterThan(time: Instant) {
        wake = minOf(wake ?: time, time)
    }

    fun answer(
        call: CallId,
        result: ConfirmationResult,
    ) {
        if (call !in state.calls) return
        state = state.copy(calls = state.calls - call)
        actions += LedgerAction.Answer(call, result)
    }

    fun refuse(
        call: CallId,
        code: RefusalCode,
        message: String,
        proof: ClaimProof,
    ) = answer(call, ConfirmationResult.Refused(code, message, proof))

    fun keepAttempt(attempt: OwnAttempt) {
        state = state.copy(attempts = state.attempts + (attempt.key.key to attempt))
    }

    fun dropAttempt(key: Digest) {
        state = state.copy(attempts = state.attempts - key)
    }

    /** Ends an attempt that has not run; its claim is released if a write may still make it durable. */
    fun abandon(
        attempt: OwnAttempt,
        reason: CallResult.NotRun,
    ) {
        if (attempt.sent == null) {
            dropAttempt(attempt.key.key)
        } else {
            keepAttempt(attempt.copy(phase = AttemptPhase.Releasing(reason), since = now))
        }
    }
}

private fun LedgerTurn.receive(event: LedgerEvent) {
    when (event) {
        is LedgerEvent.Requested -> receiveRequest(event)
        is LedgerEvent.Cancelled -> receiveCancelled(event)
        is LedgerEvent.Ended -> receiveEnded(event)
        is LedgerEvent.ReadDone -> receiveRead(event.answer)
        is LedgerEvent.WriteDone -> receiveWrite(event.answer)
        LedgerEvent.TimerFired -> Unit
    }
}

private fun LedgerTurn.receiveRequest(event: LedgerEvent.Requested) {
    // The claim must be far from its retention time when the call begins.
    val deadline = minOf(event.deadline, now + policy.retention / 2)
    val call = WaitingCall(event.call, event.key, event.attempt, deadline, arrivedAt = now, arrivedInTurn = state.turn)
    val isFull = state.calls.size >= policy.maxCalls
    state = state.copy(calls = state.calls + (call.id to call))
    if (isFull) {
        val message = "${policy.maxCalls} requests wait at this shard; repeat later with the same key"
        refuse(call.id, RefusalCode.OVERLOADED, message, ClaimProof.NOT_READ)
    }
}

private fun LedgerTurn.receiveCancelled(event: LedgerEvent.Cancelled) {
    val call = state.calls[event.call] ?: return
    state = state.copy(calls = state.calls - call.id)
    val own = state.attempts[call.key.key] ?: return
    if (own.call == call.id && own.phase == AttemptPhase.Claiming) abandon(own, requesterLeft)
}

private val requesterLeft =
    CallResult.NotRun(RefusalCode.DEADLINE, "the requester left before the claim was durable; repeat with the same key")

private fun LedgerTurn.receiveEnded(event: LedgerEvent.Ended) {
    val own = state.attempts[event.key] ?: return
    if (own.id != event.attempt || own.phase != AttemptPhase.Running) return
    when (val result = event.result) {
        is CallResult.Answered -> {
            keepAttempt(own.copy(phase = AttemptPhase.Finished(result.answer), since = now))
        }

        is CallResult.NotRun -> {
            keepAttempt(own.copy(phase = AttemptPhase.Releasing(result), since = now))
        }

        is CallResult.Unknown -> {
            dropAttempt(event.key)
            state = state.copy(lost = state.lost + own.id)
            answer(own.call, ConfirmationResult.Unknown(result.message))
        }
    }
}
