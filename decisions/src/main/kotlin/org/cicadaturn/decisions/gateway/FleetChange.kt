package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.StorePosition

/** Part of the fleet that the platform lists and watches separately from the others. */
public enum class FleetPart {
    CONFIGURATION,
    ENDPOINTS,
    DRAINED_DOMAINS,
    PEERS,
    QUARANTINE,
}

/** Change of a [FleetPart]. */
public sealed interface FleetChange {
    /** A configuration was accepted. */
    public data class Configured(
        val configuration: RoutingConfiguration,
    ) : FleetChange

    /** An endpoint appeared or changed. */
    public data class EndpointListed(
        val endpoint: LiveEndpoint,
    ) : FleetChange

    /** An endpoint's entry was removed, or no longer describes an endpoint that can be used. */
    public data class EndpointGone(
        val endpoint: EndpointId,
    ) : FleetChange

    /** A failure domain gets no new requests. */
    public data class DomainDrained(
        val domain: FailureDomainId,
    ) : FleetChange

    /** A failure domain gets requests again. */
    public data class DomainReturned(
        val domain: FailureDomainId,
    ) : FleetChange

    /** A gateway process registered itself. */
    public data class PeerListed(
        val peer: GatewayPeer,
    ) : FleetChange

    /** A gateway process's entry was removed. */
    public data class PeerGone(
        val peer: ProcessId,
    ) : FleetChange

    /** A prompt segment is held back from now on. */
    public data class SegmentQuarantined(
        val entry: QuarantinedSegment,
    ) : FleetChange

    /** A prompt segment is no longer held back. */
    public data class SegmentReleased(
        val segment: ServiceSegment,
    ) : FleetChange
}

/**
 * Content or changes of a part, as of [position] in the store.
 *
 * @property changes for a list, all that exists; for a watch, the changes since the watched position
 */
public data class FleetChanges(
    val position: StorePosition,
    val changes: List<FleetChange>,
)
