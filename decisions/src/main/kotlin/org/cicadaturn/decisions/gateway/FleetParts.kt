package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.decisions.quarantine.suspect
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.QuarantinedSegment
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

/** Returns the endpoints in this list; changes that were made between its pages follow them. */
internal fun FleetChanges.endpoints(): List<LiveEndpoint> =
    entries { change ->
        when (change) {
            is FleetChange.EndpointListed -> ListedEntry(change.endpoint.id, change.endpoint)
            is FleetChange.EndpointGone -> ListedEntry(change.endpoint, null)
            else -> null
        }
    }

/** Returns the drained domains in this list. */
internal fun FleetChanges.domains(): List<FailureDomainId> =
    entries { change ->
        when (change) {
            is FleetChange.DomainDrained -> ListedEntry(change.domain, change.domain)
            is FleetChange.DomainReturned -> ListedEntry(change.domain, null)
            else -> null
        }
    }

/** Returns the gateway processes in this list. */
internal fun FleetChanges.peers(): List<GatewayPeer> =
    entries { change ->
        when (change) {
            is FleetChange.PeerListed -> ListedEntry(change.peer.id, change.peer)
            is FleetChange.PeerGone -> ListedEntry(change.peer, null)
            else -> null
        }
    }

/** Returns the quarantined segments in this list. */
internal fun FleetChanges.segments(): List<QuarantinedSegment> =
    entries { change ->
        when (change) {
            is FleetChange.SegmentQuarantined -> ListedEntry(segmentOf(change.entry), change.entry)
            is FleetChange.SegmentReleased -> ListedEntry(change.segment, null)
            else -> null
        }
    }

/** Returns the segment or request of [entry]. */
internal fun segmentOf(entry: QuarantinedSegment): ServiceSegment = entry.suspect

/** Entry of a list; a null [value] means that it was removed. */
private class ListedEntry<K : Any, V : Any>(
    val key: K,
    val value: V?,
)

private fun <K : Any, V : Any> FleetChanges.entries(entryOf: (FleetChange) -> ListedEntry<K, V>?): List<V> {
    val entries = LinkedHashMap<K, V>()
    changes.mapNotNull(entryOf).forEach { entry ->
        entries.remove(entry.key)
        entry.value?.let { entries[entry.key] = it }
    }
    return entries.values.toList()
}
