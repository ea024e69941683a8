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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Number of messages that may wait for the gate; a full queue suspends the sender. */
private const val GATE_QUEUE = 1024

/** Time to wait for a message while no decision is due. */
private val IDLE_TIMEOUT: Duration = 1.hours

/** Admission control for the back end; decides on one request at a time. */
internal interface Gate {
    /** Bound and counts after the latest decision. */
    val state: StateFlow<GateState>

    /** Returns the decision to admit or refuse [request], after a wait in the queue if the back end is full. */
    suspend fun admit(request: AdmissionRequest): AdmissionDecision

    /** Releases the capacity that [ticket] holds. */
    suspend fun finish(
        ticket: Ticket,
        ending: Ending,
    )

    /** Applies a report of the engine: [run] distinguishes its successive runs, [cold] is true in a cold start. */
    suspend fun applyEngineReport(
        run: Long,
        cold: Boolean,
    )

    /** Marks the back end as cold after it accepted no connection. */
    suspend fun markCold()

    /** Refuses waiting and new requests with [code]; null ends the refusal of new requests. */
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

    data object MarkCold : GateMessage

    class Close(
        val code: RefusalCode?,
    ) : GateMessage
}

/** Owns [gate]; only the coroutine that runs [run] calls it. */
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
            // The request may already be admitted, so its capacity is released in either case.
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

    override suspend fun applyEngineReport(
        run: Long,
        cold: Boolean,
    ) {
        messages.send(GateMessage.Report(run, cold))
    }

    override suspend fun markCold() {
        messages.send(GateMessage.MarkCold)
    }

    override suspend fun close(code: RefusalCode?) {
        messages.send(GateMessage.Close(code))
    }

    /** Handles messages until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() {
        while (true) {
            val timeout = gate.nextExpiry()?.let { it - clock.now() } ?: IDLE_TIMEOUT
            select {
                messages.onReceive { handle(it) }
                onTimeout(timeout) { apply(gate.advance(clock.now())) }
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

            is GateMessage.MarkCold -> {
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
