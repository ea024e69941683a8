package org.cicadaturn.bench.placement

import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PlacementBenchTest {
    private val options = PlacementBenchOptions(shifts = 10)

    /** Guards against a comparison whose runs see other demands. */
    @Test
    fun `one seed gives one result`() {
        val runs = List(2) { placementBench(options).runs.map { it.copy(planMicros = 0.0) } }
        assertEquals(runs[0], runs[1])
    }

    /** Guards against a plan that is worse for the passes than leaving the map or than all copies at once. */
    @Test
    fun `the own policy has the best step time`() {
        val times = placementBench(options).runs.associate { it.policy to it.netStepTime }
        assertEquals(PlacementPolicy.OWN, times.minBy { it.value }.key, "$times")
    }

    /** Guards against a demand that loses choices at a shift. */
    @Test
    fun `a shift keeps the profile`() {
        val demand = ShiftingLikings(options, Random(1))
        val before = demand.choices()
        demand.shift()
        val after = demand.choices()
        assertEquals(before.map { it.sorted() }, after.map { it.sorted() })
        assertTrue(before.zip(after).any { (a, b) -> !a.contentEquals(b) })
    }
}
