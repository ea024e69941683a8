package org.cicadaturn.decisions.outcome

import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Kind of refusal or failure that a caller can get.
 *
 * @property code stable code in the error body
 * @property status HTTP status code
 */
public enum class ErrorKind(
    public val code: String,
    public val status: Int,
) {
    INVALID_REQUEST("invalid_request", 400),
    UNAUTHENTICATED("unauthenticated", 401),
    UNKNOWN_PATH("unknown_path", 404),
    UNKNOWN_MODEL("unknown_model", 404),
    BODY_TOO_LARGE("body_too_large", 413),
    HEADERS_TOO_LARGE("headers_too_large", 431),
    KEY_REUSED("idempotency_key_reused", 422),
    ANSWER_NOT_KEPT("answer_not_kept", 409),
    RATE_LIMITED("rate_limited", 429),
    OVERLOADED("overloaded", 503),
    NO_ENDPOINT("no_endpoint", 503),
    STOPPING("stopping", 503),
    STORE_UNAVAILABLE("store_unavailable", 503),
    DEADLINE("deadline_exceeded", 504),
    ATTEMPT_FAILED("attempt_failed", 502),
    ANSWER_BROKEN("answer_broken", 502),
}

/**
 * Error that a caller gets instead of an answer.
 *
 * @property kind kind of the refusal
 * @property message description of the error
 * @property remedy advice to the caller
 * @property outcome whether the request was executed, as far as known
 * @property retryAfter time after which a retry may succeed, if known
 * @property rateLimit state of the limit that caused the refusal, for response headers
 */
public data class Refusal(
    val kind: ErrorKind,
    val message: String,
    val remedy: String,
    val outcome: Outcome = Outcome.NOT_RUN,
    val retryAfter: Duration? = null,
    val rateLimit: RateLimit? = null,
)

/** Tokens that an organisation may use per minute, and how many of them are [remaining]. */
public data class RateLimit(
    val tokens: Long,
    val remaining: Long,
)

/** Remedy for a call with an idempotency key whose outcome is unknown. */
public const val REPEAT_WITH_SAME_KEY: String =
    "repeat the request with the same Idempotency-Key; it cannot run twice"

/** Returns the refusal for a caller that corresponds to [code] and [message] from an endpoint process. */
public fun refusalOf(
    code: RefusalCode,
    message: String,
    retryAfter: Duration?,
): Refusal =
    when (code) {
        RefusalCode.OVERLOADED ->
            Refusal(ErrorKind.OVERLOADED, message, "retry later", retryAfter = retryAfter ?: DEFAULT_RETRY_AFTER)
        RefusalCode.DEADLINE ->
            Refusal(ErrorKind.DEADLINE, message, "allow more time in X-Deadline-Ms")
        RefusalCode.KEY_REUSED ->
            Refusal(ErrorKind.KEY_REUSED, message, "use a new Idempotency-Key for another request")
        RefusalCode.STORE_UNAVAILABLE ->
            Refusal(ErrorKind.STORE_UNAVAILABLE, message, "retry later", retryAfter = DEFAULT_RETRY_AFTER)
        RefusalCode.LEAVING, RefusalCode.STOPPING, RefusalCode.WRONG_SERVICE, RefusalCode.UNREACHABLE ->
            Refusal(ErrorKind.NO_ENDPOINT, message, "retry later", retryAfter = DEFAULT_RETRY_AFTER)
    }

private val DEFAULT_RETRY_AFTER: Duration = 1.seconds
