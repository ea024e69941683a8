package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.EndpointExit
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.LiveEndpoint

/**
 * Endpoints of a failure domain that are probed, one after the other until one accepts the connection. Several may have
 * crashed for the same reason; the limit bounds the connections that are attempted as a failure domain is lost.
 */
private const val MAX_NEIGHBOURS = 12

/**
 * Returns true if [endpoint] refuses connections and another endpoint of its failure domain does not. If all of them
 * do, the domain is lost or cut off, whatever the endpoint was asked. One that leaves has ended as planned.
 */
internal suspend fun QuarantineDependencies.hasCrashedAlone(endpoint: LiveEndpoint): Boolean {
    if (!refusesConnections(endpoint.address) || isLeaving(endpoint)) return false
    val neighbours =
        fleet.state.value.view.endpoints
            .filter { it.failureDomain == endpoint.failureDomain && it.id != endpoint.id }
            .filter { it.state == AdmissionState.IN_SERVICE }
            .shuffled(random)
            .sortedByDescending { it.service == endpoint.service }
            .take(MAX_NEIGHBOURS)
    return neighbours.isEmpty() || neighbours.any { !refusesConnections(it.address) }
}

/** Returns true if [endpoint] should be running; one that leaves may end connections, but has not crashed. */
internal fun QuarantineDependencies.isInService(endpoint: LiveEndpoint): Boolean = fleet.isInService(endpoint)

/** Returns true if [endpoint] should be running, as far as its entry tells. */
internal fun Fleet.isInService(endpoint: LiveEndpoint): Boolean = state.value.exitOf(endpoint) == EndpointExit.UNKNOWN

/** Returns what is known of the end of [endpoint] by [fleet] and by what endpoints say beside their entries. */
internal suspend fun exitOf(
    endpoint: LiveEndpoint,
    fleet: FleetState,
    isLeaving: suspend (LiveEndpoint) -> Boolean,
): EndpointExit {
    val exit = fleet.exitOf(endpoint)
    val isOpen = exit != EndpointExit.REPLACED && !exit.isPlanned
    return if (isOpen && isLeaving(endpoint)) EndpointExit.ANNOUNCED else exit
}
