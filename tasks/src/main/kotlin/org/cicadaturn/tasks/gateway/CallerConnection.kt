package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** Serves the requests of one caller connection in sequence. */
internal class CallerConnection(
    private val link: HttpLink,
    private val handler: RequestHandler,
    private val ends: RequestEndLog,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
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
        val part = if (isClosing) withTimeoutOrNull(LAST_REQUEST_TIME) { link.receive() } else null
        // A request of which the beginning has arrived meanwhile is still read.
        if (part != null || (isClosing && !link.hasRequest)) return part
        return withTimeoutOrNull(bounds.idleTimeout + bounds.headerTimeout) { link.receive() }
    }

    private suspend fun sendError(status: Int) {
        link.sendResponse(ResponseHead(status, emptyList(), closesConnection = true), ByteArray(0))
    }

    /** Returns true if the connection can be used for another request. */
    private suspend fun serveOne(head: RequestHead): Boolean {
        val encoding = head.headers.valueOf("Transfer-Encoding")
        if (encoding != null &&
            !encoding.equals("chunked", ignoreCase = true)
        ) {
            return false.also { sendError(BAD_REQUEST) }
        }
        if (head.headers.valueOf("Expect") != null) link.sendContinue()
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
        when (val received = receiveBody(head, limits(), reservation)) {
            is ReceivedBody.Complete ->
                answer(CallerRequest(head, received.bytes, progress.arrivedAt), answer, progress)
            ReceivedBody.TooLong -> false.also { sendError(TOO_LARGE) }
            ReceivedBody.NoMemory -> {
                val end = answer.refuse(DEFAULT_RETRY_DELAY, "the memory for bodies is used up")
                ends.record(head, progress, answer.sentEvents, end)
                end.keepsConnection
            }
            is ReceivedBody.Malformed -> false.also { sendError(received.status) }
            ReceivedBody.Cut -> false
        }

    private suspend fun receiveBody(
        head: RequestHead,
        bounds: CallerLimits,
        reservation: BodyMemory.Reservation,
    ): ReceivedBody {
        val length = head.headers.valueOf("Content-Length")?.toIntOrNull() ?: 0
        val expected = length.coerceAtMost(bounds.bodyBytes)
        if (!reservation.growTo(expected, MEMORY_WAIT)) return discardBody(bounds)
        val body = BodyBuffer(expected)
        while (body.size() <= bounds.bodyBytes) {
            when (val part = withTimeoutOrNull(bounds.idleTimeout) { link.receive() }) {
                is HttpPart.Data ->
                    if (reservation.tryGrowTo(body.size() + part.bytes.size)) {
                        body.write(part.bytes)
                    } else {
                        return discardBody(bounds)
                    }
                HttpPart.End -> return ReceivedBody.Complete(body.bytes())
                is HttpPart.Malformed -> return ReceivedBody.Malformed(part.status)
                else -> return ReceivedBody.Cut
            }
        }
        return ReceivedBody.TooLong
    }

    /** Reads the rest of a body without keeping it, as a connection closed before would take the answer with it. */
    private suspend fun discardBody(bounds: CallerLimits): ReceivedBody {
        var discarded = 0
        while (discarded <= bounds.bodyBytes) {
            when (val part = withTimeoutOrNull(bounds.idleTimeout) { link.receive() }) {
                is HttpPart.Data -> discarded += part.bytes.size
                HttpPart.End -> return ReceivedBody.NoMemory
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
            val work = async { handler.handle(request, answer, progress) }
            val end =
                select {
                    work.onAwait { it }
                    link.closed.onAwait { null }
                } ?: callerLeft().also { work.cancel() }
            ends.record(request.head, progress, answer.sentEvents, end)
            end.keepsConnection
        }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413

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

    /** The body was read but not kept, as the memory for bodies was used up. */
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
