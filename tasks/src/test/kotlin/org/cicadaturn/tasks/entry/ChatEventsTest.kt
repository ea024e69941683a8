package org.cicadaturn.tasks.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ChatEventsTest {
    private fun event(
        content: String,
        finish: String = "null",
    ): String =
        """data: {"id":"1","object":"chat.completion.chunk","created":1,"model":"m",""" +
            """"choices":[{"index":0,"delta":{"content":"$content"},"finish_reason":$finish}]}""" + "\n\n"

    private val stream =
        event("") + event("alpha ") + event("beta ") + event("", "\"stop\"") + "data: [DONE]\n\n"

    private fun ChatEvents.textOf(bytes: ByteArray): String {
        val batch = accept(bytes)
        assertNull(batch.defect)
        return batch.sound.decodeToString()
    }

    /** Guards against a token that is sent twice or left out when an answer is resumed at another endpoint. */
    @Test
    fun `a stream that is split anywhere gives complete events and their number of tokens`() {
        for (cut in 0..stream.length) {
            val events = ChatEvents()
            val first = events.textOf(stream.take(cut).encodeToByteArray())
            assertEquals(first.split("\n\n").count { it.contains("a \"") }, events.tokens, "cut at $cut")
            assertEquals(stream.take(first.length), first)
            val rest = events.textOf(stream.drop(cut).encodeToByteArray())
            assertEquals(stream, first + rest)
            assertEquals(2, events.tokens)
            assertTrue(events.isEnded)
        }
    }

    /** Guards against events that callers find and the entry process does not, as their lines end in another way. */
    @Test
    fun `each line end gives the same events wherever the stream is split`() {
        for (lineEnd in listOf("\r\n", "\r")) {
            val other = stream.replace("\n", lineEnd)
            for (cut in 0..other.length) {
                val events = ChatEvents()
                val first = events.textOf(other.take(cut).encodeToByteArray())
                assertEquals(stream, first + events.textOf(other.drop(cut).encodeToByteArray()), "cut at $cut")
            }
        }
    }

    /** Guards against bytes without end that fill the memory. */
    @Test
    fun `an event that does not end is a defect`() {
        val events = ChatEvents()
        val part = "data: ".encodeToByteArray() + ByteArray(MAX_EVENT_BYTES) { 'x'.code.toByte() }
        assertEquals("event of more than $MAX_EVENT_BYTES bytes", events.accept(part).defect)
    }

    /** Guards against bytes behind the end mark that reach the caller. */
    @Test
    fun `nothing behind the end mark is passed on`() {
        val events = ChatEvents()
        assertEquals(stream, events.textOf((stream + event("gamma ") + "garbage\n").encodeToByteArray()))
        assertEquals("", events.textOf("data: x\n\n".encodeToByteArray()))
    }

    /** Guards against an incomplete event of a broken answer that is joined with the resumed answer. */
    @Test
    fun `the partial event of a broken answer is dropped`() {
        val events = ChatEvents()
        events.accept((event("alpha ") + "data: {\"id\"").encodeToByteArray())
        events.beginAnswer()
        assertEquals(event("beta "), events.textOf(event("beta ").encodeToByteArray()))
        assertEquals(2, events.tokens)
    }
}
