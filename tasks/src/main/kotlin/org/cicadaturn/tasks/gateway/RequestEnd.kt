package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.RequestLine
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.valueOf
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Who ended a request. */
internal enum class RequestOutcome {
    /** The caller got a whole answer of an endpoint or of this process. */
    ANSWERED,

    /** This process closed the connection before the answer was complete. */
    CUT,

    /** The caller closed the connection before the answer was complete. */
    LEFT,
}

/**
 * How a request ended, for logs and metrics.
 *
 * @property status status that was sent to the caller; 0 if the caller left, null if no answer had begun
 * @property summary what the answer of the endpoint looked like; null if there was none, or a failure
 */
internal data class RequestEnd(
    val outcome: RequestOutcome,
    val status: Int?,
    val reason: String,
    val keepsConnection: Boolean,
    val summary: AnswerSummary? = null,
)

/** Returns the end of a request whose caller closed the connection, as noticed by a read or by a failed write. */
internal fun callerLeft(reason: String = "caller left"): RequestEnd =
    RequestEnd(RequestOutcome.LEFT, status = 0, reason, keepsConnection = false)

/**
 * What is known of a request in progress, so that its last line can be written at any time. Used by the coroutine of the
 * request only.
 *
 * @property arrivedAt time at which the head of the request was received
 * @property endpoint endpoint that the request was sent to last
 * @property sends number of times that the request was sent to an endpoint
 * @property placedAt time at which the request was placed at [endpoint]
 * @property begunAt time at which the answer began
 * @property connectionEnd how the connection to [endpoint] ended; null if it was open at the end of the attempt
 * @property earlierRequests number of requests that the connection to the endpoint had carried before
 */
internal class RequestProgress(
    val arrivedAt: Instant,
) {
    var service: ServiceId? = null
    var endpoint: EndpointId? = null
    var sends = 0
    var placedAt: Instant? = null
    var begunAt: Instant? = null
    var connectionEnd: ConnectionEnd? = null
    var earlierRequests: Int? = null
}

/** Writes the last line of each request, and a line for each one in progress in a stop, and counts how requests end. */
internal class RequestEndLog(
    private val journal: RequestJournal,
    private val metrics: GatewayMetrics,
    private val dialect: GatewayDialect,
    private val clock: Clock,
    private val shutdown: Shutdown,
    private val times: RequestTimeRecord,
) {
    /** Limit on the lines of requests without a route or a key, whose number is up to callers. */
    private val notAdmitted = LineLimit()

    /** Records that the request with [head] ended with [end] after [sentEvents] events were passed on. */
    fun record(
        head: RequestHead,
        progress: RequestProgress,
        sentEvents: Int,
        end: RequestEnd,
    ) {
        val now = clock.now()
        metrics.ended(progress.service, end, now - progress.arrivedAt)
        if (progress.service == null && end.outcome != RequestOutcome.CUT && !notAdmitted.mayWrite(now)) return
        val line =
            lineOf("end", head, progress, sentEvents, now).copy(
                prompt = promptText(dialect.promptOf(head.headers))?.take(MAX_PROMPT_CHARACTERS),
                detail = end.reason,
                end = end.outcome.name,
                status = end.status,
            )
        journal(line.withAnswer(end.summary))
    }

    /**
     * Records that the request with [head] is in progress in a stop, as it was when the stop began or when it arrived
     * later. A process that is killed within its stop leaves no other line of it.
     */
    fun recordInStop(
        head: RequestHead,
        progress: RequestProgress,
        sentEvents: Int,
    ) = journal(lineOf("stop", head, progress, sentEvents, clock.now()))

    private fun lineOf(
        event: String,
        head: RequestHead,
        progress: RequestProgress,
        sentEvents: Int,
        now: Instant,
    ): RequestLine =
        RequestLine(
            event = event,
            request = head.headers.valueOf(dialect.requestId)?.take(MAX_ID_CHARACTERS),
            service = progress.service?.text,
            endpoint = progress.endpoint?.text,
            sends = progress.sends,
            earlierRequests = progress.earlierRequests,
            connection = progress.connectionEnd?.name,
            sentEvents = sentEvents.takeIf { it > 0 },
            placedMs = progress.placedAt?.let { (it - progress.arrivedAt).inWholeMilliseconds },
            firstMs = progress.begunAt?.let { (it - progress.arrivedAt).inWholeMilliseconds },
            ms = (now - progress.arrivedAt).inWholeMilliseconds,
        ).withStop(shutdown.times, progress.service?.let { times.recent.value[it] }, now)

    private companion object {
        /** Longest identifier in a line; those of callers have 16 characters. */
        const val MAX_ID_CHARACTERS = 128

        /** Longest prompt in a line; 16 segments of 64 characters. */
        const val MAX_PROMPT_CHARACTERS = 1_024
    }
}

/** Limit on lines of one kind: [LINES_PER_SECOND] in each second, of the 50 that the log takes. */
private class LineLimit {
    private var since = Instant.DISTANT_PAST
    private var written = 0

    fun mayWrite(now: Instant): Boolean {
        if (now - since >= 1.seconds) {
            since = now
            written = 0
        }
        written += 1
        return written <= LINES_PER_SECOND
    }

    private companion object {
        const val LINES_PER_SECOND = 10
    }
}
