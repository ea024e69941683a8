package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.endToEnd
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * How a request ended, for logs and metrics.
 *
 * @property placedAfter time from the arrival until the request was placed at the endpoint that answered
 * @property begunAfter time from the arrival until the answer began
 * @property earlierRequests number of requests that the connection to the endpoint had carried before
 * @property summary what the answer of the endpoint looked like; null if there was none, or a failure
 */
internal data class RequestEnd(
    val status: Int,
    val reason: String,
    val keepsConnection: Boolean,
    val service: ServiceId? = null,
    val endpoint: EndpointId? = null,
    val placedAfter: Duration? = null,
    val begunAfter: Duration? = null,
    val earlierRequests: Int? = null,
    val summary: AnswerSummary? = null,
)

/** Answer to one request, written to the connection of the caller. */
internal class CallerAnswer(
    private val caller: HttpLink,
    private val isStopping: () -> Boolean,
    private val callerCloses: Boolean,
) : AnswerSink {
    override var isBegun = false
        private set

    /** Identifier of the last event that was sent to the caller. */
    var lastEventId: Long? = null
        private set

    private var isComplete = false
    private var closes = callerCloses
    private var status = 0

    private fun closesConnection(): Boolean {
        closes = callerCloses || isStopping()
        return closes
    }

    override suspend fun sendAnswer(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean {
        isBegun = true
        status = head.status
        isComplete = caller.sendResponse(ResponseHead(head.status, head.headers.endToEnd(), closesConnection()), body)
        return isComplete
    }

    override suspend fun sendEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        begin(head)
        lastEventId = event.id
        return caller.sendData(event.bytes)
    }

    override suspend fun sendPiece(
        head: ResponseHead,
        bytes: ByteArray,
    ): Boolean {
        begin(head)
        return caller.sendData(bytes)
    }

    private suspend fun begin(head: ResponseHead) {
        if (isBegun) return
        isBegun = true
        status = head.status
        caller.sendHead(ResponseHead(head.status, head.headers.endToEnd(), closesConnection()))
    }

    override suspend fun sendEnd(head: ResponseHead): Boolean {
        begin(head)
        isComplete = caller.sendEnd()
        return isComplete
    }

    /** Returns how the request ended after an endpoint's answer was passed on. */
    fun result(): RequestEnd = RequestEnd(status, if (isComplete) "answered" else "caller gone", isComplete && !closes)

    /** Closes the connection within an answer, so that the caller sees that the answer is incomplete. */
    fun cut(reason: String): RequestEnd {
        caller.close()
        return RequestEnd(status, "cut: $reason", keepsConnection = false)
    }

    /** Answers that the request was not run and may be sent again after [retryAfter]. */
    suspend fun refuse(
        retryAfter: Duration,
        reason: String,
    ): RequestEnd {
        val seconds = retryAfter.toDouble(DurationUnit.SECONDS).toString()
        return sendError(UNAVAILABLE, reason, listOf(Header("Retry-After", seconds)))
    }

    /** Sends an error answer that the gateway itself generates. */
    suspend fun sendError(
        status: Int,
        reason: String,
        headers: List<Header>,
    ): RequestEnd {
        isBegun = true
        this.status = status
        val text = "$reason\n".encodeToByteArray()
        val head =
            ResponseHead(status, headers + Header("Content-Type", "text/plain; charset=utf-8"), closesConnection())
        isComplete = caller.sendResponse(head, text)
        return RequestEnd(status, reason, isComplete && !closes)
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
