package org.cicadaturn.daemons.site

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the rule says of a request without a whole answer around a planned stop. */
internal enum class Verdict {
    /** The gateway lost the request. */
    LOST,

    /** The request crossed the close of its connection and was not passed on. */
    CROSSED,

    /** The gateway closed the connection before it had read the request. */
    UNREAD,

    /** The endpoint broke the answer off. */
    BROKEN_OFF,

    /** The deadline of the request was reached. */
    DEADLINE,

    /** An endpoint was still at work in the last sixth of the grace on a request that was sent early in the stop. */
    AT_WORK,
}

/** [attempt] without a whole answer around [stop], which is null beside stops, with its [runs] at endpoints. */
internal data class UnansweredAttempt(
    val attempt: AttemptSeen,
    val stop: StopSeen?,
    val runs: List<RunSeen>,
    val verdict: Verdict,
)

/**
 * Returns the requests in [events] that were sent whole and whose connection ended without a whole answer.
 *
 * @param mayBeRead returns false if the gateway of an attempt has certainly not read the request
 */
internal fun unansweredIn(
    events: List<SiteEvent>,
    mayBeRead: (AttemptSeen) -> Boolean,
): List<UnansweredAttempt> {
    val stops = events.filterIsInstance<StopSeen>()
    val runs = events.filterIsInstance<RunSeen>().groupBy { it.id }
    return events
        .filterIsInstance<AttemptSeen>()
        .filter { it.end == AttemptEnd.CLOSED || it.end == AttemptEnd.RESET }
        .map { attempt ->
            val stop = stops.lastOrNull { it.gateway == attempt.gateway && attempt.endedAt in it.window() }
            // Runs overlap if an endpoint stands by, so the end decides which one the answer depended on last.
            val ownRuns = runs[attempt.id].orEmpty().sortedBy { it.until }
            UnansweredAttempt(attempt, stop, ownRuns, verdictOf(attempt, stop, ownRuns, mayBeRead))
        }
}

private fun StopSeen.window(): ClosedRange<Duration> = signalAt..signalAt + GRACE + 1.seconds

private fun verdictOf(
    attempt: AttemptSeen,
    stop: StopSeen?,
    runs: List<RunSeen>,
    mayBeRead: (AttemptSeen) -> Boolean,
): Verdict {
    val time = attempt.endedAt - attempt.sentAt
    return when {
        runs.isEmpty() && time <= LOSS_SLACK -> Verdict.CROSSED
        // A close resets the connection if bytes of the request have not been read.
        runs.isEmpty() && (attempt.end == AttemptEnd.RESET || !mayBeRead(attempt)) -> Verdict.UNREAD
        time >= attempt.limit - DEADLINE_SLACK -> Verdict.DEADLINE
        isBrokenOff(runs) -> Verdict.BROKEN_OFF
        stop != null && isExcused(attempt, stop, runs) -> Verdict.AT_WORK
        else -> Verdict.LOST
    }
}

/** Returns true if no endpoint has ended its answer whole and the one that ended last broke it off. */
private fun isBrokenOff(runs: List<RunSeen>): Boolean =
    runs.none { it.end == RunEnd.FINISHED } &&
        runs.lastOrNull { it.end != RunEnd.REFUSED }?.end == RunEnd.BROKEN_OFF

private fun isExcused(
    attempt: AttemptSeen,
    stop: StopSeen,
    runs: List<RunSeen>,
): Boolean = attempt.sentAt - stop.signalAt <= EARLY && runs.any { it.until - stop.signalAt >= GRACE * 5 / 6 }

/** Time after SIGTERM at which the process gets SIGKILL. */
internal val GRACE = 8.seconds

/** Time after SIGTERM up to which a request may be sent that cannot end in time. */
private val EARLY = 3.seconds

/** Time for which a request may be on its way while its connection is closed. */
private val LOSS_SLACK = 200.milliseconds

/** The gateway measures the deadline from the arrival of the request. */
private val DEADLINE_SLACK = 50.milliseconds
