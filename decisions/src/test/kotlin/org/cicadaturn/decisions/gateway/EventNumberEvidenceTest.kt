package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.gateway.NumberSighting.BEGINNING
import org.cicadaturn.decisions.gateway.NumberSighting.CONSECUTIVE
import org.cicadaturn.decisions.gateway.NumberSighting.GAP
import org.cicadaturn.decisions.gateway.NumberSighting.LATE_GAP
import org.cicadaturn.decisions.gateway.NumberSighting.SKIPPING
import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class EventNumberEvidenceTest {
    private fun evidenceAfter(
        sightings: List<Pair<String, NumberSighting>>,
        serviceSize: Int,
    ): EventNumberEvidence =
        sightings.fold(EventNumberEvidence()) { evidence, (id, sighting) ->
            evidence.plus(EndpointId(id), sighting, serviceSize)
        }

    private fun numberingAfter(vararg sightings: Pair<String, NumberSighting>): EventNumbering =
        evidenceAfter(sightings.toList(), serviceSize = 3).numbering

    private fun sighting(
        numbers: List<Long>,
        end: NumberedEnd = NumberedEnd.OTHER,
        after: Long? = null,
        shownNext: Long? = null,
    ): NumberSighting? {
        val start = AnswerSummary("text/event-stream", BodyFraming.CHUNKED)
        val summary = numbers.fold(start) { summary, id -> summary.plusEvent(id) }
        return numberSightingIn(summary, end, ExpectedEvents(after = after, shownNext = shownNext))
    }

    /** Guards against a left-out event that is passed over where the service numbers consecutively. */
    @Test
    fun `gaps are not accepted once consecutive numbers were seen, before or behind them`() {
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter())
        val gaps = Array(9) { "e${it % 3}" to GAP }
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter("e1" to CONSECUTIVE, *gaps))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*gaps, "e1" to CONSECUTIVE))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*gaps, "e1" to CONSECUTIVE, *gaps))
        val lateGaps = Array(9) { "e${it % 3}" to LATE_GAP }
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*lateGaps, "e1" to CONSECUTIVE, *gaps, *lateGaps))
    }

    /** Guards against a stream that is under way and rules gaps out for good (review/8), or for no time at all. */
    @Test
    fun `an answer that begins with consecutive numbers rules out gaps within the first events, not later ones`() {
        val gaps = Array(9) { "e${it % 3}" to GAP }
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter("e1" to BEGINNING, *gaps))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*gaps, "e1" to BEGINNING, *gaps))
        val beginning = "e1" to BEGINNING
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(beginning, "e1" to LATE_GAP, "e2" to LATE_GAP))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(beginning, *Array(50) { "e1" to LATE_GAP }))
        val lateGaps = arrayOf("e1" to LATE_GAP, "e2" to LATE_GAP, "e1" to LATE_GAP)
        assertEquals(EventNumbering.INCREASING, numberingAfter(beginning, *lateGaps))
    }

    /** Guards against a numbering that no answer can correct, and against one pair of faulty endpoints that corrects it. */
    @Test
    fun `what complete answers show is corrected by as many that show the opposite`() {
        assertEquals(EventNumbering.INCREASING, numberingAfter("e1" to BEGINNING, "e2" to SKIPPING))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter("e1" to CONSECUTIVE, "e2" to SKIPPING))
        val many = Array(100) { "e1" to CONSECUTIVE }
        val some = Array(3) { "e2" to SKIPPING }
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*many, *some))
        assertEquals(EventNumbering.INCREASING, numberingAfter(*many, *some, "e2" to SKIPPING))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*some, "e2" to SKIPPING, *many))
    }

    /** Guards against a service of one endpoint whose streams are all lost, as no other endpoint can show the same. */
    @Test
    fun `the gaps of the only endpoint of a service are accepted after three`() {
        fun numberingOf(
            gaps: Int,
            size: Int,
        ) = evidenceAfter(List(gaps) { "e1" to GAP }, size).numbering
        assertEquals(EventNumbering.CONSECUTIVE, numberingOf(gaps = 2, size = 1))
        assertEquals(EventNumbering.INCREASING, numberingOf(gaps = 3, size = 1))
        assertEquals(EventNumbering.CONSECUTIVE, numberingOf(gaps = 50, size = 2))
    }

    /** Guards against streams that are all lost because a service numbers with gaps, and against one faulty endpoint. */
    @Test
    fun `gaps are accepted once several endpoints have shown nothing else`() {
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter("e1" to GAP, "e2" to GAP))
        assertEquals(EventNumbering.INCREASING, numberingAfter("e1" to GAP, "e2" to GAP, "e1" to GAP))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*Array(50) { "e1" to GAP }))
    }

    /** Guards against a left-out event, or a part of a stream, that counts as evidence of the wrong kind. */
    @Test
    fun `the first events of an answer show how they are numbered`() {
        assertEquals(BEGINNING, sighting(listOf(1, 2, 3)))
        assertEquals(BEGINNING, sighting(listOf(1, 2, 3), NumberedEnd.COMPLETE))
        assertEquals(CONSECUTIVE, sighting(listOf(1, 2, 3, 4), NumberedEnd.COMPLETE))
        assertEquals(LATE_GAP, sighting(listOf(1, 2, 3, 4), NumberedEnd.GAP))
        assertNull(sighting(listOf(1, 2)))
        assertEquals(GAP, sighting(listOf(1, 2), NumberedEnd.GAP))
        assertEquals(GAP, sighting(emptyList(), NumberedEnd.GAP))
        assertEquals(GAP, sighting(emptyList(), NumberedEnd.GAP, after = 8))
        for (end in NumberedEnd.entries) assertNull(sighting(listOf(9, 10, 11, 12), end, after = 8))
        assertNull(sighting(listOf(0, 1, 2, 3)))
        assertNull(sighting(listOf(0, 4, 8)))
        assertEquals(SKIPPING, sighting(listOf(0, 4, 8), NumberedEnd.COMPLETE))
        assertEquals(SKIPPING, sighting(listOf(9, 10), NumberedEnd.COMPLETE, after = 7, shownNext = 9))
        assertNull(sighting(listOf(9, 10), after = 7, shownNext = 9))
        assertNull(sighting(emptyList()))
    }
}
