package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EventSplitterTest {
    private val text = "id: 1\ndata: a\n\nversions: 2\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c"

    /** Guards against a partial event that is passed on, and against one that is lost between two reads. */
    @Test
    fun `events are whole however the bytes are split into reads`() {
        for (size in 1..text.length) {
            val splitter = eventSplitter()
            val events =
                text
                    .encodeToByteArray()
                    .toList()
                    .chunked(size)
                    .flatMap { splitter.add(it.toByteArray()) }
            assertEquals(listOf(1L, 2L), events.map { it.id }, "pieces of $size")
            assertEquals(text.substringBefore("id: 3"), events.joinToString("") { it.bytes.decodeToString() })
            assertTrue(splitter.isInsideEvent)
        }
    }

    /** Guards against a stream that counts as cut off although its last event was complete. */
    @Test
    fun `no event is incomplete after a blank line`() {
        val splitter = eventSplitter()
        splitter.add("data: a\n\n".encodeToByteArray())
        assertFalse(splitter.isInsideEvent)
    }
}
