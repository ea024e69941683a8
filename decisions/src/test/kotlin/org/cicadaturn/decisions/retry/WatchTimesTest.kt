package org.cicadaturn.decisions.retry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class WatchTimesTest {
    /** Guards against a limit that leaves no time to read again, and against calls without a wait. */
    @ParameterizedTest
    @CsvSource("10s, 3s", "1s, 3s", "10s, 2s", "10s, 0.5ms", "10s, 1000000000000000ms")
    fun `a lost answer leaves a fifth of the time to read again`(
        maxWait: String,
        maxSilence: String,
    ) {
        val silence = Duration.parse(maxSilence)
        val times = watchTimes(Duration.parse(maxWait), silence)
        assertTrue(times.wait < times.limit)
        assertTrue(times.wait <= Duration.parse(maxWait))
        assertTrue(times.wait >= 300.milliseconds, "wait ${times.wait}")
        assertTrue(times.limit <= silence * 0.801 || silence < 500.milliseconds, "limit ${times.limit}")
    }

    /** Guards against calls to the store that are more frequent than the bound of the silence requires. */
    @ParameterizedTest
    @CsvSource("1s, 3s, 1s", "10s, 3s, 2.04s", "10s, 1m, 10s")
    fun `the wait is as long as both bounds allow`(
        maxWait: String,
        maxSilence: String,
        wait: String,
    ) {
        assertEquals(Duration.parse(wait), watchTimes(Duration.parse(maxWait), Duration.parse(maxSilence)).wait)
    }
}
