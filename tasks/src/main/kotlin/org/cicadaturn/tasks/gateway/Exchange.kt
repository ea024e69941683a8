package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.EventGap
import org.cicadaturn.decisions.gateway.ExpectedEvents
import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.connect
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One attempt to get an answer to a request from an endpoint.
 *
 * @property head head of the request as it is sent to the endpoint
 * @property requestId identifier that the endpoint must echo; null if the caller sent none
 * @property silenceLimit longest wait for the answer, and for the next event or piece of it, before [standby] is started
 * @property standby sends the request to another endpoint while this one is silent; null if only this one may have it
 * @property timeLimit time after which the attempt ends if no answer has come
 * @property events what the events must be; null if the answer must be a body
 * @property pauseTarget pause between events up to which callers value a stream fully; null if there is none
 * @property remaining time left until the deadline
 * @property observer receives what happens in the attempt
 */
internal class AttemptRequest(
    val endpoint: LiveEndpoint,
    val kind: RouteKind,
    val head: RequestHead,
    val body: ByteArray,
    val requestId: String?,
    val silenceLimit: Duration,
    val standby: Standby?,
    val timeLimit: Duration,
    val events: ExpectedEvents?,
    val pauseTarget: Duration?,
    val remaining: Duration,
    val observer: AttemptObserver,
)

/**
 * Receives what happens in an attempt.
 *
 * @property onConnected called with the number of requests that the connection to the endpoint has carried before
 * @property onDisconnected called if the connection to the endpoint has ended before the attempt
 * @property onProgress called each time that the answer has come further
 * @property onNumbersShown called once an answer has as many events as show how they are numbered
 */
internal class AttemptObserver(
    val onConnected: (earlierRequests: Int) -> Unit,
    val onDisconnected: (ConnectionEnd) -> Unit,
    val onProgress: (AnswerProgress) -> Unit,
    val onNumbersShown: (AttemptRequest, AnswerSummary?) -> Unit,
)

/** Receives the parts of an answer as soon as they can be passed on to the caller. */
internal interface AnswerSink {
    /** True once a part of an answer may have reached the caller; what follows must continue it. */
    val isBegun: Boolean

    /** Passes on a complete answer; returns false if the caller is gone. */
    suspend fun sendAnswer(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean

    /** Passes on the next event of a stream whose answer began with [head]; returns false if the caller is gone. */
    suspend fun sendEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean

    /** Passes on a piece of an answer that is too long to be buffered; returns false if the caller is gone. */
    suspend fun sendPiece(
        head: ResponseHead,
        bytes: ByteArray,
    ): Boolean

    /** Passes on the end of an answer that was sent in events or pieces; returns false if the caller is gone. */
    suspend fun sendEnd(head: ResponseHead): Boolean
}

/** Result of an attempt. */
internal sealed interface AttemptResult {
    /** What the answer looked like; null if there was no head, or that of a failure. */
    val summary: AnswerSummary?

    /**
     * The sink has received the complete answer, or the caller is gone.
     *
     * @property isComplete false if the caller left before the end of the answer
     */
    class Delivered(
        override val summary: AnswerSummary?,
        val isComplete: Boolean = true,
    ) : AttemptResult

