package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.answer.isFinalStatus

/** What marks the end of the body of an answer. */
public enum class BodyFraming {
    /** Its length. */
    LENGTH,

    /** A last chunk. */
    CHUNKED,

    /** The end of the connection, judged by [defectOfClosedAnswer]. */
    CONNECTION,

    /** A transfer encoding that is not supported. */
    UNKNOWN,
}

/**
 * Head of an answer, as far as it decides what is passed on.
 *
 * @property contentTypes all declared content types
 * @property isEncoded true if the content is declared as encoded
 * @property requestId request identifier that the endpoint echoes; null if it echoes none
 * @property isSigned true if the endpoint has signed the answer
 */
public data class AnswerHead(
    val status: Int,
    val framing: BodyFraming,
    val contentTypes: List<String> = emptyList(),
    val isEncoded: Boolean = false,
    val requestId: String? = null,
    val isSigned: Boolean = false,
)

/**
 * What the answer to an attempt must be.
 *
 * It follows from the request and its route alone, so that an answer cannot choose by what it declares how it is
 * verified.
 *
 * @property requestId identifier that the endpoint must echo; null if the caller sent none
 * @property followsOthers true if the connection has carried other requests, whose answers may come late
 * @property continuesAnswer true if the caller already has a part of an answer, which only events can continue
 * @property events what the events must be; null if a body is expected
 */
public data class ExpectedAnswer(
    val requestId: String?,
    val followsOthers: Boolean,
    val continuesAnswer: Boolean,
    val events: ExpectedEvents?,
)

/** How an answer is read, judged by its head. */
public sealed interface AnswerVerdict {
    /** A failure of the endpoint, of which the whole body is read before anything is passed on. */
    public data object Failure : AnswerVerdict

    /**
     * A success that is passed on as bytes.
     *
     * @property isIncremental true if the bytes are passed on as they arrive
     */
    public data class Body(
        val isIncremental: Boolean,
    ) : AnswerVerdict

    /** A success whose events must be as [expected]. */
    public data class Events(
        val expected: ExpectedEvents,
    ) : AnswerVerdict

    /**
     * An answer of which nothing is passed on.
     *
     * @property isOutOfStep true if the bytes may belong to another request, so that no request may follow on the connection
     */
    public data class Unsound(
        val defect: String,
        val isOutOfStep: Boolean = false,
    ) : AnswerVerdict
}

/** Returns how the answer with [head] is read where this one is expected. */
public fun ExpectedAnswer.verdictOn(head: AnswerHead): AnswerVerdict {
    val isSuccess = head.status in SUCCESS_STATUSES
    trustDefectOf(head, isSuccess)?.let { return AnswerVerdict.Unsound(it, isOutOfStep = true) }
    if (!isSuccess) return AnswerVerdict.Failure
    if (events != null) return streamVerdictOn(head, events)
    if (continuesAnswer) return AnswerVerdict.Unsound("a body cannot continue an answer")
    return AnswerVerdict.Body(isIncremental = head.isEventStream)
}

/** Returns why the answer cannot be trusted to be the endpoint's own answer to the request, or null if it can. */
private fun ExpectedAnswer.trustDefectOf(
    head: AnswerHead,
    isSuccess: Boolean,
): String? =
    when {
        !isFinalStatus(head.status) -> "status ${head.status}, which does not exist"
        head.framing == BodyFraming.UNKNOWN -> "answer with an unknown transfer encoding"
        requestId != null && head.requestId != null && head.requestId != requestId ->
            "answer to another request ${head.requestId}"
        requestId != null && head.requestId == null && isSuccess -> "answer without a request id"
        // On a connection that served other requests, the failure may be a surplus answer to one of them.
        head.requestId == null && followsOthers -> "failure without a request id"
        isSuccess && !head.isSigned -> "answer without a signature"
        isSuccess && head.isEncoded -> "answer with a content encoding"
        else -> null
    }

private fun streamVerdictOn(
    head: AnswerHead,
    events: ExpectedEvents,
): AnswerVerdict =
    when {
        head.status !in WHOLE_ANSWERS -> AnswerVerdict.Unsound("status ${head.status} where an event stream is due")
        !head.isEventStream ->
            AnswerVerdict.Unsound("content type ${head.contentTypes} where an event stream is due")
        else -> AnswerVerdict.Events(events)
    }

private val AnswerHead.isEventStream: Boolean
    get() =
        contentTypes
            .singleOrNull()
            ?.substringBefore(';')
            ?.trim()
            .equals(EVENT_STREAM, ignoreCase = true)

private val SUCCESS_STATUSES = 200..299

/**
 * Statuses of a success with a whole answer: 200 and the two that differ from it in what they say of the request, and
 * 203, which a server may send for it. 204 and 205 have no body and 206 has a part; others do not tell.
 */
private val WHOLE_ANSWERS = 200..203
private const val EVENT_STREAM = "text/event-stream"
