package org.cicadaturn.bench.confirmations

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.confirmation.CallId
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.LedgerEvent
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.LedgerState
import org.cicadaturn.decisions.confirmation.LedgerStep
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A step function of the ledger; tests plant faults by replacing it. */
internal typealias Stepper = (LedgerState, LedgerEvent, Instant, LedgerPolicy) -> LedgerStep

/** Calls the back end for an attempt and reports how the call ended. */
internal typealias SimulatedCall = (attempt: AttemptId, ended: (CallResult) -> Unit) -> Unit

/** Is a request at an endpoint process. */
internal class EndpointRequest(
    val shard: Int,
    val key: ConfirmationKey,
    val deadline: Instant,
    val attempt: AttemptId,
    val call: SimulatedCall,
    val reply: (ConfirmationResult) -> Unit,
)

/**
 * Drives the ledgers of one endpoint process with the step function that the task of a shard uses.
 *
 * A paused process handles nothing until it wakes; a killed one forgets everything. What it had sent to the store or
 * to the back end still arrives there.
 */
internal class SimulatedEndpoint(
    private val time: VirtualTime,
    private val store: SimulatedStore,
    private val policy: LedgerPolicy,
    private val stepper: Stepper,
) {
    private class Ledger {
        var state = LedgerState()
        var wakeAt: Instant? = null
        val requests = mutableMapOf<CallId, EndpointRequest>()
    }

    private var ledgers = mutableMapOf<Int, Ledger>()
    private var incarnation = 0
    private var calls = 0L
    private var pausedUntil: Instant? = null
    var isUp = true
        private set

    fun kill() {
        incarnation++
        ledgers = mutableMapOf()
        pausedUntil = null
        isUp = false
    }

    fun start() {
        isUp = true
    }

    fun pauseUntil(end: Instant) {
        pausedUntil = end
    }

    /** Takes [request], or drops it if the process is down. */
    fun request(request: EndpointRequest) {
        if (isUp) act { begin(request) }
    }

    private fun begin(request: EndpointRequest) {
        val id = CallId(calls++)
        val ledger = ledgers.getOrPut(request.shard) { Ledger() }
        ledger.requests[id] = request
        apply(request.shard, LedgerEvent.Requested(id, request.key, request.attempt, request.deadline))
    }

    /** Runs [action] now, after the pause if the process is paused, and never if it is killed before. */
    private fun act(action: () -> Unit) {
        val current = incarnation
        val pause = pausedUntil
        when {
            pause == null || pause <= time.now -> action()
            else -> time.at(pause) { if (current == incarnation) act(action) }
        }
    }

    private fun apply(
        shard: Int,
        event: LedgerEvent,
    ) {
        val ledger = ledgers.getValue(shard)
        val next = stepper(ledger.state, event, time.now, policy)
        ledger.state = next.state
        ledger.wakeAt = next.wakeAt
        next.wakeAt?.let { planWake(shard, ledger, it) }
        next.actions.forEach { perform(shard, ledger, it) }
    }

    private fun planWake(
        shard: Int,
        ledger: Ledger,
        wakeAt: Instant,
    ) {
        val current = incarnation
        time.at(wakeAt) {
            val isDue = current == incarnation && ledger.wakeAt == wakeAt
            if (isDue) act { apply(shard, LedgerEvent.TimerFired) }
        }
    }

    private fun perform(
        shard: Int,
        ledger: Ledger,
        action: LedgerAction,
    ) {
        when (action) {
            LedgerAction.Read -> store.read(shard, received(shard) { LedgerEvent.ReadDone(it) })
            is LedgerAction.Write -> store.write(shard, action, received(shard) { LedgerEvent.WriteDone(it) })
            is LedgerAction.Run -> run(shard, ledger, action)
            is LedgerAction.Answer ->
                ledger.requests
                    .remove(action.call)
                    ?.reply
                    ?.invoke(action.result)
        }
    }

    private fun run(
        shard: Int,
        ledger: Ledger,
        action: LedgerAction.Run,
    ) {
        val call = ledger.requests.getValue(action.call).call
        val ended = received<CallResult>(shard) { LedgerEvent.Ended(action.key, action.attempt, it) }
        val current = incarnation
        // A process can be paused or killed between its decision to run a call and the first byte of the call.
        time.after(CALL_START) { if (current == incarnation) act { call(action.attempt, ended) } }
    }

    private fun <T> received(
        shard: Int,
        event: (T) -> LedgerEvent,
    ): (T) -> Unit {
        val current = incarnation
        return { answer -> if (current == incarnation) act { if (current == incarnation) apply(shard, event(answer)) } }
    }

    private companion object {
        val CALL_START = 1.milliseconds
    }
}
