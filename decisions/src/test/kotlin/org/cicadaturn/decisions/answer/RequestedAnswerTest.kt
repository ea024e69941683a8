package org.cicadaturn.decisions.answer

import org.cicadaturn.schema.generated.Header
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class RequestedAnswerTest {
    private data class End(
        val method: String,
        val status: Int,
        val headers: List<Header>,
    )

    private fun header(
        name: String,
        value: String,
    ) = listOf(Header(name, value))

    /** Guards against a body that was cut and counts as whole, and against a whole one that is refused. */
    @TestFactory
    fun `what ends a body follows from its head`(): List<DynamicTest> =
        listOf(
            End("GET", 200, emptyList()) to BodyEnd.CONNECTION,
            End("GET", 500, emptyList()) to BodyEnd.CONNECTION,
            End("GET", 200, header("Connection", "close")) to BodyEnd.CONNECTION,
            End("GET", 200, header("content-length", "7")) to BodyEnd.FRAMING,
            End("GET", 200, header("Content-Length", "7") + header("Content-Length", "7")) to BodyEnd.FRAMING,
            End("GET", 200, header("Content-Length", "7") + header("Content-Length", "8")) to null,
            End("GET", 200, header("Content-Length", "seven")) to null,
            End("GET", 200, header("Content-Length", "-7")) to null,
            End("GET", 200, header("Transfer-Encoding", "Chunked")) to BodyEnd.FRAMING,
            End("GET", 200, header("Transfer-Encoding", "identity")) to null,
            End("GET", 200, header("Transfer-Encoding", "gzip, chunked")) to null,
            End("GET", 200, header("Transfer-Encoding", "identity") + header("Content-Length", "7")) to null,
            End("HEAD", 200, emptyList()) to BodyEnd.NO_BODY,
            End("GET", 204, emptyList()) to BodyEnd.NO_BODY,
            End("GET", 304, emptyList()) to BodyEnd.NO_BODY,
            End("POST", 200, emptyList()) to BodyEnd.CONNECTION,
            End("POST", 503, emptyList()) to BodyEnd.CONNECTION,
        ).map { (end, expected) ->
            DynamicTest.dynamicTest("$end") {
                assertEquals(expected, bodyEndOf(end.method, end.status, end.headers))
            }
        }

    /** Guards against a declared type that decides what a caller is handed. */
    @Test
    fun `the body is handled as the request asks`() {
        val types = listOf("text/event-stream", "application/json", "text/html")
        val handling =
            AnswerForm.entries.associateWith { form ->
                types.map { RequestedAnswer(form, true).verifyHead(200, header("Content-Type", it)).getOrNull() }
            }
        val expected =
            mapOf(
                AnswerForm.CHAT_STREAM to listOf(BodyHandling.CHAT_EVENTS, null, null),
                AnswerForm.CHAT_COMPLETION to listOf(null, BodyHandling.CHAT_OBJECT, null),
                AnswerForm.PLAIN to listOf(BodyHandling.STREAMED, BodyHandling.BUFFERED, BodyHandling.BUFFERED),
            )
        assertEquals(expected, handling)
    }

    /** Guards against a part of one completion, or of two, that counts as whole. */
    @TestFactory
    fun `an answer has the parts of one completion and one end mark`(): List<DynamicTest> {
        val part = ChatEvent.Part("a", hasToken = true, isLast = false)
        val last = ChatEvent.Part("a", hasToken = false, isLast = true)
        val end = ChatEvent.End
        return listOf(
            listOf(part, part, last, end) to true,
            listOf(part, last, part, end) to true,
            listOf(part, last) to false,
            listOf(part, end) to false,
            listOf(end) to false,
            listOf(part, part.copy(completion = "b"), last, end) to false,
            listOf(part, last, end, end) to false,
            listOf(part, last, end, part) to false,
        ).map { (events, isWhole) ->
            DynamicTest.dynamicTest("$events") {
                val sequence = chatSequence()
                val defects = events.mapNotNull { sequence.accept(it) }
                assertEquals(isWhole, defects.isEmpty() && sequence.isEnded)
            }
        }
    }
}
