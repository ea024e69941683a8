package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StorePosition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what the entry of an endpoint tells about its end. */
class EndpointExitTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val tracker = fleetTracker()

    private fun endpoint(
        id: String,
        startedAt: Long = 1,
    ) = LiveEndpoint(
        id = EndpointId(id),
        service = ServiceId("s"),
        address = NetworkAddress("10.0.0.1", 80),
        failureDomain = FailureDomainId("d"),
        state = AdmissionState.IN_SERVICE,
        slots = 8,
        coldFor = Duration.ZERO,
        startedAt = startedAt,
    )

    private val endpoint = endpoint("a")

    private fun list(
        revision: Long,
        endpoints: List<LiveEndpoint>,
        at: Duration,
    ) {
        val content = endpoints.map { FleetChange.EndpointListed(it) }
        tracker.listed(FleetPart.ENDPOINTS, FleetChanges(StorePosition(0, revision), content), start + at)
    }

    private fun change(
        revision: Long,
        change: FleetChange,
    ) = tracker.changed(FleetPart.ENDPOINTS, FleetChanges(StorePosition(0, revision), listOf(change)), start)

    private fun exitAt(at: Duration = Duration.ZERO): EndpointExit = tracker.state(start + at).exitOf(endpoint)

    /** Guards against an endpoint that crashes after an outage, in which its entry lapsed, and counts as one that leaves. */
    @Test
    fun `an entry that an outage has removed has lapsed`() {
        list(10, listOf(endpoint), 0.seconds)
        tracker.failed(FleetPart.ENDPOINTS, start)
        assertEquals(EndpointExit.UNKNOWN, exitAt(9.seconds))
        list(11, emptyList(), 10.seconds)
        assertEquals(EndpointExit.UNKNOWN, exitAt(10.seconds))
        assertEquals(EndpointExit.LAPSED, exitAt(13.seconds))
    }

    /** Guards against whole answers that are cut as their endpoint announces its end by the removal of its entry only. */
    @Test
    fun `an entry that is removed while the store is stable announces an end`() {
        list(10, listOf(endpoint), 0.seconds)
        change(11, FleetChange.EndpointGone(endpoint.id))
        assertEquals(EndpointExit.REMOVED, exitAt())
        change(12, FleetChange.EndpointListed(endpoint))
        assertEquals(EndpointExit.UNKNOWN, exitAt())
        list(13, emptyList(), 0.seconds)
        assertEquals(EndpointExit.REMOVED, exitAt())
    }

    /** Guards against a start that seems to run on, or to leave as planned, as the next one of its endpoint does. */
    @Test
    fun `an entry that names another start tells that the one before it has ended`() {
        list(10, listOf(endpoint("a", startedAt = 2)), 0.seconds)
        assertEquals(EndpointExit.REPLACED, exitAt())
        change(11, FleetChange.EndpointGone(endpoint.id))
        assertEquals(EndpointExit.REPLACED, exitAt())
    }

    /** Guards against an entry that is missing in an outage at another process and counts as removed. */
    @Test
    fun `an entry that a peer does not list has lapsed`() {
        list(10, listOf(endpoint), 0.seconds)
        tracker.failed(FleetPart.ENDPOINTS, start)
        val relayed = tracker.state(start).view.copy(endpoints = emptyList(), endpointsPosition = StorePosition(0, 11))
        tracker.relayed(relayed, start)
        assertEquals(EndpointExit.LAPSED, exitAt())
    }

    /** Guards against a start that seems replaced as an entry does not say to which one it belongs. */
    @Test
    fun `an entry without a start tells nothing of the one before it`() {
        list(10, listOf(endpoint), 0.seconds)
        change(11, FleetChange.EndpointListed(endpoint.copy(startedAt = 0L)))
        assertEquals(EndpointExit.LAPSED, exitAt())
    }

    /** Guards against an endpoint that announces its end and counts as crashed once it refuses connections. */
    @Test
    fun `an entry that drains announces an end`() {
        list(10, listOf(endpoint), 0.seconds)
        change(11, FleetChange.EndpointListed(endpoint.copy(state = AdmissionState.DRAINED)))
        assertEquals(EndpointExit.ANNOUNCED, exitAt())
    }

    /** Guards against an endpoint that announces its end, leaves the list, and counts as crashed. */
    @Test
    fun `an entry that is removed after it has drained announces an end`() {
        list(10, listOf(endpoint), 0.seconds)
        change(11, FleetChange.EndpointListed(endpoint.copy(state = AdmissionState.DRAINED)))
        change(12, FleetChange.EndpointGone(endpoint.id))
        assertEquals(EndpointExit.REMOVED, exitAt())
    }

    /** Guards against a removal that counts as a lapse because a peer told of it before the store did. */
    @Test
    fun `a removal that the store confirms announces an end`() {
        val relayed =
            tracker.run {
                list(10, listOf(endpoint), 0.seconds)
                state(start).view.copy(endpoints = emptyList(), endpointsPosition = StorePosition(0, 11))
            }
        tracker.relayed(relayed, start)
        assertEquals(EndpointExit.LAPSED, exitAt())
        change(12, FleetChange.EndpointGone(endpoint.id))
        assertEquals(EndpointExit.REMOVED, exitAt())
    }

    /** Guards against a lapse in an outage that the next list of the store seems to confirm as a removal. */
    @Test
    fun `a list after an outage does not confirm a removal`() {
        list(10, listOf(endpoint), 0.seconds)
        tracker.failed(FleetPart.ENDPOINTS, start)
        val relayed = tracker.state(start).view.copy(endpoints = emptyList(), endpointsPosition = StorePosition(0, 11))
        tracker.relayed(relayed, start)
        list(12, emptyList(), 1.seconds)
        assertEquals(EndpointExit.LAPSED, exitAt(1.seconds))
    }
}
