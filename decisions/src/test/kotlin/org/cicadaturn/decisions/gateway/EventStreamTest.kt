package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class EventStreamTest {
    private fun streamWith(
        text: String,
        after: Long? = null,
    ): EventStream = eventStream(ExpectedEvents(after = after)).also { it.accept(text.encodeToByteArray()) }

    /** Guards against a stream that looks complete though events may be missing at its end. */
    @Test
    fun `a stream is complete only if it ends after a whole event`() {
        val event = "id: 1\ndata: a\n\n"
        assertNull(streamWith(event).defectAtEnd())
        assertNull(streamWith("", after = 3).defectAtEnd())
        assertNotNull(streamWith("").defectAtEnd())
        assertNotNull(streamWith(event + "id: 2\n").defectAtEnd())
        assertNotNull(streamWith(event + "i").defectAtEnd())
    }

    /** Guards against bytes in which readers that do not split lines at CR find other events than those that do. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "data: x\r\rid: 2\rdata: y\r\r",
            "id: 2\rdata: y\n\n",
            "data: y\rid: 2\n\n",
            "id: 2\ndata: y\r\r\n\r\n",
            "\r\rid: 2\ndata: y\n\n",
        ],
    )
    fun `a stream ends before a line that ends with CR alone, wherever reads end`(piece: String) {
        val text = "id: 1\r\ndata: a\r\n\r\n$piece"
        for (size in 1..text.length) {
            val stream = eventStream(ExpectedEvents())
            val batches = mutableListOf<EventBatch>()
            for (read in text.encodeToByteArray().toList().chunked(size)) {
                if (batches.lastOrNull()?.defect == null) batches += stream.accept(read.toByteArray())
            }
            assertEquals(listOf<Long?>(1), batches.flatMap { it.sound }.map { it.id }, "reads of $size")
            assertEquals("line that ends with CR alone", batches.last().defect)
        }
    }
}
