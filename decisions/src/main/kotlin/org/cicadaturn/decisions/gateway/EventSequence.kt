package org.cicadaturn.decisions.gateway

/** How the events of a stream are numbered. */
public enum class EventNumbering {
    /** 1, 2, 3 and so on, so that an event that is left out is noticed. */
    CONSECUTIVE,

    /** Each number, the first from 0 on, is above the one before it; an event that is left out is not noticed. */
    INCREASING,
}

/**
 * What the events of an answer must be.
 *
 * @property after number of the last event that the caller has; null if the answer must begin with the first event
 * @property shownNext number that another endpoint sent behind [after], leaving some out. An answer that goes on with the
 * same shows that the service numbers so: two endpoints would hardly lose the same events. Null if there is none, or if
 * the service has shown that its numbers are consecutive
 */
public data class ExpectedEvents(
    val numbering: EventNumbering = EventNumbering.CONSECUTIVE,
    val after: Long? = null,
    val shownNext: Long? = null,
)

/**
 * Place in an answer where numbers are left out.
 *
 * @property after number of the last event before it that the caller has; null if it has none
 * @property next number of the event behind it
 * @property isFirst true if the answer has no event before it, so that it goes on behind [after] as it was asked to
 */
public data class EventGap(
    val after: Long?,
    val next: Long,
    val isFirst: Boolean,
)

/**
 * Events that have arrived together, as far as they can be passed on.
 *
 * @property sound events before the first one that cannot be part of the stream
 * @property defect what is wrong with the event that follows them, after which nothing can be trusted; null if none is
 * @property canContinue false if the last sound event may be the wrong one, so that no run can go on behind it
 * @property gap the defect if it is only that numbers are left out, or that the first number is 0; null if not
 */
public data class EventBatch(
    val sound: List<StreamEvent>,
    val defect: String? = null,
    val canContinue: Boolean = true,
    val gap: EventGap? = null,
)

/** Verifies that the events of one answer are those of one run. Has one owner and is not safe for concurrent use. */
public fun interface EventSequence {
    /** Returns which of the [arrived] events, the next ones of the answer, can be passed on; takes linear time. */
    public fun accept(arrived: List<StreamEvent>): EventBatch
}

/**
 * Returns a sequence at the start of an answer whose events must be as [expected].
 *
 * An event without a number, or with one that is not due, is garbage or belongs to another run. Comments, which keep a
 * connection alive, are left out, and so is the event that the caller has if the answer begins with it.
 */
public fun eventSequence(expected: ExpectedEvents): EventSequence = NumberedEventSequence(expected)

private class NumberedEventSequence(
    private val expected: ExpectedEvents,
) : EventSequence {
    private var numbering = expected.numbering
    private var last: Long? = expected.after
    private var beforeLast: Long? = null
    private var lastEvent: StreamEvent? = null

    override fun accept(arrived: List<StreamEvent>): EventBatch {
        val sound = mutableListOf<StreamEvent>()
        for (event in arrived) {
            if (event.lines.orEmpty().isNotEmpty() && event.lines.orEmpty().all(::isWithoutEvent)) continue
            if (lastEvent == null && expected.after != null && event.id == expected.after) {
                lastEvent = event
                continue
            }
            if (lastEvent == null && event.id != null && event.id == expected.shownNext) {
                numbering = EventNumbering.INCREASING
            }
            val defect = defectOf(event)
            if (defect != null) return EventBatch(sound, defect, canContinueBefore(event), gapBefore(event))
            beforeLast = last
            last = event.id
            lastEvent = event
            sound += event
        }
        return EventBatch(sound)
    }

    /** Returns false if [event] may be right and the one before it, which the caller has, wrong. */
    private fun canContinueBefore(event: StreamEvent): Boolean {
        val id = event.id ?: return true
        val before = lastEvent ?: return true
        val end = before.id ?: return true
        if (id == end) return event.bytes.contentEquals(before.bytes)
        if (numbering == EventNumbering.CONSECUTIVE) return true
        // The number of the event before is too high if this one lies between it and the one before that.
        return id !in ((beforeLast ?: Long.MIN_VALUE) + 1)..<end
    }

    /** Returns the gap before [event] if the event is sound where numbers are not consecutive, or null. */
    private fun gapBefore(event: StreamEvent): EventGap? {
        val id = event.id ?: return null
        if (formDefectOf(event) != null || id <= (last ?: BEFORE_FIRST)) return null
        return EventGap(last, id, isFirst = lastEvent == null)
    }

    private fun defectOf(event: StreamEvent): String? = formDefectOf(event) ?: event.id?.let(::numberDefectOf)

    private fun formDefectOf(event: StreamEvent): String? {
        val lines = event.lines ?: return "event that is not UTF-8"
        val unknown = lines.firstOrNull { !it.startsWith(':') && fieldNameIn(it) == null }
        return when {
            unknown != null -> "line without a field: ${unknown.take(MAX_DETAIL_CHARACTERS)}"
            hasFieldBehindKnownOnes(lines) -> "event with the head of another answer"
            lines.count { fieldNameIn(it) == ID } > 1 -> "event with two ids"
            event.id == null -> "event without a numeric id"
            // A reader of the standard does not see such an event, so its number would be missing.
            lines.none { fieldNameIn(it) == DATA } -> "event ${event.id} without data"
            else -> null
        }
    }

    private fun numberDefectOf(id: Long): String? {
        val isFirstInGaps = last == null && numbering == EventNumbering.INCREASING
        val before = last ?: if (isFirstInGaps) BEFORE_FIRST else 0
        return when {
            id <= before -> "event $id after $before"
            numbering == EventNumbering.CONSECUTIVE && id != before + 1 ->
                "event $id where ${before + 1} was due"
            else -> null
        }
    }
}

/** Returns true for a [line] of which no reader makes an event: a comment or a delay before a reconnection. */
private fun isWithoutEvent(line: String): Boolean = line.startsWith(':') || fieldNameIn(line) == RETRY

/**
 * Returns true if a field of another name stands behind one of a stream. An event that broke off within its data and
 * is followed by a second answer has the headers of that answer there.
 */
private fun hasFieldBehindKnownOnes(lines: List<String>): Boolean {
    val names = lines.filter { !it.startsWith(':') }.map(::fieldNameIn)
    return names.dropWhile { it !in KNOWN_FIELDS }.any { it !in KNOWN_FIELDS }
}

/** Returns the name of the field in [line], or null if there is none; only a known field may lack its colon. */
private fun fieldNameIn(line: String): String? {
    if (':' !in line) return line.takeIf { it in KNOWN_FIELDS }
    return line.substringBefore(':').takeIf { name -> name.isNotEmpty() && name.all(::isNameCharacter) }
}

private fun isNameCharacter(c: Char): Boolean = c in 'a'..'z' || c in 'A'..'Z' || c in '0'..'9' || c in "-_"

/** Below all numbers of events. */
private const val BEFORE_FIRST = -1L

private const val ID = "id"
private const val DATA = "data"
private const val RETRY = "retry"
private val KNOWN_FIELDS = setOf(ID, DATA, RETRY, "event")
private const val MAX_DETAIL_CHARACTERS = 40
