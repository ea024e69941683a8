package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DemandEstimateTest {
    private val estimate = demandEstimate(sets = 1, experts = 4)

    /** Guards against plans for a demand that is gone, which moved experts for nothing. */
    @Test
    fun `a shift replaces what was known`() {
        estimate.add(0, doubleArrayOf(0.0, 0.0, 0.0, 0.0))
        assertTrue(estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0)))
        assertTrue(estimate.add(0, doubleArrayOf(920.0, 950.0, 60.0, 40.0)))
        val shares = estimate.choices().single()
        assertEquals(listOf(20.0, 900.0, 30.0, 20.0), shares.toList())
    }

    /** Guards against noise that moves experts: reads of a steady demand add up. */
    @Test
    fun `similar reads add up`() {
        estimate.add(0, doubleArrayOf(0.0, 0.0, 0.0, 0.0))
        estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0))
        estimate.add(0, doubleArrayOf(1_800.0, 110.0, 50.0, 50.0))
        assertTrue(estimate.choices().single()[0] > 1_000.0)
    }

    /** Guards against plans from almost nothing, and against negative counts after a restart of the rank. */
    @Test
    fun `few choices change nothing and a restart begins anew`() {
        estimate.add(0, doubleArrayOf(900.0, 50.0, 30.0, 20.0))
        assertFalse(estimate.add(0, doubleArrayOf(910.0, 50.0, 30.0, 20.0)))
        assertTrue(estimate.add(0, doubleArrayOf(100.0, 0.0, 0.0, 0.0)))
        assertEquals(110.0, estimate.choices().single()[0])
    }
}
