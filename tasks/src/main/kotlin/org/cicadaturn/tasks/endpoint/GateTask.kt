package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.admission.AdmissionDecision
import org.cicadaturn.decisions.admission.AdmissionGate
import org.cicadaturn.decisions.admission.AdmissionRequest
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.admission.GateChange
import org.cicadaturn.decisions.admission.GateState
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Clock
import kotlin.time.Duration.Companion.hours

/** Messages that wait for the gate; a full queue suspends the request that sends one. */
private const val GATE_QUEUE = 1024

/** Stands before the back end and lets requests pass one decision at a time. */
internal interface Gate {
    /** Bound and counts after the last decision. */
    val state: StateFlow<GateState>

    /** Returns once [request] was admitted or refused, waiting for a place if need be. */
    suspend fun admit(request: AdmissionRequest): AdmissionDecision

    /** Frees the place of [ticket]. */
    suspend fun finish(
        ticket: Ticket,
        ending: Ending,
    )

    /** Takes the load report of the back end. */
    suspend fun engineReport(
        run: Long,
        cold: Boolean,
    )

    /** Tells that the back end accepted no connection. */
    suspend fun turnCold()

    /** Refuses waiting and new requests with [code]; null lets new requests in again. */
    suspend fun close(code: RefusalCode?)
}

private sealed interface GateMessage {
    class Arrive(
        val request: AdmissionRequest,
        val reply: CompletableDeferred<AdmissionDecision>,
    ) : GateMessage

    class Finish(
        val ticket: Ticket,
        val ending: Ending,
    ) : GateMessage

    class Report(
        val run: Long,
        val cold: Boolean,
    ) : GateMessage

    data object TurnCold : GateMessage

    class Close(
        val code: RefusalCode?,
    ) : GateMessage
}

/** Owns [gate]; [run] is the only coroutine that calls it. */
internal class GateTask(
    private val gate: AdmissionGate,
    private val clock: Clock,
) : Gate {
    private val messages = Channel<GateMessage>(GATE_QUEUE)
    private val waiting = HashMap<Ticket, CompletableDeferred<AdmissionDecision>>()
    private val published = MutableStateFlow(gate.state())

    override val state: StateFlow<GateState> = published.asStateFlow()

    override suspend fun admit(request: AdmissionRequest): AdmissionDecision {
        val reply = CompletableDeferred<AdmissionDecision>()
        try {
            messages.send(GateMessage.Arrive(request, reply))
            return reply.await()
        } catch (e: CancellationException) {
            // The place may have been given already, so it is given back in either case.
            withContext(NonCancellable) { finish(request.ticket, Ending.CANCELLED) }
            throw e
        }
    }

    override suspend fun finish(
        ticket: Ticket,
        ending: Ending,
    ) {
        messages.send(GateMessage.Finish(ticket, ending))
    }

    override suspend fun engineReport(
        run: Long,
        cold: Boolean,
    ) {
        messages.send(GateMessage.Report(run, cold))
    }

    override suspend fun turnCold() {
        messages.send(GateMessage.TurnCold)
    }

    override suspend fun close(code: RefusalCode?) {
        messages.send(GateMessage.Close(code))
    }

    /** Decides until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() {
        while (true) {
            val pause = gate.nextExpiry()?.let { it - clock.now() } ?: 1.hours
            select {
                messages.onReceive { handle(it) }
                onTimeout(pause) { apply(gate.advance(clock.now())) }
            }
            published.value = gate.state()
        }
    }

    private fun handle(message: GateMessage) {
        val now = clock.now()
        when (message) {
            is GateMessage.Arrive -> {
                arrive(message)
            }

            is GateMessage.Finish -> {
                waiting.remove(message.ticket)
                apply(gate.finish(message.ticket, message.ending, now))
            }

            is GateMessage.Report -> {
                apply(gate.applyEngineReport(message.run, message.cold, now))
            }

            is GateMessage.TurnCold -> {
                apply(gate.markCold(now))
            }

            is GateMessage.Close -> {
                if (message.code == null) gate.reopen() else apply(gate.close(message.code, now))
            }
        }
    }

    private fun arrive(message: GateMessage.Arrive) {
        val result = gate.arrive(message.request, clock.now())
        if (result.decision is AdmissionDecision.Queue) {
            waiting[message.request.ticket] = message.reply
        } else {
            message.reply.complete(result.decision)
        }
        apply(result.change)
    }

    private fun apply(change: GateChange) {
        change.decisions.forEach { waiting.remove(it.ticket)?.complete(it) }
    }
}
