package org.cicadaturn.bench.limits

import org.cicadaturn.schema.generated.LimitFault
import org.cicadaturn.schema.generated.LimitScheme
import org.cicadaturn.schema.generated.LimitsBenchOptions
import org.cicadaturn.schema.generated.OrganisationId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LimitsBenchTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val options = LimitsBenchOptions(nodes = 10, organisations = 2, minutes = 4, control = false)

    private fun call(
        second: Int,
        realTokens: Long,
    ) = BenchCall(second.toLong(), 0, OrganisationId("survey"), realTokens, realTokens, 1, start).also {
        it.admittedAt = start + second.seconds
    }

    /** Guards against a calculation that misses a burst at the boundary between two minutes. */
    @Test
    fun worstMinuteSpansTwoClockMinutes() {
        val calls = listOf(call(0, 1), call(50, 100), call(70, 100), call(111, 50))
        assertEquals(200, worstMinute(calls))
        assertEquals(151, worstMinute(listOf(call(0, 1), call(59, 100), call(59, 50), call(60, 0))))
    }

    /** Guards against results that differ between runs with the same seed. */
    @Test
    fun sameSeedGivesSameResult() {
        val small = options.copy(nodes = 3, minutes = 2)
        assertEquals(limitsBench(small), limitsBench(small))
    }

    /**
     * Guards against limit decisions that exceed a limit by more than the target permits or leave too much of it
     * unused, and against a comparison in which a static split can use the budget of idle nodes.
     */
    @Test
    fun targetsAreMetForEachSeed() {
        for (seed in 1L..3L) {
            val result = limitsBench(options.copy(seed = seed))
            assertEquals(emptyList<Any>(), result.targets.filterNot { it.met }, "seed $seed")
            val static = result.runs.first { it.scheme == LimitScheme.STATIC && it.fault == LimitFault.NONE }
            assertTrue(static.usedShare < 0.2, "a static split with demand on one node used ${static.usedShare}")
        }
    }
}
