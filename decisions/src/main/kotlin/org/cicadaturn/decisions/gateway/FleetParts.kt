package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.StorePosition

/** Returns the position in the store that [part] of this view reflects. */
internal fun FleetView.positionOf(part: FleetPart): StorePosition =
    when (part) {
        FleetPart.CONFIGURATION -> configurationPosition
        FleetPart.ENDPOINTS -> endpointsPosition
        FleetPart.DRAINED_DOMAINS -> domainsPosition
        FleetPart.PEERS -> peersPosition
        FleetPart.QUARANTINE -> quarantinePosition
    }

/** Returns this view with [position] for [part]. */
internal fun FleetView.withPosition(
    part: FleetPart,
    position: StorePosition,
): FleetView =
    when (part) {
        FleetPart.CONFIGURATION -> copy(configurationPosition = position)
        FleetPart.ENDPOINTS -> copy(endpointsPosition = position)
        FleetPart.DRAINED_DOMAINS -> copy(domainsPosition = position)
        FleetPart.PEERS -> copy(peersPosition = position)
        FleetPart.QUARANTINE -> copy(quarantinePosition = position)
    }

/** Returns this view without the content and the position of [part]. */
internal fun FleetView.without(part: FleetPart): FleetView =
    when (part) {
        FleetPart.CONFIGURATION -> copy(configuration = null)
        FleetPart.ENDPOINTS -> copy(endpoints = emptyList(), leftEndpoints = emptyList())
        FleetPart.DRAINED_DOMAINS -> copy(drainedDomains = emptyList())
        FleetPart.PEERS -> copy(peers = emptyList())
        FleetPart.QUARANTINE -> copy(quarantine = emptyList())
    }.withPosition(part, StorePosition())

/** Returns the content of [part] of this view in the form of a list. */
internal fun FleetView.contentOf(part: FleetPart): FleetChanges =
    FleetChanges(
        positionOf(part),
        when (part) {
            FleetPart.CONFIGURATION -> listOfNotNull(configuration?.let { FleetChange.Configured(it) })
            FleetPart.ENDPOINTS -> endpoints.map { FleetChange.EndpointListed(it) }
            FleetPart.DRAINED_DOMAINS -> drainedDomains.map { FleetChange.DomainDrained(it) }
            FleetPart.PEERS -> peers.map { FleetChange.PeerListed(it) }
            FleetPart.QUARANTINE -> quarantine.map { FleetChange.SegmentQuarantined(it) }
        },
    )
