package org.cicadaturn.tasks.gateway

import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Log lines about limits that begin, change or end, with the source and age of what was learned. Has one owner and is
 * not safe for concurrent use.
 */
internal class LimitLog {
    private class Logged(
        val startedAt: Long,
        val perSecond: Double,
    )

    private val logged = HashMap<EndpointId, Logged>()

    /** Logs [changes]; [sourceOf] returns the process that reported one, or null if this process got the answer. */
    fun changed(
        changes: List<EndpointLimitReport>,
        sourceOf: (EndpointLimitReport) -> ProcessId?,
    ) {
        changes.forEachIndexed { i, change ->
            val text = textOf(change, logged[change.endpoint]?.takeIf { it.startedAt == change.startedAt })
            val source = sourceOf(change)?.let { "reported by ${it.text}" } ?: "by an answer to this process"
            if (i < MAX_LINES) logger.info("limits: {} {}, {} {} ago", change.endpoint.text, text, source, change.age)
            remember(change)
        }
        val others = changes.size - MAX_LINES
        if (others > 0) logger.info("limits: {} other limits have changed, which the state dump shows", others)
    }

    private fun textOf(
        change: EndpointLimitReport,
        earlier: Logged?,
    ): String {
        val perSecond = change.perSecond
        return when {
            perSecond == null -> "no longer names a limit; it was ${earlier?.perSecond ?: "not known here"}"
            earlier == null -> "names a limit of $perSecond requests a second"
            else -> "changes its limit from ${earlier.perSecond} to $perSecond requests a second"
        }
    }

    private fun remember(change: EndpointLimitReport) {
        val perSecond = change.perSecond
        if (perSecond ==
            null
        ) {
            logged.remove(change.endpoint)
        } else {
            logged[change.endpoint] = Logged(change.startedAt, perSecond)
        }
    }

    /** Forgets all but the listed [endpoints]. */
    fun retain(endpoints: Set<EndpointId>) {
        logged.keys.retainAll(endpoints)
    }

    private companion object {
        val logger = LogManager.getLogger(LimitLog::class.java)

        /** Lines for the changes of one batch, of which there are at most four a second. */
        const val MAX_LINES = 8
    }
}

/**
 * Log lines about limits that cannot be read, a bounded number for each endpoint. Has one owner and is not safe for
 * concurrent use.
 */
internal class UnreadableLimits(
    private val clock: Clock,
) {
    private val loggedAt = LinkedHashMap<EndpointId, Instant>()

    /** Logs that [endpoint] named [limit], unless that was logged a short time ago. */
    fun received(
        endpoint: EndpointId,
        limit: NamedLimit.Unreadable,
    ) {
        val now = clock.now()
        val last = loggedAt[endpoint]
        if (last != null && now - last < INTERVAL) return
        loggedAt.remove(endpoint)
        loggedAt[endpoint] = now
        if (loggedAt.size > MAX_ENDPOINTS) loggedAt.remove(loggedAt.keys.first())
        val text = limit.text.map { if (it.isISOControl()) '?' else it }.joinToString("")
        logger.warn("limits: {} names a limit that cannot be read and changes nothing: \"{}\"", endpoint.text, text)
    }

    private companion object {
        val logger = LogManager.getLogger(LimitLog::class.java)

        /** Shortest time between two lines about one endpoint. */
        val INTERVAL = 10.seconds

        /** Bounds the memory; beyond it, the lines of an endpoint may come more often. */
        const val MAX_ENDPOINTS = 256
    }
}
