package org.cicadaturn.bench.confirmations

import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.StoredAnswer
import kotlin.time.Instant

/**
 * Result of checking the rules on one history.
 *
 * @property mostRunsOfKey largest number of runs of one key
 * @property lostConfirmations number of keys that lost a confirmation after it had been answered
 * @property falseNotRun number of requests reported as not run, and of proofs in refusals, that a run contradicts
 * @property refusedRuns number of runs whose attempt was refused
 * @property unanswered number of requests without an outcome
 * @property overlappingNotRun number of requests reported as not run although a run with the same key and body
 *   started after the request was sent; no violation, as the deadline of the attempt that ran had
 *   not passed when the request was sent
 * @property keysLeftUnknown number of keys whose last request has an unknown outcome
 * @property keysLeftUnknownAfterRun number of these keys that had run
 */
internal data class HistoryVerdict(
    val mostRunsOfKey: Int,
    val lostConfirmations: Int,
    val falseNotRun: Int,
    val refusedRuns: Int,
    val unanswered: Int,
    val overlappingNotRun: Int,
    val keysLeftUnknown: Int,
    val keysLeftUnknownAfterRun: Int,
) {
    val isClean: Boolean
        get() = mostRunsOfKey <= 1 && lostConfirmations + falseNotRun + refusedRuns + unanswered == 0
}

/** Checks a finished history against the rules of section 7 of the design page. */
internal fun checkHistory(log: HistoryLog): HistoryVerdict {
    val last = log.requests.filter { it.isLast }
    val leftUnknown = last.filter { it.outcome == Outcome.UNKNOWN }
    val notRun = log.requests.filter { it.outcome == Outcome.NOT_RUN }
    val falseProofs = log.attempts.filter { isFalseProof(it, log) }
    return HistoryVerdict(
        mostRunsOfKey = (0 until log.keys).maxOf { key -> log.runs.count { it.attempt.key == key } },
        lostConfirmations = (0 until log.keys).count { isLost(it, log) },
        falseNotRun = notRun.count { isFalseNotRun(it, log) } + falseProofs.size,
        refusedRuns = log.runs.count { it.attempt.result is ConfirmationResult.Refused },
        unanswered = log.requests.count { it.outcome == null },
        overlappingNotRun = notRun.count { request -> log.runs.any { isOverlapping(it, request) } },
        keysLeftUnknown = leftUnknown.size,
        keysLeftUnknownAfterRun = leftUnknown.count { request -> log.runs.any { it.attempt.key == request.key } },
    )
}

/**
 * Returns true if a confirmation of [key] was lost after it had been answered.
 *
 * It counts as lost if the key gave different answers, if a later request with the same body was reported as not
 * run, or if the last request did not get an answer.
 */
private fun isLost(
    key: Int,
    log: HistoryLog,
): Boolean {
    val answeredAttempts = log.attempts.filter { it.key == key && it.result is ConfirmationResult.Answered }
    val answers = answeredAttempts.map { answerOf(it) to it.body }.toSet()
    if (answers.size > 1) return true
    val firstAnswerAt = answeredAttempts.mapNotNull { it.resultAt }.minOrNull() ?: return false
    val body = answeredAttempts.first().body
    val later = log.requests.filter { it.key == key && it.body == body && it.sentAt > firstAnswerAt }
    val isReportedNotRun = later.any { it.outcome == Outcome.NOT_RUN }
    val isLastUnanswered = later.any { it.isLast && it.outcome != Outcome.DONE }
    return isReportedNotRun || isLastUnanswered
}

private fun answerOf(attempt: HistoryAttempt): StoredAnswer = (attempt.result as ConfirmationResult.Answered).answer

/**
 * Returns true if [request] was reported as not run although a call with its key and body had started before the
 * request was sent, or started later for an attempt whose deadline had passed when the request was sent.
 */
private fun isFalseNotRun(
    request: CallerRequest,
    log: HistoryLog,
): Boolean =
    log.runs.any { run ->
        val isSame = run.attempt.key == request.key && run.attempt.body == request.body
        isSame && contradicts(run, request.sentAt)
    }

/**
 * Returns true if [attempt] was refused with a proof that no call had run, and a run contradicts this proof.
 *
 * The rule is that of [isFalseNotRun], with the arrival of the attempt in place of the time when the request was sent.
 */
private fun isFalseProof(
    attempt: HistoryAttempt,
    log: HistoryLog,
): Boolean {
    val proof = (attempt.result as? ConfirmationResult.Refused)?.proof ?: return false
    val arrivedAt = attempt.arrivedAt ?: return false
    if (proof != ClaimProof.PROVEN_FREE && proof != ClaimProof.OTHER_BODY) return false
    return log.runs.any { run ->
        val isCovered = proof == ClaimProof.PROVEN_FREE || run.attempt.body == attempt.body
        run.attempt.key == attempt.key && isCovered && contradicts(run, arrivedAt)
    }
}

/**
 * Returns true if [run] contradicts a statement, based on the state at the time [since], that no call has run or will
 * run.
 *
 * It does if it started before [since], or later for an attempt whose deadline had passed at [since], as such an
 * attempt must not start a call any more.
 */
private fun contradicts(
    run: HistoryRun,
    since: Instant,
): Boolean {
    val deadline = run.attempt.deadline ?: return true
    return run.startedAt < since || deadline < since
}

private fun isOverlapping(
    run: HistoryRun,
    request: CallerRequest,
): Boolean =
    run.attempt.key == request.key && run.attempt.body == request.body && run.startedAt >= request.sentAt &&
        !contradicts(run, request.sentAt)
