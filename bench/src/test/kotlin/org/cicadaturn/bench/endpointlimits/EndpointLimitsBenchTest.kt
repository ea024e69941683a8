package org.cicadaturn.bench.endpointlimits

import org.cicadaturn.schema.generated.EndpointLimitPolicy
import org.cicadaturn.schema.generated.EndpointLimitsBenchOptions
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class EndpointLimitsBenchTest {
    /** Guards against gateways that exceed limits under load beyond them, and against a bench that would not show it. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `the gateways keep to limits under load`(seed: Long) {
        val result = endpointLimitsBench(EndpointLimitsBenchOptions(seed = seed, seconds = 30))
        val own = result.runs.filter { it.policy == EndpointLimitPolicy.OWN }
        assertEquals(4, own.size)
        own.forEach { assertTrue(it.worst <= it.allowed, "$it") }
        val ignored = result.runs.filter { it.policy == EndpointLimitPolicy.IGNORED }
        ignored.forEach { assertTrue(it.worst > it.allowed, "$it") }
        // Each of 350 gateways misses a relay by all others with a probability of e to the power of -12.
        assertTrue(result.traffic.first().unreached < 1e-4, "${result.traffic.first()}")
    }
}
