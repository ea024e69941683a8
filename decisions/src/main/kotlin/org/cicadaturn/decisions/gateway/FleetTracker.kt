package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Fleet as a process knows it at one moment.
 *
 * @property view newest known view
 * @property isConfigurationCurrent false while neither the store nor a peer that can reach it answers, or while a restored
 * store lists an older configuration than the one in force, so that a newer configuration may be in force elsewhere
 * @property isKnown true once the configuration and the endpoints have been read
 * @property missingQuarantine quarantined segments that a restored store does not list
 * @property removedEndpoints start times of the endpoints that drained, or that the store removed while it was stable
 */
public data class FleetState(
    val view: FleetView,
    val isConfigurationCurrent: Boolean,
    val isKnown: Boolean,
    val missingQuarantine: List<QuarantinedSegment> = emptyList(),
    val removedEndpoints: Map<EndpointId, Long> = emptyMap(),
) {
    /** Returns what is known of the end of [endpoint] by its entry; takes linear time. */
    public fun exitOf(endpoint: LiveEndpoint): EndpointExit {
        val entry = view.endpoints.firstOrNull { it.id == endpoint.id }
        val isListed = entry?.startedAt == endpoint.startedAt
        val known = entry?.startedAt ?: removedEndpoints[endpoint.id] ?: endpoint.startedAt
        // A start time of 0 is unknown.
        val isReplaced = known != endpoint.startedAt && known != 0L && endpoint.startedAt != 0L
        return when {
            isReplaced -> EndpointExit.REPLACED
            isListed && entry.state == AdmissionState.IN_SERVICE -> EndpointExit.UNKNOWN
            isListed -> EndpointExit.ANNOUNCED
            removedEndpoints[endpoint.id] == endpoint.startedAt -> EndpointExit.REMOVED
            else -> EndpointExit.LAPSED
        }
    }
}

/**
 * Merges what the store and the peers report about the fleet. Has one owner and is not safe for concurrent use.
 *
 * The configuration never goes back to a lower version. Endpoint entries that expired during an outage of the store are
 * kept until the endpoints have had time to renew them.
 *
 * What is of an older era than the known content of its part is ignored. The first content of a new era is that of a
 * copy: what it lacks is kept for the time in which its writers write it again, and endpoints that left stay drained.
 */
