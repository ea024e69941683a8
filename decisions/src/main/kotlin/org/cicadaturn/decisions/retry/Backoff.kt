package org.cicadaturn.decisions.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Tells how long to wait before a repeated attempt. */
public fun interface Backoff {
    /** Returns the wait before attempt number [attempt]; 1 is the first repetition. */
    public fun delayBefore(attempt: Int): Duration
}

/**
 * Returns a backoff whose wait is uniform between zero and a bound, the method known as full jitter.
 *
 * The bound is [base] before the first repetition, doubles with each further one and never exceeds [most].
 * Drawing over the whole range spreads the calls of many processes after an outage that all saw at once.
 * The caller seeds [random], which must not be shared between tasks.
 */
public fun fullJitterBackoff(
    base: Duration,
    most: Duration,
    random: Random,
): Backoff {
    require(base > Duration.ZERO) { "base is $base; give a positive duration" }
    require(most >= base && most.isFinite()) { "most is $most; give a finite duration of at least the base $base" }
    return Backoff { attempt ->
        require(attempt >= 1) { "attempt is $attempt; the first repetition has number 1" }
        random.nextLong(backoffBound(base, most, attempt).inWholeNanoseconds + 1).nanoseconds
    }
}

/** Returns a backoff whose wait is [base] before the first repetition and doubles up to [most]. */
public fun exponentialBackoff(
    base: Duration,
    most: Duration,
): Backoff = Backoff { attempt -> backoffBound(base, most, attempt) }

/** Returns the longest wait before [attempt]. */
internal fun backoffBound(
    base: Duration,
    most: Duration,
    attempt: Int,
): Duration {
    val doublings = (attempt - 1).coerceAtMost(MOST_DOUBLINGS)
    return (base * (1 shl doublings)).coerceAtMost(most)
}

/** Keeps the factor within an Int; 2^30 times one nanosecond is already a second. */
private const val MOST_DOUBLINGS = 30
