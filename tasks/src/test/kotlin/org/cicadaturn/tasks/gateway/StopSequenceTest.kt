package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests when a planned stop with a connection that stays open ends, in virtual time. */
class StopSequenceTest {
    /**
     * Guards against a process that is killed within its stop, as it counts its time from the begin of the stop although
     * the platform counts from the signal.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a stop that begins late ends in time`() =
        listOf(Duration.ZERO, 1_830.milliseconds, 6.seconds, 9.seconds).forEach { delay ->
            runTest {
                val clock = virtualClock()
                val stop = StopSequence(8.seconds, clock) { false }
                stop.changeConnections(+1)
                val requestedAt = clock.now() - delay
                var endedAt = Duration.INFINITE
                launch {
                    stop.run(requestedAt) {}
                    endedAt = currentTime.milliseconds + delay
                }
                testScheduler.advanceUntilIdle()
                assertTrue(endedAt <= maxOf(7.6.seconds, delay + 300.milliseconds), "ended after $endedAt")
                assertEquals(requestedAt + 7.3.seconds, checkNotNull(stop.times).endsAt)
            }
        }
}
