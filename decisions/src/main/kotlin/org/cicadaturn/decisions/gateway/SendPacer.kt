package org.cicadaturn.decisions.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Requests that this process sent to an endpoint lately, and when the next may be sent. Has one owner and is not safe
 * for concurrent use.
 *
 * A window counts what was sent before a bound was known too. A token bucket spaces the requests evenly, from the time
 * at which [restart] emptied it.
 */
internal interface SendPacer {
    /** Counts one request at [now]. */
    fun sent(now: Instant)

    /** Returns the number of requests sent within the [window] that ends at [now]; a few seconds at most. */
    fun count(
        window: Duration,
        now: Instant,
    ): Int

    /** Returns when the next request may be sent by [share]; not after [now] if it may be sent at once. */
    fun nextAt(
        share: RateShare,
        now: Instant,
    ): Instant

    /** Sets the bucket to [tokens] at [since], for example because a bound applies from then on. */
    fun restart(
        since: Instant,
        tokens: Double = 0.0,
    )
}

/** Returns a pacer that has counted no requests and whose bucket is empty. */
internal fun sendPacer(start: Instant): SendPacer = WindowAndBucket(start)

private class WindowAndBucket(
    private var filledAt: Instant,
) : SendPacer {
    private val times = ArrayDeque<Instant>()
    private var tokens = 0.0

    override fun sent(now: Instant) {
        while (times.isNotEmpty() && now - times.first() > RETENTION) times.removeFirst()
        times.addLast(now)
        tokens = maxOf(0.0, tokens - 1)
    }

    override fun count(
        window: Duration,
        now: Instant,
    ): Int {
        var i = times.size
        while (i > 0 && now - times[i - 1] <= window) i -= 1
        return times.size - i
    }

    override fun nextAt(
        share: RateShare,
        now: Instant,
    ): Instant {
        val sent = count(share.window, now)
        val windowOpens = if (sent < share.perSender) now else times[times.size - share.perSender] + share.window
        if (share.perSecond.isInfinite()) return windowOpens
        val passed = (now - filledAt).toDouble(DurationUnit.SECONDS)
        if (passed > 0.0) {
            tokens += passed * share.perSecond
            filledAt = now
        }
        tokens = minOf(tokens, share.burst)
        val missing = (1 - tokens - ROUNDING) / share.perSecond
        return if (missing <= 0.0) windowOpens else maxOf(windowOpens, maxOf(now, filledAt) + missing.seconds)
    }

    override fun restart(
        since: Instant,
        tokens: Double,
    ) {
        filledAt = since
        this.tokens = tokens
    }

    private companion object {
        /** Longer than the windows of all bounds. */
        val RETENTION = 5.seconds

        /** Sums of fractions of a token may miss a whole one by a little. */
        const val ROUNDING = 1e-6
    }
}
