package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ShutdownPolicyTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("s")

    private fun canEnd(
        timeLeft: Duration,
        limit: Duration = 9.seconds,
        recent: RequestTimes? = RequestTimes(mean = 1.seconds, longest = 2.seconds),
        isRepeatable: Boolean = false,
    ): Boolean = canEndBefore(timeLeft, limit, recent, isRepeatable)

    /** Guards against requests that are cut at the end of a stop, and against refusals of what can be served. */
    @Test
    fun `a request is expected to take longer than the slowest, but no longer than its limit`() {
        assertTrue(canEnd(timeLeft = 3.seconds))
        assertFalse(canEnd(timeLeft = 2_900.milliseconds))
        assertTrue(canEnd(timeLeft = 2_900.milliseconds, limit = 2.seconds))
        assertFalse(canEnd(timeLeft = 2_900.milliseconds, recent = null))
    }

    /** Guards against a stop during a slow time that refuses requests whose callers have no attempt left. */
    @Test
    fun `a repeatable request is judged by the mean`() {
        assertTrue(canEnd(timeLeft = 1_500.milliseconds, isRepeatable = true))
        assertFalse(canEnd(timeLeft = 1_400.milliseconds, isRepeatable = true))
    }

    /** Guards against one slow request that makes a later stop refuse all others. */
    @Test
    fun `a time counts for one to two windows`() {
        val tracker = requestTimeTracker()
        tracker.answered(service, 5.seconds, start)
        tracker.answered(service, 1.seconds, start + 31.seconds)
        assertEquals(mapOf(service to RequestTimes(3.seconds, 5.seconds)), tracker.current(start + 31.seconds))
        tracker.answered(service, 3.seconds, start + 62.seconds)
        assertEquals(mapOf(service to RequestTimes(2.seconds, 3.seconds)), tracker.current(start + 62.seconds))
        assertTrue(tracker.current(start + 200.seconds).isEmpty())
    }
}
