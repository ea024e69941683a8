package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Instant

/**
 * Returns the state of a shard ledger after [event] at [now], and the actions that its owner must perform.
 *
 * The ledger keeps these rules:
 * - A call is run only after a view of the store has shown the claim of its own attempt.
 * - An answer is given only after a view has shown the record as done.
 * - The claim of an attempt that did not run is released. No other attempt of this process claims the key until a
 *   view shows that the claim is released or that its pending write can no longer take effect.
 */
public fun step(
    state: LedgerState,
    event: LedgerEvent,
    now: Instant,
    policy: LedgerPolicy,
): LedgerStep {
    val builder = LedgerStepBuilder(state.copy(turn = state.turn + 1), now, policy)
    builder.receive(event)
    builder.reconcileAttempts()
    builder.decideCalls()
    builder.expireCalls()
    // The expiry of a request may have removed an attempt that other requests were waiting for.
    builder.decideCalls()
    builder.scheduleExpiry()
    builder.startStoreCall()
    return LedgerStep(builder.state, builder.actions, builder.wakeAt())
}

/** Returns true if the ledger has no waiting request, no attempt and no store call, so that its memory can be freed. */
public fun LedgerState.isIdle(): Boolean = calls.isEmpty() && attempts.isEmpty() && store == StoreActivity.Idle

/** Accumulates the state changes and the actions of one step. */
internal class LedgerStepBuilder(
    var state: LedgerState,
    val now: Instant,
    val policy: LedgerPolicy,
) {
    val actions = mutableListOf<LedgerAction>()

    /** True if a request needs a read of the shard now. */
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

    fun putAttempt(attempt: OwnAttempt) {
        state = state.copy(attempts = state.attempts + (attempt.key.key to attempt))
    }

    fun removeAttempt(key: Digest) {
        state = state.copy(attempts = state.attempts - key)
    }

    /** Ends an attempt that has not run, and releases its claim if a pending write may still make the claim durable. */
    fun abandon(
        attempt: OwnAttempt,
        reason: CallResult.NotRun,
    ) {
        if (attempt.pendingWrite == null) {
            removeAttempt(attempt.key.key)
        } else {
            putAttempt(attempt.copy(phase = AttemptPhase.Releasing(reason), since = now))
        }
    }
}

private fun LedgerStepBuilder.receive(event: LedgerEvent) {
    when (event) {
        is LedgerEvent.Requested -> receiveRequest(event)
        is LedgerEvent.Cancelled -> receiveCancelled(event)
        is LedgerEvent.Ended -> receiveEnded(event)
        is LedgerEvent.ReadDone -> receiveRead(event.answer)
        is LedgerEvent.WriteDone -> receiveWrite(event.answer)
        LedgerEvent.TimerFired -> Unit
    }
}

private fun LedgerStepBuilder.receiveRequest(event: LedgerEvent.Requested) {
    // Limits the deadline so that a call begins long before its claim can expire.
    val deadline = minOf(event.deadline, now + policy.retention / 2)
    val call = WaitingCall(event.call, event.key, event.attempt, deadline, arrivedAt = now, arrivedInTurn = state.turn)
    val isFull = state.calls.size >= policy.maxCalls
    state = state.copy(calls = state.calls + (call.id to call))
    if (isFull) {
        val message = "${policy.maxCalls} requests wait at this shard; repeat later with the same key"
        refuse(call.id, RefusalCode.OVERLOADED, message, ClaimProof.NOT_READ)
    }
}

private fun LedgerStepBuilder.receiveCancelled(event: LedgerEvent.Cancelled) {
    val call = state.calls[event.call] ?: return
    state = state.copy(calls = state.calls - call.id)
    val own = state.attempts[call.key.key] ?: return
    if (own.call == call.id && own.phase == AttemptPhase.Claiming) abandon(own, callCancelled)
}

private val callCancelled =
    CallResult.NotRun(RefusalCode.DEADLINE, "the requester left before the claim was durable; repeat with the same key")

private fun LedgerStepBuilder.receiveEnded(event: LedgerEvent.Ended) {
    val own = state.attempts[event.key] ?: return
    if (own.id != event.attempt || own.phase != AttemptPhase.Running) return
    when (val result = event.result) {
        is CallResult.Answered -> {
            putAttempt(own.copy(phase = AttemptPhase.Finished(result.answer), since = now))
        }

        is CallResult.NotRun -> {
            putAttempt(own.copy(phase = AttemptPhase.Releasing(result), since = now))
        }

        is CallResult.Unknown -> {
            removeAttempt(event.key)
            state = state.copy(lost = state.lost + own.id)
            answer(own.call, ConfirmationResult.Unknown(result.message))
        }
    }
}
