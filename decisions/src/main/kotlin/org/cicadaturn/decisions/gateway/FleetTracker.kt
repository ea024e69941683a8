package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Fleet as a process knows it at one moment.
 *
 * @property view newest known view
 * @property isConfigurationCurrent false while neither the store nor a peer that can reach it answers, so that a newer
 * configuration may be in force elsewhere
 * @property isKnown true once the configuration and the endpoints have been read
 */
public data class FleetState(
    val view: FleetView,
    val isConfigurationCurrent: Boolean,
    val isKnown: Boolean,
)

/**
 * Merges what the store and the peers report about the fleet. Has one owner and is not safe for concurrent use.
 *
 * The configuration never goes back to a lower version. Endpoint entries that expired during an outage of the store are
 * kept until the endpoints have had time to renew them.
 */
public interface FleetTracker {
    /** Replaces [part] with [content], which lists everything in it. */
    public fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    )

    /** Applies the [changes] of [part] since the last call for it. */
    public fun changed(
        part: FleetPart,
        changes: FleetChanges,
        now: Instant,
    )

    /** Records that a call for [part] got no answer. */
    public fun failed(
        part: FleetPart,
        now: Instant,
    )

    /**
     * Merges the [view] of a peer; parts that the peer does not have from the store itself have the lowest position.
     *
     * A part is used only if its position is higher than the known one. A configuration of the known position confirms
     * that the known configuration is current.
     */
    public fun relayed(
        view: FleetView,
        now: Instant,
    )

    /** Returns the state at [now]. */
    public fun state(now: Instant): FleetState

    /** Returns the parts of the view that this process has from the store itself; the others have the lowest position. */
    public fun ownView(): FleetView

    /**
     * Returns when the state changes without a call, as an entry that is kept after an outage or the confirmation of the
     * configuration by a peer expires, or null if nothing expires after [now].
     */
    public fun nextExpiry(now: Instant): Instant?
}

/** Returns a tracker without any data. */
public fun fleetTracker(): FleetTracker = MergingTracker()

private class MergingTracker : FleetTracker {
    private class Source {
        var isCurrent = false
        var failedSince: Instant? = null
        var relayedAt = Instant.DISTANT_PAST
    }

    private val sources = FleetPart.entries.associateWith { Source() }
    private var view = FleetView()

    /** Endpoints in the order of their last change; the view has a copy, which is made once for each call. */
    private val endpoints = LinkedHashMap<EndpointId, LiveEndpoint>()
    private val keptUntil = HashMap<EndpointId, Instant>()
    private var hasEndpoints = false

