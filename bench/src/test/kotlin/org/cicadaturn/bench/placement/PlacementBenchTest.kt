package org.cicadaturn.bench.placement

import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PlacementBenchTest {
    private val options = PlacementBenchOptions(shifts = 10)

    /** Guards against results that differ between runs with the same seed, apart from measured times. */
    @Test
    fun `the same seed gives the same result`() {
        val runs = List(2) { placementBench(options).runs.map { it.copy(planMicros = 0.0) } }
        assertEquals(runs[0], runs[1])
    }

    /** Guards against plans that give a longer step time than keeping the map or making all copies at once. */
    @Test
    fun `the own policy has the shortest step time`() {
        val times = placementBench(options).runs.associate { it.policy to it.netStepTime }
        assertEquals(PlacementPolicy.OWN, times.minBy { it.value }.key, "$times")
    }

    /** Guards against a shift that changes the shares of the demand instead of moving them to other experts. */
    @Test
    fun `a shift moves shares to other experts without changing them`() {
        val demand = ShiftingDemand(options, Random(1))
        val before = demand.demandShares()
        demand.shift()
        val after = demand.demandShares()
        assertEquals(before.map { it.sorted() }, after.map { it.sorted() })
        assertTrue(before.zip(after).any { (a, b) -> !a.contentEquals(b) })
    }
}