public interface FleetTracker {
    /** Replaces [part] with [content], which lists everything in it. */
    public fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    )

    /** Applies the [changes] of [part] since the last call for it; changes of another era than that are ignored. */
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
     * that the known configuration is current. Of a part of the same era, a higher version of the configuration and
     * endpoints that left are used in any case, as a restored store may list an older state than the peer knows.
     */
    public fun relayed(
        view: FleetView,
        now: Instant,
    )

    /** Returns the state at [now]. */
    public fun state(now: Instant): FleetState

    /** Returns the parts of the view that this process has from the store itself; the others have the lowest position. */
    public fun ownView(): FleetView

    /** Returns what was done with the entries of a restored store since the last call. */
    public fun takeRestorations(): List<RestorationStep>

    /**
     * Returns when the state changes without a call, as an entry that is kept or the confirmation of the
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

    /** Copies of the entries below are made once for each call. */
    private var view = FleetView()
    private val endpoints = EndpointEntries()
    private val domains = KeptEntries<FailureDomainId, FailureDomainId> { it }
    private val peers = KeptEntries(GatewayPeer::id)
    private val quarantine = KeptEntries(::segmentOf)
    private var hasEndpoints = false

    /** Time until which the operator may not yet have written its configuration to a restored store again. */
    private var supersededUntil = Instant.DISTANT_PAST
    private val restorations = mutableListOf<RestorationStep>()

    override fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    ) {
        // An older state says nothing about what has lapsed since, so the outage goes on.
        if (content.position < view.positionOf(part)) return
        replace(part, content, recordAnswer(part, now), now, isFromStore = true)
        endSupersession(content)
    }

    override fun changed(
        part: FleetPart,
        changes: FleetChanges,
        now: Instant,
    ) {
        val known = view.positionOf(part)
        if (changes.position < known || changes.position.era != known.era) return
        val keepUntil = recordAnswer(part, now)
        changes.changes.forEach { apply(it, keepUntil) }
        update(part, changes.position)
        endSupersession(changes)
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
        return if (since != null && now - since >= MIN_OUTAGE) now + EndpointEntries.RENEWAL_TIME else null
    }

    override fun failed(
        part: FleetPart,
        now: Instant,
    ) {
        val source = sources.getValue(part)
        if (source.failedSince == null) source.failedSince = now
        source.isCurrent = false
    }

    /** Replaces [part] with [content]; endpoints that an outage may have removed are kept until [renewedUntil]. */
    private fun replace(
        part: FleetPart,
        content: FleetChanges,
        renewedUntil: Instant?,
        now: Instant,
        isFromStore: Boolean = false,
    ) {
        val known = view.positionOf(part)
        val isRestored = known > StorePosition() && content.position.era > known.era
        val keepUntil = if (isRestored) now + REWRITING_TIME else null
        when (part) {
            FleetPart.CONFIGURATION -> content.changes.forEach { apply(it, keepUntil) }
            FleetPart.ENDPOINTS -> {
                val renewal = if (isRestored) now + EndpointEntries.RENEWAL_TIME else renewedUntil
                if (isRestored) endpoints.beginEra()
                endpoints.replace(content.endpoints(), renewal, isRestored, now, isFromStore)
            }
            FleetPart.DRAINED_DOMAINS -> domains.replace(content.domains(), keepUntil)
            FleetPart.PEERS -> peers.replace(content.peers(), keepUntil)
            FleetPart.QUARANTINE -> quarantine.replace(content.segments(), keepUntil)
        }
        update(part, content.position)
        if (isRestored) recordRestoration(part, known, content, now)
    }

    private fun recordRestoration(
        part: FleetPart,
        known: StorePosition,
        content: FleetChanges,
        now: Instant,
    ) {
        val inForce = view.configuration?.version ?: 0L
        val listed = content.changes.filterIsInstance<FleetChange.Configured>().maxOfOrNull { it.configuration.version }
        val isSuperseded = part == FleetPart.CONFIGURATION && (listed ?: 0L) < inForce
        if (isSuperseded) supersededUntil = now + REWRITING_TIME
        val kept =
            when (part) {
                FleetPart.CONFIGURATION ->
                    if (isSuperseded) listOf("version $inForce, as the store has $listed") else emptyList()
                FleetPart.ENDPOINTS -> endpoints.kept.map { it.text }
                FleetPart.DRAINED_DOMAINS -> domains.kept.map { it.text }
                FleetPart.PEERS -> peers.kept.map { it.text }
                FleetPart.QUARANTINE -> quarantine.kept.map { "${it.service}.${it.segment}" }
            }
        val states = view.endpoints.associate { it.id to it.state }
        val withheld =
            content
                .endpoints()
                .filter { states[it.id] != it.state }
                .map { it.id.text }
        restorations += RestorationStep.Restored(part, known, content.position, kept, withheld)
    }

    private fun apply(
        change: FleetChange,
        keepUntil: Instant?,
    ) {
        when (change) {
            is FleetChange.Configured -> configure(change.configuration)
            is FleetChange.EndpointListed -> endpoints.change(change.endpoint)
            is FleetChange.EndpointGone -> endpoints.remove(change.endpoint, keepUntil)
            is FleetChange.DomainDrained -> domains.put(change.domain)
            is FleetChange.DomainReturned -> domains.remove(change.domain)
            is FleetChange.PeerListed -> peers.put(change.peer)
            is FleetChange.PeerGone -> peers.remove(change.peer)
            is FleetChange.SegmentQuarantined -> quarantine.put(change.entry)
            is FleetChange.SegmentReleased -> quarantine.remove(change.segment)
        }
    }

    private fun configure(configuration: RoutingConfiguration) {
        val known = view.configuration
        if (known != null && configuration.version < known.version) return
        if (configuration.version != known?.version) view = view.copy(configuration = configuration)
    }

    /** The store is known to have the newest configuration again once it has the one in force. */
    private fun endSupersession(answer: FleetChanges) {
        val inForce = view.configuration?.version ?: return
        val isStored = answer.changes.any { it is FleetChange.Configured && it.configuration.version == inForce }
        if (isStored) supersededUntil = Instant.DISTANT_PAST
    }

    /** Copies the entries of [part], which are as of [position], to the view. */
    private fun update(
        part: FleetPart,
        position: StorePosition = view.positionOf(part),
    ) {
        when (part) {
            FleetPart.CONFIGURATION -> Unit
            FleetPart.ENDPOINTS -> {
                view = view.copy(endpoints = endpoints.values, leftEndpoints = endpoints.departures)
                hasEndpoints = true
            }
            FleetPart.DRAINED_DOMAINS -> view = view.copy(drainedDomains = domains.values)
            FleetPart.PEERS -> view = view.copy(peers = peers.values)
            FleetPart.QUARANTINE -> view = view.copy(quarantine = quarantine.values)
        }
        view = view.withPosition(part, position)
    }

    override fun relayed(
        view: FleetView,
        now: Instant,
    ) {
        relayConfiguration(view, now)
        FleetPart.entries
            .filter { it != FleetPart.CONFIGURATION && view.positionOf(it) > this.view.positionOf(it) }
            .forEach { replace(it, view.contentOf(it), renewedUntil = null, now) }
        val isOfEra = view.endpointsPosition.era >= this.view.endpointsPosition.era
        if (isOfEra && view.leftEndpoints.isNotEmpty()) {
            endpoints.addDepartures(view.leftEndpoints)
            update(FleetPart.ENDPOINTS)
        }
    }

    private fun relayConfiguration(
        relayed: FleetView,
        now: Instant,
    ) {
        val configuration = relayed.configuration ?: return
        val known = view.configurationPosition
        if (relayed.configurationPosition >= known) {
            sources.getValue(FleetPart.CONFIGURATION).relayedAt = now
            replace(FleetPart.CONFIGURATION, relayed.contentOf(FleetPart.CONFIGURATION), renewedUntil = null, now)
        } else if (relayed.configurationPosition.era == known.era) {
            configure(configuration)
        }
    }

    override fun state(now: Instant): FleetState {
        removeExpired(now)
        val source = sources.getValue(FleetPart.CONFIGURATION)
        val isConfirmed = source.isCurrent || now - source.relayedAt < MAX_RELAY_AGE
        return FleetState(
            view = view,
            isConfigurationCurrent = isConfirmed && now >= supersededUntil && isConfigurationOfNewestEra(),
            isKnown = view.configuration != null && hasEndpoints,
            missingQuarantine = quarantine.kept.mapNotNull { quarantine[it] },
            removedEndpoints = endpoints.removedByStore,
        )
    }

    private fun isConfigurationOfNewestEra(): Boolean =
        FleetPart.entries.none { view.positionOf(it).era > view.configurationPosition.era }

    private fun removeExpired(now: Instant) {
        val next = nextKeptExpiry() ?: return
        if (next > now) return
        recordDropped(FleetPart.ENDPOINTS, endpoints.expire(now).map { it.id.text })
        recordDropped(FleetPart.DRAINED_DOMAINS, domains.expire(now).map { it.text })
        recordDropped(FleetPart.PEERS, peers.expire(now).map { it.id.text })
        recordDropped(FleetPart.QUARANTINE, quarantine.expire(now).map { "${it.service}.${it.segment}" })
        FleetPart.entries.filter { it != FleetPart.ENDPOINTS || hasEndpoints }.forEach { update(it) }
    }

    private fun recordDropped(
        part: FleetPart,
        entries: List<String>,
    ) {
        if (entries.isNotEmpty()) restorations += RestorationStep.Dropped(part, entries)
    }

    override fun takeRestorations(): List<RestorationStep> = restorations.toList().also { restorations.clear() }

    override fun ownView(): FleetView =
        FleetPart.entries.filterNot { sources.getValue(it).isCurrent }.fold(view) { own, part -> own.without(part) }

    private fun nextKeptExpiry(): Instant? =
        listOfNotNull(endpoints.nextExpiry(), domains.nextExpiry(), peers.nextExpiry(), quarantine.nextExpiry())
            .minOrNull()

    override fun nextExpiry(now: Instant): Instant? {
        val confirmedUntil = sources.getValue(FleetPart.CONFIGURATION).relayedAt + MAX_RELAY_AGE
        val ends = listOf(confirmedUntil, supersededUntil).filter { it > now }
        return (listOfNotNull(nextKeptExpiry()) + ends).minOrNull()
    }

    private companion object {
        /** Endpoints renew their entries about once a second, so no entry expires during a shorter outage. */
        val MIN_OUTAGE: Duration = 1.seconds

        /**
         * Time after a restore in which the operator and the gateways write again what the copy lacks. It bounds how long
         * the state before the restore can prevail over what the store lists.
         */
        val REWRITING_TIME: Duration = 30.seconds

        /**
         * Time for which a peer's answer confirms the configuration. Peers are asked about once a second while the
         * store does not answer.
         */
        val MAX_RELAY_AGE: Duration = 2_500.milliseconds
    }
}
