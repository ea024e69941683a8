package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class FleetTrackerTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val belief = fleetTracker()

    private fun endpoint(
        id: String,
        state: AdmissionState = AdmissionState.IN_SERVICE,
    ) = LiveEndpoint(
        EndpointId(id),
        ServiceId("s"),
        NetworkAddress("10.0.0.1", 80),
        FailureDomainId("d"),
        state,
        8,
        Duration.ZERO,
    )

    private fun configuration(version: Long) =
        FleetChange.Configured(RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits()))

    private fun listed(vararg ids: String) = FleetChanges(10, ids.map { FleetChange.EndpointListed(endpoint(it)) })

    private fun ids(at: Duration) =
        belief
            .state(start + at)
            .view.endpoints
            .map { it.id.text }
            .toSet()

    /** Guards against an older configuration that a lagging list or peer brings back. */
    @Test
    fun `the configuration never goes back`() {
        belief.listed(FleetPart.CONFIGURATION, FleetChanges(5, listOf(configuration(7))), start)
        belief.changed(FleetPart.CONFIGURATION, FleetChanges(6, listOf(configuration(4))), start)
        belief.relayed(
            belief.ownView().copy(configuration = configuration(3).configuration, configurationRevision = 9),
            start,
        )
        assertEquals(
            7L,
            belief
                .state(start)
                .view.configuration
                ?.version,
        )
    }

    /** Guards against an endpoint that leaves and still gets work. */
    @Test
    fun `an endpoint that goes is gone at once`() {
        belief.listed(FleetPart.ENDPOINTS, listed("a", "b"), start)
        belief.changed(FleetPart.ENDPOINTS, FleetChanges(11, listOf(FleetChange.EndpointGone(EndpointId("a")))), start)
        assertEquals(setOf("b"), ids(Duration.ZERO))
    }

    /** Guards against a service without endpoints after an outage in which all entries lapsed. */
    @Test
    fun `entries that lapsed in an outage are kept until they can be renewed`() {
        belief.listed(FleetPart.ENDPOINTS, listed("a", "b"), start)
        belief.failed(FleetPart.ENDPOINTS, start + 1.seconds)
        belief.listed(FleetPart.ENDPOINTS, FleetChanges(12, emptyList()), start + 5.seconds)
        assertEquals(setOf("a", "b"), ids(5.seconds))
        belief.changed(
            FleetPart.ENDPOINTS,
            FleetChanges(13, listOf(FleetChange.EndpointListed(endpoint("b")))),
            start + 6.seconds,
        )
        assertEquals(setOf("b"), ids(8.seconds), "one that is not renewed in time is gone")
    }

    /** Guards against a draining endpoint that an outage brings back to work. */
    @Test
    fun `a draining entry that lapses is not kept`() {
        val draining = FleetChange.EndpointListed(endpoint("a", AdmissionState.DRAINED))
        belief.listed(FleetPart.ENDPOINTS, FleetChanges(10, listOf(draining)), start)
        belief.failed(FleetPart.ENDPOINTS, start + 1.seconds)
        belief.listed(FleetPart.ENDPOINTS, FleetChanges(12, emptyList()), start + 5.seconds)
        assertEquals(emptySet<String>(), ids(5.seconds))
    }

    /** Guards against work for one that left after an outage: DRAIN on premia-ne trouble-1, seed 135960541388. */
    @Test
    fun `an entry that goes after the first answer is gone at once`() {
        belief.listed(FleetPart.ENDPOINTS, listed("a", "b"), start)
        belief.failed(FleetPart.ENDPOINTS, start + 1.seconds)
        belief.listed(FleetPart.ENDPOINTS, listed("a", "b"), start + 5.seconds)
        val gone = FleetChanges(13, listOf(FleetChange.EndpointGone(EndpointId("a"))))
        belief.changed(FleetPart.ENDPOINTS, gone, start + 6.seconds)
        assertEquals(setOf("b"), ids(6.seconds))
    }

    /** Guards against a short failure that delays the removal of an endpoint that left. */
    @Test
    fun `a short failure keeps nothing`() {
        belief.listed(FleetPart.ENDPOINTS, listed("a"), start)
        belief.failed(FleetPart.ENDPOINTS, start + 1.seconds)
        belief.listed(FleetPart.ENDPOINTS, FleetChanges(12, emptyList()), start + 1.2.seconds)
        assertEquals(emptySet<String>(), ids(1.2.seconds))
    }

    /** Guards against a process that the store turns away and that denies keys which it cannot know. */
    @Test
    fun `the configuration is current only in touch with the store or a peer that is`() {
        assertFalse(belief.state(start).isConfigurationCurrent)
        belief.listed(FleetPart.CONFIGURATION, FleetChanges(5, listOf(configuration(7))), start)
        assertTrue(belief.state(start + 60.seconds).isConfigurationCurrent)
        belief.failed(FleetPart.CONFIGURATION, start + 61.seconds)
        assertFalse(belief.state(start + 61.seconds).isConfigurationCurrent)
        val peer = belief.ownView().copy(configuration = configuration(8).configuration, configurationRevision = 9)
        belief.relayed(peer, start + 62.seconds)
        assertTrue(belief.state(start + 62.seconds).isConfigurationCurrent)
        assertEquals(
            8L,
            belief
                .state(start + 62.seconds)
                .view.configuration
                ?.version,
        )
        assertFalse(belief.state(start + 70.seconds).isConfigurationCurrent)
    }

    /** Guards against a view that one cut-off process hands to another as if it came from the store. */
    @Test
    fun `only parts in touch with the store are relayed`() {
        belief.listed(FleetPart.ENDPOINTS, listed("a"), start)
        belief.failed(FleetPart.ENDPOINTS, start)
        assertEquals(0L, belief.ownView().endpointsRevision)
        assertEquals(emptyList<LiveEndpoint>(), belief.ownView().endpoints)
    }
}
