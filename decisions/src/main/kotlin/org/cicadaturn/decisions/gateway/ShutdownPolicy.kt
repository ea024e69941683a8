package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Times of a planned stop of a process.
 *
 * @property unreadyAt time from which new connections are led to other processes, as readiness checks have failed
 * @property closedAt time from which requests arrive only on connections that were open before
 * @property endsAt time at which the requests in progress are ended
 */
public data class StopTimes(
    val startedAt: Instant,
    val unreadyAt: Instant,
    val closedAt: Instant,
    val endsAt: Instant,
)

/** Mean and longest of [count] times from the sending of a request to the end of its answer. */
public data class RequestTimes(
    val count: Int,
    val mean: Duration,
    val longest: Duration,
)

/** Recent times of requests, by service. Has one owner and is not safe for concurrent use. */
public interface RequestTimeTracker {
    /** Records that a request to [service] was answered, or reached its limit, [time] after it was sent. */
    public fun answered(
        service: ServiceId,
        time: Duration,
        now: Instant,
    )

    /** Returns the times of the last 30 to 60 seconds; services without an answer in that time are absent. */
    public fun current(now: Instant): Map<ServiceId, RequestTimes>
}

/** Returns a tracker without any data. */
public fun requestTimeTracker(): RequestTimeTracker = TwoWindowTracker()

/** Which of the recent times a request is judged by. */
public enum class TimeEstimate {
    /** The mean, for a request that should be served unless it will probably not end. */
    MEAN,

    /** The longest, for a request that should be served only if it will almost certainly end. */
    LONGEST,

    /** The time limit of the request, whatever the recent times, for one that must end. */
    LIMIT,
}

/**
 * Returns by which times a stopping process judges at [now] whether a request that arrived at [arrivedAt] can still end.
 *
 * A request that [isRepeatable] and arrives while refused callers may come back to this process is judged by the mean,
 * as its caller may have no attempt left after a refusal. Later, another process can serve what is refused, so all are
 * judged by the longest time, as a request that may run once always is: nobody could tell whether it ran. What follows
 * on a connection from before the stop once new ones go elsewhere must end in any case: the times of a process that has
 * just started are those of its shortest requests, and a refused caller reaches another process at once.
 */
public fun StopTimes.estimateAt(
    now: Instant,
    arrivedAt: Instant,
    isRepeatable: Boolean,
): TimeEstimate =
    when {
        arrivedAt >= closedAt -> TimeEstimate.LIMIT
        isRepeatable && now < unreadyAt -> TimeEstimate.MEAN
        else -> TimeEstimate.LONGEST
    }

/**
 * Returns true if a request that is sent now can be expected to end within [timeLeft], after which the process ends.
 *
 * @param limit time after which the request ends in any case
 * @param recent recent times of requests to the service, or null if none are known
 */
public fun canEndBefore(
    timeLeft: Duration,
    limit: Duration,
    recent: RequestTimes?,
    estimate: TimeEstimate,
): Boolean = expectedTime(limit, recent, estimate) <= timeLeft

/**
 * Returns the expected time of a request that ends after [limit] in any case.
 *
 * A share of the limit is counted as one time beside the known ones, so that the first short times after a start do not
 * stand for all requests. If no time is known, the longest is the limit.
 */
private fun expectedTime(
    limit: Duration,
    recent: RequestTimes?,
    estimate: TimeEstimate,
): Duration {
    if (estimate == TimeEstimate.LIMIT) return limit
    val assumed = limit * ASSUMED_SHARE
    if (recent == null) return if (estimate == TimeEstimate.MEAN) assumed else limit
    val known = if (estimate == TimeEstimate.MEAN) recent.mean else recent.longest
    return minOf(limit, (known * TIME_MARGIN * recent.count + assumed) / (recent.count + 1))
}

private class TwoWindowTracker : RequestTimeTracker {
    private class Window(
        val count: Int,
        val sum: Duration,
        val longest: Duration,
    ) {
        operator fun plus(other: Window): Window =
            Window(count + other.count, sum + other.sum, maxOf(longest, other.longest))
    }

    private var windowEnd = Instant.DISTANT_PAST
    private var earlier = emptyMap<ServiceId, Window>()
    private val latest = HashMap<ServiceId, Window>()

    override fun answered(
        service: ServiceId,
        time: Duration,
        now: Instant,
    ) {
        advance(now)
        latest.merge(service, Window(1, time, time), Window::plus)
    }

    override fun current(now: Instant): Map<ServiceId, RequestTimes> {
        advance(now)
        val both = HashMap(latest)
        earlier.forEach { (service, window) -> both.merge(service, window, Window::plus) }
        return both.mapValues { (_, window) -> RequestTimes(window.count, window.sum / window.count, window.longest) }
    }

    private fun advance(now: Instant) {
        if (now < windowEnd) return
        earlier = if (now < windowEnd + WINDOW) latest.toMap() else emptyMap()
        latest.clear()
        windowEnd = now + WINDOW
    }

    private companion object {
        val WINDOW = 30.seconds
    }
}

/** Limits are set to several times what requests usually take. */
private const val ASSUMED_SHARE = 1.0 / 3

/** The slowest of the recent requests need not be the slowest possible one. */
private const val TIME_MARGIN = 1.5