    override fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    ) {
        // An older state says nothing about what has lapsed since, so the outage goes on.
        if (content.position < positionOf(part)) return
        val keepUntil = recordAnswer(part, now)
        val gone = if (part == FleetPart.ENDPOINTS) missingFrom(content) else emptyList()
        when (part) {
            FleetPart.CONFIGURATION -> Unit
            FleetPart.ENDPOINTS -> gone.forEach { remove(it, keepUntil) }
            FleetPart.DRAINED_DOMAINS -> view = view.copy(drainedDomains = emptyList())
            FleetPart.PEERS -> view = view.copy(peers = emptyList())
            FleetPart.QUARANTINE -> view = view.copy(quarantine = emptyList())
        }
        apply(part, content, keepUntil)
    }

    private fun missingFrom(content: FleetChanges): List<EndpointId> {
        val listed = content.changes.mapNotNull { (it as? FleetChange.EndpointListed)?.endpoint?.id }.toSet()
        return endpoints.keys.filter { it !in listed }
    }

    override fun changed(
        part: FleetPart,
        changes: FleetChanges,
        now: Instant,
    ) {
        if (changes.position < positionOf(part)) return
        val keepUntil = recordAnswer(part, now)
        apply(part, changes, keepUntil)
    }

    /**
     * Records an answer for [part] and returns until when the entries that it lacks are kept, or null if they are not.
     *
     * In the first answer after an outage, an entry may be missing only because it could not be renewed. A removal in
     * a later answer concerns an entry that was present after the outage, so it applies at once.
     */
    private fun recordAnswer(
        part: FleetPart,
        now: Instant,
    ): Instant? {
        val source = sources.getValue(part)
        val since = source.failedSince
        source.failedSince = null
        source.isCurrent = true
        return if (since != null && now - since >= MIN_OUTAGE) now + RENEWAL_TIME else null
    }

    override fun failed(
        part: FleetPart,
        now: Instant,
    ) {
        val source = sources.getValue(part)
        if (source.failedSince == null) source.failedSince = now
        source.isCurrent = false
    }

    private fun apply(
        part: FleetPart,
        changes: FleetChanges,
        keepUntil: Instant?,
    ) {
        changes.changes.forEach { apply(it, keepUntil) }
        val position = changes.position
        view =
            when (part) {
                FleetPart.CONFIGURATION -> view.copy(configurationPosition = position)
                FleetPart.ENDPOINTS ->
                    view.copy(endpoints = endpoints.values.toList(), endpointsPosition = position)
                FleetPart.DRAINED_DOMAINS -> view.copy(domainsPosition = position)
                FleetPart.PEERS -> view.copy(peersPosition = position)
                FleetPart.QUARANTINE -> view.copy(quarantinePosition = position)
            }
        if (part == FleetPart.ENDPOINTS) hasEndpoints = true
    }

    private fun apply(
        change: FleetChange,
        keepUntil: Instant?,
    ) {
        when (change) {
            is FleetChange.Configured -> {
                val known = view.configuration
                if (known == null || change.configuration.version > known.version) {
                    view = view.copy(configuration = change.configuration)
                }
            }
            is FleetChange.EndpointListed -> put(change.endpoint)
            is FleetChange.EndpointGone -> remove(change.endpoint, keepUntil)
            is FleetChange.DomainDrained ->
                view = view.copy(drainedDomains = (view.drainedDomains + change.domain).distinct())
            is FleetChange.DomainReturned -> view = view.copy(drainedDomains = view.drainedDomains - change.domain)
            is FleetChange.PeerListed ->
                view = view.copy(peers = view.peers.filter { it.id != change.peer.id } + change.peer)
            is FleetChange.PeerGone -> view = view.copy(peers = view.peers.filter { it.id != change.peer })
            is FleetChange.SegmentQuarantined -> {
                val segment = ServiceSegment(change.entry.service, change.entry.segment)
                view = view.copy(quarantine = quarantineWithout(segment) + change.entry)
            }
            is FleetChange.SegmentReleased -> view = view.copy(quarantine = quarantineWithout(change.segment))
        }
    }

    private fun quarantineWithout(segment: ServiceSegment): List<QuarantinedSegment> =
        view.quarantine.filter { it.service != segment.service || it.segment != segment.segment }

    private fun put(endpoint: LiveEndpoint) {
        keptUntil.remove(endpoint.id)
        // An entry that is replaced in place would keep its position.
        endpoints.remove(endpoint.id)
        endpoints[endpoint.id] = endpoint
    }

    private fun remove(
        id: EndpointId,
        keepUntil: Instant?,
    ) {
        val entry = endpoints[id] ?: return
        if (keepUntil != null && entry.state == AdmissionState.IN_SERVICE) {
            keptUntil[id] = keepUntil
            return
        }
        keptUntil.remove(id)
        endpoints.remove(id)
    }

    override fun relayed(
        view: FleetView,
        now: Instant,
    ) {
        val mine = this.view
        val configuration = view.configuration
        if (configuration != null && view.configurationPosition >= mine.configurationPosition) {
            sources.getValue(FleetPart.CONFIGURATION).relayedAt = now
            val change = FleetChange.Configured(configuration)
            apply(FleetPart.CONFIGURATION, FleetChanges(view.configurationPosition, listOf(change)), null)
        }
        if (view.endpointsPosition > mine.endpointsPosition) {
            val content = FleetChanges(view.endpointsPosition, view.endpoints.map { FleetChange.EndpointListed(it) })
            missingFrom(content).forEach { remove(it, null) }
            apply(FleetPart.ENDPOINTS, content, null)
        }
        if (view.domainsPosition > mine.domainsPosition) {
            this.view = this.view.copy(drainedDomains = view.drainedDomains, domainsPosition = view.domainsPosition)
        }
        if (view.peersPosition > mine.peersPosition) {
            this.view = this.view.copy(peers = view.peers, peersPosition = view.peersPosition)
        }
        if (view.quarantinePosition > mine.quarantinePosition) {
            this.view = this.view.copy(quarantine = view.quarantine, quarantinePosition = view.quarantinePosition)
        }
    }

    override fun state(now: Instant): FleetState {
        val expired = keptUntil.filterValues { it <= now }.keys.toSet()
        if (expired.isNotEmpty()) {
            keptUntil.keys.removeAll(expired)
            endpoints.keys.removeAll(expired)
            view = view.copy(endpoints = endpoints.values.toList())
        }
        val source = sources.getValue(FleetPart.CONFIGURATION)
        return FleetState(
            view = view,
            isConfigurationCurrent = source.isCurrent || now - source.relayedAt < MAX_RELAY_AGE,
            isKnown = view.configuration != null && hasEndpoints,
        )
    }

    override fun ownView(): FleetView =
        FleetView(
            configuration = view.configuration.takeIf { isCurrent(FleetPart.CONFIGURATION) },
            endpoints = if (isCurrent(FleetPart.ENDPOINTS)) view.endpoints else emptyList(),
            drainedDomains = if (isCurrent(FleetPart.DRAINED_DOMAINS)) view.drainedDomains else emptyList(),
            peers = if (isCurrent(FleetPart.PEERS)) view.peers else emptyList(),
            quarantine = if (isCurrent(FleetPart.QUARANTINE)) view.quarantine else emptyList(),
            configurationPosition = ownPosition(FleetPart.CONFIGURATION),
            endpointsPosition = ownPosition(FleetPart.ENDPOINTS),
            domainsPosition = ownPosition(FleetPart.DRAINED_DOMAINS),
            peersPosition = ownPosition(FleetPart.PEERS),
            quarantinePosition = ownPosition(FleetPart.QUARANTINE),
        )

    private fun isCurrent(part: FleetPart): Boolean = sources.getValue(part).isCurrent

    private fun ownPosition(part: FleetPart): StorePosition = if (isCurrent(part)) positionOf(part) else StorePosition()

    private fun positionOf(part: FleetPart): StorePosition =
        when (part) {
            FleetPart.CONFIGURATION -> view.configurationPosition
            FleetPart.ENDPOINTS -> view.endpointsPosition
            FleetPart.DRAINED_DOMAINS -> view.domainsPosition
            FleetPart.PEERS -> view.peersPosition
            FleetPart.QUARANTINE -> view.quarantinePosition
        }

    override fun nextExpiry(now: Instant): Instant? {
        val confirmedUntil = sources.getValue(FleetPart.CONFIGURATION).relayedAt + MAX_RELAY_AGE
        return (keptUntil.values + listOf(confirmedUntil).filter { it > now }).minOrNull()
    }

    private companion object {
        /** Endpoints renew their entries about once a second, so no entry expires during a shorter outage. */
        val MIN_OUTAGE: Duration = 1.seconds

        /** Live endpoints renew their entries within about two seconds after the store is available again. */
        val RENEWAL_TIME: Duration = 2_200.milliseconds

        /**
         * Time for which a peer's answer confirms the configuration. Peers are asked about once a second while the
         * store does not answer.
         */
        val MAX_RELAY_AGE: Duration = 2_500.milliseconds
    }
}
