package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the reader that judges streams, which must not read them as the gateway does. */
class StandardEventReaderTest {
    private fun read(text: String): List<Pair<String, String>> = read(text.encodeToByteArray())

    private fun read(bytes: ByteArray): List<Pair<String, String>> =
        StandardEventReader().read(bytes).map { it.lastEventId to it.data }

    /** Guards against a reader that sees one event where a caller sees two. */
    @Test
    fun `lines end with LF, CRLF or CR`() {
        val events = listOf("1" to "a", "2" to "b")
        assertEquals(events, read("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
        assertEquals(events, read("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"))
        assertEquals(events, read("id: 1\rdata: a\r\rid: 2\rdata: b\r\r"))
        assertEquals(events, read("id: 1\rdata: a\n\rid: 2\r\ndata: b\n\n"))
    }

    /** Guards against an event that is only reported if it has an identifier. */
    @Test
    fun `an event without an id has the last one`() {
        assertEquals(listOf("1" to "a", "1" to "b"), read("id: 1\ndata: a\n\ndata: b\n\n"))
        assertEquals(listOf("" to "b"), read("id: 1\n\nid\ndata: b\n\n"))
        assertEquals(listOf("4" to "b"), read("id: 4\n\ndata: b\n\n"))
        assertEquals(listOf("1" to "b"), read("id: 1\nid: 2\u00003\nID: 4\ndata: b\n\n"))
    }

    /** Guards against values that are trimmed and lines that are taken for others. */
    @Test
    fun `fields are read to the letter`() {
        assertEquals(listOf(" 1 " to "a\n\nb"), read("id:  1 \ndata:a\ndata\ndata: b\n\n"))
        assertEquals(listOf("" to ""), read("data\n\n"))
        assertEquals(listOf("" to "a"), read(": c\nevent: e\nretry: 1\nx\ndata: a\n\n"))
        assertEquals(emptyList<Any>(), read("id: 1\n\nevent: e\n\n\n"))
    }

    /** Guards against a broken beginning or end that hides or adds an event. */
    @Test
    fun `a byte order mark, bytes that are no text and an incomplete end are no part of an event`() {
        assertEquals(listOf("1" to "a"), read("\uFEFFid: 1\ndata: a\n\nid: 2\ndata: b\n"))
        assertEquals(listOf("" to "a"), read("\uFEFF\uFEFFid: 1\ndata: a\n\n"))
        assertEquals(listOf("" to "\uFFFD"), read("data: ".encodeToByteArray() + byteArrayOf(-1, 10, 10)))
    }
}
