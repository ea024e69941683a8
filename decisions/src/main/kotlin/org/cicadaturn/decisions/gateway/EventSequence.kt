package org.cicadaturn.decisions.gateway

/**
 * What the events of an answer must be.
 *
 * @property after number of the last event that the caller has; null if the answer must begin with the first event
 */
public data class ExpectedEvents(
    val after: Long? = null,
)

/**
 * Events that have arrived together, as far as they can be passed on.
 *
 * @property sound events before the first one that cannot be part of the stream
 * @property defect what is wrong with the event that follows them, after which nothing can be trusted; null if none is
 * @property canContinue false if the last sound event may be the wrong one, so that no run can go on behind it
 */
public data class EventBatch(
    val sound: List<StreamEvent>,
    val defect: String? = null,
    val canContinue: Boolean = true,
)

/** Verifies that the events of one answer are those of one run. Has one owner and is not safe for concurrent use. */
public fun interface EventSequence {
    /** Returns which of the [arrived] events, the next ones of the answer, can be passed on; takes linear time. */
    public fun accept(arrived: List<StreamEvent>): EventBatch
}

/**
 * Returns a sequence of events whose numbers increase, at the start of an answer whose events must be as [expected].
 *
 * An event without a number, or with one that is not above the last, is garbage or belongs to another run. Numbers may
 * have gaps. Comments, which keep a connection alive, are left out, and so is the event that the caller has if the answer begins with it.
 */
public fun eventSequence(expected: ExpectedEvents): EventSequence = NumberedEventSequence(expected.after)

private class NumberedEventSequence(
    private val after: Long?,
) : EventSequence {
    private var last: Long? = after
    private var beforeLast: Long? = null
    private var isFirst = true

    override fun accept(arrived: List<StreamEvent>): EventBatch {
        val sound = mutableListOf<StreamEvent>()
        for (event in arrived) {
            val lines = event.lines ?: return EventBatch(sound, "event that is not UTF-8", canContinueBefore(event))
            if (lines.all { it.startsWith(':') || fieldNameIn(it) == RETRY }) continue
            if (isFirst && after != null && event.id == after) {
                isFirst = false
                continue
            }
            defectOf(event, lines)?.let { return EventBatch(sound, it, canContinueBefore(event)) }
            isFirst = false
            beforeLast = last
            last = event.id
            sound += event
        }
        return EventBatch(sound)
    }

    /** Returns false if [event] may be right and the one before it wrong, as its number lies between the last two. */
    private fun canContinueBefore(event: StreamEvent): Boolean {
        val id = event.id ?: return true
        val end = last ?: return true
        val begin = beforeLast ?: Long.MIN_VALUE
        return isFirst || id !in (begin + 1)..<end
    }

    private fun defectOf(
        event: StreamEvent,
        lines: List<String>,
    ): String? {
        val unknown = lines.firstOrNull { !it.startsWith(':') && fieldNameIn(it) == null }
        if (unknown != null) return "line without a field: ${unknown.take(MAX_DETAIL_CHARACTERS)}"
        if (lines.count { fieldNameIn(it) == ID } > 1) return "event with two ids"
        val id = event.id ?: return "event without a numeric id"
        return last?.takeIf { id <= it }?.let { "event $id after $it" }
    }
}

/** Returns the name of the field in [line], or null if there is none; only a known field may lack its colon. */
private fun fieldNameIn(line: String): String? {
    if (':' !in line) return line.takeIf { it in KNOWN_FIELDS }
    return line.substringBefore(':').takeIf { name -> name.isNotEmpty() && name.all(::isNameCharacter) }
}

private fun isNameCharacter(c: Char): Boolean = c in 'a'..'z' || c in 'A'..'Z' || c in '0'..'9' || c in "-_"

private const val ID = "id"
private const val RETRY = "retry"
private val KNOWN_FIELDS = setOf(ID, RETRY, "data", "event")
private const val MAX_DETAIL_CHARACTERS = 40
