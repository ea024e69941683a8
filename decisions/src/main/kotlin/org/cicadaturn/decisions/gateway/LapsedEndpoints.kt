package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Endpoints that were listed lately and no longer are. An entry that lapses may come back while the bounds on the rate
 * of its endpoint still count what was sent before. Has one owner and is not safe for concurrent use.
 */
internal class LapsedEndpoints {
    private class Lapsed(
        val member: BalancedEndpoint,
        val since: Instant,
    )

    private val lapsed = HashMap<EndpointId, Lapsed>()

    /** Adds those of [members] that are not among [listed], and forgets those that lapsed long ago. */
    fun update(
        members: Collection<BalancedEndpoint>,
        listed: Set<EndpointId>,
        now: Instant,
    ) {
        lapsed.values.removeIf { now - it.since >= RETENTION }
        members.filter { it.endpoint.id !in listed }.forEach { lapsed[it.endpoint.id] = Lapsed(it, now) }
    }

    /** Returns [endpoint], listed at [now], with what was sent to it before its entry lapsed, unless it has restarted. */
    fun listed(
        endpoint: LiveEndpoint,
        now: Instant,
    ): BalancedEndpoint {
        val earlier = lapsed.remove(endpoint.id)?.member?.takeIf { it.endpoint.startedAt == endpoint.startedAt }
        val member = BalancedEndpoint(endpoint, now, earlier?.sends ?: sendPacer(now))
        member.limitedSince = earlier?.limitedSince
        return member
    }

    private companion object {
        /** Longer than entries lapse while the store is away. */
        val RETENTION = 1.minutes
    }
}
