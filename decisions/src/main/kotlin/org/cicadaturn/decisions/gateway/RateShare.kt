package org.cicadaturn.decisions.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Share of a process in the requests to an endpoint that may be cold.
 *
 * @property senders number of processes that may send to one endpoint
 * @property perSender requests per second that each of them may send
 */
public data class ColdShare(
    val senders: Int,
    val perSender: Int,
)

/**
 * Returns the share of each of [gateways] processes.
 *
 * Processes that are cut off keep their share, so the sum over all processes stays within the bound without any
 * coordination. If the bound is lower than the number of processes, only some of them send to an endpoint.
 *
 * @param rate requests per second that a cold endpoint can sustain
 * @param factor factor on the rate up to which requests are allowed
 * @param slack requests per second that are allowed in addition to that product
 */
public fun coldShare(
    rate: Double,
    factor: Double,
    slack: Double,
    gateways: Int,
): ColdShare {
    require(gateways >= 1) { "gateways is $gateways; give at least 1" }
    val bound = ((rate * factor + slack) * USED_SHARE).toInt().coerceAtLeast(1)
    return ColdShare(senders = minOf(bound, gateways), perSender = maxOf(1, bound / gateways))
}

/** The rest is reserved for processes that have started but are not yet known to all others. */
private const val USED_SHARE = 0.85

/** Exact count of the requests sent in a sliding window. Has one owner and is not safe for concurrent use. */
public interface SendWindow {
    /** Counts one request at [now]. */
    public fun sent(now: Instant)

    /** Returns the number of requests sent within the window that ends at [now]. */
    public fun count(now: Instant): Int
}

/**
 * Returns a window without requests.
 *
 * The default [length] is a little more than a second because requests arrive with varying delays, so that requests
 * sent further apart may arrive within one second.
 */
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
