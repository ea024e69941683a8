package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Source from which this process learned first that an endpoint leaves. */
public enum class DepartureSource(
    public val text: String,
) {
    ENTRY("its entry"),
    ANSWER("an answer to this process"),
    PEER("another process"),
}

/**
 * Endpoint that leaves.
 *
 * @property startedAt start time of the endpoint in Unix milliseconds
 * @property since time at which this process learned of it
 */
public data class Departure(
    val startedAt: Long,
    val source: DepartureSource,
    val since: Instant,
)

/**
 * Endpoints that leave. Has one owner and is not safe for concurrent use.
 *
 * An endpoint that leaves does so until the end of its process, so only a later start ends it: an entry that says
 * otherwise comes from an older state of the store, and an answer that does not say it was sent before.
 */
internal class Departures {
    private val known = HashMap<EndpointId, Departure>()
    private val lastListedAt = HashMap<EndpointId, Instant>()
    private val news = LinkedHashSet<EndpointId>()

    /** Records that the start [startedAt] of [endpoint] leaves; returns false if that or a later start was known to. */
    fun learned(
        endpoint: EndpointId,
        startedAt: Long,
        source: DepartureSource,
        now: Instant,
    ): Boolean {
        if (isLeaving(endpoint, startedAt)) return false
        known[endpoint] = Departure(startedAt, source, now)
        lastListedAt[endpoint] = now
        // All processes read the entries, also from their peers while the store is away.
        if (source != DepartureSource.ENTRY) news += endpoint
        return true
    }

    /** Returns what is known if [endpoint] leaves, or null. An entry of an earlier start names a process that has ended. */
    fun of(endpoint: LiveEndpoint): Departure? = known[endpoint.id]?.takeIf { it.startedAt >= endpoint.startedAt }

    private fun isLeaving(
        endpoint: EndpointId,
        startedAt: Long,
    ): Boolean = known[endpoint].let { it != null && it.startedAt >= startedAt }

    /** Forgets endpoints that have been missing among [listed] for long. */
    fun retain(
        listed: Collection<LiveEndpoint>,
        now: Instant,
    ) {
        if (known.isEmpty()) return
        listed.forEach { if (of(it) != null) lastListedAt[it.id] = now }
        lastListedAt.entries.removeIf { now - it.value >= RETENTION }
        known.keys.retainAll(lastListedAt.keys)
        news.retainAll(known.keys)
    }

    val hasNews: Boolean get() = news.isNotEmpty()

    /** Returns the endpoints that other processes should be told of, each once. */
    fun takeNews(): List<DepartureReport> =
        news.mapNotNull { id -> known[id]?.let { DepartureReport(id, it.startedAt) } }.also { news.clear() }

    /** Returns all endpoints that leave. */
    fun reports(): List<DepartureReport> = known.map { (id, departure) -> DepartureReport(id, departure.startedAt) }

    /** Returns the endpoints that were learned to leave lately from an answer or another process. */
    fun recentReports(now: Instant): List<DepartureReport> =
        known
            .filterValues { it.source != DepartureSource.ENTRY && now - it.since < REFRESH_TIME }
            .map { (id, departure) -> DepartureReport(id, departure.startedAt) }

    private companion object {
        /** An entry may come back from an older state of the store when that is restored. */
        val RETENTION = 1.hours

        /** Longer than news take to spread. */
        val REFRESH_TIME = 1.minutes
    }
}
