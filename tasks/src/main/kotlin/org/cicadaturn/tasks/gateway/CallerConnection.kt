package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.RequestLine
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Serves the requests of one caller connection in sequence. */
internal class CallerConnection(
    private val link: HttpLink,
    private val handler: RequestHandler,
    private val dialect: GatewayDialect,
    private val journal: RequestJournal,
    private val metrics: GatewayMetrics,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val tracker: RequestTracker,
) {
    private var isIdle = true

    suspend fun serve() {
        // Idle connections are closed, as a new request on one could not be finished before the process ends.
        val onDrainStart = tracker.drainStarted.invokeOnCompletion { if (isIdle) link.close() }
        try {
            serveAll()
        } finally {
            onDrainStart.dispose()
        }
    }

    private suspend fun serveAll() {
        while (!tracker.drainStarted.isCompleted) {
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
        return withTimeoutOrNull(bounds.idleTimeout + bounds.headerTimeout) { link.receive() }
    }

    private suspend fun sendError(status: Int) {
        link.sendResponse(ResponseHead(status, emptyList(), closesConnection = true), ByteArray(0))
    }

    /** Returns true if the connection can be used for another request. */
    private suspend fun serveOne(head: RequestHead): Boolean {
        val arrivedAt = clock.now()
        val encoding = head.headers.valueOf("Transfer-Encoding")
        if (encoding != null &&
            !encoding.equals("chunked", ignoreCase = true)
        ) {
            return false.also { sendError(BAD_REQUEST) }
        }
        if (head.headers.valueOf("Expect") != null) link.sendContinue()
        val body = readBody() ?: return false
        if (body.size > limits().bodyBytes) return false.also { sendError(TOO_LARGE) }
        return answer(CallerRequest(head, body, arrivedAt), arrivedAt)
    }

    /**
     * Returns the body, or null if it is incomplete or malformed. Reading stops as soon as the body exceeds the limit,
     * so the part read of such a body is longer than the limit.
     */
    private suspend fun readBody(): ByteArray? {
        val body = ByteArrayOutputStream()
        val bounds = limits()
        while (body.size() <= bounds.bodyBytes) {
            when (val part = withTimeoutOrNull(bounds.idleTimeout) { link.receive() }) {
                is HttpPart.Data -> body.write(part.bytes)
                HttpPart.End -> return body.toByteArray()
                is HttpPart.Malformed -> return null.also { sendError(part.status) }
                else -> return null
            }
        }
        return body.toByteArray()
    }

    /** Answers [request] and cancels the work for it as soon as the caller closes the connection. */
    private suspend fun answer(
        request: CallerRequest,
        arrivedAt: Instant,
    ): Boolean =
        coroutineScope {
            link.readAhead()
            val work = async { handler.handle(request, link, tracker::asksToReconnect) }
            val end =
                select {
                    work.onAwait { it }
                    link.closed.onAwait { null }
                }
            if (end == null) work.cancel()
            record(request, end ?: RequestEnd(0, "caller left", keepsConnection = false), clock.now() - arrivedAt)
            end?.keepsConnection == true
        }

    private fun record(
        request: CallerRequest,
        end: RequestEnd,
        time: Duration,
    ) {
        metrics.ended(end, time)
        journal(
            RequestLine(
                event = "end",
                request = request.head.headers.valueOf(dialect.requestId),
                service = end.service?.text,
                endpoint = end.endpoint?.text,
                prompt = promptText(dialect.promptOf(request.head.headers)),
                status = end.status,
                detail = end.reason,
                placedMs = end.placedAfter?.inWholeMilliseconds,
                firstMs = end.begunAfter?.inWholeMilliseconds,
                ms = time.inWholeMilliseconds,
            ),
        )
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
    }
}

/** Counts the requests in progress of a process and states whether callers should use another process. */
internal interface RequestTracker {
    /** Returns true while answers ask the caller for a new connection, which leads to another process. */
    fun asksToReconnect(): Boolean

    /** Completes when idle connections have to be closed. */
    val drainStarted: Job

    /** Adds [change] to the number of requests in progress. */
    fun changeInProgress(change: Int)
}
