package org.cicadaturn.decisions.dispatch

import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Counts placed requests by key, with a lower weight for older ones. Not safe for concurrent use. */
internal class DecayingCounts<K> {
    private class Count(
        val value: Double,
        val at: Instant,
    )

    private val counts = HashMap<K, Count>()

    /** Counts a request of [key]. */
    fun placed(
        key: K,
        now: Instant,
    ) {
        counts[key] = Count(recent(key, now) + 1, now)
    }

    /** Returns the weighted number of requests of [key]. */
    fun recent(
        key: K,
        now: Instant,
    ): Double {
        val count = counts[key] ?: return 0.0
        return count.value * HALF.pow((now - count.at) / HALF_LIFE)
    }

    /** Returns the requests of [key] per second; exact if their rate is steady. */
    fun perSecond(
        key: K,
        now: Instant,
    ): Double = recent(key, now) * ln(2.0) / HALF_LIFE.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val HALF = 0.5

        /** About the duration of a request, so that a count reflects what is in use now. */
        val HALF_LIFE = 2.seconds
    }
}
