package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration

class AppliedViewTest {
    private val domain = FailureDomainId("a")

    private fun endpoint(
        id: Int,
        state: AdmissionState = AdmissionState.IN_SERVICE,
    ) = LiveEndpoint(
        EndpointId("e$id"),
        ServiceId("s"),
        NetworkAddress("10.0.0.1", id + 1),
        domain,
        state,
        8,
        Duration.ZERO,
    )

    private fun idsOf(numbers: Iterable<Int>) = numbers.map { EndpointId("e$it") }.toSet()

    /** Receiver of views that fails half-way at each entry of [poison]. */
    private class Receiver(
        private val poison: Set<LiveEndpoint>,
    ) {
        var calls = 0
        val inForce = LinkedHashMap<EndpointId, LiveEndpoint>()
        val dropped = HashSet<EndpointId>()

        fun apply(view: FleetView) {
            calls += 1
            val listed = view.endpoints.map { it.id }.toSet()
            dropped += inForce.keys - listed
            inForce.keys.retainAll(listed)
            view.endpoints.forEach {
                check(it !in poison) { "planted failure" }
                inForce[it.id] = it
            }
        }
    }

    /** Guards against endpoints that stay in use, or are never used, because the entry of another one fails. */
    @Test
    fun `entries of other endpoints than those that fail are in force`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val before = FleetView(endpoints = List(random.nextInt(40)) { endpoint(it) })
            val after =
                FleetView(
                    endpoints =
                        List(
                            60,
                        ) { endpoint(it, AdmissionState.entries.random(random)) }.filter { random.nextInt(9) > 0 },
                    drainedDomains = listOf(domain),
                )
            val changed = after.endpoints - before.endpoints.toSet()
            val poison = changed.shuffled(random).take(random.nextInt(4)).toSet()
            val receiver = Receiver(poison)
            receiver.apply(before)
            val outcome = applyView(before, after, receiver::apply)
            val expected = (after.endpoints - poison).toSet()
            assertEquals(expected, receiver.inForce.values.toSet(), "seed $seed")
            assertEquals(expected, outcome.view.endpoints.toSet(), "seed $seed")
            assertEquals(after.drainedDomains, outcome.view.drainedDomains, "seed $seed")
            assertEquals(poison.map { it.id }.toSet(), outcome.leftOut.toSet(), "seed $seed")
            assertEquals(poison.isEmpty(), outcome.failure == null, "seed $seed")
            val kept = before.endpoints.map { it.id }.toSet() intersect expected.map { it.id }.toSet()
            assertEquals(emptySet<EndpointId>(), receiver.dropped intersect kept, "state dropped, seed $seed")
        }
    }

    /** Guards against a process that is busy with one update, as all entries of a large fleet fail. */
    @Test
    fun `the number of calls is bounded if every entry fails`() {
        val after = FleetView(endpoints = List(3_800) { endpoint(it) })
        val receiver = Receiver(after.endpoints.toSet())
        val outcome = applyView(FleetView(), after, receiver::apply)
        assertEquals(8, outcome.leftOut.size)
        assertTrue(receiver.calls < 60, "${receiver.calls} calls")
    }

    /** Guards against a search for an endpoint where the cause is another part of the view, and against a lost view. */
    @Test
    fun `endpoints are updated if another part of the view fails`() {
        val before = FleetView(endpoints = List(3) { endpoint(it) })
        val after = FleetView(endpoints = List(4) { endpoint(it + 1) }, drainedDomains = listOf(domain))
        val receiver = Receiver(emptySet())
        val outcome =
            applyView(before, after) {
                check(it.drainedDomains.isEmpty()) { "planted failure" }
                receiver.apply(it)
            }
        assertNotNull(outcome.failure)
        assertEquals(idsOf(1..4), receiver.inForce.keys)
        assertEquals(before.drainedDomains, outcome.view.drainedDomains)
        val none = applyView(before, after) { error("planted failure") }
        assertEquals(before, none.view)
        assertNull(applyView(before, after, receiver::apply).failure)
    }
}
