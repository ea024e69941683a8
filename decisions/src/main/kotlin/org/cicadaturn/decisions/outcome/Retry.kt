package org.cicadaturn.decisions.outcome

import org.cicadaturn.schema.generated.Outcome
import kotlin.time.Duration

/**
 * Attempt that did not give a complete answer.
 *
 * @property kind kind of the refusal or failure
 * @property outcome whether the attempt was executed, as far as known
 * @property idempotent true if the call can safely be repeated
 * @property answerStarted true if the caller has received part of the answer
 * @property attempts number of attempts so far, this one included
 * @property timeLeft time left until the caller's deadline
 */
public data class FailedAttempt(
    val kind: ErrorKind,
    val outcome: Outcome,
    val idempotent: Boolean,
    val answerStarted: Boolean,
    val attempts: Int,
    val timeLeft: Duration,
)

/**
 * Returns true if another attempt is safe and within [maxAttempts].
 *
 * The retry budget is checked separately, because it covers all requests of the process.
 */
public fun mayRetry(
    attempt: FailedAttempt,
    maxAttempts: Int,
): Boolean {
    if (attempt.answerStarted) return false
    // No retry, because every endpoint would find the same record of the key.
    if (attempt.kind == ErrorKind.KEY_REUSED || attempt.outcome == Outcome.DONE) return false
    if (attempt.attempts >= maxAttempts) return false
    if (attempt.timeLeft <= Duration.ZERO) return false
    return attempt.outcome == Outcome.NOT_RUN || attempt.idempotent
}
