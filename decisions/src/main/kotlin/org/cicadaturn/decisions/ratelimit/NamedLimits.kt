package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Newest known answer of an endpoint about its rate limit; [perSecond] is null if it named none any more. */
public data class KnownLimit(
    val startedAt: Long,
    val perSecond: Double?,
    val answeredAt: Instant,
)

/**
 * Limits that endpoints name in their answers, from this process's own answers and from reports of other gateways. Has
 * one owner and is not safe for concurrent use.
 *
 * The newest answer wins, by its age on the local clock. A limit holds for one start of an endpoint. It does not
 * expire: only an answer can tell that it has ended.
 */
public interface NamedLimits {
    /** Records what an answer of [endpoint], which started at [startedAt], says. */
    public fun named(
        endpoint: EndpointId,
        startedAt: Long,
        limit: NamedLimit,
        now: Instant,
    )

    /** Records a [report] of another gateway. */
    public fun reported(
        report: EndpointLimitReport,
        now: Instant,
    )

    /** Returns what is known of [endpoint], which started at [startedAt], or null if it never named a limit. */
    public fun known(
        endpoint: EndpointId,
        startedAt: Long,
    ): KnownLimit?

    /** Forgets all but the listed endpoints, given with their start times. */
    public fun retain(
        endpoints: Map<EndpointId, Long>,
        now: Instant,
    )

    /** Returns the changes that others should be told, each once. */
    public fun takeNews(now: Instant): List<EndpointLimitReport>

    /** Returns all limits in force. */
    public fun reports(now: Instant): List<EndpointLimitReport>
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
    ) {
        when (limit) {
            is NamedLimit.Rate -> learn(endpoint, KnownLimit(startedAt, limit.perSecond, now))
            NamedLimit.None -> if (endpoint in known) learn(endpoint, KnownLimit(startedAt, null, now))
            is NamedLimit.Unreadable -> Unit
        }
    }

    override fun reported(
        report: EndpointLimitReport,
        now: Instant,
    ) {
        val perSecond = report.perSecond
        val isValid = perSecond == null || (perSecond.isFinite() && perSecond >= 0.0)
        if (!isValid) return
        val age = report.age.coerceAtLeast(Duration.ZERO)
        learn(report.endpoint, KnownLimit(report.startedAt, perSecond, now - age))
    }

    private fun learn(
        endpoint: EndpointId,
        limit: KnownLimit,
    ) {
        val earlier = known[endpoint]
        if (earlier != null && !isNewer(limit, earlier)) return
        known[endpoint] = limit
        if (earlier?.startedAt != limit.startedAt || earlier.perSecond != limit.perSecond) news += endpoint
    }

    private fun isNewer(
        limit: KnownLimit,
        earlier: KnownLimit,
    ): Boolean =
        if (limit.startedAt != earlier.startedAt) {
            limit.startedAt > earlier.startedAt
        } else {
            limit.answeredAt > earlier.answeredAt
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
            val isGone = startedAt == null || startedAt > limit.startedAt
            isGone && now - limit.answeredAt >= UNLISTED_RETENTION
        }
        news.retainAll(known.keys)
    }

    override fun takeNews(now: Instant): List<EndpointLimitReport> =
        news.mapNotNull { id -> known[id]?.let { report(id, it, now) } }.also { news.clear() }

    override fun reports(now: Instant): List<EndpointLimitReport> =
        known.filterValues { it.perSecond != null }.map { (id, limit) -> report(id, limit, now) }

    private fun report(
        endpoint: EndpointId,
        limit: KnownLimit,
        now: Instant,
    ) = EndpointLimitReport(endpoint, limit.startedAt, limit.perSecond, now - limit.answeredAt)

    private companion object {
        /** A report may come before the list that names its endpoint, which lags while the store is away. */
        val UNLISTED_RETENTION = 1.minutes
    }
}
