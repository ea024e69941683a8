package org.cicadaturn.daemons.system

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val JSON = "Content-Type: application/json"
private const val BOOKED = """{"number":1,"state":"booked"}"""

/** Size above which an entry process sends the head of an answer before its end. */
private const val STREAMED_BYTES = 3 shl 20

/** Sends requests to a plain service whose answers are framed in ways that leave their end open. */
class PlainAnswerTest {
    private fun withBackend(
        answers: Map<String, ByteArray>,
        resets: Set<String> = emptySet(),
        test: suspend (TestSystem, ScriptedBackend) -> Unit,
    ) {
        ScriptedBackend(answers, resets).use { backend ->
            val endpoint = EndpointOptions("orders-1", "fd-1", Backend.Scripted(ORDERS, backend.address))
            withSystem(SystemOptions(listOf(endpoint), listOf(EntryOptions("entry-1", "fd-1")))) { test(it, backend) }
        }
    }

    /** Guards against a part of a confirmation that every later caller of its key gets as the whole. */
    @Test
    fun `a confirmation whose end is unproven is unknown and runs once`() {
        val cut = BOOKED.dropLast(9).encodeToByteArray()
        val answers = mapOf("cut" to scriptedAnswer(cut, Framing.UNTIL_CLOSE, listOf(JSON)))
        withBackend(answers) { system, backend ->
            val replies =
                List(3) {
                    val keyed = mapOf("Idempotency-Key" to "k", "X-Deadline-Ms" to "3000")
                    system.callers.call(system.entry("entry-1"), "POST", "/$ORDERS", keyed, "#cut#")
                }
            assertEquals(listOf("unknown"), replies.map { it.result.substringAfter('/') }.distinct(), "$replies")
            assertEquals(mapOf("cut" to 1), backend.requests)
        }
    }

    /** Guards against a failure of a back end that is confirmed as a success, or passed on with a status that does not exist. */
    @Test
    fun `an answer whose status does not exist is unknown`() {
        val statuses =
            listOf("000 X", "099 X", "20 X", "600 X", "999 X", "0200 OK", "+200 OK", "-20 OK", "200OK", "2000 OK")
        val answers =
            statuses.associateWith {
                scriptedAnswer(BOOKED.encodeToByteArray(), Framing.LENGTH, listOf(JSON), status = it)
            }
        withBackend(answers) { system, _ ->
            val results =
                statuses.associateWith {
                    val keyed = mapOf("Idempotency-Key" to "k $it", "X-Deadline-Ms" to "3000")
                    runCatching { system.callers.call(system.entry("entry-1"), "POST", "/$ORDERS", keyed, "#$it#") }
                        .fold({ "${it.status / 100} ${it.result.substringAfter('/')}" }, { "${it.message}" })
                }
            assertEquals(statuses.associateWith { "5 unknown" }, results)
        }
    }

    /** Guards against a part of an answer that a caller takes for the whole. */
    @Test
    fun `an answer whose end is unproven is no success`() {
        val cut = BOOKED.dropLast(9).encodeToByteArray()
        val answers =
            mapOf(
                "cut" to scriptedAnswer(cut, Framing.UNTIL_CLOSE, listOf(JSON)),
                "old" to scriptedAnswer(cut, Framing.UNTIL_CLOSE, listOf(JSON), version = "HTTP/1.0"),
                "other coding" to scriptedAnswer(cut, Framing.UNTIL_CLOSE, listOf(JSON, "Transfer-Encoding: identity")),
            )
        withBackend(answers) { system, _ ->
            val caller = StandardCaller()
            val successes =
                answers.keys
                    .flatMap { listOf("GET" to it, "POST" to it) }
                    .associateWith { (method, name) ->
                        val path = "/$ORDERS/%23${name.replace(" ", "%20")}%23"
                        caller.call(
                            system.entry("entry-1"),
                            method,
                            path,
                            body = if (method == "POST") "#$name#" else "",
                        )
                    }.filterValues { it.status != 502 }
            assertEquals(emptyMap<Pair<String, String>, ReceivedAnswer>(), successes)
        }
    }

