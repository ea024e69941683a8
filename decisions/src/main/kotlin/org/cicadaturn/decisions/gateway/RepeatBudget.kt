package org.cicadaturn.decisions.gateway

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Limits the repeats for one service to this process's part of a bound over all gateways. Has one owner.
 *
 * Whenever a repeat is granted, the repeats in the window that ends then, this one included, are at most the percent
 * of this process's requests in that window and its part of the slack. Summed over the gateways this stays within the
 * bound without any exchange.
 */
public interface RepeatBudget {
    /** Counts a caller's request at [now]. */
    public fun request(now: Instant)

    /** Takes one repeat if the budget with this process's [slack] has one left; returns whether it had. */
    public fun tryRepeat(
        now: Instant,
        slack: Double,
    ): Boolean
}

/**
 * Returns a budget of [percent] repeats per 100 requests in any [window], for a process that was started at [start].
 *
 * In its first window it uses only a part of the slack, as an earlier process in its place may have used its own.
 */
public fun repeatBudget(
    percent: Int,
    window: Duration,
    start: Instant,
): RepeatBudget {
    require(percent in 0..100) { "percent is $percent; give 0 to 100" }
    require(window > Duration.ZERO) { "window is $window; give a positive time" }
    return SlidingRepeatBudget(percent, window, start)
}

private class SlidingRepeatBudget(
    private val percent: Int,
    private val window: Duration,
    private val start: Instant,
) : RepeatBudget {
    private class Slot(
        val start: Instant,
    ) {
        var requests = 0
    }

    private val slots = ArrayDeque<Slot>()
    private val repeats = ArrayDeque<Instant>()
    private var requests = 0

    override fun request(now: Instant) {
        forget(now)
        val last = slots.lastOrNull()
        val slot = if (last != null && now - last.start < window / SLOTS) last else Slot(now).also { slots.addLast(it) }
        slot.requests += 1
        requests += 1
    }

    override fun tryRepeat(
        now: Instant,
        slack: Double,
    ): Boolean {
        forget(now)
        val usable = if (now - start < window) slack * FRESH_SLACK else slack
        if (repeats.size + 1 > requests * percent / PERCENT + usable) return false
        repeats.addLast(now)
        return true
    }

    /** A slot counts while all of it is in the window, so that the grain of the slots never allows more. */
    private fun forget(now: Instant) {
        while (slots.isNotEmpty() && now - slots.first().start > window) requests -= slots.removeFirst().requests
        while (repeats.isNotEmpty() && now - repeats.first() >= window) repeats.removeFirst()
    }

    private companion object {
        const val SLOTS = 10
        const val PERCENT = 100.0

        /** With [EndpointBalancer]'s part of the slack, one restart of all gateways in a window stays within it. */
        const val FRESH_SLACK = 0.5
    }
}
