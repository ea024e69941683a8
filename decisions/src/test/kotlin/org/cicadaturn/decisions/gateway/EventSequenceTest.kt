package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class EventSequenceTest {
    private fun accept(
        text: String,
        sequence: EventSequence = eventSequence(ExpectedEvents()),
    ): EventBatch = sequence.accept(eventSplitter().add(text.encodeToByteArray()))

    private fun increasing(after: Long? = null) = eventSequence(ExpectedEvents(EventNumbering.INCREASING, after))

    private fun idsIn(batch: EventBatch): List<Long?> = batch.sound.map { it.id }

    /** Guards against a sound stream that is cut because of fields or comments. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            "id:1\r\ndata:a\r\n\r\nid:2\r\ndata:b\r\n\r\n",
            "weight-versions: 7\nid: 1\ndata: a\n\nevent: x\nid: 2\ndata: a\ndata: b\n\n",
            ": keep-alive\n\nretry: 100\n\nid: 1\ndata: a\n\n:\n\nid: 2\ndata\n\n",
            ": comment\nid: 1\ndata: a\n\nid: 2\ndata: b: c\n\n",
        ],
    )
    fun `events in sequence are passed on`(text: String) {
        for (sequence in listOf(eventSequence(ExpectedEvents()), increasing())) {
            val batch = accept(text, sequence)
            assertEquals(listOf<Long?>(1, 2), idsIn(batch))
            assertNull(batch.defect)
        }
    }

    /** Guards against a piece that no run made, or one of another run, that is passed on within a stream. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "data: x\n\n",
            "id:\ndata: x\n\n",
            "id: x\ndata: x\n\n",
            "id: -3\ndata: x\n\n",
            "id: 4x\ndata: x\n\n",
            "id: 99999999999999999999\ndata: x\n\n",
            "garbage\n\n",
            "garbage\nid: 3\ndata: x\n\n",
            "\u0001\u0002: 7\nid: 3\ndata: x\n\n",
            "id: 2\ndata: x\n\n",
            "id: 1\ndata: x\n\n",
            "id: 3\nid: 4\ndata: x\n\n",
            "id: 3\n\n",
        ],
    )
    fun `nothing is passed on from the first unsound event on`(piece: String) {
        for (sequence in listOf(eventSequence(ExpectedEvents()), increasing())) {
            val batch = accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\n${piece}id: 5\ndata: c\n\n", sequence)
            assertEquals(listOf<Long?>(1, 2), idsIn(batch))
            assertNotNull(batch.defect)
        }
    }

    /** Guards against a sequence that forgets the last number between two reads. */
    @Test
    fun `numbers are compared across reads`() {
        val sequence = eventSequence(ExpectedEvents())
        assertNull(accept("id: 1\ndata: a\n\n", sequence).defect)
        assertEquals("event 1 after 1", accept("id: 1\ndata: a\n\n", sequence).defect)
    }

    /** Guards against an event that is left out, at the start of a stream or within it. */
    @Test
    fun `a number that is not due ends a consecutive sequence`() {
        assertEquals("event 2 where 1 was due", accept("id: 2\ndata: b\n\n").defect)
        val batch = accept("id: 1\ndata: a\n\nid: 3\ndata: c\n\n")
        assertEquals(listOf<Long?>(1), idsIn(batch))
        assertEquals("event 3 where 2 was due", batch.defect)
        assertTrue(batch.canContinue)
    }

    /** Guards against a stream that is cut because of gaps in its numbers where endpoints number with gaps. */
    @Test
    fun `numbers may have gaps in an increasing sequence`() {
        val batch = accept("id: 3\ndata: a\n\nid: 9\ndata: b\n\n", increasing())
        assertEquals(listOf<Long?>(3, 9), idsIn(batch))
        assertNull(batch.defect)
        assertEquals(listOf<Long?>(0, 4), idsIn(accept("id: 0\ndata: a\n\nid: 4\ndata: b\n\n", increasing())))
        assertEquals("event 0 after 0", accept("id: 0\ndata: a\n\nid: 0\ndata: b\n\n", increasing()).defect)
        assertEquals(
            "event 4 after 4",
            accept(
                "id: 4\ndata: a\n\n",
                increasing(after = 4).also {
                    it.accept(splitOf(4))
                },
            ).defect,
        )
    }

    private fun splitOf(id: Int): List<StreamEvent> = eventSplitter().add("id: $id\ndata: x\n\n".encodeToByteArray())

    /** Guards against garbage, an event twice or one of another run that counts as a gap in the numbers of a service. */
    @Test
    fun `only a number that is too high, or a first one of 0, is a gap`() {
        assertNotNull(accept("id: 2\ndata: b\n\n").gap)
        assertNotNull(accept("id: 0\ndata: b\n\n").gap)
        assertNotNull(accept("id: 1\ndata: a\n\nid: 3\ndata: c\n\n").gap)
        assertNotNull(accept("id: 9\ndata: a\n\n", eventSequence(ExpectedEvents(after = 4))).gap)
        assertNull(accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").gap)
        for (piece in listOf(
            "id: 1\ndata: a\n\n",
            "id: 0\ndata: a\n\n",
            "data: a\n\n",
            "id: 3\n\n",
            "x\nid: 3\ndata: a\n\n",
        )) {
            assertNull(accept("id: 1\ndata: a\n\n$piece").gap, piece)
        }
    }

    /** Guards against a stream that is cut although two endpoints agree, and against a run that begins anew. */
    @Test
    fun `a gap that another endpoint has shown is sound where an answer goes on with it, and only there`() {
        val expected = ExpectedEvents(after = 3, shownNext = 5)
        val text = "id: 5\ndata: e\n\nid: 7\ndata: g\n\n"
        assertEquals(listOf<Long?>(5, 7), idsIn(accept(text, eventSequence(expected))))
        assertEquals("event 6 where 4 was due", accept("id: 6\ndata: f\n\n", eventSequence(expected)).defect)
        val late = accept("id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 7\ndata: g\n\n", eventSequence(expected))
        assertEquals("event 7 where 6 was due", late.defect)
        val anew = accept("id: 3\ndata: c\n\n$text", eventSequence(expected))
        assertEquals("event 5 where 4 was due", anew.defect)
        assertEquals(EventGap(after = 3, next = 5, isFirst = false), anew.gap)
        val first = eventSequence(ExpectedEvents(shownNext = 0))
        assertEquals(listOf<Long?>(0, 4), idsIn(accept("id: 0\ndata: a\n\nid: 4\ndata: b\n\n", first)))
    }

    /** Guards against a run that begins anew, or elsewhere, in the middle of a stream. */
    @Test
    fun `an answer goes on behind the last event of the caller`() {
        val after = ExpectedEvents(after = 4)
        assertEquals(listOf<Long?>(5), idsIn(accept("id: 5\ndata: e\n\n", eventSequence(after))))
        assertEquals(
            listOf<Long?>(5),
            idsIn(accept("id: 4\ndata: d\n\nid: 5\ndata: e\n\n", eventSequence(after))),
        )
        assertEquals("event 1 after 4", accept("id: 1\ndata: a\n\n", eventSequence(after)).defect)
        assertEquals("event 6 where 5 was due", accept("id: 6\ndata: f\n\n", eventSequence(after)).defect)
    }

    /** Guards against a stream that goes on behind an event that may have been the wrong one. */
    @Test
    fun `nothing continues a sequence in which it is unclear which event is wrong`() {
        val twice = "id: 1\ndata: a\n\n"
        assertTrue(accept(twice + twice).canContinue)
        assertFalse(accept(twice + "id: 1\ndata: other\n\n").canContinue)
        assertFalse(accept("id: 1\ndata: a\n\nid: 9\ndata: x\n\nid: 2\ndata: b\n\n", increasing()).canContinue)
    }
}
