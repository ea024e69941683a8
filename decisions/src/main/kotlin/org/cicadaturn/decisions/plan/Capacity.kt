package org.cicadaturn.decisions.plan

import org.cicadaturn.decisions.configuration.configurationIndex
import org.cicadaturn.schema.generated.CapacityEffect
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.PlanWarning
import org.cicadaturn.schema.generated.PlanWarningCode
import org.cicadaturn.schema.generated.ServiceId

/**
 * Reported load of the endpoints, on which the effects and warnings of a plan are based.
 *
 * @property loads last load report of each endpoint that has sent one
 */
public data class LoadSnapshot(
    val loads: Map<EndpointId, LoadReport> = emptyMap(),
)

/** Returns the endpoints of [configuration] that may get new requests. */
internal fun endpointsInService(configuration: Configuration): List<Endpoint> {
    val index = configurationIndex(configuration)
    return configuration.endpoints.filter { index.isInService(it) }
}

/** Returns the effect on each service whose endpoints in service change, in the order of the services. */
internal fun capacityEffects(
    before: Configuration,
    after: Configuration,
    snapshot: LoadSnapshot,
): List<CapacityEffect> {
    val inServiceBefore = endpointsInService(before).groupBy { it.service }
    val inServiceAfter = endpointsInService(after).groupBy { it.service }
    val load =
        before.endpoints.groupBy { it.service }.mapValues { (_, all) ->
            all.sumOf { snapshot.requestsAt(it.id) }
        }
    return after.services.map { it.id }.mapNotNull { service ->
        val old = inServiceBefore[service].orEmpty().map { it.id }
        val new = inServiceAfter[service].orEmpty().map { it.id }
        if (old.toSet() == new.toSet()) return@mapNotNull null
        CapacityEffect(
            service = service,
            endpointsBefore = old.size,
            endpointsAfter = new.size,
            capacityBefore = old.sumOf { snapshot.boundOf(it) },
            capacityAfter = new.sumOf { snapshot.boundOf(it) },
            unreported = new.count { it !in snapshot.loads },
            load = load[service] ?: 0,
        )
    }
}

/** Returns warnings about services that lose endpoints, and about endpoints without a load report. */
internal fun capacityWarnings(
    effects: List<CapacityEffect>,
    after: Configuration,
): List<PlanWarning> =
    effects.flatMap { effect ->
        val domains =
            endpointsInService(after)
                .filter { it.service == effect.service }
                .map { it.failureDomain }
                .toSet()
        val loses = effect.endpointsAfter < effect.endpointsBefore
        listOfNotNull(
            belowLoad(effect).takeIf { loses && effect.capacityAfter < effect.load },
            lastEndpoint(effect.service).takeIf { loses && effect.endpointsAfter == 1 },
            PlanWarning(
                PlanWarningCode.LAST_FAILURE_DOMAIN,
                "service ${effect.service} remains in failure domain ${domains.firstOrNull()} only; its loss would " +
                    "stop the service",
            ).takeIf { loses && domains.size == 1 },
            unreported(effect).takeIf { effect.unreported > 0 },
        )
    }

private fun belowLoad(effect: CapacityEffect): PlanWarning =
    PlanWarning(
        PlanWarningCode.CAPACITY_BELOW_LOAD,
        "service ${effect.service} would bear ${effect.capacityAfter} requests at once and has ${effect.load}; " +
            "wait for less load or return endpoints first",
    )

private fun lastEndpoint(service: ServiceId): PlanWarning =
    PlanWarning(
        PlanWarningCode.LAST_ENDPOINT,
        "service $service remains with one endpoint; its failure would stop the service",
    )

private fun unreported(effect: CapacityEffect): PlanWarning =
    PlanWarning(
        PlanWarningCode.LOAD_UNKNOWN,
        "${effect.unreported} endpoints in service of ${effect.service} gave no load report and count as no " +
            "capacity; check that they run",
    )

internal fun LoadSnapshot.requestsAt(id: EndpointId): Int = loads[id]?.let { it.running + it.queued } ?: 0

private fun LoadSnapshot.boundOf(id: EndpointId): Int = loads[id]?.bound ?: 0
