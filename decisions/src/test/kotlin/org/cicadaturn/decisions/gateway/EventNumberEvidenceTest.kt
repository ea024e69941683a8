package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.gateway.NumberSighting.CONSECUTIVE
import org.cicadaturn.decisions.gateway.NumberSighting.GAP
import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class EventNumberEvidenceTest {
    private fun numberingAfter(vararg sightings: Pair<String, NumberSighting>): EventNumbering =
        sightings
            .fold(EventNumberEvidence()) { evidence, (id, sighting) -> evidence.plus(EndpointId(id), sighting) }
            .numbering

    private fun sighting(
        numbers: List<Long>,
        hasGap: Boolean = false,
        after: Long? = null,
    ): NumberSighting? {
        val start = AnswerSummary("text/event-stream", BodyFraming.CHUNKED)
        return numberSightingIn(numbers.fold(start) { summary, id -> summary.plusEvent(id) }, hasGap, after)
    }

    /** Guards against a left-out event that is passed over where the service numbers consecutively. */
    @Test
    fun `gaps are not accepted once consecutive numbers were seen, before or behind them`() {
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter())
        val gaps = Array(9) { "e${it % 3}" to GAP }
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter("e1" to CONSECUTIVE, *gaps))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*gaps, "e1" to CONSECUTIVE))
        assertEquals(EventNumbering.CONSECUTIVE, numberingAfter(*gaps, "e1" to CONSECUTIVE, *gaps))
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
        assertEquals(CONSECUTIVE, sighting(listOf(1, 2, 3)))
        assertEquals(CONSECUTIVE, sighting(listOf(1, 2, 3, 4), hasGap = true))
        assertNull(sighting(listOf(1, 2)))
        assertEquals(GAP, sighting(listOf(1, 2), hasGap = true))
        assertEquals(GAP, sighting(emptyList(), hasGap = true))
        assertEquals(GAP, sighting(emptyList(), hasGap = true, after = 8))
        assertNull(sighting(listOf(9, 10, 11, 12), after = 8))
        assertNull(sighting(listOf(9, 10, 11, 12), hasGap = true, after = 8))
        assertNull(sighting(listOf(0, 1, 2, 3)))
        assertNull(sighting(listOf(0, 4, 8)))
        assertNull(sighting(emptyList()))
    }
}
