package org.cicadaturn.decisions.admission

import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Admission control of one back end: decides which requests run, which wait and which are refused.
 *
 * A gate has one owner and is not safe for concurrent use. It has no timer: the owner must call [advance] at the time
 * that [nextExpiry] returns. Times must not decrease from call to call.
 */
public interface AdmissionGate {
    /** Returns the current bound and counts for a load report. */
    public fun state(): GateState

    /** Decides on a new request. */
    public fun arrive(
        request: AdmissionRequest,
        now: Instant,
    ): ArrivalResult

    /** Removes an admitted or waiting request; an unknown ticket is ignored. */
    public fun finish(
        ticket: Ticket,
        ending: Ending,
        now: Instant,
    ): GateChange

    /** Applies a report of the engine; a new [run] number or a change of [cold] to true begins a cold start. */
    public fun applyEngineReport(
        run: Long,
        cold: Boolean,
        now: Instant,
    ): GateChange

    /** Begins a cold start for a reason that is unknown to the gate, such as a refused connection. */
    public fun markCold(now: Instant): GateChange

    /** Refuses all waiting and later requests with [code]; running requests are not affected. */
    public fun close(
        code: RefusalCode,
        now: Instant,
    ): GateChange

    /** Accepts requests again after [close]. */
    public fun reopen()

    /** Refuses waiting requests that have expired, and admits others if places are free. */
    public fun advance(now: Instant): GateChange

    /** Returns the time at which the next waiting request expires; null if no request waits. */
    public fun nextExpiry(): Instant?
}

/** Creates a gate whose back end is cold. */
public fun admissionGate(limits: AdmissionLimits): AdmissionGate = QueueingGate(limits)

/** Identifier of a request at one gate; assigned by the owner of the gate and never reused. */
@JvmInline
public value class Ticket(
    public val number: Long,
) {
    override fun toString(): String = number.toString()
}

/**
 * Limits of one gate.
 *
 * @property warmBound most concurrent requests of a warm back end
 * @property coldBound most concurrent requests of a back end that has just become cold
 * @property coldStep finished requests after which the bound grows by one
 * @property queueWait longest time that a request waits for a place
 * @property queueLength most waiting requests; limits memory while no run time is known, so that no wait is estimated
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
 * Request for admission at a gate.
 *
 * @property ticket identifier of the request at this gate
 * @property confirmation true for a call that must run at most once; such calls are served before all others
 * @property priority priority among requests of the same class; higher values are served first
 * @property tokens estimated tokens of prompt and answer; 0 if unknown
 * @property deadline time at which the complete answer is due
 */
public data class AdmissionRequest(
    val ticket: Ticket,
    val confirmation: Boolean,
    val priority: Int,
    val tokens: Long,
    val deadline: Instant,
)

/** End of an admitted request. */
public enum class Ending {
    /** The back end gave a complete answer. */
    FINISHED,

    /** The back end failed: connection lost, no answer, or an answer that reports an internal error. */
    FAILED,

    /** The caller disconnected, which gives no information about the back end. */
    CANCELLED,
}

/** Decision on one request. */
public sealed interface AdmissionDecision {
    /** Identifier of the request. */
    public val ticket: Ticket

    /** The request runs now. */
    public data class Admit(
        override val ticket: Ticket,
    ) : AdmissionDecision

    /** The request waits; a later [GateChange] admits or refuses it at [until] at the latest. */
    public data class Queue(
        override val ticket: Ticket,
        val until: Instant,
    ) : AdmissionDecision

    /** The request has not run and will not run here; a place may be free after [retryAfter]. */
    public data class Refuse(
        override val ticket: Ticket,
        val code: RefusalCode,
        val message: String,
        val retryAfter: Duration?,
    ) : AdmissionDecision
}

/**
 * Result of the arrival of a request.
 *
 * @property decision decision on the new request
 * @property change decisions on requests that were already waiting
 */
public data class ArrivalResult(
    val decision: AdmissionDecision,
    val change: GateChange,
)

/** Decisions on waiting requests after an event; each is an [AdmissionDecision.Admit] or [AdmissionDecision.Refuse]. */
public data class GateChange(
    val decisions: List<AdmissionDecision>,
)

/**
 * State of a gate.
 *
 * @property engine COLD until the bound has grown to the warm bound
 * @property bound most requests that may run at once
 * @property running number of running requests
 * @property queued number of waiting requests
 * @property tokens estimated tokens of running and waiting requests
 * @property finished requests that began and finished since the back end last became cold
 */
public data class GateState(
    val engine: EngineState,
    val bound: Int,
    val running: Int,
    val queued: Int,
    val tokens: Long,
    val finished: Long,
)
