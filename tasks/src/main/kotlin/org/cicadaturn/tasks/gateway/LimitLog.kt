package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Texts to log about limits that begin, change or end, with the source and age of what was learned. Has one owner and
 * is not safe for concurrent use.
 */
internal class LimitLog {
    private class Logged(
        val startedAt: Long,
        val perSecond: Double,
    )

    private val logged = HashMap<EndpointId, Logged>()

    /** Returns the texts for [changes]; [sourceOf] returns who reported one, or null if this process got the answer. */
    fun textsOf(
        changes: List<EndpointLimitReport>,
        sourceOf: (EndpointLimitReport) -> ProcessId?,
    ): List<String> {
        val texts =
            changes.map { change ->
                val source = sourceOf(change)?.let { "reported by ${it.text}" } ?: "by an answer to this process"
                "${change.endpoint.text} ${textOf(change)}, $source ${change.age} ago".also { remember(change) }
            }
        if (texts.size <= MAX_LINES) return texts
        return texts.take(MAX_LINES) +
            "${texts.size - MAX_LINES} other limits have changed, which the state dump shows"
    }

    private fun textOf(change: EndpointLimitReport): String {
        val earlier = logged[change.endpoint]?.takeIf { it.startedAt == change.startedAt }
        val perSecond = change.perSecond
        return when {
            perSecond == null -> "no longer names a limit; it was ${earlier?.perSecond ?: "not known here"}"
            earlier == null -> "names a limit of $perSecond requests a second"
            else -> "changes its limit from ${earlier.perSecond} to $perSecond requests a second"
        }
    }

    private fun remember(change: EndpointLimitReport) {
        val perSecond = change.perSecond
        if (perSecond == null) {
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
        /** Lines for the changes of one batch, of which there are at most four a second. */
        const val MAX_LINES = 8
    }
}

/**
 * Texts to log about limits that cannot be read, a bounded number for each endpoint. Has one owner and is not safe for
 * concurrent use.
 */
internal class UnreadableLimits {
    private val lines = LineIntervals<EndpointId>(INTERVAL)

    /** Returns the text for [limit] of [endpoint], or null if there was one a short time ago. */
    fun textOf(
        endpoint: EndpointId,
        limit: NamedLimit.Unreadable,
        now: Instant,
    ): String? {
        if (!lines.isDue(endpoint, now)) return null
        return "${endpoint.text} names a limit that cannot be read and changes nothing: \"${printable(limit.text)}\""
    }

    private companion object {
        /** Shortest time between two lines about one endpoint. */
        val INTERVAL = 10.seconds
    }
}
