package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What a process believes of the fleet at one moment.
 *
 * @property view the belief itself
 * @property isConfigurationCurrent false while the store, and every peer in touch with it, is out of reach, so that
 * a newer configuration may be in force elsewhere
 * @property isKnown true once configuration and endpoints were read
 */
public data class FleetState(
    val view: FleetView,
    val isConfigurationCurrent: Boolean,
    val isKnown: Boolean,
)

/**
 * Merges what the store and peers tell of the fleet. Has one owner.
 *
 * A configuration never goes back to a lower version. Entries of endpoints that lapsed during an outage of the store
 * are kept until the endpoints had time to renew them.
 */
public interface FleetTracker {
    /** Takes [content], everything in [part]. */
    public fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    )

    /** Takes [changes] of [part] since the last call for it. */
    public fun changed(
        part: FleetPart,
        changes: FleetChanges,
        now: Instant,
    )

    /** Notes that a call for [part] had no answer. */
    public fun failed(
        part: FleetPart,
        now: Instant,
    )

    /** Takes a peer's view; only parts with a higher revision count, and only those the peer has from the store. */
    public fun relayed(
        view: FleetView,
        now: Instant,
    )

    /** Returns the belief at [now]. */
    public fun state(now: Instant): FleetState

    /** Returns the parts of the view that this process has from the store itself; the others have revision 0. */
    public fun ownView(): FleetView

    /** Returns when the belief changes by the passage of time alone, or null. */
    public fun nextExpiry(): Instant?
}

/** Returns a belief that knows nothing. */
public fun fleetTracker(): FleetTracker = MergedBelief()

private class MergedBelief : FleetTracker {
    private class Source {
        var isCurrent = false
        var failedSince: Instant? = null
        var relayedAt = Instant.DISTANT_PAST
    }

    private val sources = FleetPart.entries.associateWith { Source() }
    private var view = FleetView()
    private val held = HashMap<EndpointId, Instant>()
    private var hasEndpoints = false

    override fun listed(
        part: FleetPart,
        content: FleetChanges,
        now: Instant,
    ) {
        val lapsedUntil = answered(part, now)
        if (content.revision < revisionOf(part)) return
        val gone = if (part == FleetPart.ENDPOINTS) missingFrom(content) else emptyList()
        when (part) {
            FleetPart.CONFIGURATION -> Unit
            FleetPart.ENDPOINTS -> gone.forEach { remove(it, lapsedUntil) }
            FleetPart.DRAINED_DOMAINS -> view = view.copy(drainedDomains = emptyList())
            FleetPart.PEERS -> view = view.copy(peers = emptyList())
        }
        apply(part, content, lapsedUntil)
    }

    private fun missingFrom(content: FleetChanges): List<EndpointId> {
        val listed = content.changes.mapNotNull { (it as? FleetChange.EndpointListed)?.endpoint?.id }.toSet()
        return view.endpoints.map { it.id }.filter { it !in listed }
    }

    override fun changed(
        part: FleetPart,
        changes: FleetChanges,
        now: Instant,
    ) {
        val lapsedUntil = answered(part, now)
        if (changes.revision < revisionOf(part)) return
        apply(part, changes, lapsedUntil)
    }

    /**
     * Returns until when what is missing in this answer may only have lapsed: after an outage, in its first answer.
     *
     * A removal in a later answer is one of an entry that was there after the outage, so it counts at once.
     */
    private fun answered(
        part: FleetPart,
        now: Instant,
    ): Instant? {
        val source = sources.getValue(part)
        val since = source.failedSince
        source.failedSince = null
        source.isCurrent = true
        return if (since != null && now - since >= LEAST_OUTAGE) now + RENEWAL_TIME else null
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
        lapsedUntil: Instant?,
    ) {
        changes.changes.forEach { apply(it, lapsedUntil) }
        val revision = changes.revision
        view =
            when (part) {
                FleetPart.CONFIGURATION -> view.copy(configurationRevision = revision)
                FleetPart.ENDPOINTS -> view.copy(endpointsRevision = revision)
                FleetPart.DRAINED_DOMAINS -> view.copy(domainsRevision = revision)
                FleetPart.PEERS -> view.copy(peersRevision = revision)
            }
        if (part == FleetPart.ENDPOINTS) hasEndpoints = true
    }

