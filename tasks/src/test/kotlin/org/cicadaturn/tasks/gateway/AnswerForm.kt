package org.cicadaturn.tasks.gateway

import kotlin.random.Random

/** How the length of a body is announced. */
internal enum class Framing {
    LENGTH,
    CHUNKED,
    CONNECTION_END,
    LENGTH_TOO_LONG,
    LENGTH_TOO_SHORT,
    CHUNKED_TOO_SHORT,
    CHUNKED_WITH_LENGTH,
    IDENTITY,
    GZIP_CHUNKED,
    ;

    /** True if the end of the connection is the end of the body. */
    val endsWithConnection: Boolean get() = this == CONNECTION_END || this == IDENTITY

    val isChunked: Boolean get() = this == CHUNKED || this == CHUNKED_TOO_SHORT || this == CHUNKED_WITH_LENGTH

    /** True if the bytes end within the body that was meant. */
    val isTooShort: Boolean get() = this == LENGTH_TOO_SHORT || this == CHUNKED_TOO_SHORT
}

/** What an endpoint does with its connection after the last byte that it sends. */
internal enum class ConnectionEnd { KEPT, FIN, RST }

/** Head of an answer. */
internal data class HeadForm(
    val version: String = "1.1",
    val status: Int = 200,
    val types: List<String> = listOf("text/event-stream"),
    val isAfterInterim: Boolean = false,
)

/**
 * What the answers to a kind of request are drawn from; each list is drawn from evenly.
 *
 * @property soundShare share of the answers that are drawn from [SOUND_STREAMS] instead
 * @property types values of the Content-Type headers
 * @property lineEnds line ends, of which each stream has one or, if "mixed", each of its pieces
 * @property pieces names of [ALL_PIECES], of which a stream has up to [maxPieces]; none if empty
 * @property eventShare share of the bodies, on routes of bodies, that are events
 * @property cutShare share of the answers that are cut
 * @property closes true if each answer announces that its connection ends; sound answers announce each end that does not
 * follow from their form
 */
internal data class FormProfile(
    val soundShare: Double = 0.3,
    val versions: List<String> = listOf("1.1"),
    val statuses: List<Int> = listOf(200),
    val types: List<List<String>> = PLAIN_TYPES,
    val interimShare: Double = 0.0,
    val framings: List<Framing> = listOf(Framing.LENGTH, Framing.CHUNKED),
    val lineEnds: List<String> = listOf("\n", "\r\n"),
    val pieces: List<String> = emptyList(),
    val pieceShare: Double = 1.0,
    val maxPieces: Int = 1,
    val eventShare: Double = 0.25,
    val cutShare: Double = 0.0,
    val closes: Boolean = false,
) {
    /** True if all answers are sound. */
    val isSound: Boolean get() = soundShare == 1.0
}

private val PLAIN_TYPES = listOf("text/event-stream", "text/event-stream; charset=utf-8").map { listOf(it) }

/** Types are compared without regard to their case. */
private val TYPES_IN_OTHER_CASE =
    listOf("Text/Event-Stream", "TEXT/EVENT-STREAM;charset=UTF-8", "text/Event-stream ; x=y").map { listOf(it) }

private val SOUND_TYPES = PLAIN_TYPES + TYPES_IN_OTHER_CASE

internal const val MIXED = "mixed"

internal val OTHER_TYPES =
    listOf(
        emptyList(),
        listOf("text/plain"),
        listOf("application/octet-stream"),
        listOf("application/json"),
        listOf("text/event-streams"),
        listOf("text/event-stream", "text/plain"),
        listOf("application/json", "text/event-stream"),
    )

/** Forms of sound streams. */
internal val SOUND_STREAMS = FormProfile(soundShare = 1.0)

/**
 * Forms of sound streams that the users' pages allow, some of which are rare.
 *
 * - framings: "A server's answer may have no length and end with its connection" (RULES.md, MIXED).
 * - versions: HTTP/1.1 (PROTOCOL.md, first paragraph) includes answers of servers that speak HTTP/1.0 (RFC 9112, 2.5).
 * - statuses: "A 2xx response counts only if it comes with the signature and the complete body" (PROTOCOL.md, Answers).
 * - types, line ends and pieces: events are `text/event-stream` (PROTOCOL.md, Requests), whose standard allows them; an
 *   event "at which the version changes also carries it, as a first line" (the same).
 * - closes: `Connection: close` appears "occasionally in other responses" (PROTOCOL.md, Servers).
 */
