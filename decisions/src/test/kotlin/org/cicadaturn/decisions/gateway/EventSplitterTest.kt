package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

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

    /** Guards against a CR that becomes a part of a line, or an LF that ends a second line. */
    @ParameterizedTest
    @ValueSource(strings = ["\n", "\r\n"])
    fun `lines end with LF or CR LF, wherever reads end`(lineEnd: String) {
        val first = "id: 1${lineEnd}data: a$lineEnd$lineEnd"
        val text = first + "data: b$lineEnd${lineEnd}id: 3${lineEnd}data: c$lineEnd$lineEnd"
        for (size in 1..text.length) {
            val splitter = eventSplitter()
            val events =
                text
                    .encodeToByteArray()
                    .toList()
                    .chunked(size)
                    .flatMap { splitter.add(it.toByteArray()) }
            assertEquals(listOf(1L, null, 3L), events.map { it.id }, "reads of $size")
            assertEquals(listOf("id: 1", "data: a"), events.first().lines)
            assertEquals(text, events.joinToString("") { it.bytes.decodeToString() })
            assertFalse(splitter.isInsideEvent)
            assertFalse(splitter.hasLoneReturn)
        }
    }

    /** Guards against numbers that the caller reads otherwise than the gateway. */
    @ParameterizedTest
    @ValueSource(
        strings = ["id: 01", "id:  1", "id: 1 ", "id: +1", "id: -1", "id", "id:", "ID: 1", "id: 1\u0000", "id: ١"],
    )
    fun `an id that is not written as a decimal is no number`(line: String) {
        assertNull(
            eventSplitter()
                .add("$line\ndata: a\n\n".encodeToByteArray())
                .single()
                .id,
        )
    }

    /** Guards against bytes that are no text and pass for an event. */
    @Test
    fun `an event that is not UTF-8 has no lines`() {
        val bytes = "id: 1\ndata: ".encodeToByteArray() + byteArrayOf(0xC3.toByte(), 0x28) + "\n\n".encodeToByteArray()
        assertNull(eventSplitter().add(bytes).single().lines)
    }

    /** Guards against a stream that counts as cut off although its last event was complete. */
    @Test
    fun `no event is incomplete after a blank line`() {
        val splitter = eventSplitter()
        splitter.add("data: a\n\n".encodeToByteArray())
        assertFalse(splitter.isInsideEvent)
    }
}
