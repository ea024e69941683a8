package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration

class FleetLogTest {
    private fun changes(count: Int) = FleetChanges(7, (1..count).map { FleetChange.EndpointGone(EndpointId("e$it")) })

    /**
     * Guards against a first list that uses up the rate limit of the log. In review/3, nothing that followed the list of
     * 3,800 endpoints was logged for 20 s, and only 995 of its entries were.
     */
    @Test
    fun `a long list takes few lines and its length is logged`() {
        val texts = logTextsOf(changes(3_800), emptyList())
        assertTrue(texts.size < 100, "${texts.size} lines for a list")
        assertTrue(texts.any { "3800" in it }, "$texts")
    }

    /** Guards against changes that an operator cannot find in the log. */
    @Test
    fun `each of a few changes is logged`() {
        val texts = logTextsOf(changes(20), emptyList())
        assertEquals(20, texts.size)
        assertTrue("e20" in texts.last(), texts.last())
    }

    /** Guards against keys of organisations in the log. */
    @Test
    fun `a configuration is logged by its version`() {
        val configuration = RoutingConfiguration(5, emptyList(), emptyList(), null, CallerLimits())
        val changes = FleetChanges(7, listOf(FleetChange.Configured(configuration)))
        assertEquals(listOf("version 5"), logTextsOf(changes, emptyList()))
    }

    /** Guards against renewed entries that use up the limit of the log, so that ends of requests are dropped. */
    @Test
    fun `an entry that is written again without a change is not logged`() {
        val known = (1..15).map { endpoint("e$it", AdmissionState.IN_SERVICE) }
        val leaves = endpoint("e3", AdmissionState.DRAINED)
        val listed = (known.filter { it.id != leaves.id } + leaves).map { FleetChange.EndpointListed(it) }
        val text = logTextsOf(FleetChanges(7, listed), known).single()
        assertTrue("e3" in text && "DRAINED" in text, text)
    }

    private fun endpoint(
        id: String,
        state: AdmissionState,
    ) = LiveEndpoint(
        EndpointId(id),
        ServiceId("s"),
        NetworkAddress("127.0.0.1", 1),
        FailureDomainId("a"),
        state,
        slots = 1,
        coldFor = Duration.ZERO,
    )
}