    /** Guards against answers that HTTP allows, without a length and chunks, that do not reach their callers. */
    @Test
    fun `an answer that ends with its connection is passed on`() {
        val booked = BOOKED.encodeToByteArray()
        val text = "Content-Type: text/plain"
        val answers =
            mapOf(
                "json" to scriptedAnswer(booked, Framing.UNTIL_CLOSE, listOf(JSON)),
                "old" to scriptedAnswer(booked, Framing.UNTIL_CLOSE, listOf(JSON), version = "HTTP/1.0"),
                "text" to scriptedAnswer(booked, Framing.UNTIL_CLOSE, listOf(text)),
                "close" to scriptedAnswer(booked, Framing.UNTIL_CLOSE, listOf(text, "Connection: close")),
                "untyped" to scriptedAnswer(booked, Framing.UNTIL_CLOSE),
            )
        withBackend(answers) { system, _ ->
            val caller = StandardCaller()
            val received =
                answers.keys.associateWith { name ->
                    val answer = caller.call(system.entry("entry-1"), "GET", "/$ORDERS/%23$name%23")
                    Triple(answer.status, answer.isWhole, answer.body)
                }
            assertEquals(answers.keys.associateWith { Triple(200, true, BOOKED) }, received)
        }
    }

    /** Guards against a part of an answer that a caller takes for the whole as its connection was reset behind it. */
    @Test
    fun `an answer whose connection is reset is no success`() {
        val large = ByteArray(STREAMED_BYTES) { 'x'.code.toByte() }
        val events = "data: one\n\n".encodeToByteArray()
        val answers =
            mapOf(
                "text" to scriptedAnswer(events, Framing.UNTIL_CLOSE, listOf("Content-Type: text/plain")),
                "json" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.UNTIL_CLOSE, listOf(JSON)),
                "large" to scriptedAnswer(large, Framing.UNTIL_CLOSE, listOf("Content-Type: text/plain")),
                "events" to
                    scriptedAnswer(events, Framing.UNTIL_CLOSE, listOf("Content-Type: text/event-stream")),
            )
        withBackend(answers, resets = answers.keys) { system, _ ->
            val caller = StandardCaller()
            val successes =
                answers.keys
                    .associateWith { caller.call(system.entry("entry-1"), "POST", "/$ORDERS", body = "#$it#") }
                    .filterValues { it.status < 400 && it.isWhole }
            assertEquals(emptyMap<String, ReceivedAnswer>(), successes)
        }
    }

    /** Guards against a key whose caller gets no answer although the content of the answer shows that it is whole. */
    @Test
    fun `a whole JSON confirmation that ends with its connection is kept`() {
        val answers = mapOf("whole" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.UNTIL_CLOSE, listOf(JSON)))
        withBackend(answers) { system, backend ->
            val replies =
                List(3) {
                    val keyed = mapOf("Idempotency-Key" to "k", "X-Deadline-Ms" to "3000")
                    system.callers.call(system.entry("entry-1"), "POST", "/$ORDERS", keyed, "#whole#")
                }
            assertEquals(listOf(Reply(200, BOOKED)), replies.distinct())
            assertEquals(mapOf("whole" to 1), backend.requests)
        }
    }

    /** Guards against a text, a part of which is a text too, that every later caller of its key gets as the whole. */
    @Test
    fun `a confirmation in text that ends with its connection is not kept`() {
        val text =
            scriptedAnswer("order 17".encodeToByteArray(), Framing.UNTIL_CLOSE, listOf("Content-Type: text/plain"))
        withBackend(mapOf("text" to text)) { system, backend ->
            val replies =
                List(2) {
                    val keyed = mapOf("Idempotency-Key" to "k", "X-Deadline-Ms" to "3000")
                    system.callers.call(system.entry("entry-1"), "POST", "/$ORDERS", keyed, "#text#")
                }
            assertEquals(listOf("unknown"), replies.map { it.result.substringAfter('/') }.distinct(), "$replies")
            assertEquals(mapOf("text" to 1), backend.requests)
        }
    }

    /** Guards against text of an entry process that becomes a part of an answer of a plain service. */
    @Test
    fun `nothing is added to an answer that breaks off`() {
        val body = ByteArray(STREAMED_BYTES) { 'x'.code.toByte() }
        val events = "data: one\n\ndata: tw".encodeToByteArray()
        val answers =
            mapOf(
                "large" to scriptedAnswer(body, Framing.CUT_CHUNKED, listOf(JSON)),
                "events" to scriptedAnswer(events, Framing.CUT_CHUNKED, listOf("Content-Type: text/event-stream")),
            )
        withBackend(answers) { system, _ ->
            val caller = StandardCaller()
            val large = caller.call(system.entry("entry-1"), "POST", "/$ORDERS", body = "#large#")
            val stream = caller.call(system.entry("entry-1"), "POST", "/$ORDERS", body = "#events#")
            // A failure that is known before the head has been passed on is answered by the entry process itself.
            if (large.isWhole) {
                assertEquals(502 to "{\"error\":", large.status to large.body.take(9))
            } else {
                assertEquals("", large.body.trimStart('x'))
            }
            if (stream.isWhole) {
                assertEquals(502 to "{\"error\":", stream.status to stream.body.take(9))
            } else {
                assertEquals("", stream.body.removePrefix(events.decodeToString().take(stream.body.length)))
            }
        }
    }

    /** Guards against an event stream that is passed on as such to a caller who accepts only another type. */
    @Test
    fun `a caller that does not accept an event stream gets no cut one`() {
        val events = "data: one\n\n".encodeToByteArray()
        val answers =
            mapOf("e" to scriptedAnswer(events, Framing.CUT_CHUNKED, listOf("Content-Type: text/event-stream")))
        withBackend(answers) { system, _ ->
            val accept = mapOf("Accept" to "application/json")
            val answer = StandardCaller().call(system.entry("entry-1"), "POST", "/$ORDERS", accept, "#e#")
            assertEquals(502 to true, answer.status to answer.isWhole)
        }
    }

    /** Guards against answers without a body, or with an unreadable type, that do not reach their caller. */
    @Test
    fun `answers with a known end are passed on`() {
        val answers =
            mapOf(
                "length" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.LENGTH, listOf(JSON)),
                "head" to "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n".encodeToByteArray(),
                "none" to "HTTP/1.1 204 No Content\r\n\r\n".encodeToByteArray(),
                "unchanged" to "HTTP/1.1 304 Not Modified\r\nContent-Length: 29\r\n\r\n".encodeToByteArray(),
                "type" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.LENGTH, listOf("Content-Type: json")),
            )
        withBackend(answers) { system, _ ->
            val caller = StandardCaller()
            val received =
                answers.keys.associateWith { name ->
                    val method = if (name == "head") "HEAD" else "GET"
                    val answer = caller.call(system.entry("entry-1"), method, "/$ORDERS/%23$name%23")
                    answer.status to answer.body
                }
            val expected =
                mapOf(
                    "length" to (200 to BOOKED),
                    "head" to (200 to ""),
                    "none" to (204 to ""),
                    "unchanged" to (304 to ""),
                    "type" to (200 to BOOKED),
                )
            assertEquals(expected, received)
        }
    }

    /** Guards against a type that is lost or rewritten on its way to the caller. */
    @Test
    fun `the type of an answer is passed on as it came`() {
        val types =
            listOf(
                "application/json",
                "application/JSON;charset=utf-8",
                "text/plain; a=\"b\" ;c=d",
                "json",
                "text/plain; charset",
                "a/b/c",
                "\u0021/*",
            )
        val large = ByteArray(STREAMED_BYTES) { 'x'.code.toByte() }
        val answers =
            types.indices.associate { i ->
                "t$i" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.LENGTH, listOf("Content-Type: ${types[i]}"))
            } +
                types.indices.associate { i ->
                    "l$i" to scriptedAnswer(large, Framing.LENGTH, listOf("Content-Type: ${types[i]}"))
                } + ("none" to scriptedAnswer(BOOKED.encodeToByteArray(), Framing.LENGTH, emptyList()))
        withBackend(answers) { system, _ ->
            val caller = StandardCaller()
            val received =
                answers.keys.map { name ->
                    val answer = caller.call(system.entry("entry-1"), "GET", "/$ORDERS/%23$name%23")
                    answer.status to answer.contentType
                }
            val expected = (types + types).map { 200 to it } + (200 to null)
            assertEquals(expected, received)
        }
    }
}
