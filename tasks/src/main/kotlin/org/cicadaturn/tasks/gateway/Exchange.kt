package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.decisions.gateway.eventSplitter
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One attempt at an endpoint.
 *
 * @property head request as the endpoint gets it
 * @property requestId identifier that the endpoint has to echo; null if the caller sent none
 * @property firstByteLimit longest wait for the answer, or for the first event of a stream
 * @property gapLimit longest wait for the next event or piece
 * @property remaining time to the deadline
 */
internal class AttemptRequest(
    val endpoint: LiveEndpoint,
    val kind: RouteKind,
    val head: RequestHead,
    val body: ByteArray,
    val requestId: String?,
    val firstByteLimit: Duration,
    val gapLimit: Duration,
    val remaining: Duration,
)

/** Takes the parts of an answer as they become certain. */
internal interface AnswerSink {
    /** Takes a whole answer; false if the caller is gone. */
    suspend fun whole(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean

    /** Takes the next event of a stream whose answer began with [head]; false if the caller is gone. */
    suspend fun event(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean

    /** Takes a piece of an answer that is too long to be held until it is complete; false if the caller is gone. */
    suspend fun piece(
        head: ResponseHead,
        bytes: ByteArray,
    ): Boolean

    /** Takes the end of an answer that came in events or pieces. */
    suspend fun end(head: ResponseHead): Boolean
}

/** Result of an attempt. */
internal sealed interface AttemptResult {
    /** The sink has the whole answer, or the caller is gone. */
    data object Delivered : AttemptResult

    /** It failed; [failure] is the endpoint's own failing answer, if it gave one. */
    class Ended(
        val end: AttemptEnd,
        val detail: String,
        val failure: Pair<ResponseHead, ByteArray>? = null,
    ) : AttemptResult
}

/** Runs attempts over kept or new connections. */
internal class Exchange(
    private val connector: HttpConnector,
    private val pool: ConnectionPool,
    private val balancer: Balancer,
    private val dialect: GatewayDialect,
    private val clock: Clock,
) {
    /** Runs [attempt] to its end and tells the balancer of the endpoint's part in it. */
    suspend fun run(
        attempt: AttemptRequest,
        sink: AnswerSink,
    ): AttemptResult {
        val id = attempt.endpoint.id
        var use: EndpointUse = EndpointUse.Abandoned
        var link: HttpLink? = null
        var keepFor: Duration? = null
        try {
            link = open(attempt)
            if (link == null) {
                use = EndpointUse.Failed
                return AttemptResult.Ended(AttemptEnd.NOT_SENT, "no connection")
            }
            val turn = Turn(attempt, link, sink, link.sendRequest(attempt.head, attempt.body))
            val result = turn.run()
            use = turn.use
            keepFor = turn.keepFor
            return result
        } finally {
            balancer.finished(id, use)
            if (link != null && keepFor != null) pool.put(id, link, keepFor) else link?.close()
        }
    }

    /** A request that may run only once is not put on a connection that the endpoint may be closing. */
    private suspend fun open(attempt: AttemptRequest): HttpLink? {
        val isRepeatable = attempt.kind != RouteKind.AT_MOST_ONCE
        val idleFor = if (isRepeatable) DEFAULT_KEEP else FRESH
        return pool.take(attempt.endpoint.id, idleFor)
            ?: connector.connect(attempt.endpoint.address, minOf(CONNECT_TIMEOUT, attempt.remaining))
    }

    private inner class Turn(
        private val attempt: AttemptRequest,
        private val link: HttpLink,
        private val sink: AnswerSink,
        private val sent: Deferred<Boolean>,
    ) {
        var use: EndpointUse = EndpointUse.Abandoned

        /** Time for which the connection may be kept; null if it is of no further use. */
        var keepFor: Duration? = null
            private set
        private val start = clock.now()

        suspend fun run(): AttemptResult =
            when (val arrival = awaitHead()) {
                is Arrival.Part -> takeHead(arrival.part)
                Arrival.Ended -> failed(AttemptEnd.BROKEN, "connection ended without an answer")
                Arrival.Stalled -> failed(AttemptEnd.STALLED, "no answer within ${attempt.firstByteLimit}")
            }

        private suspend fun takeHead(part: HttpPart): AttemptResult {
            val head =
                when (part) {
                    is HttpPart.Response -> part.head
                    is HttpPart.Malformed -> return failed(AttemptEnd.BROKEN, "unreadable answer: ${part.detail}")
                    else -> return failed(AttemptEnd.BROKEN, "unexpected bytes")
                }
            val flaw = flawOf(head)
            if (flaw != null) return failed(AttemptEnd.BROKEN, flaw)
            dialect.loadOf(head.headers)?.let { balancer.loadReported(attempt.endpoint.id, it) }
            if (head.status !in SUCCESS) return takeFailure(head)
            balancer.accepted(attempt.endpoint.id)
            return if (isEventStream(head)) takeEvents(head) else takeWhole(head)
        }

        /** An interim answer is followed by the real one. */
        private suspend fun awaitHead(): Arrival {
            var arrival = awaitPart(attempt.firstByteLimit)
            while (arrival is Arrival.Part && isInterim(arrival.part)) arrival = awaitPart(attempt.firstByteLimit)
            return arrival
        }

        private fun isInterim(part: HttpPart): Boolean =
            part == HttpPart.End || (part is HttpPart.Response && part.head.status in INTERIM)

        private fun flawOf(head: ResponseHead): String? {
            val echoed = head.headers.valueOf(dialect.requestId)
            val isSuccess = head.status in SUCCESS
            return when {
                attempt.requestId != null && echoed != null && echoed != attempt.requestId ->
                    "answer to another request $echoed"
                attempt.requestId != null && echoed == null && isSuccess -> "answer without a request id"
                isSuccess && head.headers.valueOf(dialect.signature) == null -> "answer without a signature"
                isSuccess && head.headers.valueOf("Content-Encoding") != null -> "answer with a content encoding"
                else -> null
            }
        }

        private suspend fun takeFailure(head: ResponseHead): AttemptResult {
            val body = readBody(BODY_LIMIT) ?: return failed(AttemptEnd.BROKEN, "failure ${head.status} was cut")
            finish(head)
            val isDenied = head.headers.valueOf(dialect.notExecuted) != null || head.status == MISDIRECTED
            if (isDenied) {
                use = EndpointUse.Refused
                return AttemptResult.Ended(AttemptEnd.NOT_EXECUTED, "refused with ${head.status}")
            }
            // A status that promises that nothing has run must not be passed on without the endpoint's word for it.
            if (head.status in PROMISES) return failed(AttemptEnd.BROKEN, "status ${head.status} without a denial")
            if (head.status < SERVER_ERROR) return deliver(head, body)
            use = EndpointUse.Failed
            return AttemptResult.Ended(AttemptEnd.FAILED, "failed with ${head.status}", head to body)
        }

        private suspend fun deliver(
            head: ResponseHead,
            body: ByteArray,
        ): AttemptResult {
            use = EndpointUse.Answered(clock.now() - start)
            sink.whole(head, body)
            return AttemptResult.Delivered
        }

        private suspend fun takeWhole(head: ResponseHead): AttemptResult {
            val held = ByteArrayOutputStream()
            var isPassedOn = false
            while (true) {
                val arrival = awaitPart(attempt.gapLimit)
                val part = (arrival as? Arrival.Part)?.part
                when {
                    part is HttpPart.Data && !isPassedOn -> held.write(part.bytes)
                    part is HttpPart.Data -> if (!sink.piece(head, part.bytes)) return AttemptResult.Delivered
                    part == HttpPart.End -> break
                    arrival == Arrival.Stalled -> return failed(
                        AttemptEnd.STALLED,
                        "answer paused for ${attempt.gapLimit}",
                    )
                    else -> return failed(AttemptEnd.BROKEN, "answer was cut")
                }
                if (!isPassedOn && held.size() > BODY_LIMIT) {
                    isPassedOn = true
                    if (!sink.piece(head, held.toByteArray())) return AttemptResult.Delivered
                }
            }
            finish(head)
            use = EndpointUse.Answered(clock.now() - start)
            if (isPassedOn) sink.end(head) else sink.whole(head, held.toByteArray())
            return AttemptResult.Delivered
        }

        private suspend fun takeEvents(head: ResponseHead): AttemptResult {
            val splitter = eventSplitter()
            var hasEvents = false
            while (true) {
                val limit = if (hasEvents) attempt.gapLimit else attempt.firstByteLimit - (clock.now() - start)
                val arrival = awaitPart(limit.coerceAtLeast(1.milliseconds))
                val part = (arrival as? Arrival.Part)?.part
                when {
                    part is HttpPart.Data ->
                        for (event in splitter.add(part.bytes)) {
                            if (!hasEvents) use = EndpointUse.Answered(clock.now() - start)
                            hasEvents = true
                            if (!sink.event(head, event)) return AttemptResult.Delivered
                        }
                    part == HttpPart.End -> break
                    arrival == Arrival.Stalled -> return failed(AttemptEnd.STALLED, "stream paused for $limit")
                    else -> return failed(AttemptEnd.BROKEN, "stream was cut")
                }
            }
            if (splitter.isInsideEvent) return failed(AttemptEnd.BROKEN, "stream ended inside an event")
            finish(head)
            sink.end(head)
            return AttemptResult.Delivered
        }

        private suspend fun awaitPart(limit: Duration): Arrival =
            withTimeoutOrNull(limit) { link.receive()?.let { Arrival.Part(it) } ?: Arrival.Ended } ?: Arrival.Stalled

        private suspend fun readBody(limit: Int): ByteArray? {
            val body = ByteArrayOutputStream()
            while (body.size() <= limit) {
                when (val part = (awaitPart(attempt.gapLimit) as? Arrival.Part)?.part) {
                    is HttpPart.Data -> body.write(part.bytes)
                    HttpPart.End -> return body.toByteArray()
                    else -> return null
                }
            }
            return null
        }

        /** A connection is used again only if the whole request was sent and nothing more has arrived. */
        private fun finish(head: ResponseHead) {
            val isReusable = !head.isLast && sent.isCompleted && link.isIdle
            keepFor = if (isReusable) keepTimeOf(head) else null
        }

        private fun failed(
            end: AttemptEnd,
            detail: String,
        ): AttemptResult {
            use = EndpointUse.Failed
            keepFor = null
            return AttemptResult.Ended(end, detail)
        }
    }

    /** What a wait for the next part brought. */
    private sealed interface Arrival {
        class Part(
            val part: HttpPart,
        ) : Arrival

        data object Ended : Arrival

        data object Stalled : Arrival
    }

    private companion object {
        /** A sound endpoint accepts within a few milliseconds; one that is full drops the first packet for seconds. */
        val CONNECT_TIMEOUT = 400.milliseconds

        /** Idle time after which a connection is not trusted with a request that may run only once. */
        val FRESH = 300.milliseconds

        /** Longest answer that is held until it is complete, so that it can be repeated elsewhere. */
        const val BODY_LIMIT = 262_144

        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500
        val INTERIM = 100..199
        val SUCCESS = 200..299
        val PROMISES = setOf(408, 421, 429, 503)
    }
}

/** Returns how long the connection may stay idle: less than the endpoint says, as both ends may close it. */
private fun keepTimeOf(head: ResponseHead): Duration {
    val seconds =
        head.headers
            .valueOf("Keep-Alive")
            ?.split(',')
            ?.map { it.trim() }
            ?.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')
            ?.toIntOrNull() ?: return DEFAULT_KEEP
    return seconds.seconds * KEEP_SHARE
}

private fun isEventStream(head: ResponseHead): Boolean =
    head.headers.valueOf("Content-Type")?.startsWith("text/event-stream") == true

/** Idle time for which a connection is kept if the endpoint names none. */
private val DEFAULT_KEEP = 2.seconds

/** Part of the announced idle time that is used; the endpoint's clock started earlier. */
private const val KEEP_SHARE = 0.6
