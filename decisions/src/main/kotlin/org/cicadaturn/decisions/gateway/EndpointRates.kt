package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.decisions.ratelimit.KnownLimit
import org.cicadaturn.decisions.ratelimit.namedLimits
import org.cicadaturn.decisions.routing.entryRank
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * This process's part of the rates that endpoints take from all gateways together: of endpoints that may be cold, and
 * of those that name a limit.
 *
 * Both are divided evenly among [gateways]; which of them send to an endpoint that takes less than one request of each
 * follows from their order at that endpoint. Every request counts, whatever it is sent for.
 */
internal class EndpointRates(
    private val options: BalancerOptions,
    private val gateways: GatewayCount,
) {
    /** What endpoints say about their limits. */
    val named = namedLimits()
    private var peers = emptyList<ProcessId>()
    private var startedAt: Instant? = null

    /** Replaces the known gateways with [peers] and drops what is known of endpoints that are not among [members]. */
    fun update(
        peers: List<ProcessId>,
        members: Collection<BalancedEndpoint>,
        now: Instant,
    ) {
        if (startedAt == null) startedAt = now
        if (peers != this.peers) {
            // What accrued in the earlier order counts; a process that now becomes a sender starts without requests.
            members.forEach { nextByLimit(it, now) }
            this.peers = peers
            members.forEach { it.senderRank = null }
        }
        named.retain(members.associate { it.endpoint.id to it.endpoint.startedAt }, now)
    }

    /**
     * Returns when this process may send another request to [member] even if that is cold, where a cold endpoint sustains
     * [coldRate] requests a second; not after [now] if at once.
     *
     * An endpoint may become cold without notice, so this bound always applies.
     */
    fun nextByColdRate(
        member: BalancedEndpoint,
        coldRate: Double,
        now: Instant,
    ): Instant {
        if (coldRate <= 0.0) return now
        val share = coldShare(coldRate, options.coldFactor, options.coldSlack, gateways.at(now))
        return if (isSender(member, share, now)) member.sends.nextAt(share, now) else Instant.DISTANT_FUTURE
    }

    /** Returns true if [member] has named a limit lately, so that the next answer can wait for need of it. */
    fun isReserve(
        member: BalancedEndpoint,
        now: Instant,
    ): Boolean {
        val limit = limitOf(member) ?: return false
        return limit.perSecond != null && now - member.limitConfirmedAt < CONFIRMATION_INTERVAL
    }

    /** Returns this process's share of the limit of [member] in requests per second, or null if it named none. */
    fun ownPerSecond(
        member: BalancedEndpoint,
        now: Instant,
    ): Double? {
        val limit = limitOf(member) ?: return null
        val share = share(limit, now) ?: return null
        return if (isSender(member, share, now)) share.perSecond else 0.0
    }

    /** Returns the limits in force and their use. */
    fun status(
        members: Collection<BalancedEndpoint>,
        now: Instant,
    ): List<EndpointLimitStatus> =
        members.mapNotNull { member ->
            val limit = limitOf(member) ?: return@mapNotNull null
            val perSecond = limit.perSecond ?: return@mapNotNull null
            EndpointLimitStatus(
                endpoint = member.endpoint.id,
                perSecond = perSecond,
                ownPerSecond = ownShare(member, now)?.perSecond ?: 0.0,
                recentlySent = member.sends.count(STATUS_WINDOW, now),
                confirmedBefore = now - limit.answeredAt,
            )
        }

    private fun limitOf(member: BalancedEndpoint): KnownLimit? =
        named.known(member.endpoint.id, member.endpoint.startedAt)

    /** Returns the share of a sender, or null if nothing binds requests to [member] or if others send to it. */
    private fun ownShare(
        member: BalancedEndpoint,
        now: Instant,
    ): RateShare? = limitOf(member)?.let { share(it, now) }?.takeIf { isSender(member, it, now) }

    private fun share(
        limit: KnownLimit,
        now: Instant,
    ): RateShare? {
        val perSecond = limit.perSecond
        val ended = limit.endedPerSecond
        return when {
            perSecond != null -> namedShare(perSecond, gateways.at(now))
            ended != null -> returnShare(ended, now - limit.since, gateways.at(now))
            else -> null
        }
    }

    /** Returns when the limit of [member] lets this process send a request; not after [now] if at once. */
    fun nextByLimit(
        member: BalancedEndpoint,
        now: Instant,
    ): Instant {
        val limit = limitOf(member) ?: return now
        val share = share(limit, now) ?: return now
        if (member.limitedSince != limit.since) {
            member.limitedSince = limit.since
            member.sends.restart(limit.since, firstTokens(member, limit, share))
        }
        if (!isSender(member, share, now)) {
            member.sends.restart(now)
            return Instant.DISTANT_FUTURE
        }
        return member.sends.nextAt(share, now)
    }

    /**
     * Returns the tokens at the beginning of a limit, with which the senders take turns instead of all sending at once.
     *
     * A process that has just started has none, as the one that it replaces may have used them.
     */
    private fun firstTokens(
        member: BalancedEndpoint,
        limit: KnownLimit,
        share: RateShare,
    ): Double {
        val isNew = limit.since - (startedAt ?: limit.since) < START_TIME
        return if (isNew || limit.perSecond == null) 0.0 else 1 - (senderRank(member) + 1.0) / share.senders
    }

    private fun isSender(
        member: BalancedEndpoint,
        share: RateShare,
        now: Instant,
    ): Boolean = share.senders >= gateways.at(now) || senderRank(member) < share.senders

    private fun senderRank(member: BalancedEndpoint): Int =
        member.senderRank ?: entryRank(options.self, peers, member.endpoint.id).also { member.senderRank = it }

    private companion object {
        /** Time after which a limit is confirmed by another request even if other endpoints have less load. */
        val CONFIRMATION_INTERVAL = 2.seconds

        /** Window of the rule, within which a process that is replaced may have used its share. */
        val START_TIME = 4.seconds
        val STATUS_WINDOW = 4.seconds
    }
}
