package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutingConfiguration

/** A part of the fleet that the platform lists and lets watch by itself. */
public enum class FleetPart {
    CONFIGURATION,
    ENDPOINTS,
    DRAINED_DOMAINS,
    PEERS,
}

/** One change of a [FleetPart]. */
public sealed interface FleetChange {
    /** A configuration was accepted. */
    public data class Configured(
        val configuration: RoutingConfiguration,
    ) : FleetChange

    /** An endpoint appeared or changed. */
    public data class EndpointListed(
        val endpoint: LiveEndpoint,
    ) : FleetChange

    /** An endpoint's entry is gone, or no longer names one that can be used. */
    public data class EndpointGone(
        val endpoint: EndpointId,
    ) : FleetChange

    /** A failure domain gets no new work. */
    public data class DomainDrained(
        val domain: FailureDomainId,
    ) : FleetChange

    /** A failure domain gets work again. */
    public data class DomainReturned(
        val domain: FailureDomainId,
    ) : FleetChange

    /** A gateway process registered itself. */
    public data class PeerListed(
        val peer: GatewayPeer,
    ) : FleetChange

    /** A gateway process's entry is gone. */
    public data class PeerGone(
        val peer: ProcessId,
    ) : FleetChange
}

/**
 * Content or changes of a part, as of store revision [revision].
 *
 * @property changes for a list, everything that exists; for a watch, what has changed
 */
public data class FleetChanges(
    val revision: Long,
    val changes: List<FleetChange>,
)
