package org.cicadaturn.decisions.gateway

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Limits the retries for one service to this process's share of a bound that applies to all gateways together. Has one
 * owner and is not safe for concurrent use.
 *
 * Whenever a retry is granted, the retries in the window that ends then, including this one, are at most the ratio
 * times this process's requests in that window plus its share of the slack. Summed over the gateways this stays within the
 * bound without any coordination.
 */
public interface GatewayRetryBudget {
    /** Counts a caller's request at [now]. */
    public fun request(now: Instant)

    /** Returns true if [tryRetry] would take a retry. */
    public fun hasRetry(
        now: Instant,
        slack: Double,
    ): Boolean

    /**
     * Takes one retry from the budget and returns true, or returns false if none is left.
     *
     * [slack] is this process's share of the retries that are allowed beyond the ratio to the requests.
     */
    public fun tryRetry(
        now: Instant,
        slack: Double,
    ): Boolean
}

/**
 * Returns a budget of [ratio] retries per request in any [window], for a process that started at [start].
 *
 * In its first window it uses only a part of the slack, because the process that it replaces may have used its share in
 * the same window.
 */
public fun gatewayRetryBudget(
    ratio: Double,
    window: Duration,
    start: Instant,
): GatewayRetryBudget {
    require(ratio >= 0.0) { "ratio is $ratio; give 0 or more" }
    require(window > Duration.ZERO) { "window is $window; give a positive time" }
    return SlidingRetryBudget(ratio, window, start)
}

private class SlidingRetryBudget(
    private val ratio: Double,
    private val window: Duration,
    private val start: Instant,
) : GatewayRetryBudget {
    private class Slot(
        val start: Instant,
    ) {
        var requests = 0
    }

    private val slots = ArrayDeque<Slot>()
    private val retries = ArrayDeque<Instant>()
    private var requests = 0

    override fun request(now: Instant) {
        dropExpired(now)
        val last = slots.lastOrNull()
        val slot = if (last != null && now - last.start < window / SLOTS) last else Slot(now).also { slots.addLast(it) }
        slot.requests += 1
        requests += 1
    }

    override fun hasRetry(
        now: Instant,
        slack: Double,
    ): Boolean {
        dropExpired(now)
        val usable = if (now - start < window) slack * FIRST_WINDOW_SLACK_SHARE else slack
        return retries.size + 1 <= requests * ratio + usable
    }

    override fun tryRetry(
        now: Instant,
        slack: Double,
    ): Boolean = hasRetry(now, slack).also { if (it) retries.addLast(now) }

    /**
     * Drops what has left the window.
     *
     * The requests of a slot count only while the whole slot is in the window, so that counting by slots never allows
     * more retries than exact times would.
     */
    private fun dropExpired(now: Instant) {
        while (slots.isNotEmpty() && now - slots.first().start > window) requests -= slots.removeFirst().requests
        while (retries.isNotEmpty() && now - retries.first() >= window) retries.removeFirst()
    }

    private companion object {
        const val SLOTS = 10

        /**
         * Together with the share of the slack that [EndpointBalancer] uses, this keeps the retries within the slack if
         * all gateways restart once in a window.
         */
        const val FIRST_WINDOW_SLACK_SHARE = 0.5
    }
}
