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

/** Step function of the ledger; tests inject defects by replacing it. */
internal typealias StepFunction = (LedgerState, LedgerEvent, Instant, LedgerPolicy) -> LedgerStep

/** Calls the back end for an attempt and passes the result of the call to `ended`. */
internal typealias SimulatedCall = (attempt: AttemptId, ended: (CallResult) -> Unit) -> Unit

/** Request at an endpoint process. */
internal class EndpointRequest(
    val shard: Int,
    val key: ConfirmationKey,
    val deadline: Instant,
    val attempt: AttemptId,
    val call: SimulatedCall,
    val reply: (ConfirmationResult) -> Unit,
)

/**
 * Endpoint process whose ledgers are driven by the step function that the task of a shard uses.
 *
 * A paused process handles no events until the pause ends; a killed process loses its state. Messages that it had
 * sent to the store or to the back end still arrive there.
 */
internal class SimulatedEndpoint(
    private val time: VirtualTime,
    private val store: SimulatedStore,
    private val policy: LedgerPolicy,
    private val stepFunction: StepFunction,
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

    /** Handles [request], or drops it if the process is down. */
    fun request(request: EndpointRequest) {
        if (isUp) runWhenActive { startRequest(request) }
    }

    private fun startRequest(request: EndpointRequest) {
        val id = CallId(calls++)
        val ledger = ledgers.getOrPut(request.shard) { Ledger() }
        ledger.requests[id] = request
        apply(request.shard, LedgerEvent.Requested(id, request.key, request.attempt, request.deadline))
    }

    /** Runs [action] at once or at the end of the current pause; drops it if the process is killed before that. */
    private fun runWhenActive(action: () -> Unit) {
        val current = incarnation
        val pause = pausedUntil
        when {
            pause == null || pause <= time.now -> action()
            else -> time.at(pause) { if (current == incarnation) runWhenActive(action) }
        }
    }

    private fun apply(
        shard: Int,
        event: LedgerEvent,
    ) {
        val ledger = ledgers.getValue(shard)
        val next = stepFunction(ledger.state, event, time.now, policy)
        ledger.state = next.state
        ledger.wakeAt = next.wakeAt
        next.wakeAt?.let { scheduleWake(shard, ledger, it) }
        next.actions.forEach { perform(shard, ledger, it) }
    }

    private fun scheduleWake(
        shard: Int,
        ledger: Ledger,
        wakeAt: Instant,
    ) {
        val current = incarnation
        time.at(wakeAt) {
            val isDue = current == incarnation && ledger.wakeAt == wakeAt
            if (isDue) runWhenActive { apply(shard, LedgerEvent.TimerFired) }
        }
    }

    private fun perform(
        shard: Int,
        ledger: Ledger,
        action: LedgerAction,
    ) {
        when (action) {
            LedgerAction.Read -> store.read(shard, onReceived(shard) { LedgerEvent.ReadDone(it) })
            is LedgerAction.Write -> store.write(shard, action, onReceived(shard) { LedgerEvent.WriteDone(it) })
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
        val ended = onReceived<CallResult>(shard) { LedgerEvent.Ended(action.key, action.attempt, it) }
        val current = incarnation
        // A process can be paused or killed between its decision to run a call and the first byte of the call.
        time.after(CALL_START) { if (current == incarnation) runWhenActive { call(action.attempt, ended) } }
    }

    private fun <T> onReceived(
        shard: Int,
        event: (T) -> LedgerEvent,
    ): (T) -> Unit {
        val current = incarnation
        return { answer ->
            if (current == incarnation) {
                runWhenActive { if (current == incarnation) apply(shard, event(answer)) }
            }
        }
    }

    private companion object {
        val CALL_START = 1.milliseconds
    }
}
