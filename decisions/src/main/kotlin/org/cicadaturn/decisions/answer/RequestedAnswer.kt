package org.cicadaturn.decisions.answer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.schema.generated.Header
import java.util.Locale

/** Form of the answer that a request asks for. */
public enum class AnswerForm {
    /** Event stream with the chunks of one chat completion and the end mark. */
    CHAT_STREAM,

    /** JSON object with one chat completion. */
    CHAT_COMPLETION,

    /** Any answer of a plain service, which is passed on unchanged. */
    PLAIN,
}

/**
 * What an answer to a request must be; follows from the request alone.
 *
 * @property form form of the body of a successful answer
 * @property acceptsEventStream true if the caller accepts an event stream from a plain service
 */
public data class RequestedAnswer(
    val form: AnswerForm,
    val acceptsEventStream: Boolean,
) {
    /** True if the content of a successful answer shows whether it is whole, so that its framing need not. */
    val hasEndMark: Boolean get() = form == AnswerForm.CHAT_STREAM
}

/** What is done with the body of an answer whose head is valid. */
public enum class BodyHandling {
    /** The events are verified one by one and passed on while they arrive. */
    CHAT_EVENTS,

    /** The whole body is verified before its head is passed on. */
    CHAT_OBJECT,

    /** The body is passed on unchanged once it is whole. */
    BUFFERED,

    /** The body is passed on unchanged while it arrives. */
    STREAMED,
}

/** Returns what an answer to [request] must be. */
public fun requestedAnswerOf(request: CallerRequest): RequestedAnswer {
    val form =
        when (request.chat?.stream) {
            true -> AnswerForm.CHAT_STREAM
            false -> AnswerForm.CHAT_COMPLETION
            null -> AnswerForm.PLAIN
        }
    return RequestedAnswer(form, acceptsEventStream(request.headers["accept"]))
}

/**
 * Returns what is done with the body of an answer with [status] and [headers], or why it cannot be the answer.
 *
 * An error of an engine is passed on unchanged. A plain service chooses its own types: the declared one decides only
 * whether its answer is passed on while it arrives, and only among the types that the request accepts.
 */
public fun RequestedAnswer.verifyHead(
    status: Int,
    headers: List<Header>,
): Either<String, BodyHandling> {
    if (!isFinalStatus(status)) return "status $status, which does not exist".left()
    val type = mediaTypeIn(headers)
    if (form == AnswerForm.PLAIN) {
        val isStreamed = acceptsEventStream && type == EVENT_STREAM
        return (if (isStreamed) BodyHandling.STREAMED else BodyHandling.BUFFERED).right()
    }
    if (status >= FIRST_ERROR_STATUS) return BodyHandling.BUFFERED.right()
    if (status != OK) return "status $status in place of $OK".left()
    val encoding = valuesOf("content-encoding", headers).firstOrNull { !it.equals("identity", ignoreCase = true) }
    if (encoding != null) {
        return "content encoding ${encoding.take(MAX_DETAIL_CHARACTERS)}, which was not accepted".left()
    }
    val wanted = if (form == AnswerForm.CHAT_STREAM) EVENT_STREAM else JSON
    if (type != wanted) return "content type ${type?.take(MAX_DETAIL_CHARACTERS)} in place of $wanted".left()
    return (if (form == AnswerForm.CHAT_STREAM) BodyHandling.CHAT_EVENTS else BodyHandling.CHAT_OBJECT).right()
}

/** What ends the body of an answer. */
public enum class BodyEnd {
    /** The answer has no body. */
    NO_BODY,

    /** A length or the last chunk, so that a body that was cut is noticed. */
    FRAMING,

    /** The orderly end of the connection. */
    CONNECTION,
}

/**
 * Returns what ends the body of an answer with [status] and [headers] to a call of [method] by RFC 9112, section 6.3, or
 * null if its headers contradict each other or declare a coding that is not undone here.
 */
public fun bodyEndOf(
    method: String,
    status: Int,
    headers: List<Header>,
): BodyEnd? {
    if (!hasBody(method, status)) return BodyEnd.NO_BODY
    val codings = valuesOf("transfer-encoding", headers)
    if (codings.isNotEmpty()) {
        return BodyEnd.FRAMING.takeIf { codings.singleOrNull().equals("chunked", ignoreCase = true) }
    }
    val lengths = valuesOf("content-length", headers).distinct()
    if (lengths.isEmpty()) return BodyEnd.CONNECTION
    val length = lengths.singleOrNull()?.toLongOrNull() ?: return null
    return BodyEnd.FRAMING.takeIf { length >= 0 }
}

/** Returns true if an answer with [headers] declares a JSON body, whose content shows whether it is whole. */
public fun isJson(headers: List<Header>): Boolean =
    mediaTypeIn(headers)?.let { it == JSON || it.endsWith("+json") } == true

/** Returns the codings of the body of an answer with [headers] in lower case, in the order in which they were applied. */
public fun contentCodingsIn(headers: List<Header>): List<String> =
    valuesOf("content-encoding", headers)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase(Locale.ROOT) }
        .filter { it.isNotEmpty() && it != "identity" }

/** Returns true if an answer with [status] to a call of [method] can have a body. */
public fun hasBody(
    method: String,
    status: Int,
): Boolean = !method.equals("HEAD", ignoreCase = true) && status != NO_CONTENT && status != NOT_MODIFIED

private fun acceptsEventStream(accept: String?): Boolean =
    accept == null || accept.split(',').any { mediaTypeOf(it) in setOf("*/*", "text/*", EVENT_STREAM) }

/** Returns the media type, without parameters, that [headers] declare; null unless they declare exactly one. */
private fun mediaTypeIn(headers: List<Header>): String? =
    valuesOf("content-type", headers).singleOrNull()?.let(::mediaTypeOf)

private fun mediaTypeOf(value: String): String = value.substringBefore(';').trim().lowercase(Locale.ROOT)

private fun valuesOf(
    name: String,
    headers: List<Header>,
): List<String> = headers.filter { it.name.equals(name, ignoreCase = true) }.map { it.value.trim() }

private const val OK = 200
private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304
private const val FIRST_ERROR_STATUS = 400
private const val EVENT_STREAM = "text/event-stream"
private const val JSON = "application/json"
private const val MAX_DETAIL_CHARACTERS = 40
