package org.cicadaturn.tasks.gateway

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.zip.GZIPOutputStream
import kotlin.random.Random

/**
 * Answer that an endpoint gave.
 *
 * @property traits what is unusual about it; empty if it is sound
 * @property wire bytes up to the cut
 * @property body what the answer should deliver; of a cut answer, the part that was sent is a beginning of it
 * @property isWhole true if the whole body was sent with its end
 * @property hasRun false if the endpoint said that it has not run the request
 * @property finDelayMillis time from the last byte to the end of the connection, if that is closed
 */
internal class FormAnswer(
    val traits: List<String>,
    val status: Int,
    val signature: String,
    val wire: ByteArray,
    val body: ByteArray,
    val isWhole: Boolean,
    val hasRun: Boolean,
    val end: ConnectionEnd,
    val finDelayMillis: Long,
) {
    override fun toString(): String = "$traits, ended with $end:\n${wire.toString(Charsets.ISO_8859_1)}"
}

/** Chooses what the answer to a request is drawn from, by the number of the attempt, from 0. */
internal typealias ProfileChoice = (id: String, attempt: Int) -> FormProfile

/**
 * Answers of all endpoints, each of which follows from [seed], the request and the number of its attempt.
 *
 * The endpoint has no part in it, so that an endpoint that is avoided does not hide a form.
 */
internal class FormScript(
    private val seed: Int,
    private val profileOf: ProfileChoice,
) {
    private val given = ConcurrentHashMap<String, CopyOnWriteArrayList<FormAnswer>>()

    /** Returns the answers to the request [id] in the order of the attempts. */
    fun givenTo(id: String): List<FormAnswer> = given[id].orEmpty()

    /** Answers [request]; returns false to close the connection. */
    fun answer(
        request: RawRequest,
        out: OutputStream,
    ): Boolean {
        val id = request.id.orEmpty()
        val answers = given.getOrPut(id) { CopyOnWriteArrayList() }
        val random = Random("$seed/$id/${answers.size}".hashCode())
        val drawn = profileOf(id, answers.size)
        val profile = if (!drawn.isSound && random.nextDouble() < drawn.soundShare) SOUND_STREAMS else drawn
        val answer = AnswerDraw(request, "s-$id-${answers.size}", profile, random).draw()
        answers += answer
        write(answer.wire, out, random)
        if (answer.end == ConnectionEnd.RST) throw ResetConnection()
        if (answer.end == ConnectionEnd.FIN) Thread.sleep(answer.finDelayMillis)
        return answer.end == ConnectionEnd.KEPT
    }

    private fun write(
        wire: ByteArray,
        out: OutputStream,
        random: Random,
    ) {
        val bounds = List(random.nextInt(6)) { random.nextInt(wire.size + 1) } + 0 + wire.size
        bounds.sorted().zipWithNext { from, to ->
            out.write(wire, from, to - from)
            out.flush()
            // Lets the gateway read the piece by itself now and then.
            if (random.nextInt(4) == 0) Thread.sleep(1)
        }
    }
}