internal val ALL_SOUND_STREAMS =
    SOUND_STREAMS.copy(
        versions = listOf("1.1", "1.1", "1.1", "1.0"),
        statuses = List(9) { 200 } + listOf(201, 202, 203),
        types = SOUND_TYPES,
        interimShare = 0.1,
        framings = listOf(Framing.LENGTH, Framing.CHUNKED, Framing.CONNECTION_END),
        pieces = SOUND_PIECES.keys.toList(),
        pieceShare = 0.5,
        maxPieces = 2,
    )

private val ALL_STATUSES = listOf(200, 200, 200, 200, 200, 200, 201, 203, 204, 206, 500, 404, 503, NOT_RUN)

/** Stands for a refusal that says that the request was not run. */
internal const val NOT_RUN = -503

internal val TYPE_FORMS =
    FormProfile(
        types = OTHER_TYPES + TYPES_IN_OTHER_CASE,
        framings = listOf(Framing.LENGTH, Framing.CHUNKED, Framing.CONNECTION_END),
        pieces = listOf("JSON instead", "text instead", "without an id", "random bytes instead"),
        pieceShare = 0.6,
    )

internal val END_FORMS =
    FormProfile(
        versions = listOf("1.1", "1.1", "1.0"),
        framings = Framing.entries + List(4) { Framing.CONNECTION_END },
        cutShare = 0.6,
    )

internal val LINE_END_FORMS =
    FormProfile(
        lineEnds = listOf("\r", MIXED, "\n", "\r\n"),
        pieces = listOf("without an id", "CR within data", "CR around an id", "text id"),
        pieceShare = 0.8,
    )

internal val HEAD_FORMS =
    FormProfile(
        versions = listOf("1.1", "1.0"),
        statuses = listOf(200, 201, 203, 204, 204, 204, 206, 206, 500, 404, 503, NOT_RUN),
        interimShare = 0.2,
    )

internal val NUMBER_FORMS = FormProfile(pieces = ALL_PIECES.keys.toList())

internal val ALL_FORMS =
    FormProfile(
        soundShare = 0.2,
        versions = END_FORMS.versions,
        statuses = ALL_STATUSES,
        types = SOUND_TYPES + SOUND_TYPES + OTHER_TYPES,
        interimShare = 0.1,
        framings = Framing.entries,
        lineEnds = listOf("\n", "\n", "\r\n", "\r\n", "\r", MIXED),
        pieces = NUMBER_FORMS.pieces,
        pieceShare = 0.5,
        maxPieces = 2,
        cutShare = 0.3,
    )

/** Forms of sound bodies; the sentences of the pages are those of [ALL_SOUND_STREAMS], and a body has any type. */
internal val SOUND_BODIES =
    FormProfile(
        soundShare = 1.0,
        versions = ALL_SOUND_STREAMS.versions,
        statuses = ALL_SOUND_STREAMS.statuses + listOf(204, 206),
        types = SOUND_TYPES + OTHER_TYPES,
        interimShare = 0.1,
        framings = listOf(Framing.LENGTH, Framing.CHUNKED, Framing.CONNECTION_END),
    )

internal val BODY_FORMS =
    ALL_FORMS.copy(
        // Nobody can tell such a body from a whole one.
        framings = Framing.entries - Framing.CHUNKED_TOO_SHORT,
        types = SOUND_TYPES + OTHER_TYPES + OTHER_TYPES,
    )

/** Bodies that are declared as event streams and consist of events. */
internal val EVENT_BODY_FORMS = FormProfile(framings = SOUND_BODIES.framings, eventShare = 1.0, cutShare = 0.6)

/** Returns the head that is drawn for an answer. */
internal fun FormProfile.drawHead(random: Random): HeadForm =
    HeadForm(
        versions.random(random),
        statuses.random(random),
        types.random(random),
        isAfterInterim = random.nextDouble() < interimShare,
    )
