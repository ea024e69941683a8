package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Reason why an endpoint gets no request of this process, in the order in which they are stated.
 *
 * @property text description for logs
 */
public enum class WithholdReason(
    public val text: String,
) {
    LEAVING("it leaves"),
    DRAINED_DOMAIN("its failure domain is drained"),
    PAUSED("it asked for a pause, or returns from one"),
    NAMED_LIMIT("its limit is used up"),
    COLD_RATE("it may be cold and gets no more requests a second"),
}

/**
 * Why an endpoint gets no request now.
 *
 * @property nextAt when it may get one; in the distant future if no time is known, or if only other processes send to it
 */
internal class SendHold(
    val reason: WithholdReason,
    val nextAt: Instant,
) {
    /** True if the endpoint asked for it; a cold rate bounds also what an endpoint would take. */
    val isAskedFor: Boolean get() = reason != WithholdReason.COLD_RATE
}

/** Returns when an endpoint may be given a request at the time that is given; not after that if at once. */
private typealias SendRule = (BalancedEndpoint, Instant) -> Instant

/**
 * Endpoint that gets no request of this process.
 *
 * @property reason first of the reasons
 * @property remaining time after which it may get a request; null if that is not known
 * @property departure how this process learned that the endpoint leaves; null if it does not
 */
public data class WithheldEndpoint(
    val endpoint: EndpointId,
    val reason: WithholdReason,
    val remaining: Duration?,
    val departure: Departure? = null,
)

/**
 * Decides whether an endpoint may be given a request now and if not, when. Has one owner and is not safe for concurrent
 * use.
 *
 * All bounds that hold for every request, whatever it is sent for, are rules here. What depends on the load and health
 * of an endpoint only orders the choice among those that get requests, and is not.
 */
internal class SendPermits(
    private val departures: Departures,
    private val pauses: EndpointPauses,
    private val rates: EndpointRates,
    private val coldRateOf: (BalancedEndpoint) -> Double,
) {
    /** Failure domains that get no requests. */
    var drainedDomains: Set<FailureDomainId> = emptySet()

    /** Rules that only events end, not the passage of time. */
    private val lasting: List<Pair<WithholdReason, SendRule>> =
        listOf(
            WithholdReason.LEAVING to { member, now -> if (isLeaving(member)) Instant.DISTANT_FUTURE else now },
            WithholdReason.DRAINED_DOMAIN to { member, now ->
                if (member.endpoint.failureDomain in drainedDomains) Instant.DISTANT_FUTURE else now
            },
        )

    private val passing: List<Pair<WithholdReason, SendRule>> =
        listOf(
            WithholdReason.PAUSED to { member, now -> pauses.nextAt(member.endpoint, now) },
            WithholdReason.NAMED_LIMIT to rates::nextByLimit,
            WithholdReason.COLD_RATE to { member, now -> rates.nextByColdRate(member, coldRateOf(member), now) },
        )

    /** Returns true if [member] takes no new requests until its end. */
    fun isLeaving(member: BalancedEndpoint): Boolean =
        member.endpoint.state != AdmissionState.IN_SERVICE || departures.of(member.endpoint) != null

    /** Returns true if [member] is in service, so that only rules that end by themselves may keep requests from it. */
    fun isInService(member: BalancedEndpoint): Boolean = firstHold(lasting, member, Instant.DISTANT_PAST) == null

    /** Returns why [member], which is in service, may not be given a request at [now], or null if it may. */
    fun holdOn(
        member: BalancedEndpoint,
        now: Instant,
    ): SendHold? = firstHold(passing, member, now)

    /** Returns those of [members], which are in service, that may not be given a request at [now]. */
    fun holds(
        members: List<BalancedEndpoint>,
        now: Instant,
    ): Map<BalancedEndpoint, SendHold> {
        var holds: HashMap<BalancedEndpoint, SendHold>? = null
        for (member in members) {
            val hold = holdOn(member, now) ?: continue
            if (holds == null) holds = HashMap()
            holds[member] = hold
        }
        return holds ?: emptyMap()
    }

    /** Returns the first reason of [rules] and the latest time, or null if none of them applies. */
    private fun firstHold(
        rules: List<Pair<WithholdReason, SendRule>>,
        member: BalancedEndpoint,
        now: Instant,
    ): SendHold? {
        var reason: WithholdReason? = null
        var nextAt = now
        for ((stated, rule) in rules) {
            val at = rule(member, now)
            if (at <= now) continue
            if (reason == null) reason = stated
            nextAt = maxOf(nextAt, at)
        }
        return reason?.let { SendHold(it, nextAt) }
    }

    /** Counts a request to [member]. */
    fun sent(
        member: BalancedEndpoint,
        now: Instant,
    ) {
        member.sends.sent(now)
        pauses.sent(member.endpoint, now)
    }

    /** Returns why a request finds no endpoint because of [holds], which the endpoints asked for. */
    fun causeOf(holds: Map<BalancedEndpoint, SendHold>): Unavailability {
        val isPaused = holds.values.any { it.reason == WithholdReason.PAUSED }
        return if (isPaused) Unavailability.PAUSED else Unavailability.AT_NAMED_LIMIT
    }

    /** Returns when and how fast this process may send to endpoints that get no request now because of [holds]. */
    fun budget(
        holds: Map<BalancedEndpoint, SendHold>,
        now: Instant,
    ): RateBudget {
        val nextAt = holds.values.minOf { it.nextAt }
        return RateBudget(
            nextAt = nextAt,
            perSecond =
                holds.entries.sumOf { (member, hold) ->
                    val isPaused = hold.reason == WithholdReason.PAUSED
                    val afterPause = if (hold.nextAt - nextAt < MAX_LATER) EndpointPauses.FIRST_SECOND_RATE else 0.0
                    listOfNotNull(rates.ownPerSecond(member, now), afterPause.takeIf { isPaused }).minOrNull() ?: 0.0
                },
        )
    }

    /** Returns which of [members] may not be given a request at [now]. */
    fun withheld(
        members: Collection<BalancedEndpoint>,
        now: Instant,
    ): List<WithheldEndpoint> =
        members.mapNotNull { member ->
            val hold = firstHold(lasting + passing, member, now) ?: return@mapNotNull null
            val remaining = (hold.nextAt - now).takeIf { hold.nextAt < Instant.DISTANT_FUTURE }
            WithheldEndpoint(member.endpoint.id, hold.reason, remaining, departures.of(member.endpoint))
        }

    private companion object {
        /** Pauses that end later than this after the first one do not count for requests that wait for that. */
        val MAX_LATER = 1.seconds
    }
}
