package org.cicadaturn.decisions.admission

import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which requests run on one back end, which wait and which are refused.
 *
 * A gate has one owner and is not safe for concurrent use. It holds no timer: the owner calls [advance] at the
 * time that [nextExpiry] names. Instants must not decrease from call to call.
 */
public interface AdmissionGate {
    /** Returns the present bound and counts, as a load report shows them. */
    public fun state(): GateState

    /** Decides on a request that has just arrived. */
    public fun arrive(
        request: AdmissionRequest,
        now: Instant,
    ): ArrivalResult

    /** Frees the place of an admitted or waiting request; a ticket that the gate does not hold is ignored. */
    public fun finish(
        ticket: Ticket,
        ending: Ending,
        now: Instant,
    ): GateChange

    /** Takes the engine's own report; a new [run] number or a turn of [cold] to true starts a cold start. */
    public fun applyEngineReport(
        run: Long,
        cold: Boolean,
        now: Instant,
    ): GateChange

    /** Starts a cold start for a reason that the gate cannot see, such as a refused connection. */
    public fun markCold(now: Instant): GateChange

    /** Refuses every waiting and every later request with [code]; running requests are not affected. */
    public fun close(
        code: RefusalCode,
        now: Instant,
    ): GateChange

    /** Accepts requests again after [close]. */
    public fun reopen()

    /** Refuses waiting requests whose time has run out and admits others if places are free. */
    public fun advance(now: Instant): GateChange

    /** Returns when [advance] must be called next if nothing else happens; null if no request waits. */
    public fun nextExpiry(): Instant?
}

/** Creates a gate whose back end is cold. */
public fun admissionGate(limits: AdmissionLimits): AdmissionGate = QueueingGate(limits)

/** Identifies a request at one gate; the gate's owner draws it and never reuses it. */
@JvmInline
public value class Ticket(
    public val number: Long,
) {
    override fun toString(): String = number.toString()
}

/**
 * Limits of one gate.
 *
 * @property warmBound requests at once that a warm back end bears
 * @property coldBound requests at once that a back end bears right after it became cold
 * @property coldStep finished requests after which the bound grows by one
 * @property queueWait longest time that a request waits for a place
 * @property queueLength most requests that wait; bounds memory when no run time has been seen yet
 * @property failureBurst consecutive failures after which the back end counts as cold
 * @property failureWindow longest time from the first to the last failure of a burst
 */
public data class AdmissionLimits(
    val warmBound: Int,
    val coldBound: Int,
    val coldStep: Int,
    val queueWait: Duration = 200.milliseconds,
    val queueLength: Int = 1_000,
    val failureBurst: Int = 3,
    val failureWindow: Duration = 1.seconds,
) {
    init {
        require(coldBound in 1..warmBound) { "cold bound $coldBound must be from 1 to the warm bound $warmBound" }
        require(coldStep >= 1) { "cold step $coldStep must be at least 1" }
        require(queueWait >= Duration.ZERO) { "queue wait $queueWait must not be negative" }
        require(queueLength >= 0) { "queue length $queueLength must not be negative" }
        require(failureBurst >= 1) { "failure burst $failureBurst must be at least 1" }
    }
}

/**
 * Describes a request that asks for a place.
 *
 * @property ticket identifies the request at this gate
 * @property confirmation true for a call that must run at most once; served before all others
 * @property priority higher is served first among requests of the same class
 * @property tokens estimated tokens of prompt and answer; 0 if unknown
 * @property deadline when the complete answer is due
 */
public data class AdmissionRequest(
    val ticket: Ticket,
    val confirmation: Boolean,
    val priority: Int,
    val tokens: Long,
    val deadline: Instant,
)

/** Tells how a request that held a place ended. */
public enum class Ending {
    /** The back end answered completely. */
    FINISHED,

    /** The back end failed: connection lost, no answer, or an answer that reports an internal error. */
    FAILED,

    /** The caller left; this says nothing about the back end. */
    CANCELLED,
}

/** Is the decision on one request. */
public sealed interface AdmissionDecision {
    /** Request that the decision is about. */
    public val ticket: Ticket

    /** The request runs now. */
    public data class Admit(
        override val ticket: Ticket,
    ) : AdmissionDecision

    /** The request waits; a later [GateChange] admits or refuses it, at the latest at [until]. */
    public data class Queue(
        override val ticket: Ticket,
        val until: Instant,
    ) : AdmissionDecision

    /** The request has not run and will not run here; [retryAfter] is when a place may be free. */
    public data class Refuse(
        override val ticket: Ticket,
        val code: RefusalCode,
        val message: String,
        val retryAfter: Duration?,
    ) : AdmissionDecision
}

/**
 * Is the answer to an arrival.
 *
 * @property decision decision on the request that arrived
 * @property change decisions on requests that waited before
 */
public data class ArrivalResult(
    val decision: AdmissionDecision,
    val change: GateChange,
)

/** Holds the decisions on waiting requests that an event led to; each is [AdmissionDecision.Admit] or a refusal. */
public data class GateChange(
    val decisions: List<AdmissionDecision>,
)

/**
 * Shows a gate at one moment.
 *
 * @property engine COLD until the bound has grown to the warm bound
 * @property bound requests that may run at once
 * @property running requests that run
 * @property queued requests that wait
 * @property tokens estimated tokens of running and waiting requests
 * @property finished requests that began and finished since the back end became cold
 */
public data class GateState(
    val engine: EngineState,
    val bound: Int,
    val running: Int,
    val queued: Int,
    val tokens: Long,
    val finished: Long,
)
