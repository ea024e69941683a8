package org.cicadaturn.daemons.system

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val EVENT_STREAM = "Content-Type: text/event-stream"
private const val JSON = "Content-Type: application/json"
private const val DONE = "[DONE]"
private const val RANDOM_ANSWERS = 200
private const val SEED = 33L

private fun chunk(
    delta: String,
    finish: String = "null",
    id: String = "run-1",
): String =
    """{"id":"$id","object":"chat.completion.chunk","created":1,"model":"m",""" +
        """"choices":[{"index":0,"delta":{$delta},"finish_reason":$finish}]}"""

private val token = listOf("alpha ", "beta ", "gamma ").map { chunk(""""content":"$it"""") }

/** Data of the events of the only run. */
private val run = listOf(chunk(""""role":"assistant","content":""""")) + token + chunk("", "\"stop\"") + DONE

private const val COMPLETION =
    """{"id":"run-1","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,""" +
        """"message":{"role":"assistant","content":"alpha"},"finish_reason":"stop"}],""" +
        """"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}"""

private fun events(
    data: List<String> = run,
    lineEnd: String = "\n",
): String = data.joinToString("") { "data: $it$lineEnd$lineEnd" }

private fun stream(
    body: String,
    framing: Framing = Framing.CHUNKED,
    type: String = EVENT_STREAM,
    status: String = "200 OK",
): ByteArray = scriptedAnswer(body.encodeToByteArray(), framing, listOf(type).filter { it.isNotEmpty() }, status)

/**
 * Sends chat requests to a back end that answers in forms which were not asked for.
 *
 * The caller reads event streams by the standard and counts what came before a cut. With one back end no other one can
 * give the answer, so a wrong one must reach the caller as an error or as a stream that is visibly cut.
 */
class UndeclaredAnswerTest {
    private val soundStreams: Map<String, ByteArray> =
        mapOf(
            "chunked" to stream(events()),
            "with a length" to stream(events(), Framing.LENGTH),
            "until the connection ends" to stream(events(), Framing.UNTIL_CLOSE),
            "with charset" to stream(events(), type = "content-type: TEXT/Event-Stream; charset=utf-8"),
            "line ends CR LF" to stream(events(lineEnd = "\r\n")),
            "line ends CR" to stream(events(lineEnd = "\r")),
            "byte order mark and comment" to stream("\uFEFF: hello\n\n" + events()),
            "data in two lines" to stream(events().replaceFirst(",\"created\"", ",\ndata: \"created\"")),
        )

    private val wrongStreams: Map<String, ByteArray> =
        mapOf(
            "completion in one object" to stream(COMPLETION, Framing.LENGTH, JSON),
            "events without a type" to stream(events(), type = ""),
            "events as text" to stream(events(), type = "Content-Type: text/plain"),
            "events as another event type" to stream(events(), type = "Content-Type: text/event-streams"),
            "two types" to stream(events(), type = "$EVENT_STREAM\r\nContent-Type: text/html"),
            "page until the connection ends" to stream("<p>busy", Framing.UNTIL_CLOSE, "Content-Type: text/html"),
            "encoded" to stream(events(), type = "$EVENT_STREAM\r\nContent-Encoding: br"),
            "status 206" to stream(events(), status = "206 Partial Content"),
            "status 201" to stream(events(), status = "201 Created"),
            "status 302" to stream(events(), status = "302 Found"),
            "empty" to stream(""),
            "only the end mark" to stream(events(listOf(DONE))),
            "no end mark, chunked" to stream(events(run - DONE)),
            "no end mark, with a length" to stream(events(run - DONE), Framing.LENGTH),
            "no end mark, until the connection ends" to stream(events(run - DONE), Framing.UNTIL_CLOSE),
            "two events, until the connection ends" to stream(events(run.take(3)), Framing.UNTIL_CLOSE),
            "two events and the end mark" to stream(events(run.take(3) + DONE)),
            "cut within an event" to stream(events().dropLast(DONE.length + 30), Framing.UNTIL_CLOSE),
            "cut within the end mark" to stream(events().dropLast(1)),
            "event that is no chunk" to stream(events(run.take(3) + "surplus" + run.drop(3))),
            "event with an error" to stream(events(run.take(3) + """{"error":{"message":"lost"}}""" + DONE)),
            "event of another run" to
                stream(events(run.take(3) + chunk(""""content":"x"""", id = "run-2") + run.drop(3))),
            "piece with line ends CR" to stream(events(run.take(3)) + "data: x\r\rdata: y\r\r" + events(run.drop(3))),
            "bytes before an event" to stream(events(run.take(3)) + "\u0001x" + events(run.drop(3))),
            "bytes that are not UTF-8" to
                scriptedAnswer(
                    events(run.take(3)).encodeToByteArray() + byteArrayOf(-1, 10) +
                        events(run.drop(3)).encodeToByteArray(),
                    Framing.CHUNKED,
                    listOf(EVENT_STREAM),
                ),
        )

    /** Guards against garbage, or a part of an answer, that a caller takes for the whole stream it asked for. */
    @Test
    fun `a stream that was not asked for or is not whole is no success`() {
        assertEquals(emptyMap<String, String>(), streamFaults(wrongStreams, mustBeWhole = false))
    }

    /** Guards against a cut that a caller cannot tell from a fault of the network. */
    @Test
    fun `the caller of a broken stream is told in an event`() {
        val answers = wrongStreams.filterKeys { it.startsWith("event") && "type" !in it && "text" !in it }
        val last =
            received(answers, stream = true).mapValues { (_, answer) ->
                standardEventData(answer.body).last().take(8)
            }
        assertEquals(answers.keys.associateWith { "{\"error\"" }, last)
    }

    /** Guards against whole answers that are withheld for their framing or their line ends. */
    @Test
    fun `a whole stream is delivered in any framing`() {
        assertEquals(emptyMap<String, String>(), streamFaults(soundStreams, mustBeWhole = true))
    }

    /** Guards against forms that no listed case has: head, framing, line ends, pieces and cuts are drawn together. */
    @Test
    fun `a random answer to a request for a stream is the run or no success`() {
        val random = Random(SEED)
        val answers = (1..RANDOM_ANSWERS).associate { "answer $it" to randomAnswer(random) }
        assertEquals(emptyMap<String, String>(), streamFaults(answers, mustBeWhole = null))
    }

    private fun randomAnswer(random: Random): ByteArray {
        val lineEnd = listOf("\n", "\r\n", "\r").random(random)
        val pieces = run.map { "data: $it$lineEnd$lineEnd" }.toMutableList()
        // In front of the first event, a part of another run cannot be told from the run.
        repeat(random.nextInt(3)) { pieces.add(random.nextInt(1, pieces.size), randomPiece(random)) }
        if (random.nextInt(4) == 0) pieces.removeAt(random.nextInt(pieces.size - 1))
        val text = pieces.joinToString("")
        val body = if (random.nextInt(3) == 0) text.take(random.nextInt(text.length)) else text
        val types = listOf(EVENT_STREAM, EVENT_STREAM, EVENT_STREAM, JSON, "Content-Type: text/plain", "X-None: 1")
        return scriptedAnswer(
            body = body.encodeToByteArray(),
            framing = Framing.entries.random(random),
            headers = listOf(types.random(random)),
            status = listOf("200 OK", "200 OK", "200 OK", "200 OK", "206 Partial Content").random(random),
            version = listOf("HTTP/1.1", "HTTP/1.1", "HTTP/1.0").random(random),
        )
    }

    private fun randomPiece(random: Random): String {
        val end = listOf("\n\n", "\r\r", "\r\n\r\n", "\n", "\r", "").random(random)
        val bytes = List(random.nextInt(1, 9)) { random.nextInt(1, 128).toChar() }.joinToString("")
        return listOf(
            "data: x",
            "data: ${chunk("", id = "run-2")}",
            "data",
            "id: 7",
            bytes,
            "event: x",
        ).random(random) +
            end
    }

    /** Returns what is wrong with what the caller received, by the name of the answer. */
    private fun streamFaults(
        answers: Map<String, ByteArray>,
        mustBeWhole: Boolean?,
    ): Map<String, String> =
        received(answers, stream = true)
            .mapNotNull { (name, answer) -> streamFaultOf(answer, mustBeWhole)?.let { name to it } }
            .toMap()

    private fun streamFaultOf(
        answer: ReceivedAnswer,
        mustBeWhole: Boolean?,
    ): String? {
        if (answer.status == NO_ANSWER) return "no answer"
        if (answer.status >= 400) return "status ${answer.status}".takeIf { mustBeWhole == true }
        if (answer.status != 200) return "status ${answer.status}"
        val data = standardEventData(answer.body).map { it.replace("\n", "") }
        val isWhole = answer.isWhole && data.lastOrNull() == DONE
        return when {
            // A removed event cannot be told from a run that did not have it, so only the order is compared.
            answer.isWhole && !isSubsequence(data, run) -> "whole with wrong events: $data"
            answer.isWhole && !isWhole -> "whole without the end mark: $data"
            !answer.isWhole && data.contains(DONE) -> "cut behind the end mark"
            !answer.isWhole && !isSubsequence(withoutError(data), run) -> "cut with wrong events: $data"
            mustBeWhole == null -> null
            mustBeWhole != isWhole -> "whole: $isWhole"
            isWhole && data != run -> "events are missing: $data"
            else -> null
        }
    }

    private fun withoutError(data: List<String>): List<String> =
        if (data.lastOrNull()?.startsWith("{\"error\"") == true) data.dropLast(1) else data

    private fun isSubsequence(
        data: List<String>,
        of: List<String>,
    ): Boolean {
        val rest = of.iterator()
        return data.all { wanted -> rest.asSequence().any { it == wanted } }
    }

    /** Guards against a body of another kind, or a part of one, that a caller takes for its chat completion. */
    @Test
    fun `a body that is no chat completion is no success`() {
        val answers =
            mapOf(
                "event stream" to stream(events()),
                "completion as an event stream" to stream(COMPLETION),
                "no type" to stream(COMPLETION, Framing.LENGTH, ""),
                "page" to stream("<p>busy", Framing.LENGTH, "Content-Type: text/html"),
                "page as JSON" to stream("<p>busy", Framing.LENGTH, JSON),
                "another object" to stream("""{"running":0}""", Framing.LENGTH, JSON),
                "part with a length" to stream(COMPLETION.take(60), Framing.LENGTH, JSON),
                "part until the connection ends" to stream(COMPLETION.take(60), Framing.UNTIL_CLOSE, JSON),
                "status 206" to stream(COMPLETION, Framing.LENGTH, JSON, "206 Partial Content"),
                "status 204" to "HTTP/1.1 204 No Content\r\n\r\n".encodeToByteArray(),
                "no body" to stream("", Framing.LENGTH, JSON),
            )
        val successes = received(answers, stream = false).filterValues { it.status < 400 || !it.isWhole }
        assertEquals(emptyMap<String, ReceivedAnswer>(), successes)
    }

    /** Guards against completions and errors of an engine that are withheld. */
    @Test
    fun `a completion and an error of the engine are passed on`() {
        val error = """{"error":{"type":"bad_request","message":"too long"}}"""
        val answers =
            mapOf(
                "with a length" to stream(COMPLETION, Framing.LENGTH, JSON),
                "chunked" to stream(COMPLETION, type = "$JSON; charset=utf-8"),
                "until the connection ends" to stream(COMPLETION, Framing.UNTIL_CLOSE, JSON),
                "error until the connection ends" to stream(error, Framing.UNTIL_CLOSE, JSON, "400 Bad Request"),
                "error" to stream(error, Framing.LENGTH, JSON, "400 Bad Request"),
            )
        val received = received(answers, stream = false).mapValues { (_, answer) -> answer.status to answer.body }
        val expected =
            mapOf(
                "with a length" to (200 to COMPLETION),
                "chunked" to (200 to COMPLETION),
                "until the connection ends" to (200 to COMPLETION),
                "error until the connection ends" to (400 to error),
                "error" to (400 to error),
            )
        assertEquals(expected, received)
        assertEquals(400 to error, received(answers, stream = true).getValue("error").let { it.status to it.body })
    }

    private fun received(
        answers: Map<String, ByteArray>,
        stream: Boolean,
    ): Map<String, ReceivedAnswer> =
        ScriptedBackend(answers).use { backend ->
            val endpoint = EndpointOptions("drafts-1", "fd-1", Backend.Scripted(DRAFTS, backend.address))
            val options = SystemOptions(listOf(endpoint), listOf(EntryOptions("entry-1", "fd-1")))
            val received = HashMap<String, ReceivedAnswer>()
            withSystem(options) { system ->
                answers.keys.chunked(CONCURRENT_CALLS).forEach { names ->
                    // A connection that the last calls left idle may be closed when it is used again.
                    val caller = StandardCaller()
                    received +=
                        coroutineScope { names.map { async { it to ask(caller, system, it, stream) } }.awaitAll() }
                }
            }
            answers.keys.associateWith { received.getValue(it) }
        }

    private suspend fun ask(
        caller: StandardCaller,
        system: TestSystem,
        answer: String,
        stream: Boolean,
    ): ReceivedAnswer = caller.call(system.entry("entry-1"), "POST", CHAT, body = chatBody("#$answer#", 100, stream))

    /** Guards against a wrong answer that ends the request although another endpoint has the right one. */
    @Test
    fun `another endpoint gives the answer`() {
        val page = stream("<p>busy", Framing.UNTIL_CLOSE, "Content-Type: text/html")
        ScriptedBackend(mapOf("page" to page)).use { backend ->
            val faulty = EndpointOptions("drafts-1", "fd-1", Backend.Scripted(DRAFTS, backend.address))
            val sound = EndpointOptions("drafts-2", "fd-1", Backend.Engine())
            withSystem(SystemOptions(listOf(faulty, sound), listOf(EntryOptions("entry-1", "fd-1")))) { system ->
                val prompt = "#page#"
                val replies = mutableListOf<Reply>()
                while ((backend.requests["page"] ?: 0) < 2 && replies.size < MAX_CALLS) {
                    replies += system.callers.draft(system.entry("entry-1"), prompt, 8, stream = replies.size % 2 == 0)
                }
                assertEquals(setOf(Reply(200, expectedDraft(prompt, 8))), replies.toSet())
            }
            check(backend.requests.isNotEmpty()) { "no request reached the faulty back end" }
        }
    }

    private companion object {
        const val CONCURRENT_CALLS = 20

        /** Number of calls after which one must have reached the faulty back end. */
        const val MAX_CALLS = 100
    }
}
