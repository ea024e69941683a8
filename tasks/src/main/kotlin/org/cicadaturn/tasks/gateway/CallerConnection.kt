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

/** Serves the requests of one caller connection, one after the other. */
internal class CallerConnection(
    private val link: HttpLink,
    private val handler: RequestHandler,
    private val dialect: GatewayDialect,
    private val journal: RequestJournal,
    private val metrics: GatewayMetrics,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val load: ConnectionLoad,
) {
    private var isIdle = true

    suspend fun serve() {
        // A connection that stays open would bring a request that there is no time left to finish.
        val onDrain = load.drained.invokeOnCompletion { if (isIdle) link.close() }
        try {
            serveAll()
        } finally {
            onDrain.dispose()
        }
    }

    private suspend fun serveAll() {
        while (!load.drained.isCompleted) {
            val part = awaitRequest() ?: return
            val head =
                when (part) {
                    is HttpPart.Request -> part.head
                    is HttpPart.Malformed -> return refuse(part.status)
                    else -> return
                }
            load.busy(+1)
            isIdle = false
            try {
                if (!serveOne(head)) return
            } finally {
                isIdle = true
                load.busy(-1)
            }
        }
    }

    private suspend fun awaitRequest(): HttpPart? {
        val bounds = limits()
        return withTimeoutOrNull(bounds.idleTimeout + bounds.headerTimeout) { link.receive() }
    }

    private suspend fun refuse(status: Int) {
        link.sendResponse(ResponseHead(status, emptyList(), isLast = true), ByteArray(0))
    }

    /** Returns true if the connection can take another request. */
    private suspend fun serveOne(head: RequestHead): Boolean {
        val arrivedAt = clock.now()
        val encoding = head.headers.valueOf("Transfer-Encoding")
        if (encoding != null &&
            !encoding.equals("chunked", ignoreCase = true)
        ) {
            return false.also { refuse(BAD_REQUEST) }
        }
        if (head.headers.valueOf("Expect") != null) link.sendContinue()
        val body = readBody() ?: return false
        if (body.size > limits().bodyBytes) return false.also { refuse(TOO_LARGE) }
        return answer(CallerRequest(head, body, arrivedAt), arrivedAt)
    }

    /** Returns the body, one that is longer than allowed if it is too long, or null if the caller left. */
    private suspend fun readBody(): ByteArray? {
        val body = ByteArrayOutputStream()
        val bounds = limits()
        while (body.size() <= bounds.bodyBytes) {
            when (val part = withTimeoutOrNull(bounds.idleTimeout) { link.receive() }) {
                is HttpPart.Data -> body.write(part.bytes)
                HttpPart.End -> return body.toByteArray()
                is HttpPart.Malformed -> return null.also { refuse(part.status) }
                else -> return null
            }
        }
        return body.toByteArray()
    }

    /** Ends the work for the request as soon as the caller closes the connection. */
    private suspend fun answer(
        request: CallerRequest,
        arrivedAt: Instant,
    ): Boolean =
        coroutineScope {
            link.readAhead()
            val work = async { handler.handle(request, link, load::isStopping) }
            val end =
                select {
                    work.onAwait { it }
                    link.closed.onAwait { null }
                }
            if (end == null) work.cancel()
            note(request, end ?: RequestEnd(0, "caller left", keepsConnection = false), clock.now() - arrivedAt)
            end?.keepsConnection == true
        }

    private fun note(
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
                status = end.status,
                detail = end.reason,
                ms = time.inWholeMilliseconds,
            ),
        )
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
    }
}

/** Counts the requests in progress of a process and tells whether it stops. */
internal interface ConnectionLoad {
    /** True once no new work is wanted; answers then ask the caller to open a new connection. */
    fun isStopping(): Boolean

    /** Completes when idle connections are to be closed. */
    val drained: Job

    fun busy(change: Int)
}
