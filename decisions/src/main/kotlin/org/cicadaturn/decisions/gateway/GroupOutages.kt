package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.dispatch.GroupHealth
import org.cicadaturn.decisions.dispatch.GroupTracker
import kotlin.time.Instant

/** Returns since when all groups of [members] have been down, or null if at least one is not. */
internal fun GroupTracker.downSince(members: List<BalancedEndpoint>): Instant? {
    val times = members.map { downSince(it.endpoint.id) ?: return null }
    return times.maxOrNull()
}

/** Returns true if a group of [members] is unreachable and none runs, as far as is known. */
internal fun GroupTracker.areIsolated(
    members: List<BalancedEndpoint>,
    now: Instant,
): Boolean {
    val healths = members.map { health(it.endpoint.id, now) }
    return healths.any { it == GroupHealth.UNREACHABLE } &&
        healths.all { it == GroupHealth.UNREACHABLE || it == GroupHealth.DOWN }
}
