package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Constants of the enforcement of organisation limits.
 *
 * @property window time over which used tokens count against the limit
 * @property slot resolution of the window; a charge counts for up to one slot longer than the window
 * @property lease time for which an entry process may use a grant, from the sending of its budget request
 * @property resendInterval time after which an unanswered budget request is repeated
 * @property scarceReportInterval time between reports while less than a fifth of the limit is free
 * @property normalReportInterval time between reports otherwise; shorter than the lease, so that grants in use are
 * renewed
 * @property tolerance share of a limit that may be granted before the standby has confirmed it
 * @property minorityShare share of its part of the limit that a minority without a copy uses in its first window
 * @property burstFactor most use in [burstWindow], as a multiple of the use at an even rate; without this bound, an
 * organisation above its limit would be served only in the first part of each minute
 * @property burstWindow time over which [burstFactor] applies
 * @property minWait shortest time before an unsatisfied budget request is sent again
 */
public data class LimitPolicy(
    val window: Duration = 1.minutes,
    val slot: Duration = 500.milliseconds,
    val lease: Duration = 15.seconds,
    val resendInterval: Duration = 250.milliseconds,
    val scarceReportInterval: Duration = 1.seconds,
    val normalReportInterval: Duration = 13.seconds,
    val tolerance: Double = 0.02,
    val minorityShare: Double = 0.2,
    val burstFactor: Double = 1.5,
    val burstWindow: Duration = 10.seconds,
    val minWait: Duration = 100.milliseconds,
) {
    init {
        require(burstFactor >= 1) { "burst factor $burstFactor must be at least 1, or the limit cannot be used" }
        require(normalReportInterval < lease) { "report interval $normalReportInterval must be below the lease $lease" }
        require(slot <= window / 10) { "slot $slot must be at most a tenth of the window $window" }
    }
}

/** Limits of one organisation over all entry processes: tokens within any window, and requests in flight. */
public data class OrganisationLimit(
    val tokens: Long,
    val inFlight: Int,
) {
    init {
        require(tokens >= 0 && inFlight >= 0) { "limits $tokens and $inFlight must not be negative" }
    }
}

/**
 * Request for admission under the limits of an organisation.
 *
 * @property id identifier of the request within the process
 * @property tokens estimated tokens of the prompt and the longest possible answer
 * @property waitUntil time at which the request is refused if the allocator has no budget for it
 * @property answerUntil time at which the request is refused if the allocator has not answered
 */
public data class LimitRequest(
    val id: Long,
    val tokens: Long,
    val waitUntil: Instant,
    val answerUntil: Instant = waitUntil,
)

/** Reason for the refusal of a request. */
public enum class LimitReason {
    TOKENS,
    IN_FLIGHT,

    /** No limit is known to be used: the allocator has not answered in time. */
    UNANSWERED,

    /** The request alone exceeds the limit, so it can never run. */
    TOO_LARGE,
}

/** Decision on the admission of a request. */
public sealed interface LimitDecision {
    /** Tokens that the organisation has left in the window over all entry processes, as last reported. */
    public val remaining: Long

    /** The request may run; its end must be reported with [id]. */
    public data class Admitted(
        val id: Long,
        override val remaining: Long,
    ) : LimitDecision

    /** The request waits; a later [LimitNode.step] returns the decision. */
    public data class Waiting(
        override val remaining: Long,
    ) : LimitDecision

    /** The request must not run; a retry may succeed after [retryAfter]. */
    public data class Refused(
        val reason: LimitReason,
        val retryAfter: Duration,
        override val remaining: Long,
    ) : LimitDecision
}

/** Final decision on a request that waited. */
public data class SettledRequest(
    val organisation: OrganisationId,
    val id: Long,
    val decision: LimitDecision,
)

/** Message for the entry process [to]. */
public data class AddressedMessage(
    val to: ProcessId,
    val message: LimitMessage,
)

/** Part of the entry processes that is connected to an allocator: [live] of [members], itself included. */
public data class LiveShare(
    val live: Int,
    val members: Int,
) {
    init {
        require(live in 1..members) { "live processes $live must be from 1 to $members" }
    }

    /** True if the live processes are more than half of the members. */
    public val isMajority: Boolean get() = 2 * live > members

    /** Returns the part of [whole] that belongs to the live processes. */
    public fun of(whole: Long): Long = whole * live / members
}
