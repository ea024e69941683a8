package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.endToEnd
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Answer to one request, written to the connection of the caller. */
internal class CallerAnswer(
    private val caller: HttpLink,
    private val isStopping: () -> Boolean,
    private val callerCloses: Boolean,
    private val clock: Clock,
) : AnswerSink {
    override var isBegun = false
        private set

    /** Identifier of the last event that was sent to the caller. */
    var lastEventId: Long? = null
        private set

    /** Number of events that were sent to the caller. */
    var sentEvents = 0
        private set

    /** Time at which the last event was sent to the caller; in the distant past before the first. */
    var lastSentAt = Instant.DISTANT_PAST
        private set

    private var isComplete = false
    private var closes = callerCloses
    private var status = 0

    /** The connection stays open for a request that has arrived already, which would get no answer. */
    private fun closesConnection(): Boolean {
        closes = callerCloses || (isStopping() && !caller.hasRequest)
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
        sentEvents += 1
        lastSentAt = clock.now()
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
    fun result(): RequestEnd =
        if (isComplete) {
            RequestEnd(RequestOutcome.ANSWERED, status, "answered", keepsConnection = !closes)
        } else {
            callerLeft()
        }

    /**
     * Returns the end of a request whose connection must be closed within the answer, so that the caller sees that the
     * answer is incomplete.
     */
    fun cut(reason: String): RequestEnd =
        RequestEnd(RequestOutcome.CUT, status.takeIf { isBegun }, "cut: $reason", keepsConnection = false)

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
        return if (isComplete) RequestEnd(RequestOutcome.ANSWERED, status, reason, !closes) else callerLeft(reason)
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
