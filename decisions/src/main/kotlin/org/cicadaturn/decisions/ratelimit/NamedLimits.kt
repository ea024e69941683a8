package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Newest known answer of an endpoint about its rate limit.
 *
 * @property startedAt start time of the endpoint in Unix milliseconds
 * @property perSecond requests per second that it takes from all gateways together; null if it named none
 * @property answeredAt time of the answer on the local clock
 * @property since time at which this process learned that a limit began or ended; a new value does not change it
 * @property endedPerSecond last limit if it has ended; null if one is in force or if there was none
 */
public data class KnownLimit(
    val startedAt: Long,
    val perSecond: Double?,
    val answeredAt: Instant,
    val since: Instant,
    val endedPerSecond: Double? = null,
)

/**
 * Limits that endpoints name in their answers, from this process's own answers and from reports of other gateways. Has
 * one owner and is not safe for concurrent use.
 *
 * The newest answer wins, by its age on the local clock, so that a repeated or delayed report changes nothing. A limit
 * holds for one start of an endpoint. It does not expire: only an answer can tell that it has ended.
 */
public interface NamedLimits {
    /**
     * Records what an answer of [endpoint], which started at [startedAt], says to a request that was sent at [sentAt].
     *
     * An answer that names no limit changes nothing if its request was sent before the newest answer that names one: it
     * may have waited while this process was paused.
     *
     * A limit that cannot be read confirms the last known one, as the endpoint still asks for one. If none is known,
     * none applies.
     */
    public fun named(
        endpoint: EndpointId,
        startedAt: Long,
        limit: NamedLimit,
        now: Instant,
        sentAt: Instant = now,
    )

    /** Records a [report] of another gateway. */
    public fun reported(
        report: EndpointLimitReport,
        now: Instant,
    )

    /** Returns what is known of [endpoint], which started at [startedAt], or null if it has not answered yet. */
    public fun known(
        endpoint: EndpointId,
        startedAt: Long,
    ): KnownLimit?

    /**
     * Forgets endpoints that are not among the listed [endpoints], given with their start times, after a while: a report
     * may come before the list that names its endpoint, and an entry that lapsed may come back.
     */
    public fun retain(
        endpoints: Map<EndpointId, Long>,
        now: Instant,
    )

    /** True if [takeNews] has something to return. */
    public val hasNews: Boolean

    /** Returns the changes that others should be told, each once. */
    public fun takeNews(now: Instant): List<EndpointLimitReport>

    /**
     * Returns all limits in force, those that ended lately, of which another gateway may not have heard, and what is
     * known of [disputed] endpoints, about which another gateway reported something.
     */
    public fun reports(
        now: Instant,
        disputed: Set<EndpointId> = emptySet(),
    ): List<EndpointLimitReport>
}

/** Returns an empty set of limits. */
public fun namedLimits(): NamedLimits = NewestNamedLimits()

private class NewestNamedLimits : NamedLimits {
    private val known = HashMap<EndpointId, KnownLimit>()
    private val news = LinkedHashSet<EndpointId>()

    override fun named(
        endpoint: EndpointId,
        startedAt: Long,
        limit: NamedLimit,
        now: Instant,
        sentAt: Instant,
    ) {
        val earlier = known(endpoint, startedAt)
        if (limit == NamedLimit.None && earlier?.perSecond != null && earlier.answeredAt > sentAt) return
        val perSecond =
            when (limit) {
                is NamedLimit.Rate -> limit.perSecond.takeIf { isRate(it) } ?: earlier?.perSecond
                NamedLimit.None -> null
                is NamedLimit.Unreadable -> earlier?.perSecond
            }
        if (known[endpoint].let { it != null && it.startedAt > startedAt }) return
        learn(endpoint, KnownLimit(startedAt, perSecond, now, now))
        if (earlier?.perSecond != perSecond) news += endpoint
    }

    override fun reported(
        report: EndpointLimitReport,
        now: Instant,
    ) {
        val perSecond = report.perSecond
        if (perSecond != null && !isRate(perSecond)) return
        val limit = KnownLimit(report.startedAt, perSecond, now - report.age.coerceAtLeast(Duration.ZERO), now)
        val earlier = known[report.endpoint]
        if (earlier != null && !isNewer(limit, earlier)) return
        learn(report.endpoint, limit)
        if (earlier == null || earlier.startedAt != limit.startedAt || earlier.perSecond != perSecond) {
            news += report.endpoint
        }
    }

    private fun isRate(perSecond: Double): Boolean = perSecond.isFinite() && perSecond >= 0.0

    private fun isNewer(
        limit: KnownLimit,
        earlier: KnownLimit,
    ): Boolean =
        if (limit.startedAt != earlier.startedAt) {
            limit.startedAt > earlier.startedAt
        } else {
            limit.answeredAt > earlier.answeredAt
        }

    private fun learn(
        endpoint: EndpointId,
        limit: KnownLimit,
    ) {
        val earlier = known(endpoint, limit.startedAt)
        known[endpoint] =
            when {
                earlier == null -> limit
                (earlier.perSecond == null) == (limit.perSecond == null) ->
                    limit.copy(since = earlier.since, endedPerSecond = earlier.endedPerSecond)
                else -> limit.copy(endedPerSecond = earlier.perSecond)
            }
    }

    override fun known(
        endpoint: EndpointId,
        startedAt: Long,
    ): KnownLimit? = known[endpoint]?.takeIf { it.startedAt == startedAt }

    override fun retain(
        endpoints: Map<EndpointId, Long>,
        now: Instant,
    ) {
        known.entries.removeIf { (endpoint, limit) ->
            val startedAt = endpoints[endpoint]
            val isListed = startedAt != null && startedAt <= limit.startedAt
            !isListed && now - limit.answeredAt >= RETENTION
        }
        news.retainAll(known.keys)
    }

    override val hasNews: Boolean get() = news.isNotEmpty()

    override fun takeNews(now: Instant): List<EndpointLimitReport> =
        news.mapNotNull { id -> known[id]?.let { report(id, it, now) } }.also { news.clear() }

    override fun reports(
        now: Instant,
        disputed: Set<EndpointId>,
    ): List<EndpointLimitReport> =
        known
            .filter { (id, limit) -> limit.perSecond != null || hasEndedLately(limit, now) || id in disputed }
            .map { (id, limit) -> report(id, limit, now) }

    private fun hasEndedLately(
        limit: KnownLimit,
        now: Instant,
    ): Boolean = limit.endedPerSecond != null && now - limit.since < RETENTION

    private fun report(
        endpoint: EndpointId,
        limit: KnownLimit,
        now: Instant,
    ) = EndpointLimitReport(endpoint, limit.startedAt, limit.perSecond, now - limit.answeredAt)

    private companion object {
        /** Longer than entries lapse while the store is away, and than news take to spread. */
        val RETENTION = 1.minutes
    }
}
