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
 * Holds the constants of the limits.
 *
 * @property window time over which tokens count
 * @property slot grain of the window; a charge counts up to one slot longer than the window
 * @property lease time for which an entry process may use a grant, from the sending of its ask
 * @property resend time after which an unanswered ask is repeated
 * @property reportScarce time between reports while less than a fifth of the limit is free
 * @property reportPlentiful time between reports otherwise; below the lease, so that a grant in use is renewed
 * @property tolerance share of a limit that may be granted before the standby has confirmed it
 * @property unprovenShare share of its part of the limit that a minority without a copy uses in its first window
 * @property burstFactor most use in [burstWindow], as a multiple of what the limit gives for that time at an even rate;
 * without it an organisation above its limit would be served in the first part of each minute only
 * @property burstWindow time over which [burstFactor] counts
 * @property shortestWait shortest time before an unsatisfied ask is sent again
 */
public data class LimitPolicy(
    val window: Duration = 1.minutes,
    val slot: Duration = 500.milliseconds,
    val lease: Duration = 15.seconds,
    val resend: Duration = 250.milliseconds,
    val reportScarce: Duration = 1.seconds,
    val reportPlentiful: Duration = 13.seconds,
    val tolerance: Double = 0.02,
    val unprovenShare: Double = 0.2,
    val burstFactor: Double = 1.5,
    val burstWindow: Duration = 10.seconds,
    val shortestWait: Duration = 100.milliseconds,
) {
    init {
        require(burstFactor >= 1) { "burst $burstFactor must be at least 1, or the limit cannot be used" }
        require(reportPlentiful < lease) { "report interval $reportPlentiful must be below the lease $lease" }
        require(slot <= window / 10) { "slot $slot must be at most a tenth of the window $window" }
    }
}

/** Limits of one organisation over all entry processes: tokens in any window, and requests in flight. */
public data class OrganisationLimit(
    val tokens: Long,
    val inFlight: Int,
) {
    init {
        require(tokens >= 0 && inFlight >= 0) { "limits $tokens and $inFlight must not be negative" }
    }
}

/**
 * Is a request that asks to be admitted.
 *
 * @property id identifies the request within the process
 * @property tokens estimated tokens: prompt plus the longest answer
 * @property waitUntil when the request is refused if the allocator has no budget for it
 * @property answerUntil when the request is refused if the allocator has not said whether there is budget
 */
public data class LimitRequest(
    val id: Long,
    val tokens: Long,
    val waitUntil: Instant,
    val answerUntil: Instant = waitUntil,
)

/** Names which limit stopped a request. */
public enum class LimitReason {
    TOKENS,
    IN_FLIGHT,

    /** The request alone is above the limit and can never run. */
    TOO_LARGE,
}

/** Tells whether a request may run; [remaining] is the last known free budget over all entry processes. */
public sealed interface LimitDecision {
    /** Tokens that the organisation has left in the window, as last heard. */
    public val remaining: Long

    /** The request [id] may run; its end must be reported with this number. */
    public data class Admitted(
        val id: Long,
        override val remaining: Long,
    ) : LimitDecision

    /** The request waits; a later step settles it. */
    public data class Waiting(
        override val remaining: Long,
    ) : LimitDecision

    /** The request has not run; another try may succeed after [retryAfter]. */
    public data class Refused(
        val reason: LimitReason,
        val retryAfter: Duration,
        override val remaining: Long,
    ) : LimitDecision
}

/** Is the final decision on a request that waited. */
public data class SettledRequest(
    val organisation: OrganisationId,
    val id: Long,
    val decision: LimitDecision,
)

/** Is a message for the entry process [to]. */
public data class AddressedMessage(
    val to: ProcessId,
    val message: LimitMessage,
)

/** Part of the entry processes that an allocator hears: [live] of [members], itself included. */
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
