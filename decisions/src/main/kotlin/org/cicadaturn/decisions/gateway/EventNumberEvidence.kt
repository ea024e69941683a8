package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId

/** What one answer shows about the numbers of a service's events. */
public enum class NumberSighting {
    /** Its first events are numbered 1, 2 and 3, as they are also where a number counts tokens and each event has one. */
    BEGINNING,

    /** It is complete, and its events are numbered 1, 2, 3, 4 and so on to the end. */
    CONSECUTIVE,

    /** It begins with another number than 1, or leaves numbers out within its first events. */
    GAP,

    /** It begins with 1, 2, 3 and leaves numbers out later. */
    LATE_GAP,

    /** It leaves the same numbers out as another endpoint did, or is complete and leaves numbers out. */
    SKIPPING,
}

/**
 * Answers with a gap of one kind.
 *
 * @property count number of answers, [MIN_GAPS] at most
 * @property endpoints endpoints that sent them, [MIN_ENDPOINTS] at most
 */
public data class GapAnswers(
    val count: Int = 0,
    val endpoints: Set<EndpointId> = emptySet(),
) {
    internal fun plus(endpoint: EndpointId): GapAnswers =
        GapAnswers(
            minOf(count + 1, MIN_GAPS),
            if (endpoints.size < MIN_ENDPOINTS) endpoints + endpoint else endpoints,
        )

    /** Returns true if the gaps may be the numbering of a service with [serviceSize] endpoints. */
    internal fun suffice(serviceSize: Int): Boolean =
        count >= MIN_GAPS && endpoints.size >= minOf(MIN_ENDPOINTS, serviceSize)
}

/**
 * What the answers of one service have shown about the numbers of its events.
 *
 * A stream with an event left out looks like one of a service that numbers with gaps. So numbers must be consecutive
 * until a further endpoint has left the same numbers out, or until several endpoints have sent gaps and none a complete
 * answer without one; the streams that show such gaps are lost. Answers that begin with 1, 2 and 3 rule early gaps out
 * and prove nothing against later ones.
 *
 * @property balance complete answers without a gap minus answers that show that gaps are sound; [MAX_BALANCE] at most,
 * and not below its negative
 * @property hasBeginning true if an answer has begun with 1, 2 and 3
 * @property gaps answers with a gap within their first events
 * @property lateGaps answers that begin with 1, 2, 3 and have a gap later
 * @property serviceSize number of endpoints of the service at the last answer with a gap
 */
public data class EventNumberEvidence(
    val balance: Int = 0,
    val hasBeginning: Boolean = false,
    val gaps: GapAnswers = GapAnswers(),
    val lateGaps: GapAnswers = GapAnswers(),
    val serviceSize: Int = Int.MAX_VALUE,
) {
    /** True unless complete answers have shown consecutive numbers, so that one further endpoint can confirm a gap. */
    val acceptsConfirmation: Boolean get() = balance <= 0

    /** How the events of the next answer must be numbered. */
    val numbering: EventNumbering
        get() {
            val hasGaps = lateGaps.suffice(serviceSize) || (!hasBeginning && gaps.suffice(serviceSize))
            return if (balance < 0 ||
                (balance == 0 && hasGaps)
            ) {
                EventNumbering.INCREASING
            } else {
                EventNumbering.CONSECUTIVE
            }
        }

    /**
     * Returns this evidence with what an answer of [endpoint] has shown.
     *
     * @param serviceSize number of endpoints of the service; it matters for gaps only
     */
    public fun plus(
        endpoint: EndpointId,
        sighting: NumberSighting,
        serviceSize: Int = Int.MAX_VALUE,
    ): EventNumberEvidence =
        when (sighting) {
            NumberSighting.BEGINNING -> copy(hasBeginning = true)
            NumberSighting.CONSECUTIVE -> copy(balance = minOf(balance + 1, MAX_BALANCE))
            NumberSighting.GAP -> copy(gaps = gaps.plus(endpoint), serviceSize = serviceSize)
            NumberSighting.LATE_GAP ->
                copy(lateGaps = lateGaps.plus(endpoint), hasBeginning = true, serviceSize = serviceSize)
            NumberSighting.SKIPPING -> copy(balance = maxOf(balance - 1, -MAX_BALANCE))
        }
}

/** What the end of an answer, or its state while it is under way, says about its numbers. */
public enum class NumberedEnd {
    /** It is complete. */
    COMPLETE,

    /** The event behind the sound ones has a higher number than was due. */
    GAP,

    /** It is under way, or has ended in another way. */
    OTHER,
}

/**
 * Returns what an answer has shown, or null if it says nothing.
 *
 * @param summary events of the answer that were sound
 * @param expected what the events had to be
 */
public fun numberSightingIn(
    summary: AnswerSummary?,
    end: NumberedEnd,
    expected: ExpectedEvents,
): NumberSighting? {
    val first = summary?.firstEvent
    val events = if (first == null) 0 else (summary.lastEvent ?: first) - first + 1
    val isPrefix = expected.after == null && first == 1L && summary.skippedEvents == 0L
    if (end != NumberedEnd.OTHER && first != null && first == expected.shownNext) return NumberSighting.SKIPPING
    return when {
        end == NumberedEnd.COMPLETE && (summary?.skippedEvents ?: 0) > 0 -> NumberSighting.SKIPPING
        end == NumberedEnd.GAP && events < SHOWN_EVENTS -> NumberSighting.GAP
        isPrefix -> beginningIn(events, end)
        else -> null
    }
}

/** Returns what an answer has shown that begins with the numbers 1 to [events]. */
private fun beginningIn(
    events: Long,
    end: NumberedEnd,
): NumberSighting? =
    when {
        events < SHOWN_EVENTS -> null
        end == NumberedEnd.GAP -> NumberSighting.LATE_GAP
        end == NumberedEnd.COMPLETE && events > SHOWN_EVENTS -> NumberSighting.CONSECUTIVE
        else -> NumberSighting.BEGINNING
    }

/** Consecutive numbers from the first event of a stream on that a service with early gaps is not expected to send. */
public const val SHOWN_EVENTS: Int = 3

/** Answers with a gap; a process that loses more than three streams of sound endpoints breaks a rule. */
private const val MIN_GAPS = 3

/** One endpoint alone may be faulty, unless the service has no other, which could not show it. */
private const val MIN_ENDPOINTS = 2

/** Bounds the streams that are lost until a wrong numbering is corrected, as for [MIN_GAPS]. */
private const val MAX_BALANCE = 3
