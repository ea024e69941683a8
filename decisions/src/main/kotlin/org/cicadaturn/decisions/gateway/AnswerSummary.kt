package org.cicadaturn.decisions.gateway

/**
 * What an answer of an endpoint looked like, for logs.
 *
 * @property contentType declared content type, or null if there is none
 * @property firstEvent number of the first event, or null if no event had a number
 * @property lastEvent number of the last event, or null if no event had a number
 * @property skippedEvents how many numbers are left out between the first and the last event
 */
public data class AnswerSummary(
    val contentType: String?,
    val framing: BodyFraming,
    val firstEvent: Long? = null,
    val lastEvent: Long? = null,
    val skippedEvents: Long = 0,
) {
    /** Returns this summary with an event with the number [id] at its end. */
    public fun plusEvent(id: Long): AnswerSummary {
        val last = lastEvent ?: return copy(firstEvent = id, lastEvent = id)
        return copy(lastEvent = id, skippedEvents = skippedEvents + (id - last - 1).coerceAtLeast(0))
    }
}
