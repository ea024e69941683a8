package org.cicadaturn.decisions.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Estimates how long a service stays down, from how long it has been down. */
public interface OutageForecast {
    /** Returns the time for which a service is expected to stay down that has been down for [downTime]. */
    public fun remaining(downTime: Duration): Duration

    /** Returns the delay after which a caller should retry; it differs from call to call. */
    public fun retryAfter(downTime: Duration): Duration

    /** Returns a delay from [earliest] to twice that time. */
    public fun spread(earliest: Duration): Duration
}

/**
 * Returns a forecast whose delays are spread by [random], which returns numbers from 0 to 1, so that callers do not
 * return at the same time.
 *
 * Nothing announces the end of an outage, and outages last from fractions of a second to hours. For such a wide range
 * the time passed is the best estimate; a part of it keeps requests that could still be served from being rejected.
 */
public fun outageForecast(random: () -> Double): OutageForecast = ElapsedTimeForecast(random)

private class ElapsedTimeForecast(
    private val random: () -> Double,
) : OutageForecast {
    override fun remaining(downTime: Duration): Duration = maxOf(SHORTEST_OUTAGE, downTime * REMAINING_SHARE)

    override fun retryAfter(downTime: Duration): Duration = spread(maxOf(remaining(downTime), MIN_RETRY_DELAY))

    override fun spread(earliest: Duration): Duration = earliest + maxOf(earliest, MIN_SPREAD) * random()

    private companion object {
        /** A group that lost a rank takes at least this long to form again. */
        val SHORTEST_OUTAGE = 300.milliseconds
        const val REMAINING_SHARE = 0.5
        val MIN_SPREAD = 500.milliseconds

        /** Callers come back only once or twice, so they should not come back before most outages have ended. */
        val MIN_RETRY_DELAY = 2.seconds
    }
}
