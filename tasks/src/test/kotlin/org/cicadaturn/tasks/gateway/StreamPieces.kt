package org.cicadaturn.tasks.gateway

import kotlin.random.Random

/** Number of events of a whole stream. */
internal const val RUN_EVENTS = 6

/** Returns the data of event [number] in each sound stream for the request [id]. */
internal fun runData(
    id: String,
    number: Int,
): String = "$id/$number"

/**
 * Place within a stream for the request [id].
 *
 * @property due number of the event that is due
 */
internal class PiecePlace(
    val id: String,
    val due: Int,
    val lineEnd: String,
    val random: Random,
) {
    /** Returns a piece of [lines], which ends with a blank line. */
    fun piece(vararg lines: String): String = lines.joinToString("") { it + lineEnd } + lineEnd

    /** Returns the event that is due; none behind the last one. */
    fun event(): String = if (due > RUN_EVENTS) "" else piece("id: $due", "data: ${runData(id, due)}")

    /** Returns [form] of the data of the event that is due; none behind the last one. */
    fun ownPiece(form: PiecePlace.(data: String) -> String): String =
        if (due > RUN_EVENTS) "" else form("data: ${runData(id, due)}")

    /** Returns data that is in no sound stream for the request. */
    fun foreign(): String = "data: other/$due"

    /** Returns a number that is not due. */
    fun otherNumber(): Int = (due + 1 + random.nextInt(900)).takeIf { due < 2 || random.nextBoolean() } ?: lowerNumber()

    fun lowerNumber(): Int = random.nextInt(maxOf(due, 1))

    /** Returns bytes, as one character each, with or without line ends. */
    fun randomBytes(): String {
        val bytes = List(1 + random.nextInt(40)) { random.nextInt(256).toChar() }
        return bytes.joinToString("") + listOf("", lineEnd, lineEnd + lineEnd).random(random)
    }
}

/** Returns what stands in place of the event that is due, with one character for each byte. */
internal typealias PieceWriter = PiecePlace.() -> String

/** Pieces of unsound streams, by name. */
private val UNSOUND_PIECES: Map<String, PieceWriter> =
    mapOf(
        "without an id" to { piece(foreign()) + event() },
        "empty id" to { piece(listOf("id:", "id", "id: ").random(random), foreign()) + event() },
        "text id" to { piece("id: x$due", foreign()) + event() },
        "NUL id" to { piece("id: $due\u0000", foreign()) + event() },
        "huge id" to { piece("id: 99999999999999999999", foreign()) + event() },
        "signed id" to { piece("id: ${listOf("+", "-").random(random)}${otherNumber()}", foreign()) + event() },
        "padded id" to { piece("id: ${listOf("0", "00", " ").random(random)}${otherNumber()}", foreign()) + event() },
        "padded id of its own" to
            { piece("id: ${listOf("0", " ", "+").random(random)}$due", "data: ${runData(id, due)}") },
        "id in capitals" to { piece("ID: $due", foreign()) + event() },
        "own id in capitals" to { piece("Id: $due", "data: ${runData(id, due)}") },
        "two ids" to { piece("id: ${otherNumber()}", "id: $due", "data: ${runData(id, due)}") },
        "event twice" to { event() + event() },
        "lower number" to { piece("id: ${lowerNumber()}", foreign()) + event() },
        "higher number" to { piece("id: ${due + 1 + random.nextInt(900)}", foreign()) + event() },
        "next number but one" to { piece("id: ${due + 1}", foreign()) + event() },
        "event left out" to { if (due == RUN_EVENTS) event() else "" },
        "events in wrong order" to { piece("id: ${due + 1}", "data: ${runData(id, due + 1)}") + event() },
        "no data" to { piece("id: $due") + event() },
        "no data, other number" to { piece("id: ${otherNumber()}") + event() },
        "random bytes" to { randomBytes() + event() },
        "random bytes instead" to { randomBytes() },
        "line without an end" to { "rubbish" + event() },
        "CR within data" to { piece("id: $due", "data: ${runData(id, due)}\r\r${foreign()}") },
        "CR around an id" to { piece("id: $due", "data: ${runData(id, due)}\rid: ${otherNumber()}\rdata: x") },
        "byte order mark" to { "\u00EF\u00BB\u00BF" + event() },
        "two byte order marks" to { "\u00EF\u00BB\u00BF\u00EF\u00BB\u00BF" + event() },
        "HTTP text" to { "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signature: x\r\nContent-Length: 5\r\n\r\nhello" + event() },
        "HTTP text as a piece" to { piece("HTTP/1.1 200 OK", "Content-Type: text/event-stream") + event() },
        "JSON instead" to { "{\"error\":{\"code\":5}}" + listOf("", lineEnd, lineEnd + lineEnd).random(random) },
        "text instead" to { "not found" + listOf("", lineEnd, lineEnd + lineEnd).random(random) },
        "unfinished event" to { event() + "id: ${due + 1}" + lineEnd + "data: ${runData(id, due + 1)}" },
    )

/** Pieces of sound streams, by name, beside the usual events. */
internal val SOUND_PIECES: Map<String, PieceWriter> =
    mapOf(
        "comment" to { piece(": c") + event() },
        "comment within" to { ownPiece { piece(": id: 900", "id: $due", ":data: x", it) } },
        "retry line" to { piece("retry: 5") + event() },
        "unknown field" to { ownPiece { piece("x-field: 1", "id: $due", it, "event: t") } },
        "version line" to { ownPiece { piece("cicadaturn-weight-versions: 3", "id: $due", it) } },
        "event name" to { ownPiece { piece("event: token", "id: $due", it) } },
        "id behind data" to { ownPiece { piece(it, "id: $due") } },
        "blank lines" to { lineEnd + lineEnd + event() },
    )

/** Pieces of both kinds. */
internal val ALL_PIECES: Map<String, PieceWriter> = UNSOUND_PIECES + SOUND_PIECES

/**
 * Returns false if nobody can tell that [stream], for the request [id] from behind [after], is unsound: an event of it
 * has the number that is due and other data.
 */
internal fun canBeTold(
    stream: ByteArray,
    id: String,
    after: Int,
): Boolean {
    var due = after + 1
    for (event in StandardEventReader().read(stream)) {
        if (event.ownId?.trim()?.toIntOrNull() != due) continue
        if (due > RUN_EVENTS || event.data != runData(id, due)) return false
        due += 1
    }
    return true
}
