package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DemandEstimateTest {
    private val estimate = demandEstimate(sets = 1, experts = 4)

    /** Guards against plans for an outdated demand, which moved experts without a gain. */
    @Test
    fun `a shift replaces the earlier choices`() {
        estimate.add(0, doubleArrayOf(0.0, 0.0, 0.0, 0.0))
        assertTrue(estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0)))
        assertTrue(estimate.add(0, doubleArrayOf(920.0, 950.0, 60.0, 40.0)))
        val shares = estimate.choices().single()
        assertEquals(listOf(20.0, 900.0, 30.0, 20.0), shares.toList())
    }

    /** Guards against moving experts because of noise: reads of a steady demand add up. */
    @Test
    fun `similar reads add up`() {
        estimate.add(0, doubleArrayOf(0.0, 0.0, 0.0, 0.0))
        estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0))
        estimate.add(0, doubleArrayOf(1_800.0, 110.0, 50.0, 50.0))
        assertTrue(estimate.choices().single()[0] > 1_000.0)
    }

    /** Guards against plans based on too few choices, and against negative counts after a restart of the rank. */
    @Test
    fun `few choices change nothing and counts may restart at 0`() {
        estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0))
        assertFalse(estimate.add(0, doubleArrayOf(910.0, 50.0, 30.0, 20.0)))
        assertTrue(estimate.add(0, doubleArrayOf(100.0, 0.0, 0.0, 0.0)))
        assertEquals(110.0, estimate.choices().single()[0])
    }
}
