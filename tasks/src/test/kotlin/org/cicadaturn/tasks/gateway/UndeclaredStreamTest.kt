package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.OutputStream

/** Tests what callers of streams receive if an endpoint answers with a success that is not declared as a stream. */
class UndeclaredStreamTest {
    private val garbage = "id: 1\ndata: x\n\nno event\n\n"

    private fun answersWith(head: String): (RawRequest, OutputStream) -> Boolean =
        { r, out ->
            val lines = head.split('|').joinToString("") { "\r\n$it" }
            val identity = "\r\nX-Id: ${r.id}\r\nX-Signature: s"
            val status = lines.substringAfter("\r\n").substringBefore("\r\n")
            val rest = lines.substringAfter(status)
            val isChunked = "chunked" in head
            val body = if (isChunked) "${garbage.length.toString(16)}\r\n$garbage\r\n0\r\n\r\n" else garbage
            out.text("$status$identity$rest\r\n\r\n$body")
            isChunked
        }

    private val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
        out.text(streamAnswer(r, "second", event(1) + event(2)))
    }

    /** Guards against a body that is passed on as a stream because nothing declares it as one. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK|Content-Type: text/plain|Transfer-Encoding: chunked",
            "HTTP/1.1 200 OK|Content-Type: text/plain|Content-Length: 25",
            "HTTP/1.1 200 OK|Content-Type: text/plain",
            "HTTP/1.1 200 OK|Content-Type: text/event-streams|Content-Length: 25",
            "HTTP/1.1 200 OK|Content-Type: text/event-stream|Content-Type: text/plain|Content-Length: 25",
            "HTTP/1.1 200 OK|Content-Length: 25",
            "HTTP/1.1 200 OK",
            "HTTP/1.0 200 OK",
            "HTTP/1.0 200 OK|Content-Type: text/event-stream|Transfer-Encoding: chunked",
            "HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: identity",
            "HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: gzip, chunked",
            "HTTP/1.1 201 Created|Content-Type: text/plain|Content-Length: 25",
            "HTTP/1.1 201 Created|Content-Length: 25",
            "HTTP/1.1 204 No Content|Content-Type: text/event-stream",
            "HTTP/1.1 205 Reset Content|Content-Type: text/event-stream",
            "HTTP/1.1 226 IM Used|Content-Type: text/event-stream|Content-Length: 25",
            "HTTP/1.1 206 Partial Content|Content-Type: text/event-stream|Content-Length: 25",
        ],
    )
    fun `nothing of an answer that is not declared as an event stream is passed on`(head: String) {
        ScriptedEndpoint(answersWith(head)).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(event(1) + event(2), answer.body)
                    assertTrue(answer.isComplete)
                    assertTrue("X-Signature: second" in answer.head, answer.head)
                }
            }
            TestGateway(listOf(first)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(502, answer.status, answer.body)
                assertFalse("X-Signature" in answer.head)
            }
        }
    }

    /** Guards against a whole stream that is refused because of its status, and one that is not verified because of it. */
    @ParameterizedTest
    @ValueSource(strings = ["201 Created", "202 Accepted", "203 Non-Authoritative Information"])
    fun `a whole stream with another success status is verified and passed on`(status: String) {
        val sound: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamAnswer(r, "s", event(1) + event(2)).replace("200 OK", status))
        }
        ScriptedEndpoint(sound).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(status.take(3).toInt(), answer.status)
                assertEquals(event(1) + event(2), answer.body)
                assertTrue(answer.isComplete)
            }
        }
        val head = "HTTP/1.1 $status|Content-Type: text/event-stream|Content-Length: 25"
        ScriptedEndpoint(answersWith(head)).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals("id: 1\ndata: x\n\n", answer.body)
                assertFalse(answer.isComplete)
            }
        }
    }

    /** Guards against a sound stream that is refused because of the form in which its type is written. */
    @ParameterizedTest
    @ValueSource(strings = ["text/event-stream", "text/event-stream; charset=utf-8", "Text/Event-Stream;charset=UTF-8"])
    fun `a declared event stream is passed on`(type: String) {
        val answers: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(streamAnswer(r, "s", event(1)).replace("text/event-stream", type))
        }
        ScriptedEndpoint(answers).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1), answer.body)
                assertTrue(answer.isComplete)
            }
        }
    }
}
