package org.cicadaturn.decisions.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointLoadTrackerTest {
    private val ledger = endpointLoadTracker(id(0), Duration.ZERO)

    private fun report(
        sequence: Long,
        running: Int,
    ) = report(number = 0, running = running, sequence = sequence)

    /** Guards against own work being counted twice, in the report and as sent, or not at all. */
    @Test
    fun ownWorkIsCountedFromTheMomentOfTheReport() {
        ledger.sent(100, start)
        ledger.sent(100, start + 500.milliseconds)
        ledger.reported(report(sequence = 1, running = 5), madeAt = start + 200.milliseconds)
        assertEquals(Work(6, 2_600), ledger.candidate().expected)
        ledger.ended(100, start + 600.milliseconds)
        ledger.ended(100, start + 700.milliseconds)
        assertEquals(Work(4, 2_400), ledger.candidate().expected)
        ledger.reported(report(sequence = 2, running = 4), madeAt = start + 1.seconds)
        assertEquals(Work(4, 2_000), ledger.candidate().expected)
        assertEquals(Work.NONE, ledger.candidate().own)
    }

    /** Guards against a late report replacing a newer one. */
    @Test
    fun olderReportIsIgnored() {
        ledger.reported(report(sequence = 2, running = 9), madeAt = start + 1.seconds)
        ledger.reported(report(sequence = 1, running = 1), madeAt = start)
        assertEquals(9, ledger.candidate().expected.requests)
    }

    /** Guards against own work vanishing when a report that missed it arrives, or when no report is known. */
    @Test
    fun expectedWorkIsAtLeastTheOwn() {
        repeat(3) { ledger.sent(100, start) }
        assertEquals(Work(3, 300), ledger.candidate().expected)
        ledger.reported(report(sequence = 1, running = 0), madeAt = start + 1.seconds)
        assertEquals(Work(3, 300), ledger.candidate().expected)
    }

    /** Guards against an endpoint being asked again and again between its refusal and the next report. */
    @Test
    fun refusalCountsUntilAReportOfALaterMoment() {
        ledger.refused(start + 1.seconds)
        ledger.reported(report(sequence = 1, running = 5), madeAt = start + 900.milliseconds)
        assertTrue(ledger.candidate().isFull)
        ledger.reported(report(sequence = 2, running = 5), madeAt = start + 1.seconds)
        assertFalse(ledger.candidate().isFull)
    }
}
