package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.dispatch.EngineProfile
import org.cicadaturn.decisions.dispatch.GroupLimit
import org.cicadaturn.decisions.dispatch.GroupTracker
import org.cicadaturn.decisions.dispatch.groupLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Room that this process has for requests at the groups of the endpoints that [find] returns. */
internal class GroupRoom(
    private val groups: GroupTracker,
    private val gateways: GatewayCount,
    private val wallClock: Clock?,
    private val find: (EndpointId) -> BalancedEndpoint?,
) {
    /** Profiles of the services whose endpoints are ranks of groups. */
    var profiles = emptyMap<ServiceId, ExpertProfile>()
        private set

    /** Limits by name of group. */
    private val limits = HashMap<String, GroupLimit>()

    /** Replaces the profiles by those of [configuration]. */
    fun update(configuration: RoutingConfiguration) {
        profiles = configuration.services.mapNotNull { s -> s.experts?.let { s.id to it } }.toMap()
    }

    /**
     * Returns when the group of [endpoint], which was listed at [now] after a start, can run at the earliest; null if its
     * service states no time to form.
     */
    fun opensAt(
        endpoint: LiveEndpoint,
        now: Instant,
    ): Instant? {
        val formTime = profiles[endpoint.service]?.formTime ?: return null
        return if (formTime > Duration.ZERO) now - timeSinceStart(endpoint) + formTime else null
    }

    /** Returns how long ago [endpoint] started; zero if the time of day of this process or of the endpoint is wrong. */
    private fun timeSinceStart(endpoint: LiveEndpoint): Duration {
        val time = wallClock?.let { it.now() - Instant.fromEpochMilliseconds(endpoint.startedAt) } ?: Duration.ZERO
        return if (time in Duration.ZERO..MAX_LISTING_DELAY) time else Duration.ZERO
    }

    /** Forgets the groups that have no rank among [endpoints]. */
    fun retain(endpoints: Set<EndpointId>) {
        limits.keys.retainAll(endpoints.mapTo(HashSet()) { groups.groupOf(it) })
    }

    /**
     * Returns true if the group of [member] may get another request of this process.
     *
     * A late request gets only a share of the room. Late requests that fill a group make the next ones late as well, long
     * after an outage or a burst: near its limit, a group answers hardly more requests a second, and all of them slower.
     */
    fun hasRoom(
        member: BalancedEndpoint,
        isLate: Boolean,
        now: Instant,
    ): Boolean {
        val endpoint = member.endpoint
        val profile = profiles[endpoint.service] ?: return true
        val engine = EngineProfile(endpoint.slots, profile.stepTime, profile.stepTimePerRequest)
        val limit = limits[groups.groupOf(endpoint.id)]?.ownPerRank(engine, now) ?: Double.MAX_VALUE
        // The requests that waited for the end of an outage come before any report of the load.
        val hasReturned = now - groups.upSince(endpoint.id) < RETURN_TIME
        val share = if (hasReturned) endpoint.slots.toDouble() / gateways.at(now) else Double.MAX_VALUE
        return ownPerRank(member) < minOf(limit, share) * (if (isLate) LATE_SHARE else 1.0)
    }

    /** Returns the number of requests that this process has in flight at a rank of the group of [member], on average. */
    private fun ownPerRank(member: BalancedEndpoint): Double {
        val ranks = groups.ranksOf(member.endpoint.id).mapNotNull { find(it) }
        return ranks.ifEmpty { listOf(member) }.map { it.inFlight }.average()
    }

    /** Records the [load] that [member] reported. */
    fun loadReported(
        member: BalancedEndpoint,
        load: LoadSample,
        now: Instant,
    ) {
        if (member.endpoint.service !in profiles) return
        val limit = limits.getOrPut(groups.groupOf(member.endpoint.id)) { groupLimit() }
        limit.reported(load.running + load.waiting, ownPerRank(member), now)
    }

    /** Records a pause between two events of a stream from [endpoint], as a [ratio] of its target. */
    fun paced(
        endpoint: EndpointId,
        ratio: Double,
        now: Instant,
    ) {
        limits[groups.groupOf(endpoint)]?.paced(ratio, now)
    }

    private companion object {
        /** Time after an outage for which a process keeps to an even share of the slots; reports follow meanwhile. */
        val RETURN_TIME = 500.milliseconds

        /** Longest time from the start of an endpoint until this process has its entry; watches are answered within it. */
        val MAX_LISTING_DELAY = 500.milliseconds

        /** Share of the room up to which late requests are placed; about what a group uses without an overload. */
        const val LATE_SHARE = 0.65
    }
}
