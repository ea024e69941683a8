package org.cicadaturn.decisions.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Waiting times before repeated attempts. */
public fun interface Backoff {
    /** Returns the wait before retry number [attempt]; the first retry has number 1. */
    public fun delayBefore(attempt: Int): Duration
}

/**
 * Returns an exponential backoff with full jitter: each wait is distributed uniformly between zero and a bound.
 *
 * The bound is [base] before the first retry, doubles with each further retry and never exceeds [max]. The jitter
 * spreads the calls of many processes after an outage that affected all of them at once. [random] is seeded by the
 * caller and must not be shared between tasks.
 */
public fun fullJitterBackoff(
    base: Duration,
    max: Duration,
    random: Random,
): Backoff {
    require(base > Duration.ZERO) { "base is $base but must be positive" }
    require(max >= base && max.isFinite()) { "max is $max but must be finite and at least the base $base" }
    return Backoff { attempt ->
        require(attempt >= 1) { "attempt is $attempt but must be at least 1, the number of the first retry" }
        random.nextLong(backoffBound(base, max, attempt).inWholeNanoseconds + 1).nanoseconds
    }
}

/** Returns an exponential backoff without jitter: the wait is [base] before the first retry and doubles up to [max]. */
public fun exponentialBackoff(
    base: Duration,
    max: Duration,
): Backoff = Backoff { attempt -> backoffBound(base, max, attempt) }

/** Returns the longest wait before retry number [attempt]. */
internal fun backoffBound(
    base: Duration,
    max: Duration,
    attempt: Int,
): Duration {
    val doublings = (attempt - 1).coerceAtMost(MAX_DOUBLINGS)
    return (base * (1 shl doublings)).coerceAtMost(max)
}

/** Bound that keeps the factor within an Int; 2^30 times one nanosecond is already more than a second. */
private const val MAX_DOUBLINGS = 30
