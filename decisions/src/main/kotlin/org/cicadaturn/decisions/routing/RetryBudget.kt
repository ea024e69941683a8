package org.cicadaturn.decisions.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits retries to a share of the requests, so that retries do not multiply an overload.
 *
 * Whenever a retry is granted, the retries in the window, including this one, are at most the share of the requests
 * in the window, or the minimum if that is more. The same holds over the whole life of the budget, so that the
 * minimum is not granted again with each window. A budget has one owner and is not safe for concurrent use.
 */
public interface RetryBudget {
    /** Counts a caller's request; attempts after the first are not requests. */
    public fun request(now: Instant)

    /** Takes one retry from the budget and returns true, or returns false if none is left. */
    public fun tryRetry(now: Instant): Boolean

    /** Returns the counts in the window. */
    public fun state(now: Instant): RetryBudgetState
}

/** State of a retry budget: the [requests] and [retries] that count for the window. */
public data class RetryBudgetState(
    val requests: Int,
    val retries: Int,
)

/** Returns a budget of [percent] percent of the requests in [window], or of [minRetries] retries if that is more. */
public fun retryBudget(
    percent: Int = 10,
    minRetries: Int = 3,
    window: Duration = 10.seconds,
): RetryBudget {
    require(percent in 0..100) { "percent $percent must be from 0 to 100" }
    require(minRetries >= 0) { "minimum $minRetries must not be negative" }
    require(window > Duration.ZERO) { "window $window must be positive" }
    return WindowedRetryBudget(percent, minRetries, window)
}

private class WindowedRetryBudget(
    private val percent: Int,
    private val minRetries: Int,
    private val window: Duration,
) : RetryBudget {
    private class Slot(
        val start: Instant,
    ) {
        var requests = 0
        var retries = 0
        var isInWindow = true
    }

    private val slotTime = window / SLOTS
    private val slots = ArrayDeque<Slot>()
    private var requests = 0
    private var retries = 0
    private var allRequests = 0L
    private var allRetries = 0L

    override fun request(now: Instant) {
        slot(now).requests += 1
        requests += 1
        allRequests += 1
    }

    override fun tryRetry(now: Instant): Boolean {
        val slot = slot(now)
        val isAllowed = allows(requests.toLong(), retries.toLong()) && allows(allRequests, allRetries)
        if (!isAllowed) return false
        slot.retries += 1
        retries += 1
        allRetries += 1
        return true
    }

    private fun allows(
        requests: Long,
        retries: Long,
    ): Boolean = (retries + 1) * 100 <= maxOf(requests * percent, minRetries * 100L)

    override fun state(now: Instant): RetryBudgetState {
        slot(now)
        return RetryBudgetState(requests, retries)
    }

    /**
     * Drops what has left the window and returns the slot of [now].
     *
     * The requests of a slot count while the whole slot is in the window, and its retries while any part of it is, so
     * that counting by slots never allows more retries than exact times would.
     */
    private fun slot(now: Instant): Slot {
        for (slot in slots) {
            if (slot.isInWindow && now - slot.start > window) {
                slot.isInWindow = false
                requests -= slot.requests
            }
        }
        while (slots.isNotEmpty() && now - slots.first().start >= window + slotTime) {
            retries -= slots.removeFirst().retries
        }
        val last = slots.lastOrNull()
        if (last != null && now - last.start < slotTime) return last
        return Slot(now).also { slots.addLast(it) }
    }

    private companion object {
        const val SLOTS = 10
    }
}
