package org.cicadaturn.decisions.retry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Times of a watch call.
 *
 * @property wait time after which the store answers even if nothing has changed
 * @property limit time after which an answer that has not arrived counts as lost; longer than [wait]
 * @property pause time between an answer with a change and the next call, in which further changes collect
 */
public data class WatchTimes(
    val wait: Duration,
    val limit: Duration,
    val pause: Duration = Duration.ZERO,
)

/**
 * Returns the times of a watch that waits for at most [maxWait] and whose lost answer is made up for within
 * [maxSilence] of the start of the call.
 *
 * A connection may go silent without a reset, and keep-alive probes only show that the host at its other end is alive.
 * So nothing but the missing answer tells that a change was missed. The part of [maxSilence] that is left after the
 * limit is for reading again what the watch may have missed. A [pause], whose changes are known that much later, counts
 * as part of the silence.
 */
public fun watchTimes(
    maxWait: Duration,
    maxSilence: Duration,
    pause: Duration = Duration.ZERO,
): WatchTimes {
    val silence = maxSilence.coerceAtLeast(MIN_SILENCE)
    val wait = minOf(maxWait, silence * WAIT_SHARE - pause)
    return WatchTimes(wait, wait + silence * ANSWER_SHARE, pause)
}

/** Keeps the calls of a process to a few a second, whatever its settings say. */
private val MIN_SILENCE = 500.milliseconds

private const val WAIT_SHARE = 0.68

/** Share of the time for the way of the answer; 360 ms of 3 s, as a slow store takes 200 ms. */
private const val ANSWER_SHARE = 0.12
