package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.Tenancy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests of what a process knows after the store has come back from an older copy. */
class RestoredStoreTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val tracker = fleetTracker()
    private val domain = FailureDomainId("d")

    private fun endpoint(
        id: String,
        state: AdmissionState = AdmissionState.IN_SERVICE,
        startedAt: Long = 5,
    ): LiveEndpoint =
        LiveEndpoint(
            EndpointId(id),
            ServiceId("s"),
            NetworkAddress("10.0.0.1", 80),
            domain,
            state,
            8,
            Duration.ZERO,
            startedAt,
        )

    private fun configuration(version: Long) =
        RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits())

    private fun peer(id: String) = GatewayPeer(ProcessId(id), NetworkAddress(id, 1), domain)

    private fun segment(id: String) =
        QuarantinedSegment(ServiceId("s"), PromptSegmentId(id), 0.99, 2, listOf(EndpointId("e")), since = 0L)

    private fun content(
        era: Long,
        revision: Long,
        vararg entries: Any,
    ) = FleetChanges(
        StorePosition(era, revision),
        entries.map {
            when (it) {
                is RoutingConfiguration -> FleetChange.Configured(it)
                is LiveEndpoint -> FleetChange.EndpointListed(it)
                is FailureDomainId -> FleetChange.DomainDrained(it)
                is GatewayPeer -> FleetChange.PeerListed(it)
                is QuarantinedSegment -> FleetChange.SegmentQuarantined(it)
                else -> it as FleetChange
            }
        },
    )

    private fun list(
        part: FleetPart,
        content: FleetChanges,
        at: Duration = Duration.ZERO,
    ) = tracker.listed(part, content, start + at)

    private fun change(
        part: FleetPart,
        content: FleetChanges,
        at: Duration = Duration.ZERO,
    ) = tracker.changed(part, content, start + at)

    private fun view(at: Duration = Duration.ZERO) = tracker.state(start + at).view

    private fun inService(at: Duration = Duration.ZERO): Set<String> =
        view(at)
            .endpoints
            .filter { it.state == AdmissionState.IN_SERVICE }
            .map { it.id.text }
            .toSet()

    private fun version(at: Duration = Duration.ZERO): Long? = view(at).configuration?.version

    private fun gone(id: String) = FleetChange.EndpointGone(EndpointId(id))

    /**
     * Guards against a change that is not in force until the revisions of the restored store have passed the earlier
     * ones. Found in the simulated deployment premia-ne, day restored, seed 81.
     */
    @Test
    fun `a list of a new era is used although its revision is lower`() {
        list(FleetPart.CONFIGURATION, content(1, 500, configuration(7)))
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a")))
        list(FleetPart.CONFIGURATION, content(2, 300, configuration(8)))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a", AdmissionState.DRAINED)))
        assertEquals(8L, version())
        assertEquals(emptySet<String>(), inService())
        change(FleetPart.CONFIGURATION, content(2, 301, configuration(9)))
        assertEquals(9L, version())
    }

    /** Guards against an answer, a watch or a peer's view of an older era that arrives late and restores an old state. */
    @Test
    fun `what is of an older era changes nothing`() {
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a")))
        list(FleetPart.CONFIGURATION, content(2, 300, configuration(8)))
        list(FleetPart.DRAINED_DOMAINS, content(2, 300, domain))
        val before = view()
        list(FleetPart.ENDPOINTS, content(1, 900))
        change(FleetPart.ENDPOINTS, content(1, 901, gone("a")))
        change(FleetPart.DRAINED_DOMAINS, content(1, 901, FleetChange.DomainReturned(domain)))
        list(FleetPart.CONFIGURATION, content(1, 902, configuration(9)))
        val old = StorePosition(1, 950)
        tracker.relayed(
            FleetView(
                configuration = configuration(10),
                endpoints = listOf(endpoint("b")),
                configurationPosition = old,
                endpointsPosition = old,
                domainsPosition = old,
            ),
            start,
        )
        assertEquals(before, view())
    }

    /** Guards against changes below a revision that was given out again, which a watch from it does not bring. */
    @Test
    fun `changes of another era than that of the last list change nothing`() {
        list(FleetPart.ENDPOINTS, content(1, 300, endpoint("a")))
        change(FleetPart.ENDPOINTS, content(2, 310, endpoint("b")))
        assertEquals(setOf("a"), inService())
        assertEquals(StorePosition(1, 300), view().endpointsPosition)
    }

    /** Guards against a configuration or a withdrawn key that the copy brings back into force. */
    @Test
    fun `the configuration does not go back to that of the copy`() {
        val withKey = configuration(7).copy(tenancies = listOf(Tenancy(organisation, listOf("k"))))
        val withoutKey = configuration(9).copy(tenancies = listOf(Tenancy(organisation, emptyList())))
        list(FleetPart.CONFIGURATION, content(1, 500, withKey))
        change(FleetPart.CONFIGURATION, content(1, 501, withoutKey))
        list(FleetPart.CONFIGURATION, content(2, 300, withKey))
        assertEquals(withoutKey, view().configuration)
    }

    /** Guards against 404 and 401 for routes and keys that the operator has yet to write to the restored store again. */
    @Test
    fun `an older configuration in the copy is not taken for the newest until the operator has had time to write`() {
        list(FleetPart.CONFIGURATION, content(1, 500, configuration(9)))
        assertTrue(tracker.state(start).isConfigurationCurrent)
        list(FleetPart.CONFIGURATION, content(2, 300, configuration(7)))
        assertFalse(tracker.state(start + 1.seconds).isConfigurationCurrent)
        val expiry = tracker.nextExpiry(start + 1.seconds)!!
        assertTrue(tracker.state(expiry).isConfigurationCurrent)
        change(FleetPart.CONFIGURATION, content(2, 301, configuration(9)), 2.seconds)
        assertTrue(tracker.state(start + 2.seconds).isConfigurationCurrent)
        list(FleetPart.CONFIGURATION, content(3, 302, configuration(9)), 3.seconds)
        assertTrue(tracker.state(start + 3.seconds).isConfigurationCurrent)
    }

    /** Guards against 404 and 401 while only another part has shown that the store was restored. */
    @Test
    fun `a configuration of an older era than another part is not current`() {
        list(FleetPart.CONFIGURATION, content(1, 500, configuration(9)))
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a")))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a")))
        assertFalse(tracker.state(start).isConfigurationCurrent)
        list(FleetPart.CONFIGURATION, content(2, 300, configuration(9)))
        assertTrue(tracker.state(start).isConfigurationCurrent)
    }

    /** Guards against requests to an endpoint that has said that it leaves and that the copy lists in service. */
    @Test
    fun `an endpoint that left stays left until it starts anew`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b"), endpoint("c")))
        change(FleetPart.ENDPOINTS, content(1, 501, endpoint("a", AdmissionState.DRAINED)))
        change(FleetPart.ENDPOINTS, content(1, 502, endpoint("b", AdmissionState.DRAINED)))
        change(FleetPart.ENDPOINTS, content(1, 503, gone("b")))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a"), endpoint("b"), endpoint("c")))
        assertEquals(setOf("c"), inService())
        change(FleetPart.ENDPOINTS, content(2, 301, endpoint("a")), 1.seconds)
        list(FleetPart.ENDPOINTS, content(3, 250, endpoint("a"), endpoint("b"), endpoint("c")), 2.seconds)
        assertEquals(setOf("c"), inService(60.seconds))
        change(FleetPart.ENDPOINTS, content(3, 251, endpoint("a", startedAt = 6)), 61.seconds)
        change(FleetPart.ENDPOINTS, content(3, 252, gone("b")), 61.seconds)
        assertEquals(setOf("a", "c"), inService(61.seconds))
        assertEquals(listOf("c", "a"), view(61.seconds).endpoints.map { it.id.text })
    }

    /** Guards against an endpoint without a start time that gets no requests any more. */
    @Test
    fun `an endpoint without a start time stays left until it writes its entry again`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a", AdmissionState.DRAINED, startedAt = 0)))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a", startedAt = 0)))
        assertEquals(emptySet<String>(), inService())
        change(FleetPart.ENDPOINTS, content(2, 301, endpoint("a", startedAt = 0)), 1.seconds)
        assertEquals(setOf("a"), inService(1.seconds))
    }

    /** Guards against requests to an endpoint that left without a word, and against one that was only silent for a while. */
    @Test
    fun `a removed endpoint in the copy is used once it has kept or written its entry`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b"), endpoint("c")))
        list(FleetPart.ENDPOINTS, content(1, 501))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("a"), endpoint("b"), endpoint("c")))
        assertEquals(emptySet<String>(), inService(2.seconds))
        change(FleetPart.ENDPOINTS, content(2, 301, endpoint("a"), gone("b")), 3.seconds)
        assertEquals(setOf("a"), inService(3.seconds))
        val expiry = tracker.nextExpiry(start + 3.seconds)!!
        assertEquals(setOf("a", "c"), inService(expiry - start))
    }

    /** Guards against a service without endpoints, as the copy is older than their entries. */
    @Test
    fun `endpoints that the copy lacks are kept while they write their entries again`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b"), endpoint("c")))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("c")))
        assertEquals(setOf("a", "b", "c"), inService(1.seconds))
        change(FleetPart.ENDPOINTS, content(2, 301, endpoint("a")), 1.seconds)
        list(FleetPart.ENDPOINTS, content(2, 302, endpoint("a"), endpoint("c")), 1.5.seconds)
        assertEquals(setOf("a", "b", "c"), inService(2.seconds), "a second list does not end the time")
        assertEquals(setOf("a", "c"), inService(3.seconds))
    }

    /** Guards against requests to an evacuated domain after a restore, and against a domain that stays drained for good. */
    @Test
    fun `a drained domain that the copy lacks stays drained until the operator says otherwise`() {
        list(FleetPart.DRAINED_DOMAINS, content(1, 500, domain, FailureDomainId("e")))
        list(FleetPart.DRAINED_DOMAINS, content(2, 300))
        assertEquals(listOf(domain, FailureDomainId("e")), view(5.seconds).drainedDomains)
        change(FleetPart.DRAINED_DOMAINS, content(2, 301, domain), 5.seconds)
        val returned = content(2, 302, FleetChange.DomainReturned(domain))
        assertEquals(listOf(domain), view(31.seconds).drainedDomains, "nobody wrote the other again")
        change(FleetPart.DRAINED_DOMAINS, returned, 40.seconds)
        assertEquals(emptyList<FailureDomainId>(), view(40.seconds).drainedDomains)
    }

    /** Guards against shares of limits and budgets that grow, and prompts that crash endpoints again. */
    @Test
    fun `gateways and quarantined segments that the copy lacks are kept while they are written again`() {
        list(FleetPart.PEERS, content(1, 500, peer("a"), peer("b")))
        list(FleetPart.QUARANTINE, content(1, 500, segment("x"), segment("y")))
        list(FleetPart.PEERS, content(2, 300, peer("a")))
        list(FleetPart.QUARANTINE, content(2, 300))
        assertEquals(setOf("a", "b"), view(1.seconds).peers.mapTo(HashSet()) { it.id.text })
        assertEquals(listOf("x", "y"), tracker.state(start).missingQuarantine.map { it.segment.text })
        change(FleetPart.QUARANTINE, content(2, 301, segment("x")), 1.seconds)
        change(FleetPart.PEERS, content(2, 301, peer("b")), 1.seconds)
        assertEquals(listOf("y"), tracker.state(start + 1.seconds).missingQuarantine.map { it.segment.text })
        assertEquals(listOf("x"), view(31.seconds).quarantine.map { it.segment.text })
        assertEquals(setOf("a", "b"), view(31.seconds).peers.mapTo(HashSet()) { it.id.text })
        val released = FleetChange.SegmentReleased(ServiceSegment(ServiceId("s"), PromptSegmentId("x")))
        change(FleetPart.QUARANTINE, content(2, 302, released), 32.seconds)
        assertEquals(emptyList<QuarantinedSegment>(), view(32.seconds).quarantine)
    }

    /** Guards against what is known from before the first of two restores and is lost in the second. */
    @Test
    fun `what is kept after a restore is kept after the next one`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b", AdmissionState.DRAINED), endpoint("c")))
        list(FleetPart.DRAINED_DOMAINS, content(1, 500, domain))
        list(FleetPart.CONFIGURATION, content(1, 500, configuration(9)))
        change(FleetPart.ENDPOINTS, content(1, 501, gone("c")))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("b"), endpoint("c")))
        list(FleetPart.DRAINED_DOMAINS, content(2, 300))
        list(FleetPart.CONFIGURATION, content(2, 300, configuration(7)))
        list(FleetPart.ENDPOINTS, content(3, 200, endpoint("b"), endpoint("c")), 2.seconds)
        list(FleetPart.DRAINED_DOMAINS, content(3, 200), 2.seconds)
        list(FleetPart.CONFIGURATION, content(3, 200, configuration(5)), 2.seconds)
        assertEquals(setOf("a"), inService(4.seconds))
        assertEquals(emptySet<String>(), inService(6.seconds), "c is withheld for 5 s after the second restore")
        assertEquals(listOf(domain), view(31.seconds).drainedDomains)
        assertEquals(9L, version(31.seconds))
        assertFalse(tracker.state(start + 31.seconds).isConfigurationCurrent)
    }

    /** Guards against a process that is cut off from the store and forgets what it knew when a peer tells of the copy. */
    @Test
    fun `a restored state that a peer relays is merged like one from the store`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b", AdmissionState.DRAINED)))
        list(FleetPart.CONFIGURATION, content(1, 500, configuration(9)))
        FleetPart.entries.forEach { tracker.failed(it, start) }
        val at = StorePosition(2, 300)
        val relayed =
            FleetView(
                configuration = configuration(7),
                endpoints = listOf(endpoint("b")),
                configurationPosition = at,
                endpointsPosition = at,
            )
        tracker.relayed(relayed, start + 1.seconds)
        assertEquals(setOf("a"), inService(1.seconds))
        assertEquals(9L, version(1.seconds))
        assertEquals(at, view(1.seconds).endpointsPosition)
    }

    /** Guards against a new process that reads the old copy and undoes what all others have in force. */
    @Test
    fun `a new process takes over what its peers know beyond the copy`() {
        val older = fleetTracker()
        older.listed(FleetPart.CONFIGURATION, content(1, 500, configuration(9)), start)
        older.listed(FleetPart.ENDPOINTS, content(1, 500, endpoint("a", AdmissionState.DRAINED), endpoint("b")), start)
        older.listed(FleetPart.CONFIGURATION, content(2, 300, configuration(7)), start)
        older.listed(FleetPart.ENDPOINTS, content(2, 300, endpoint("a"), endpoint("b")), start)
        list(FleetPart.CONFIGURATION, content(2, 310, configuration(7)))
        list(FleetPart.ENDPOINTS, content(2, 310, endpoint("a"), endpoint("b")))
        assertEquals(setOf("a", "b"), inService())
        tracker.relayed(older.ownView(), start)
        assertEquals(9L, version())
        assertEquals(setOf("b"), inService())
    }

    /** Guards against a restore that on-call cannot see. */
    @Test
    fun `what is kept, withheld and dropped is reported once`() {
        list(FleetPart.ENDPOINTS, content(1, 500, endpoint("a"), endpoint("b", AdmissionState.DRAINED)))
        list(FleetPart.ENDPOINTS, content(2, 300, endpoint("b")))
        val from = StorePosition(1, 500)
        val to = StorePosition(2, 300)
        val restored =
            RestorationStep.Restored(
                FleetPart.ENDPOINTS,
                from,
                to,
                kept = listOf("a"),
                withheld = listOf("b"),
            )
        assertEquals(listOf(restored), tracker.takeRestorations())
        tracker.state(start + 5.seconds)
        val dropped = RestorationStep.Dropped(FleetPart.ENDPOINTS, listOf("a"))
        assertEquals(listOf(dropped), tracker.takeRestorations())
    }

    private companion object {
        val organisation =
            org.cicadaturn.schema.generated
                .OrganisationId("o")
    }
}
