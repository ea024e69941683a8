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
    private val stop =
        StopTimes(
            start,
            unreadyAt = start + 2.seconds,
            closedAt = start + 2_900.milliseconds,
            endsAt = start + 7.seconds,
        )

    private fun canEnd(
        timeLeft: Duration,
        limit: Duration = 9.seconds,
        recent: RequestTimes? = RequestTimes(count = 1_000, mean = 1.seconds, longest = 2.seconds),
        estimate: TimeEstimate = TimeEstimate.LONGEST,
    ): Boolean = canEndBefore(timeLeft, limit, recent, estimate)

    /** Guards against requests that are cut at the end of a stop, and against refusals of what can be served. */
    @Test
    fun `a request is expected to take longer than the slowest, but no longer than its limit`() {
        assertTrue(canEnd(timeLeft = 3_010.milliseconds))
        assertFalse(canEnd(timeLeft = 2_990.milliseconds))
        assertTrue(canEnd(timeLeft = 2_900.milliseconds, limit = 2.seconds))
        assertFalse(canEnd(timeLeft = 2_900.milliseconds, recent = null))
    }

    /** Guards against a stop during a slow time that refuses requests whose callers have no attempt left. */
    @Test
    fun `a repeatable request that a refusal may lead back is judged by the mean`() {
        assertEquals(TimeEstimate.MEAN, stop.estimateAt(start + 1.seconds, start, isRepeatable = true))
        assertEquals(TimeEstimate.LONGEST, stop.estimateAt(start + 1.seconds, start, isRepeatable = false))
        assertTrue(canEnd(timeLeft = 1_510.milliseconds, estimate = TimeEstimate.MEAN))
        assertFalse(canEnd(timeLeft = 1_490.milliseconds, estimate = TimeEstimate.MEAN))
    }

    /** Guards against a repeatable request that is cut, although another process would have served it at once. */
    @Test
    fun `a repeatable request is judged by the longest time once new connections are led elsewhere`() {
        assertEquals(TimeEstimate.LONGEST, stop.estimateAt(start + 2.seconds, start, isRepeatable = true))
    }

    /** Guards against a request that a stop admits by short times and cuts, although it was refused at no cost. */
    @Test
    fun `a request that arrives after new connections go elsewhere is judged by its limit`() {
        val at = start + 3.seconds
        listOf(true, false).forEach { assertEquals(TimeEstimate.LIMIT, stop.estimateAt(at, at, isRepeatable = it)) }
        assertEquals(TimeEstimate.LONGEST, stop.estimateAt(at, start + 2.seconds, isRepeatable = true))
        assertFalse(canEnd(timeLeft = 4.seconds, limit = 5.seconds, estimate = TimeEstimate.LIMIT))
        assertTrue(canEnd(timeLeft = 4.seconds, limit = 1.seconds, estimate = TimeEstimate.LIMIT))
    }

    /** Guards against a process that has just started and accepts, or refuses, everything when it is stopped. */
    @Test
    fun `few known times do not stand for all requests`() {
        val oneShort = RequestTimes(count = 1, mean = 100.milliseconds, longest = 100.milliseconds)
        assertFalse(canEnd(timeLeft = 1_400.milliseconds, limit = 8.seconds, recent = oneShort))
        assertTrue(canEnd(timeLeft = 1_500.milliseconds, limit = 8.seconds, recent = oneShort))
        assertTrue(canEnd(timeLeft = 400.milliseconds, limit = 8.seconds, recent = oneShort.copy(count = 10)))
        assertFalse(canEnd(timeLeft = 7.seconds, limit = 8.seconds, recent = null))
        assertTrue(canEnd(timeLeft = 5.seconds, limit = 8.seconds, recent = null, estimate = TimeEstimate.MEAN))
    }

    /** Guards against one slow request that makes a later stop refuse all others. */
    @Test
    fun `a time counts for one to two windows`() {
        val tracker = requestTimeTracker()
        tracker.answered(service, 5.seconds, start)
        tracker.answered(service, 1.seconds, start + 31.seconds)
        assertEquals(mapOf(service to RequestTimes(2, 3.seconds, 5.seconds)), tracker.current(start + 31.seconds))
        tracker.answered(service, 3.seconds, start + 62.seconds)
        assertEquals(mapOf(service to RequestTimes(2, 2.seconds, 3.seconds)), tracker.current(start + 62.seconds))
        assertTrue(tracker.current(start + 200.seconds).isEmpty())
    }
}
