package org.cicadaturn.decisions.retry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class BackoffProperties {
    /** Guards against waits above the bound, negative waits, and overflow at high retry numbers. */
    @Property(seed = "7401")
    fun `a wait lies between zero and the bound of its attempt`(
        @ForAll @LongRange(min = 1, max = 60_000) baseMs: Long,
        @ForAll @LongRange(min = 1, max = 600_000) maxMs: Long,
        @ForAll @IntRange(min = 1, max = Int.MAX_VALUE) attempt: Int,
        @ForAll seed: Long,
    ) {
        val base = minOf(baseMs, maxMs).milliseconds
        val max = maxMs.milliseconds
        val wait = fullJitterBackoff(base, max, Random(seed)).delayBefore(attempt)
        val doubled = generateSequence(base) { it * 2 }.take(minOf(attempt, 64)).last()
        assertTrue(wait >= Duration.ZERO && wait <= minOf(max, doubled)) { "waited $wait" }
    }

    /** Guards against waits that cannot be reproduced with the same seed. */
    @Property(seed = "7402")
    fun `equal seeds give equal waits`(
        @ForAll seed: Long,
    ) {
        fun waits(): List<Duration> {
            val backoff = fullJitterBackoff(100.milliseconds, 10_000.milliseconds, Random(seed))
            return (1..20).map(backoff::delayBefore)
        }
        assertEquals(waits(), waits())
    }
}
