package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.tasks.http.ConnectionLoss
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.receiveRequest
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Serves the requests of one caller connection in sequence.
 *
 * @param longestRequest returns the longest time that a request may take
 */
internal class CallerConnection(
    private val link: HttpLink,
    private val handler: RequestHandler,
    private val ends: RequestEndLog,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val longestRequest: () -> Duration,
    private val tracker: RequestTracker,
    private val memory: BodyMemory,
) {
    private var isIdle = true

    suspend fun serve() {
        // Idle connections are closed, as a new request on one could not be finished before the process ends.
        val onDrainStart = tracker.drainStarted.invokeOnCompletion { if (isIdle && !link.hasRequest) link.close() }
        tracker.changeConnections(+1)
        try {
            serveAll()
        } finally {
            tracker.changeConnections(-1)
            onDrainStart.dispose()
        }
    }

    private suspend fun serveAll() {
        while (true) {
            val part = awaitRequest() ?: return
            val head =
                when (part) {
                    is HttpPart.Request -> part.head
                    is HttpPart.Malformed -> return sendError(part.status)
                    else -> return
                }
            tracker.changeInProgress(+1)
            isIdle = false
            try {
                if (!serveOne(head)) return
            } finally {
                isIdle = true
                tracker.changeInProgress(-1)
            }
        }
    }

    private suspend fun awaitRequest(): HttpPart? {
        val bounds = limits()
        val isClosing = tracker.drainStarted.isCompleted && !link.hasRequest
        // A request of which the beginning has arrived in time is still read.
        val idleTimeout = if (isClosing) LAST_REQUEST_TIME else bounds.idleTimeout + bounds.headerTimeout
        return link.receiveRequest(idleTimeout, bounds.headerTimeout)
    }

    private suspend fun sendError(status: Int) {
        val retry = Header("Retry-After", DEFAULT_RETRY_DELAY.toDouble(DurationUnit.SECONDS).toString())
        val headers = if (status == UNAVAILABLE) listOf(retry) else emptyList()
        link.sendResponse(ResponseHead(status, headers, closesConnection = true), ByteArray(0))
    }

    /** Returns true if the connection can be used for another request. */
    private suspend fun serveOne(head: RequestHead): Boolean {
        val encoding = head.headers.valueOf("Transfer-Encoding")
        if (encoding != null &&
            !encoding.equals("chunked", ignoreCase = true)
        ) {
            return false.also { sendError(BAD_REQUEST) }
        }
        if (head.headers.valueOf("Expect") != null && !link.sendContinue()) return false
        val answer = CallerAnswer(link, tracker::asksToReconnect, head.closesConnection, clock)
        val progress = RequestProgress(arrivedAt = clock.now())
        val onStop =
            tracker.stopStarted.invokeOnCompletion { ends.recordInStop(head, progress, answer.sentEvents) }
        try {
            return memory.reservation().use { serveBody(head, answer, progress, it) }
        } catch (e: CancellationException) {
            ends.record(head, progress, answer.sentEvents, answer.cut("the process ended before the answer"))
            throw e
        } finally {
            onStop.dispose()
        }
    }

    private suspend fun serveBody(
        head: RequestHead,
        answer: CallerAnswer,
        progress: RequestProgress,
        reservation: BodyMemory.Reservation,
    ): Boolean =
        when (val received = receiveInTime(head, reservation)) {
            is ReceivedBody.Complete ->
                answer(CallerRequest(head, received.bytes, progress.arrivedAt), answer, progress)
            ReceivedBody.TooLong -> false.also { sendError(TOO_LARGE) }
            ReceivedBody.NoMemory -> {
                reservation.close()
                refuseBody(head, progress)
                false
            }
            is ReceivedBody.Malformed -> false.also { sendError(received.status) }
            ReceivedBody.Cut -> false
        }

    /**
     * Refuses a request for whose body there is no memory. The rest of the body is read without being decoded, as a
     * connection that is closed with unread input may take the answer with it.
     */
    private suspend fun refuseBody(
        head: RequestHead,
        progress: RequestProgress,
    ) {
        link.account?.lost(ConnectionLoss.NO_MEMORY)
        link.discardInput()
        val answer = CallerAnswer(link, tracker::asksToReconnect, callerCloses = true, clock)
        val end = answer.refuse(DEFAULT_RETRY_DELAY, "the memory for bodies is used up")
        ends.record(head, progress, answer.sentEvents, end)
        // A stop does not wait for callers whose request was refused.
        withTimeoutOrNull(limits().idleTimeout) {
            select {
                link.closed.onAwait { }
                tracker.drainStarted.onJoin { }
            }
        }
    }

    /** A body that takes longer than the longest request may take is not awaited, as its memory would be held meanwhile. */
    private suspend fun receiveInTime(
        head: RequestHead,
        reservation: BodyMemory.Reservation,
    ): ReceivedBody {
        val bounds = limits()
        val limit = maxOf(bounds.idleTimeout, longestRequest())
        val received = withTimeoutOrNull(limit) { receiveBody(head, bounds, reservation) }
        if (received == null) link.account?.lost(ConnectionLoss.SLOW_BODY)
        return received ?: ReceivedBody.Cut
    }

    private suspend fun receiveBody(
        head: RequestHead,
        bounds: CallerLimits,
        reservation: BodyMemory.Reservation,
    ): ReceivedBody {
        val length = head.headers.valueOf("Content-Length")?.toIntOrNull() ?: 0
        val expected = length.coerceAtMost(bounds.bodyBytes)
        if (!reservation.growTo(expected, MEMORY_WAIT)) return ReceivedBody.NoMemory
        val body = BodyBuffer(expected)
        while (body.size() <= bounds.bodyBytes) {
            when (val part = withTimeoutOrNull(bounds.idleTimeout) { link.receive() }) {
                is HttpPart.Data ->
                    if (reservation.tryGrowTo(body.size() + part.bytes.size)) {
                        body.write(part.bytes)
                    } else {
                        return ReceivedBody.NoMemory
                    }
                HttpPart.End -> return ReceivedBody.Complete(body.bytes())
                is HttpPart.Malformed -> return ReceivedBody.Malformed(part.status)
                else -> return ReceivedBody.Cut
            }
        }
        return ReceivedBody.TooLong
    }

    /** Answers [request] and cancels the work for it as soon as the caller closes the connection. */
    private suspend fun answer(
        request: CallerRequest,
        answer: CallerAnswer,
        progress: RequestProgress,
    ): Boolean =
        coroutineScope {
            link.readAhead()
            link.account?.use = ConnectionUse.SERVING
            val work = async { handler.handle(request, answer, progress) }
            val end =
                select {
                    work.onAwait { it }
                    link.closed.onAwait { null }
                } ?: callerLeft().also { work.cancel() }
            ends.record(request.head, progress, answer.sentEvents, end)
            link.account?.use = ConnectionUse.WAITING
            if (end.outcome == RequestOutcome.ANSWERED && progress.service != null) link.account?.admitted()
            end.keepsConnection
        }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503

        /**
         * Time for which a connection stays open after an answer that began before the stop and did not announce its
         * close, as the caller may send its next request at once.
         */
        val LAST_REQUEST_TIME = 200.milliseconds

        /** Callers abandon a request that is not read within a second. */
        val MEMORY_WAIT = 500.milliseconds
    }
}

/** Result of reading the body of a request. */
private sealed interface ReceivedBody {
    class Complete(
        val bytes: ByteArray,
    ) : ReceivedBody

    data object TooLong : ReceivedBody

    /** The memory for bodies is used up. */
    data object NoMemory : ReceivedBody

    class Malformed(
        val status: Int,
    ) : ReceivedBody

    data object Cut : ReceivedBody
}

/** Buffer that does not copy a body of the [expected] length. */
private class BodyBuffer(
    expected: Int,
) : ByteArrayOutputStream(expected) {
    fun bytes(): ByteArray = if (count == buf.size) buf else toByteArray()
}