/** Draws an answer to [request] from [profile]. */
private class AnswerDraw(
    private val request: RawRequest,
    private val signature: String,
    private val profile: FormProfile,
    private val random: Random,
) {
    private val id = request.id.orEmpty()
    private val isStream = request.head.startsWith("POST /stream")
    private val after = request.header("Last-Event-Id")?.toInt() ?: 0
    private val head = profile.drawHead(random)
    private val isSuccess = head.status in 200..299
    private val framing = drawFraming()
    private val traits = mutableListOf<String>()
    private val end = drawEnd()

    fun draw(): FormAnswer {
        noteHead()
        val meant =
            if (!isSuccess) {
                failureBody()
            } else if (isStream) {
                streamBody()
            } else {
                plainBody()
            }
        val sent = if (framing.isTooShort) meant.copyOf(shortLength(meant)) else meant
        val top = (interim() + statusLine() + headers(sent.size) + "\r\n").toByteArray(Charsets.ISO_8859_1)
        val content = top + framed(sent, meant)
        val hasNoBody = head.status == 204
        val wholeSize =
            when {
                hasNoBody -> top.size
                framing == Framing.LENGTH_TOO_SHORT -> top.size + sent.size
                framing == Framing.LENGTH_TOO_LONG -> Int.MAX_VALUE
                else -> content.size
            }
        val cut = drawCut(content)
        return FormAnswer(
            traits = traits,
            status = if (head.status == NOT_RUN) 503 else head.status,
            signature = signature,
            wire = content.copyOf(cut?.first ?: content.size),
            body = if (hasNoBody) ByteArray(0) else sent,
            isWhole = (cut?.first ?: content.size) >= wholeSize && !isResetAtEnd(cut),
            hasRun = head.status != NOT_RUN,
            end = cut?.second ?: end,
            // Half of the ends come with the last byte.
            finDelayMillis = if (random.nextBoolean()) 0 else random.nextLong(MAX_FIN_DELAY_MILLIS + 1),
        )
    }

    private fun drawFraming(): Framing {
        val drawn = if (isSuccess) profile.framings.random(random) else Framing.LENGTH
        // HTTP/1.0 has no chunks.
        val isImpossible = profile.isSound && head.version == "1.0" && drawn.isChunked
        return if (isImpossible) Framing.CONNECTION_END else drawn
    }

    /** Returns true if [cut] is behind the last byte of a body whose end is that of the connection. */
    private fun isResetAtEnd(cut: Pair<Int, ConnectionEnd>?): Boolean =
        cut?.second == ConnectionEnd.RST && framing.endsWithConnection && head.status != 204

    private fun noteHead() {
        if (head.version != "1.1") traits += "HTTP/${head.version}"
        if (head.status != 200) traits += "status ${head.status}"
        if (head.isAfterInterim) traits += "interim answer"
        if (head.types !in SOUND_STREAMS.types) traits += "type ${head.types.ifEmpty { "none" }}"
        if (framing != Framing.LENGTH && framing != Framing.CHUNKED) traits += "framing $framing"
    }

    private fun failureBody() = "failed".encodeToByteArray()

    private fun plainBody(): ByteArray {
        if (random.nextDouble() < profile.eventShare) {
            return (1..RUN_EVENTS).joinToString("") { "id: $it\ndata: $signature/$it\n\n" }.encodeToByteArray()
        }
        // The longest are not buffered by the gateway.
        return random.nextBytes(if (random.nextInt(20) == 0) 300_000 else random.nextInt(3_000))
    }

    private fun streamBody(): ByteArray {
        val isUnsound = profile.pieces.isNotEmpty() && random.nextDouble() < profile.pieceShare
        val lineEnd = profile.lineEnds.random(random)
        if ('\r' in lineEnd ||
            lineEnd == MIXED
        ) {
            traits += "line ends ${lineEnd.replace("\r", "CR").replace("\n", "LF")}"
        }
        while (true) {
            val names =
                if (isUnsound) {
                    List(1 + random.nextInt(profile.maxPieces)) {
                        profile.pieces.random(random)
                    }
                } else {
                    emptyList()
                }
            val places = names.associateBy { after + 1 + random.nextInt(RUN_EVENTS + 1 - after) }
            val stream =
                (after + 1..RUN_EVENTS + 1)
                    .joinToString("") { due ->
                        val end = if (lineEnd == MIXED) listOf("\n", "\r\n", "\r").random(random) else lineEnd
                        val place = PiecePlace(id, due, end, random)
                        places[due]?.let { ALL_PIECES.getValue(it)(place) } ?: place.event()
                    }.toByteArray(Charsets.ISO_8859_1)
            if (!canBeTold(stream, id, after)) continue
            // A stream that ends in good order before its last event cannot be told from a whole one.
            if (names.any { "instead" in it } && RUN_EVENTS in places) continue
            traits += places.values.map { "piece $it" }
            return stream
        }
    }

    /** Returns a length of [body] at which it ends within an event. */
    private fun shortLength(body: ByteArray): Int {
        if (!isStream) return random.nextInt(body.size + 1)
        val text = body.toString(Charsets.ISO_8859_1)
        val last = text.lastIndexOf("id: $RUN_EVENTS")
        return if (last < 0) body.size else last + 1 + random.nextInt("id: $RUN_EVENTS".length)
    }

    private fun interim(): String = if (head.isAfterInterim) "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" else ""

    private fun statusLine(): String {
        val status = if (head.status == NOT_RUN) 503 else head.status
        return "HTTP/${head.version} $status ${if (isSuccess) "OK" else "No"}\r\n"
    }

    private fun headers(length: Int): String {
        val lines = mutableListOf("X-Id: $id", "X-Signature: $signature", "Server: test")
        head.types.forEach { lines += "Content-Type: $it" }
        if (head.status == NOT_RUN) lines += "X-Not-Executed: 1"
        if (announcesEnd()) lines += "Connection: close"
        when (framing) {
            Framing.LENGTH, Framing.LENGTH_TOO_SHORT -> lines += "Content-Length: $length"
            Framing.LENGTH_TOO_LONG -> lines += "Content-Length: ${length + 1 + random.nextInt(50)}"
            Framing.CHUNKED, Framing.CHUNKED_TOO_SHORT -> lines += "Transfer-Encoding: chunked"
            Framing.CHUNKED_WITH_LENGTH ->
                lines += listOf("Transfer-Encoding: chunked", "Content-Length: ${random.nextInt(length + 9)}")
            Framing.IDENTITY -> lines += "Transfer-Encoding: identity"
            Framing.GZIP_CHUNKED -> lines += "Transfer-Encoding: gzip, chunked"
            Framing.CONNECTION_END -> Unit
        }
        return lines.shuffled(random).joinToString("") { "$it\r\n" }
    }

    private fun framed(
        sent: ByteArray,
        meant: ByteArray,
    ): ByteArray =
        when {
            framing.isChunked -> chunked(sent)
            framing == Framing.GZIP_CHUNKED -> chunked(zipped(sent))
            framing == Framing.LENGTH_TOO_SHORT -> meant
            else -> sent
        }

    private fun zipped(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream()
        GZIPOutputStream(out).use { it.write(bytes) }
        return out.toByteArray()
    }

    private fun chunked(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream()
        val bounds = List(random.nextInt(8)) { random.nextInt(bytes.size + 1) } + 0 + bytes.size
        bounds.distinct().sorted().zipWithNext { from, to ->
            out.write("${(to - from).toString(16)}${listOf("", "", ";x=y").random(random)}\r\n".encodeToByteArray())
            out.write(bytes, from, to - from)
            out.write("\r\n".encodeToByteArray())
        }
        out.write("0\r\n${listOf("", "", "X-Trailer: 1\r\n").random(random)}\r\n".encodeToByteArray())
        return out.toByteArray()
    }

    /** Returns how an answer that is not cut ends. */
    private fun drawEnd(): ConnectionEnd {
        val ends = profile.closes || framing.endsWithConnection || framing == Framing.LENGTH_TOO_LONG
        return if (ends || head.version == "1.0" || random.nextInt(8) == 0) ConnectionEnd.FIN else ConnectionEnd.KEPT
    }

    private fun announcesEnd(): Boolean {
        if (end != ConnectionEnd.FIN) return false
        val followsFromForm = framing.endsWithConnection || head.version == "1.0"
        return profile.closes || (profile.isSound && !followsFromForm) || random.nextBoolean()
    }

    /** Returns where and how [content] is cut, or null if it is not. */
    private fun drawCut(content: ByteArray): Pair<Int, ConnectionEnd>? {
        if (random.nextDouble() >= profile.cutShare) return null
        val blankLines = BLANK_LINE.findAll(content.toString(Charsets.ISO_8859_1)).map { it.range.last + 1 }.toList()
        val cut = if (random.nextBoolean()) blankLines.random(random) else random.nextInt(content.size)
        // What ends with its connection counts as whole, a stream only behind a whole event.
        val isHidden = framing.endsWithConnection && (!isStream || cut in blankLines)
        val end = if (isHidden || random.nextBoolean()) ConnectionEnd.RST else ConnectionEnd.FIN
        traits += "cut by $end"
        return cut to end
    }

    private companion object {
        val BLANK_LINE = Regex("(?<=[\r\n])\r\n|(?<=\n)\n|(?<=[\r\n])\r(?!\n)")
        const val MAX_FIN_DELAY_MILLIS = 100L
    }
}
