package org.cicadaturn.decisions.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Returns the requests per second that one of [gateways] processes may send to one endpoint that may be cold.
 *
 * Cut-off processes keep their share, so the sum over all processes stays within the bound without any exchange.
 * @param rate requests per second that a cold endpoint bears
 * @param over factor on the rate that is still borne
 * @param slack requests beyond it that are still borne
 */
public fun coldShare(
    rate: Double,
    over: Double,
    slack: Int,
    gateways: Int,
): Int {
    require(gateways >= 1) { "gateways is $gateways; give at least 1" }
    return ((rate * over + slack) * USED_SHARE / gateways).toInt().coerceAtLeast(1)
}

/** Rest is for processes that have started but are not known to all others yet. */
private const val USED_SHARE = 0.85

/** Counts what was sent in the last second, exactly; has one owner. */
public interface SendWindow {
    /** Counts one request at [now]. */
    public fun sent(now: Instant)

    /** Returns the requests sent within the second that ends at [now]. */
    public fun count(now: Instant): Int
}

/** Returns a window that is a little longer than a second, as requests arrive with varying delays. */
public fun sendWindow(length: Duration = 1.2.seconds): SendWindow = ExactSendWindow(length)

private class ExactSendWindow(
    private val length: Duration,
) : SendWindow {
    private val times = ArrayDeque<Instant>()

    override fun sent(now: Instant) {
        times.addLast(now)
    }

    override fun count(now: Instant): Int {
        while (times.isNotEmpty() && now - times.first() > length) times.removeFirst()
        return times.size
    }
}