    private fun apply(
        change: FleetChange,
        lapsedUntil: Instant?,
    ) {
        when (change) {
            is FleetChange.Configured -> {
                val known = view.configuration
                if (known == null || change.configuration.version > known.version) {
                    view = view.copy(configuration = change.configuration)
                }
            }
            is FleetChange.EndpointListed -> put(change.endpoint)
            is FleetChange.EndpointGone -> remove(change.endpoint, lapsedUntil)
            is FleetChange.DomainDrained ->
                view = view.copy(drainedDomains = (view.drainedDomains + change.domain).distinct())
            is FleetChange.DomainReturned -> view = view.copy(drainedDomains = view.drainedDomains - change.domain)
            is FleetChange.PeerListed ->
                view = view.copy(peers = view.peers.filter { it.id != change.peer.id } + change.peer)
            is FleetChange.PeerGone -> view = view.copy(peers = view.peers.filter { it.id != change.peer })
        }
    }

    private fun put(endpoint: LiveEndpoint) {
        held.remove(endpoint.id)
        view = view.copy(endpoints = view.endpoints.filter { it.id != endpoint.id } + endpoint)
    }

    private fun remove(
        id: EndpointId,
        lapsedUntil: Instant?,
    ) {
        val entry = view.endpoints.firstOrNull { it.id == id } ?: return
        if (lapsedUntil != null && entry.state == AdmissionState.IN_SERVICE) {
            held[id] = lapsedUntil
            return
        }
        held.remove(id)
        view = view.copy(endpoints = view.endpoints.filter { it.id != id })
    }

    override fun relayed(
        view: FleetView,
        now: Instant,
    ) {
        val mine = this.view
        val configuration = view.configuration
        if (configuration != null && view.configurationRevision >= mine.configurationRevision) {
            sources.getValue(FleetPart.CONFIGURATION).relayedAt = now
            val change = FleetChange.Configured(configuration)
            apply(FleetPart.CONFIGURATION, FleetChanges(view.configurationRevision, listOf(change)), null)
        }
        if (view.endpointsRevision > mine.endpointsRevision) {
            val content = FleetChanges(view.endpointsRevision, view.endpoints.map { FleetChange.EndpointListed(it) })
            missingFrom(content).forEach { remove(it, null) }
            apply(FleetPart.ENDPOINTS, content, null)
        }
        if (view.domainsRevision > mine.domainsRevision) {
            this.view = this.view.copy(drainedDomains = view.drainedDomains, domainsRevision = view.domainsRevision)
        }
        if (view.peersRevision > mine.peersRevision) {
            this.view = this.view.copy(peers = view.peers, peersRevision = view.peersRevision)
        }
    }

    override fun state(now: Instant): FleetState {
        val expired = held.filterValues { it <= now }.keys.toSet()
        if (expired.isNotEmpty()) {
            held.keys.removeAll(expired)
            view = view.copy(endpoints = view.endpoints.filter { it.id !in expired })
        }
        val source = sources.getValue(FleetPart.CONFIGURATION)
        return FleetState(
            view = view,
            isConfigurationCurrent = source.isCurrent || now - source.relayedAt < RELAY_AGE,
            isKnown = view.configuration != null && hasEndpoints,
        )
    }

    override fun ownView(): FleetView =
        FleetView(
            configuration = view.configuration.takeIf { isCurrent(FleetPart.CONFIGURATION) },
            endpoints = if (isCurrent(FleetPart.ENDPOINTS)) view.endpoints else emptyList(),
            drainedDomains = if (isCurrent(FleetPart.DRAINED_DOMAINS)) view.drainedDomains else emptyList(),
            peers = if (isCurrent(FleetPart.PEERS)) view.peers else emptyList(),
            configurationRevision = ownRevision(FleetPart.CONFIGURATION),
            endpointsRevision = ownRevision(FleetPart.ENDPOINTS),
            domainsRevision = ownRevision(FleetPart.DRAINED_DOMAINS),
            peersRevision = ownRevision(FleetPart.PEERS),
        )

    private fun isCurrent(part: FleetPart): Boolean = sources.getValue(part).isCurrent

    private fun ownRevision(part: FleetPart): Long = if (isCurrent(part)) revisionOf(part) else 0L

    private fun revisionOf(part: FleetPart): Long =
        when (part) {
            FleetPart.CONFIGURATION -> view.configurationRevision
            FleetPart.ENDPOINTS -> view.endpointsRevision
            FleetPart.DRAINED_DOMAINS -> view.domainsRevision
            FleetPart.PEERS -> view.peersRevision
        }

    override fun nextExpiry(): Instant? = held.values.minOrNull()

    private companion object {
        /** Endpoints renew their entries about every second; a shorter failure lets none lapse. */
        val LEAST_OUTAGE: Duration = 1.seconds

        /** Live endpoints are listed again within about two seconds of the store's return. */
        val RENEWAL_TIME: Duration = 2_200.milliseconds

        /** Peers are asked about once a second while the store does not answer. */
        val RELAY_AGE: Duration = 2_500.milliseconds
    }
}
