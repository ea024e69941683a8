package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of one attempt at an endpoint. */
public enum class AttemptEnd {
    /** No connection could be made, so no byte of the request was sent. */
    NOT_SENT,

    /** The endpoint stated that it did not run the request. */
    NOT_EXECUTED,

    /** The endpoint answered with a failure of its own; the request counts as run. */
    FAILED,

    /** The answer was cut off, unreadable or meant for another request; the request may have run. */
    BROKEN,

    /** No data arrived for longer than a healthy endpoint takes; the request may have run. */
    STALLED,
}

/**
 * State of a request after an attempt has ended.
 *
 * @property kind kind of the route, which determines whether the request may be repeated
 * @property isResumable true if a stream may be continued at another endpoint
 * @property endpointsTried number of different endpoints that the request was sent to
 * @property maxEndpoints number of different endpoints that it may be sent to
 * @property unsentAttempts number of attempts that ended with [AttemptEnd.NOT_SENT]
 * @property mayHaveRun true if any attempt may have run the request
 * @property canAskAgain true if an endpoint that the request was sent to may be asked again, as it refused the request or
 *   was given up for its silence alone
 * @property isAnswerBegun true if the caller has already received a part of the answer
 * @property remaining time until the deadline
 * @property holdTimeLeft time for which the request may still wait for an endpoint that accepts it
 */
public data class AttemptHistory(
    val kind: RouteKind,
    val isResumable: Boolean,
    val endpointsTried: Int,
    val maxEndpoints: Int,
    val unsentAttempts: Int,
    val mayHaveRun: Boolean,
    val canAskAgain: Boolean,
    val isAnswerBegun: Boolean,
    val remaining: Duration,
    val holdTimeLeft: Duration,
)

/** What to do after an attempt has ended. */
public enum class NextStep {
    /** Send the request to another endpoint, within the retry budget. */
    REPEAT,

    /** Wait until the service accepts requests again, then send the request to an endpoint that it was sent to before. */
    HOLD,

    /** Pass the endpoint's failure on to the caller. */
    PASS_FAILURE,

    /** Answer that the request has not run. */
    REFUSE,

    /** Answer that the outcome is unknown. */
    FAIL,

    /** Break off the answer that has begun, without completing it. */
    CUT,
}

/**
 * Returns the step that follows an attempt that ended with [end]; [history] includes that attempt.
 *
 * A repetition is proposed only where it is safe: nothing was sent, the endpoint stated that it did not run the
 * request, or the request may run twice.
 */
public fun nextStep(
    end: AttemptEnd,
    history: AttemptHistory,
): NextStep {
    val isResumable = history.kind == RouteKind.STREAM && history.isResumable
    // A body that has begun cannot be continued by another run.
    val isRepeatable = isResumable || (history.kind == RouteKind.IDEMPOTENT && !history.isAnswerBegun)
    val isSafe = end == AttemptEnd.NOT_SENT || end == AttemptEnd.NOT_EXECUTED || isRepeatable
    val hasTime = history.remaining > MIN_TIME_TO_REPEAT
    val hasAttempts = history.endpointsTried < history.maxEndpoints && history.unsentAttempts <= MAX_UNSENT_ATTEMPTS
    if (isSafe && hasTime && hasAttempts) return NextStep.REPEAT
    // The limit on attempts counts only different endpoints, so after a wait, the request may be sent again to one that
    // refused it, or that another one replaced while it was silent. Without a wait, a stream that has begun would be cut
    // while its caller still waits for the next event.
    val isRefused = end == AttemptEnd.NOT_EXECUTED && !history.mayHaveRun
    val canContinue = isResumable && history.isAnswerBegun && history.canAskAgain
    val canWait = hasTime && history.holdTimeLeft > Duration.ZERO
    if (canWait && (isRefused || canContinue)) return NextStep.HOLD
    return finalStep(end, history)
}

/** Returns the final step of a request that is not repeated; see [nextStep]. */
public fun finalStep(
    end: AttemptEnd,
    history: AttemptHistory,
): NextStep =
    when {
        history.isAnswerBegun -> NextStep.CUT
        end == AttemptEnd.FAILED -> NextStep.PASS_FAILURE
        history.mayHaveRun -> NextStep.FAIL
        else -> NextStep.REFUSE
    }

/** With less time left, an endpoint could not finish even a short request. */
private val MIN_TIME_TO_REPEAT = 20.milliseconds

/** Failed connections after which a request is still repeated; bounds the work caused by an unavailable service. */
private const val MAX_UNSENT_ATTEMPTS = 3

/**
 * Returns how long after its arrival a request may wait for an endpoint that accepts it.
 *
 * Callers abandon a stream whose first event does not arrive within about two seconds, so a stream waits for only a
 * part of that time and leaves the rest to the endpoint. Any request waits for at most a share of its [timeLimit], so
 * that the caller has time for one retry.
 */
public fun maxHoldTime(
    kind: RouteKind,
    timeLimit: Duration,
): Duration = if (kind == RouteKind.STREAM) minOf(MAX_STREAM_HOLD, timeLimit * HOLD_SHARE) else timeLimit * HOLD_SHARE

/**
 * Returns how long callers wait for the next event of a stream before they abandon it, as the platform states it: two
 * seconds, four times the [latencyTarget] or eight times the [pauseTarget], whichever is longest.
 */
public fun maxStreamGap(
    latencyTarget: Duration,
    pauseTarget: Duration?,
): Duration = maxOf(MIN_STREAM_GAP, latencyTarget * 4, (pauseTarget ?: Duration.ZERO) * 8)

private val MIN_STREAM_GAP = 2.seconds

/**
 * Returns the time that a caller has probably spent on earlier attempts, if it allows [timeLimit] for this one and the
 * route allows [timeout] for a request.
 *
 * Callers differ in the time that they allow for a request, and only state what is left of it. A limit a little below
 * the [timeout] is therefore that of a first attempt; a caller that was told to come back has lost more than that.
 */
public fun timeSpent(
    timeout: Duration,
    timeLimit: Duration,
): Duration = if (timeLimit >= timeout * FIRST_ATTEMPT_SHARE) Duration.ZERO else timeout - timeLimit

/** Callers allow at least this share of the route's timeout for a request. */
private const val FIRST_ATTEMPT_SHARE = 0.8

/**
 * Returns the delay after which a caller whose request was refused with [remaining] time left should retry: the
 * [expected] time until it can be served, but at most the part of its time that leaves room for the retry.
 *
 * If it is known that the request cannot be served before [notBefore], the delay is never shorter. A caller whose time
 * ends earlier learns from it that a retry is of no use.
 */
public fun retryDelay(
    remaining: Duration,
    expected: Duration = Duration.INFINITE,
    notBefore: Duration? = null,
): Duration {
    val share = remaining * RETRY_DELAY_SHARE
    if (notBefore == null) return minOf(share, expected).coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    val latest =
        when {
            notBefore <= share -> share
            // Leaves time to run the request to callers that wait longer than most.
            notBefore < remaining -> (notBefore + remaining) / 2
            else -> Duration.INFINITE
        }
    return minOf(latest, expected).coerceAtLeast(maxOf(notBefore, MIN_RETRY_DELAY))
}

private val MAX_STREAM_HOLD = 1_200.milliseconds
private const val HOLD_SHARE = 0.35

/** Callers wait at most a third of their remaining time before a retry. */
private const val RETRY_DELAY_SHARE = 0.3
private val MIN_RETRY_DELAY = 100.milliseconds
private val MAX_RETRY_DELAY = 2_500.milliseconds
