package org.cicadaturn.decisions.retry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class BackoffTest {
    /** Guards against jitter over only part of the range, which would not spread the calls of many processes. */
    @Test
    fun `waits cover the whole range`() {
        val backoff = fullJitterBackoff(100.milliseconds, 800.milliseconds, Random(7403))
        val eighths = (1..1000).map { (backoff.delayBefore(10) / 100.milliseconds).toInt().coerceAtMost(7) }
        assertEquals((0..7).toSet(), eighths.toSet())
    }

    /** Guards against settings that would cause endless or no waits. */
    @Test
    fun `invalid arguments are rejected`() {
        val base = 100.milliseconds
        assertThrows(IllegalArgumentException::class.java) { fullJitterBackoff(Duration.ZERO, base, Random(1)) }
        assertThrows(IllegalArgumentException::class.java) { fullJitterBackoff(base, base / 2, Random(1)) }
        assertThrows(IllegalArgumentException::class.java) { fullJitterBackoff(base, Duration.INFINITE, Random(1)) }
        assertThrows(IllegalArgumentException::class.java) { fullJitterBackoff(base, base, Random(1)).delayBefore(0) }
    }
}
