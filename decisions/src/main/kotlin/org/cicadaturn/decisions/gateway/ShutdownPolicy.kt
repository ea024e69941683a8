package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Times of a planned stop of a process.
 *
 * @property endsAt time at which the requests in progress are ended
 */
public data class StopTimes(
    val startedAt: Instant,
    val endsAt: Instant,
)

/** Mean and longest of the times from the sending of a request to the end of its answer. */
public data class RequestTimes(
    val mean: Duration,
    val longest: Duration,
)

/** Recent times of requests, by service. Has one owner and is not safe for concurrent use. */
public interface RequestTimeTracker {
    /** Records that a request to [service] was answered [time] after it was sent. */
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

/**
 * Returns true if a request that is sent now can be expected to end within [timeLeft], after which the process ends.
 *
 * A request that [isRepeatable] is judged by the mean time, as its caller may repeat it if it is ended early, but may
 * have no attempt left after a refusal. Any other is judged by the longest time, as nobody could tell whether it ran.
 *
 * @param limit time after which the request ends in any case
 * @param recent recent times of requests to the service, or null if none are known; then [limit] counts
 */
public fun canEndBefore(
    timeLeft: Duration,
    limit: Duration,
    recent: RequestTimes?,
    isRepeatable: Boolean,
): Boolean {
    val expected = if (isRepeatable) recent?.mean else recent?.longest
    return minOf(limit, expected?.times(TIME_MARGIN) ?: limit) <= timeLeft
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
        return both.mapValues { (_, window) -> RequestTimes(window.sum / window.count, window.longest) }
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

/** The slowest of the recent requests need not be the slowest possible one. */
private const val TIME_MARGIN = 1.5
