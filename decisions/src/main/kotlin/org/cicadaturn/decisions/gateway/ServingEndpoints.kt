package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.ServiceId

/** Endpoints in service by service, as each request needs those of its service only. Has one owner. */
internal class ServingEndpoints(
    private val permits: SendPermits,
) {
    private var serving = emptyMap<ServiceId, List<BalancedEndpoint>>()

    private var listed = emptyMap<ServiceId, List<BalancedEndpoint>>()

    /** Replaces the endpoints by those of [members] that are in service. */
    fun update(members: Collection<BalancedEndpoint>) {
        listed = members.groupBy { it.endpoint.service }
        serving = listed.mapValues { (_, ofService) -> ofService.filter(permits::isInService) }
    }

    /** Returns the endpoints of [service] that are in service. */
    fun of(service: ServiceId): List<BalancedEndpoint> = serving[service].orEmpty()

    /** Returns why no endpoint is left for [request]. */
    fun causeOfNone(request: EndpointRequest): Unavailability {
        val possible = listed[request.service].orEmpty().filter { request.mayGoTo(it.endpoint.id) }
        val areLeaving = possible.isNotEmpty() && possible.all(permits::isLeaving)
        return if (areLeaving) Unavailability.LEAVING else Unavailability.NO_ENDPOINT
    }
}
