package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.LeavingNotice
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Texts to log about endpoints that leave or ask for a pause, a bounded number for each endpoint. Has one owner and is
 * not safe for concurrent use.
 */
internal class NoticeLog {
    private val pauses = LineIntervals<EndpointId>(PAUSE_INTERVAL)
    private val unreadable = LineIntervals<EndpointId>(UNREADABLE_INTERVAL)

    /** Returns the texts for [message]; [isNew] is true if this process learned by it that the endpoint leaves. */
    fun textsOf(
        message: BalancerMessage.Noticed,
        isNew: Boolean,
        now: Instant,
    ): List<String> {
        val endpoint = message.endpoint
        val answer = "by its answer to request ${message.requestId}"
        val departure = "${endpoint.id.text} started at ${endpoint.startedAt} leaves and gets no requests, $answer"
        return listOfNotNull(
            departure.takeIf { isNew },
            pauseText(message, answer).takeIf { it != null && pauses.isDue(endpoint.id, now) },
            unreadableText(message, answer).takeIf { it != null && unreadable.isDue(endpoint.id, now) },
        )
    }

    private fun pauseText(
        message: BalancerMessage.Noticed,
        answer: String,
    ): String? {
        val pause = message.notice.pause as? PauseNotice.Requested ?: return null
        val more = if (pause.isShortened) "; it asked for more" else ""
        return "${message.endpoint.id.text} gets no requests for ${pause.time}, $answer$more"
    }

    private fun unreadableText(
        message: BalancerMessage.Noticed,
        answer: String,
    ): String? {
        val leaving = (message.notice.leaving as? LeavingNotice.Unreadable)?.text
        val pause = (message.notice.pause as? PauseNotice.Unreadable)?.text
        val value = leaving ?: pause ?: return null
        val subject = if (leaving != null) "whether it leaves" else "a pause"
        return "${message.endpoint.id.text} states $subject as \"${printable(value)}\", which is not read, $answer"
    }

    /** Returns the texts for the departures [new], which [sender] reported. */
    fun textsOf(
        new: List<DepartureReport>,
        sender: ProcessId?,
    ): List<String> {
        val source = "reported by ${sender?.text ?: "another process"}"
        val texts =
            new.take(MAX_LINES).map {
                "${it.endpoint.text} started at ${it.startedAt} leaves and gets no requests, $source"
            }
        if (new.size <= MAX_LINES) return texts
        return texts + "${new.size - MAX_LINES} other endpoints leave, $source"
    }

    private companion object {
        /** Shortest time between two lines about pauses of one endpoint. */
        val PAUSE_INTERVAL = 1.seconds
        val UNREADABLE_INTERVAL = 10.seconds

        /** Lines for the endpoints of one message. */
        const val MAX_LINES = 8
    }
}

/** Returns [text] without control characters, which could end a line of the log. */
internal fun printable(text: String): String = text.map { if (it.isISOControl()) '?' else it }.joinToString("")

/** Limits lines about each of several subjects to one in [interval]. Has one owner and is not safe for concurrent use. */
internal class LineIntervals<K : Any>(
    private val interval: Duration,
) {
    private val loggedAt = LinkedHashMap<K, Instant>()

    /** Returns true, and counts a line, if there was none about [subject] a short time ago. */
    fun isDue(
        subject: K,
        now: Instant,
    ): Boolean {
        val last = loggedAt[subject]
        if (last != null && now - last < interval) return false
        loggedAt.remove(subject)
        loggedAt[subject] = now
        if (loggedAt.size > MAX_SUBJECTS) loggedAt.remove(loggedAt.keys.first())
        return true
    }

    private companion object {
        /** Bounds the memory; beyond it, the lines about a subject may come more often. */
        const val MAX_SUBJECTS = 256
    }
}
