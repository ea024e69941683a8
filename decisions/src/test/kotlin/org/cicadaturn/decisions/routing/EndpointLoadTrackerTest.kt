package org.cicadaturn.decisions.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointLoadTrackerTest {
    private val tracker = endpointLoadTracker(id(0), Duration.ZERO)

    private fun report(
        sequence: Long,
        running: Int,
    ) = report(number = 0, running = running, sequence = sequence)

    /** Guards against own work being counted twice, in the report and as sent, or not at all. */
    @Test
    fun ownWorkIsCountedFromTheMomentOfTheReport() {
        tracker.sent(100, start)
        tracker.sent(100, start + 500.milliseconds)
        tracker.reported(report(sequence = 1, running = 5), madeAt = start + 200.milliseconds)
        assertEquals(Work(6, 2_600), tracker.candidate().expected)
        tracker.ended(100, start + 600.milliseconds)
        tracker.ended(100, start + 700.milliseconds)
        assertEquals(Work(4, 2_400), tracker.candidate().expected)
        tracker.reported(report(sequence = 2, running = 4), madeAt = start + 1.seconds)
        assertEquals(Work(4, 2_000), tracker.candidate().expected)
        assertEquals(Work.NONE, tracker.candidate().own)
    }

    /** Guards against a late report replacing a newer one. */
    @Test
    fun olderReportIsIgnored() {
        tracker.reported(report(sequence = 2, running = 9), madeAt = start + 1.seconds)
        tracker.reported(report(sequence = 1, running = 1), madeAt = start)
        assertEquals(9, tracker.candidate().expected.requests)
    }

    /** Guards against own work being left out when a report that lacks it arrives, or when there is no report. */
    @Test
    fun expectedWorkIsAtLeastTheOwn() {
        repeat(3) { tracker.sent(100, start) }
        assertEquals(Work(3, 300), tracker.candidate().expected)
        tracker.reported(report(sequence = 1, running = 0), madeAt = start + 1.seconds)
        assertEquals(Work(3, 300), tracker.candidate().expected)
    }

    /** Guards against repeated attempts at an endpoint between its refusal and the next report. */
    @Test
    fun refusalCountsUntilAReportOfALaterMoment() {
        tracker.refused(start + 1.seconds)
        tracker.reported(report(sequence = 1, running = 5), madeAt = start + 900.milliseconds)
        assertTrue(tracker.candidate().isFull)
        tracker.reported(report(sequence = 2, running = 5), madeAt = start + 1.seconds)
        assertFalse(tracker.candidate().isFull)
    }
}
