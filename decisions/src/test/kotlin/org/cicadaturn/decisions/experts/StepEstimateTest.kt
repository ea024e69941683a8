package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StepEstimateTest {
    private val start = Instant.fromEpochSeconds(1_000)

    /** Guards against holds for passes that have begun while experts were copied. */
    @Test
    fun `passes are extrapolated at the last pace`() {
        val steps = stepEstimate()
        steps.read(100, start)
        assertEquals(100, steps.at(start + 1.seconds))
        steps.read(104, start + 250.milliseconds)
        assertEquals(104, steps.at(start + 250.milliseconds))
        assertEquals(108, steps.at(start + 510.milliseconds))
    }

    /** Guards against a pass too far ahead for the switch to happen, after a pause or in a group without requests. */
    @Test
    fun `the estimate stays near the last read`() {
        val steps = stepEstimate()
        steps.read(0, start)
        steps.read(16, start + 1.seconds)
        assertEquals(32, steps.at(start + 60.seconds))
        steps.read(16, start + 2.seconds)
        assertEquals(16, steps.at(start + 3.seconds))
    }
}
