package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.tasks.http.ResponseHead

/**
 * Sends a request to another endpoint while the endpoint of an attempt is silent.
 *
 * The silent endpoint is kept until the other one has begun to answer. If it were given up before, a refusal of the
 * other one would end the request although the silent endpoint may go on with it.
 */
internal interface Standby {
    /** True once the other endpoint has begun to answer, so that the silent one must not be used any more. */
    val isAccepted: Boolean

    /**
     * Sends the request to another endpoint, unless it was sent to one already or none can serve it. Calls [abandon]
     * once that endpoint begins to answer.
     */
    suspend fun start(abandon: () -> Unit)

    /** Ends the attempt at the other endpoint, as the silent one goes on; returns false if [isAccepted]. */
    fun cancel(): Boolean
}

/** Attempt at [endpoint] beside one that is silent. */
internal class StandbyAttempt(
    val endpoint: LiveEndpoint,
    val standby: EndpointStandby,
    private val abandon: () -> Unit,
) {
    private val released = CompletableDeferred<Unit>()

    /** Result of the attempt. */
    lateinit var result: Deferred<AttemptResult>

    /** True once the endpoint has begun to answer, or the attempt before this one has ended. */
    var isAccepted = false
        private set

    /** True once this attempt is the only one of its request. */
    val isPromoted: Boolean get() = released.isCompleted

    /** Makes this attempt the only one, as the one before it has ended, whose connection may be in use again. */
    fun promote() {
        isAccepted = true
        released.complete(Unit)
    }

    /** Waits until the attempt before this one has ended, whose part of the answer this one continues. */
    suspend fun awaitTurn() {
        if (!isAccepted) {
            isAccepted = true
            abandon()
        }
        released.await()
    }
}

/**
 * Standby of one attempt. Used by the coroutines of one request, which all run on the event loop of the process.
 *
 * @param scope scope of the request
 * @param choose returns the endpoint to which the request is sent as well, or null if none can serve it now
 * @param createNext returns the standby of an attempt at the given endpoint
 * @param run runs an attempt, which writes to the given sink
 */
internal class EndpointStandby(
    private val scope: CoroutineScope,
    private val answer: AnswerSink,
    private val choose: suspend () -> LiveEndpoint?,
    private val createNext: (LiveEndpoint) -> EndpointStandby,
    private val run: suspend (StandbyAttempt, AnswerSink) -> AttemptResult,
) : Standby {
    private var other: StandbyAttempt? = null

    /** Attempt at another endpoint that has not ended, or null. */
    val running: StandbyAttempt? get() = other?.takeIf { it.result.isActive }

    override val isAccepted: Boolean get() = running?.isAccepted == true

    override suspend fun start(abandon: () -> Unit) {
        if (running != null) return
        val endpoint = choose() ?: return
        val attempt = StandbyAttempt(endpoint, createNext(endpoint), abandon)
        // Started at once, so that the end of an attempt that is cancelled before it runs is counted as well.
        attempt.result =
            scope.async(start = CoroutineStart.UNDISPATCHED) { run(attempt, StandbySink(answer, attempt::awaitTurn)) }
        other = attempt
    }

    override fun cancel(): Boolean {
        if (isAccepted) return false
        close()
        return true
    }

    /** Ends the attempt at the other endpoint in any case. */
    fun close() {
        running?.result?.cancel()
    }
}

/** Sink of an attempt that passes nothing on before [awaitTurn] returns. */
private class StandbySink(
    private val answer: AnswerSink,
    private val awaitTurn: suspend () -> Unit,
) : AnswerSink {
    override val isBegun: Boolean get() = answer.isBegun

    override suspend fun sendAnswer(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean {
        awaitTurn()
        return answer.sendAnswer(head, body)
    }

    override suspend fun sendEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        awaitTurn()
        return answer.sendEvent(head, event)
    }

    override suspend fun sendPiece(
        head: ResponseHead,
        bytes: ByteArray,
    ): Boolean {
        awaitTurn()
        return answer.sendPiece(head, bytes)
    }

    override suspend fun sendEnd(head: ResponseHead): Boolean {
        awaitTurn()
        return answer.sendEnd(head)
    }
}
