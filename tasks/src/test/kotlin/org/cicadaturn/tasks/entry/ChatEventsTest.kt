package org.cicadaturn.tasks.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ChatEventsTest {
    private fun event(content: String): String =
        """data: {"id":"1","object":"chat.completion.chunk","created":1,"model":"m",""" +
            """"choices":[{"index":0,"delta":{"content":"$content"},"finish_reason":null}]}""" + "\n\n"

    private val stream = event("") + event("alpha ") + event("beta ") + "data: [DONE]\n\n"

    /** Guards against a token that is sent twice or left out when an answer is resumed at another endpoint. */
    @Test
    fun `a stream that is split anywhere gives complete events and their number of tokens`() {
        for (cut in 0..stream.length) {
            val events = ChatEvents()
            val first = events.accept(stream.take(cut).encodeToByteArray()).decodeToString()
            assertEquals(first.split("\n\n").count { it.contains("a \"") }, events.tokens, "cut at $cut")
            assertEquals(stream.take(first.length), first)
            val rest = events.accept(stream.drop(cut).encodeToByteArray()).decodeToString()
            assertEquals(stream, first + rest)
            assertEquals(2, events.tokens)
        }
    }

    /** Guards against an incomplete event of a broken answer that is joined with the resumed answer. */
    @Test
    fun `the partial event of a broken answer is dropped`() {
        val events = ChatEvents()
        events.accept((event("alpha ") + "data: {\"id\"").encodeToByteArray())
        events.dropPartial()
        assertEquals(event("beta "), events.accept(event("beta ").encodeToByteArray()).decodeToString())
        assertEquals(2, events.tokens)
    }
}