    /**
     * The attempt failed.
     *
     * @property failure error answer of the endpoint, if it sent one
     * @property events number of events that the endpoint sent; null if it sent no head of a stream
     * @property isDisconnected true if the endpoint ended the connection before the answer was complete
     * @property canContinue false if the caller may have got a wrong event, so that no endpoint can continue the stream
     * @property gap the defect if it is only that the numbers of the events leave some out; null if not
     */
    class Failed(
        val end: AttemptEnd,
        val detail: String,
        val failure: Pair<ResponseHead, ByteArray>? = null,
        val events: Int? = null,
        override val summary: AnswerSummary? = null,
        val isDisconnected: Boolean = false,
        val canContinue: Boolean = true,
        val gap: EventGap? = null,
    ) : AttemptResult
}

/** Runs attempts over pooled or new connections. */
internal class Exchange(
    private val connector: HttpConnector,
    private val pool: ConnectionPool,
    private val balancer: Balancer,
    private val dialect: GatewayDialect,
    private val clock: Clock,
    private val memory: BodyMemory,
    private val closedAnswers: ClosedAnswerCheck,
) {
    /** Runs [attempt] to its end and reports to the balancer how the endpoint was used. */
    suspend fun run(
        attempt: AttemptRequest,
        sink: AnswerSink,
    ): AttemptResult {
        val id = attempt.endpoint.id
        var use: EndpointUse = EndpointUse.Abandoned
        var connection: EndpointConnection? = null
        var keepAliveTime: Duration? = null
        var execution: AttemptExecution? = null
        val reservation = memory.reservation()
        try {
            val start = clock.now()
            connection = open(attempt)
            if (connection == null) {
                use = EndpointUse.Lost
                return AttemptResult.Failed(AttemptEnd.NOT_SENT, "no connection after ${clock.now() - start}")
            }
            attempt.observer.onConnected(connection.requestIds.size)
            val sent = connection.link.sendRequest(attempt.head, attempt.body)
            execution =
                AttemptExecution(
                    attempt,
                    connection,
                    sink,
                    sent,
                    balancer,
                    dialect,
                    clock,
                    reservation,
                    closedAnswers,
                )
            val result = execution.run()
            use = execution.use
            keepAliveTime = execution.keepAliveTime
            return result
        } finally {
            reservation.close()
            connection?.link?.end?.let(attempt.observer.onDisconnected)
            balancer.finished(id, use)
            if (execution?.hasSurplus == true) pool.surplusReceived(id)
            if (connection != null && keepAliveTime != null) {
                val requestIds = connection.requestIds + listOfNotNull(attempt.requestId)
                pool.put(id, connection.copy(requestIds = requestIds), keepAliveTime)
            } else {
                connection?.link?.close()
            }
        }
    }

    /**
     * Returns a pooled or new connection, or null. A request that may run only once gets a pooled connection only if it
     * was used a short time ago, as the endpoint may be closing one that has been idle for longer. A request without an
     * identifier gets a new connection, as its answer could not be told from a surplus one.
     */
    private suspend fun open(attempt: AttemptRequest): EndpointConnection? {
        val canBeRepeated = attempt.kind != RouteKind.AT_MOST_ONCE
        val maxIdleTime = if (canBeRepeated) DEFAULT_KEEP_ALIVE else AT_MOST_ONCE_IDLE_LIMIT
        return takeIdle(attempt, maxIdleTime)
            ?: connector
                .connect(attempt.endpoint.address, minOf(CONNECT_TIMEOUT, attempt.remaining))
                ?.let { EndpointConnection(it) }
    }

    private suspend fun takeIdle(
        attempt: AttemptRequest,
        maxIdleTime: Duration,
    ): EndpointConnection? {
        val requestId = attempt.requestId ?: return null
        val connection = pool.take(attempt.endpoint.id, maxIdleTime, requestId) ?: return null
        // Bytes may have arrived since the pool verified the connection.
        if (connection.link.isIdle) return connection
        if (connection.link.hasSurplus) pool.surplusReceived(attempt.endpoint.id)
        connection.link.close()
        return null
    }

    private companion object {
        /**
         * A healthy endpoint accepts a connection within a few milliseconds; one with a full accept queue drops SYN
         * packets for seconds.
         */
        val CONNECT_TIMEOUT = 400.milliseconds

        /** Longest idle time of a connection that is used for a request that may run only once. */
        val AT_MOST_ONCE_IDLE_LIMIT = 300.milliseconds
    }
}

/** Idle time for which a connection is kept if the endpoint announces none. */
internal val DEFAULT_KEEP_ALIVE = 2.seconds
