package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.ServiceId

/** Endpoints in service by service, as each request needs those of its service only. Has one owner. */
internal class ServingEndpoints(
    private val permits: SendPermits,
) {
    private var serving = emptyMap<ServiceId, List<BalancedEndpoint>>()

    /** Services of which all listed endpoints leave. */
    private var left = emptySet<ServiceId>()

    /** Replaces the endpoints by those of [members] that are in service. */
    fun update(members: Collection<BalancedEndpoint>) {
        serving = members.filter(permits::isInService).groupBy { it.endpoint.service }
        left = members.groupBy { it.endpoint.service }.filterValues { it.all(permits::isLeaving) }.keys
    }

    /** Returns the endpoints of [service] that are in service. */
    fun of(service: ServiceId): List<BalancedEndpoint> = serving[service].orEmpty()

    /** Returns why no endpoint of [service] is left for a request. */
    fun causeOfNone(service: ServiceId): Unavailability =
        if (service in left) Unavailability.LEAVING else Unavailability.NO_ENDPOINT
}
