package org.cicadaturn.tasks.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.util.network.UnresolvedAddressException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.StoreFailure
import org.cicadaturn.schema.generated.StoreFailureCode
import java.net.BindException
import java.net.ConnectException
import java.net.NoRouteToHostException

/** Format of the documents of the object API; unknown fields of a newer API version are ignored. */
internal val storeJson = Json { ignoreUnknownKeys = true }

/** Answer as received; [body] is null if it was longer than [limit] bytes. */
internal data class RawAnswer(
    val status: Int,
    val body: String?,
    val limit: Int,
)

/** Returns the document in [answer] if it [fits] the call for [subject], or the error that the answer reports. */
internal inline fun <reified T> readAnswer(
    answer: RawAnswer,
    subject: String,
    fits: (T) -> Boolean,
): Either<StoreError, T> {
    if (answer.status != OK) return refusalOf(answer, subject).left()
    if (answer.body == null) {
        return StoreError.Rejected(OK, "answer for $subject is over ${answer.limit} bytes; name a longer prefix").left()
    }
    val document = decodeOrNull<T>(answer.body)
    if (document == null || !fits(document)) {
        return StoreError.Unanswered("answer is not a document for $subject").left()
    }
    return document.right()
}

/**
 * Returns the error for an [answer] whose status is not 200.
 *
 * Only a failure document of the store is trusted: a 404 from another server must not be read as "no such object".
 * After a status of 500 or more, below 300 or 408, the call may have been executed.
 */
internal fun refusalOf(
    answer: RawAnswer,
    subject: String,
): StoreError {
    val mayBeExecuted = answer.status >= SERVER_ERROR || answer.status < REDIRECTION || answer.status == REQUEST_TIMEOUT
    if (mayBeExecuted) return StoreError.Unanswered("status ${answer.status}")
    val failure = answer.body?.let { decodeOrNull<StoreFailure>(it) }
    return failure?.let { typedRefusal(it, answer.status, subject) }
        ?: StoreError.Rejected(answer.status, "no failure document in the answer for $subject; check the address")
}

private fun typedRefusal(
    failure: StoreFailure,
    status: Int,
    subject: String,
): StoreError? {
    val code = failure.code
    val oldest = failure.oldest
    val bytes = failure.bytes
    val limit = failure.limit
    return when {
        status == CONFLICT && code == StoreFailureCode.CONFLICT -> StoreError.Conflict(failure.current)
        status == NOT_FOUND && code == StoreFailureCode.NOT_FOUND -> StoreError.NotFound(subject)
        status == GONE && code == StoreFailureCode.COMPACTED && oldest != null -> StoreError.Compacted(oldest)
        status == TOO_LARGE && code == StoreFailureCode.TOO_LARGE && bytes != null && limit != null ->
            StoreError.TooLarge(bytes, limit)
        code == StoreFailureCode.INVALID -> StoreError.Rejected(status, failure.message)
        else -> null
    }
}

/**
 * Returns the error for a call that ended with [cause].
 *
 * The listed exceptions are thrown only while a connection is opened, so the call cannot have reached the store. A
 * failure after connecting cannot be distinguished from a lost answer, so after any other exception the call may have
 * been executed.
 */
internal fun storeErrorOf(cause: Exception): StoreError {
    val detail = "${cause::class.simpleName}: ${cause.message}"
    return when (cause) {
        is ConnectException,
        is ConnectTimeoutException,
        is NoRouteToHostException,
        is BindException,
        is UnresolvedAddressException,
        -> StoreError.Unavailable(detail)
        else -> StoreError.Unanswered(detail)
    }
}

internal inline fun <reified T> decodeOrNull(body: String): T? =
    try {
        storeJson.decodeFromString<T>(body)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

internal const val OK = 200
private const val REDIRECTION = 300
private const val NOT_FOUND = 404
private const val REQUEST_TIMEOUT = 408
private const val CONFLICT = 409
private const val GONE = 410
private const val TOO_LARGE = 413
private const val SERVER_ERROR = 500
