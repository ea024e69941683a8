package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How one attempt at an endpoint ended. */
public enum class AttemptEnd {
    /** No byte of the request was sent, as no connection could be made. */
    NOT_SENT,

    /** The endpoint said that it did not run the request. */
    NOT_EXECUTED,

    /** The endpoint answered with a failure of its own; it counts as run. */
    FAILED,

    /** The answer was cut, unreadable or another request's; the request may have run. */
    BROKEN,

    /** Nothing came for longer than a sound endpoint takes; the request may have run. */
    STALLED,
}

/**
 * What is known of a request when an attempt has ended.
 *
 * @property kind what may be repeated
 * @property isResumable true if a stream may be continued elsewhere
 * @property endpointsTried different endpoints that the request was sent to
 * @property maxEndpoints endpoints that it may be sent to
 * @property unsentAttempts attempts that ended before anything was sent
 * @property mayHaveRun true if any attempt may have run
 * @property isAnswerBegun true if the caller already has a part of the answer
 * @property remaining time to the deadline
 * @property holdTimeLeft time for which the request may still wait for an endpoint that accepts it
 */
public data class AttemptHistory(
    val kind: RouteKind,
    val isResumable: Boolean,
    val endpointsTried: Int,
    val maxEndpoints: Int,
    val unsentAttempts: Int,
    val mayHaveRun: Boolean,
    val isAnswerBegun: Boolean,
    val remaining: Duration,
    val holdTimeLeft: Duration,
)

/** What to do after an attempt has ended. */
public enum class NextStep {
    /** Send the request to another endpoint, within the retry budget. */
    REPEAT,

    /** Wait until the service accepts requests again, then offer it to an endpoint that has not run it. */
    HOLD,

    /** Pass the endpoint's own failure on. */
    PASS_FAILURE,

    /** Answer that the request has not run. */
    REFUSE,

    /** Answer that the outcome is unknown. */
    FAIL,

    /** End the answer that was begun without completing it. */
    CUT,
}

/**
 * Decides what follows an attempt that ended with [end], given [history], which includes that attempt.
 *
 * A repetition is only proposed where it is safe: nothing was sent, the endpoint denies having run it, or the
 * request may run twice.
 */
public fun nextStep(
    end: AttemptEnd,
    history: AttemptHistory,
): NextStep {
    val isRepeatable = history.kind == RouteKind.IDEMPOTENT || (history.kind == RouteKind.STREAM && history.isResumable)
    val isSafe = end == AttemptEnd.NOT_SENT || end == AttemptEnd.NOT_EXECUTED || isRepeatable
    val hasTime = history.remaining > LEAST_TIME_TO_REPEAT
    val hasAttempts = history.endpointsTried < history.maxEndpoints && history.unsentAttempts <= MOST_UNSENT
    if (isSafe && hasTime && hasAttempts) return NextStep.REPEAT
    // An endpoint that refused can be asked again; it is no further endpoint.
    val isDenied = end == AttemptEnd.NOT_EXECUTED && !history.mayHaveRun
    if (isDenied && hasTime && history.holdTimeLeft > Duration.ZERO) return NextStep.HOLD
    return lastStep(end, history)
}

/** Decides how a request ends that is not repeated; see [nextStep]. */
public fun lastStep(
    end: AttemptEnd,
    history: AttemptHistory,
): NextStep =
    when {
        history.isAnswerBegun -> NextStep.CUT
        end == AttemptEnd.FAILED -> NextStep.PASS_FAILURE
        history.mayHaveRun -> NextStep.FAIL
        else -> NextStep.REFUSE
    }

/** Below this, an endpoint could not finish even a short request. */
private val LEAST_TIME_TO_REPEAT = 20.milliseconds

/** Connections that may fail before a request is refused; bounds the work that a dead service causes. */
private const val MOST_UNSENT = 3

/**
 * Returns how long a request may wait for an endpoint that accepts it, from its arrival.
 *
 * A caller leaves a stream whose first event does not come within two seconds or so; the rest of that time is for the
 * endpoint. Other requests wait for a part of the [allowed] time, so that the caller can come back once.
 */
public fun maxHoldTime(
    kind: RouteKind,
    allowed: Duration,
): Duration = if (kind == RouteKind.STREAM) minOf(STREAM_HOLD, allowed * HOLD_SHARE) else allowed * HOLD_SHARE

/** Returns when a caller whose request was refused with [remaining] time should come back. */
public fun retryDelay(remaining: Duration): Duration =
    (remaining * COME_BACK_SHARE).coerceIn(LEAST_COME_BACK, MOST_COME_BACK)

private val STREAM_HOLD = 1_200.milliseconds
private const val HOLD_SHARE = 0.35

/** Callers wait for a third of their time at most. */
private const val COME_BACK_SHARE = 0.3
private val LEAST_COME_BACK = 100.milliseconds
private val MOST_COME_BACK = 2_500.milliseconds
