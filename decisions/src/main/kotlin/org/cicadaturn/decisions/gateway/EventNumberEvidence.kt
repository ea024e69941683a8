package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId

/** What one answer shows about the numbers of a service's events. */
public enum class NumberSighting {
    /** Its first events are numbered 1, 2 and 3. */
    CONSECUTIVE,

    /** It begins with another number than 1, or leaves numbers out within its first events. */
    GAP,
}

/**
 * What the answers of one service have shown about the numbers of its events.
 *
 * A stream with an event left out looks like one of a service that numbers with gaps. So numbers must be consecutive
 * until several endpoints have sent gaps and none three consecutive numbers; the streams that show the gaps are lost.
 * Once an endpoint has sent consecutive numbers, gaps are never accepted.
 *
 * @property gaps number of answers with a gap
 * @property endpoints endpoints that sent them, [MIN_ENDPOINTS] at most
 */
public data class EventNumberEvidence(
    val isConsecutive: Boolean = false,
    val gaps: Int = 0,
    val endpoints: Set<EndpointId> = emptySet(),
) {
    /** How the events of the next answer must be numbered. */
    val numbering: EventNumbering
        get() {
            val hasGaps = gaps >= MIN_GAPS && endpoints.size >= MIN_ENDPOINTS
            return if (hasGaps && !isConsecutive) EventNumbering.INCREASING else EventNumbering.CONSECUTIVE
        }

    /** Returns this evidence with what an answer of [endpoint] has shown. */
    public fun plus(
        endpoint: EndpointId,
        sighting: NumberSighting,
    ): EventNumberEvidence =
        when {
            isConsecutive -> this
            sighting == NumberSighting.CONSECUTIVE -> EventNumberEvidence(isConsecutive = true)
            else -> EventNumberEvidence(gaps = minOf(gaps + 1, MIN_GAPS), endpoints = endpointsWith(endpoint))
        }

    private fun endpointsWith(endpoint: EndpointId): Set<EndpointId> =
        if (endpoints.size < MIN_ENDPOINTS) endpoints + endpoint else endpoints

    private companion object {
        /** Answers with a gap; a process that loses more than three streams of sound endpoints breaks a rule. */
        const val MIN_GAPS = 3

        /** One endpoint alone may be faulty. */
        const val MIN_ENDPOINTS = 2
    }
}

/**
 * Returns what an answer has shown, or null if it says nothing.
 *
 * @param summary events of the answer that were sound
 * @param hasGap true if the event behind them had a higher number than was due
 * @param after number of the event behind which the answer was to go on; null if it was to begin with the first
 */
public fun numberSightingIn(
    summary: AnswerSummary?,
    hasGap: Boolean,
    after: Long?,
): NumberSighting? {
    val first = summary?.firstEvent
    val events = if (first == null) 0 else (summary.lastEvent ?: first) - first + 1
    val isPrefix = after == null && first == 1L && summary.skippedEvents == 0L
    return when {
        isPrefix && events >= SHOWN_EVENTS -> NumberSighting.CONSECUTIVE
        // Behind more consecutive events an event was left out.
        hasGap && events < SHOWN_EVENTS -> NumberSighting.GAP
        else -> null
    }
}

/** Consecutive numbers that no service with gaps is expected to send, counted from the first event of a stream. */
public const val SHOWN_EVENTS: Int = 3
