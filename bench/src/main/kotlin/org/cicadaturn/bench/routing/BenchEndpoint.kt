package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.admission.AdmissionDecision
import org.cicadaturn.decisions.admission.AdmissionDecision.Admit
import org.cicadaturn.decisions.admission.AdmissionDecision.Queue
import org.cicadaturn.decisions.admission.AdmissionDecision.Refuse
import org.cicadaturn.decisions.admission.AdmissionLimits
import org.cicadaturn.decisions.admission.AdmissionRequest
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.admission.GateChange
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.decisions.admission.admissionGate
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Instant

/** Receives the events of an attempt that an endpoint process sends to the entry. */
internal interface AttemptListener {
    fun accepted()

    fun refused(code: RefusalCode)

    fun token()

    fun done()

    fun failed()
}

/** Model of an endpoint process: the admission gate in front of an engine. */
internal class BenchEndpoint(
    val id: EndpointId,
    val domain: Int,
    private val time: VirtualTime,
    limits: AdmissionLimits,
) {
    private class Attempt(
        val job: Job,
        val listener: AttemptListener,
    )

    val engine = EngineModel(time, limits)
    private val gate = admissionGate(limits)
    private val attempts = HashMap<Ticket, Attempt>()
    private var nextTicket = 0L
    private var sequence = 0L
    private var expiryAt: Instant? = null

    /**
     * Number of requests that an entry has sent and that have not arrived; only the omniscient scheduler knows
     * it.
     */
    var inTransit = 0

    val inFlight: Int get() = attempts.size + inTransit

    /** Number of requests that may run concurrently at present. */
    val bound: Int get() = gate.state().bound

    /** Makes the endpoint warm, as at the start of a run. */
    fun warmUp(limits: AdmissionLimits) {
        engine.warmUp()
        repeat(limits.warmBound * limits.coldStep) {
            val ticket = Ticket(-1L - it)
            gate.arrive(AdmissionRequest(ticket, false, 0, 0, Instant.DISTANT_FUTURE), time.now)
            gate.finish(ticket, Ending.FINISHED, time.now)
        }
    }

    fun open(
        request: BenchRequest,
        listener: AttemptListener,
    ): Ticket {
        val ticket = Ticket(nextTicket++)
        if (!engine.isUp) {
            applyChange(gate.markCold(time.now))
            listener.refused(RefusalCode.UNREACHABLE)
            return ticket
        }
        val isConfirmation = request.kind == RequestKind.CONFIRMATION
        attempts[ticket] = Attempt(Job(request, engineListener(ticket)), listener)
        val admissionRequest = AdmissionRequest(ticket, isConfirmation, 0, request.tokens, request.deadline)
        val result = gate.arrive(admissionRequest, time.now)
        applyChange(result.change)
        applyDecision(result.decision)
        scheduleExpiry()
        return ticket
    }

    fun cancel(ticket: Ticket) {
        val attempt = attempts.remove(ticket) ?: return
        engine.cancel(attempt.job)
        applyChange(gate.finish(ticket, Ending.CANCELLED, time.now))
    }

    /** Applies the load report of the engine to the admission gate. */
    fun probe() {
        if (engine.isUp) applyChange(gate.applyEngineReport(engine.run, engine.isCold, time.now))
    }

    fun report(): LoadReport {
        val state = gate.state()
        return LoadReport(
            endpoint = id,
            service = ServiceId("draft"),
            sequence = sequence++,
            engine = if (engine.isUp) state.engine else EngineState.UNREACHABLE,
            running = state.running,
            queued = state.queued,
            bound = state.bound,
            tokens = state.tokens,
            accepting = true,
        )
    }

    private fun engineListener(ticket: Ticket) =
        object : JobListener {
            override fun token() {
                attempts[ticket]?.listener?.token()
            }

            override fun done() = end(ticket, Ending.FINISHED) { it.done() }

            override fun failed() = end(ticket, Ending.FAILED) { it.failed() }
        }

    private fun end(
        ticket: Ticket,
        ending: Ending,
        notify: (AttemptListener) -> Unit,
    ) {
        val attempt = attempts.remove(ticket) ?: return
        notify(attempt.listener)
        applyChange(gate.finish(ticket, ending, time.now))
    }

    private fun applyChange(change: GateChange) {
        change.decisions.forEach(::applyDecision)
        scheduleExpiry()
    }

    private fun applyDecision(decision: AdmissionDecision) {
        when (decision) {
            is Admit -> startAttempt(decision.ticket)
            is Refuse -> attempts.remove(decision.ticket)?.listener?.refused(decision.code)
            is Queue -> {}
        }
    }

    private fun startAttempt(ticket: Ticket) {
        val attempt = attempts.getValue(ticket)
        if (engine.isUp) {
            attempt.listener.accepted()
            engine.start(attempt.job)
        } else {
            attempts.remove(ticket)
            attempt.listener.refused(RefusalCode.UNREACHABLE)
            applyChange(gate.finish(ticket, Ending.FAILED, time.now))
        }
    }

    private fun scheduleExpiry() {
        val nextExpiry = gate.nextExpiry() ?: return
        if (expiryAt.let { it != null && it <= nextExpiry && it > time.now }) return
        expiryAt = nextExpiry
        time.at(nextExpiry) { applyChange(gate.advance(time.now)) }
    }
}
