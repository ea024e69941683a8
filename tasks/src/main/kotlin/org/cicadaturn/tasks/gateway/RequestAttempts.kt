package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.AttemptHistory
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.ResponseHead
import kotlin.time.Clock
import kotlin.time.Duration

/** Runs the attempts of one request and keeps to which endpoints it was sent, and what it may have done there. */
internal class RequestAttempts(
    private val service: ServiceId,
    private val route: Route,
    private val requests: AttemptRequests,
    private val gate: PromptGate,
    private val progress: RequestProgress,
    private val exchange: Exchange,
    private val clock: Clock,
) {
    /** Endpoints that the request was sent to. */
    private val tried = HashSet<EndpointId>()

    /** Endpoints that may have run the request or could not be reached. */
    private val excluded = HashSet<EndpointId>()

    /** Endpoints in [excluded] that were given up for their silence alone, so that they may still serve the request. */
    private val silenced = HashSet<EndpointId>()

    /** True once no other endpoint takes the request, so that it may return to one of [silenced]. */
    private var isReturnAllowed = false
    private var unsent = 0

    /** True if an endpoint may have run the request. */
    var mayHaveRun = false
        private set

    /** Last failure that an endpoint answered with. */
    var lastFailure: Pair<ResponseHead, ByteArray>? = null
        private set

    /**
     * Runs an attempt at [endpoint], whose answer goes to [sink].
     *
     * @param isCurrent returns true if it is the only attempt, so that its progress is that of the request
     */
    suspend fun run(
        endpoint: LiveEndpoint,
        remaining: Duration,
        sink: AnswerSink,
        standby: Standby,
        isCurrent: () -> Boolean,
    ): AttemptResult {
        // Counted before the request is sent, as "not run" must not be answered once it may have been sent.
        val isFirst = tried.add(endpoint.id)
        progress.sends += 1
        val observation = gate.observe(endpoint)
        val attempt =
            requests.to(
                endpoint,
                remaining,
                standby,
                AttemptObserver(
                    onConnected = { if (isCurrent()) progress.earlierRequests = it },
                    onDisconnected = { if (isCurrent()) progress.connectionEnd = it },
                    onProgress = { recordProgress(observation, it, isCurrent()) },
                    onNumbersShown = requests::numbersShown,
                ),
            )
        val result =
            try {
                exchange.run(attempt, sink)
            } catch (e: CancellationException) {
                mayHaveRun = true
                throw e
            }
        observation.ended()
        requests.ended(attempt, result)
        if (result !is AttemptResult.Failed) return result
        if (result.isDisconnected) observation.lost()
        if (result.end == AttemptEnd.NOT_SENT) {
            // One that had the request before still counts.
            if (isFirst) tried -= endpoint.id
            excluded += endpoint.id
            progress.sends -= 1
            unsent += 1
        }
        if (result.end !in NOT_RUN_ENDS) {
            excluded += endpoint.id
            mayHaveRun = true
        }
        when (result.end) {
            AttemptEnd.STALLED -> silenced += endpoint.id
            // The run that was given up may still hold the place of the request.
            AttemptEnd.NOT_EXECUTED -> Unit
            else -> silenced -= endpoint.id
        }
        result.failure?.let { lastFailure = it }
        return result
    }

    private fun recordProgress(
        observation: PromptObservation,
        reached: AnswerProgress,
        isCurrent: Boolean,
    ) {
        if (isCurrent && reached >= AnswerProgress.BEGINNING && progress.begunAt == null) progress.begunAt = clock.now()
        observation.advance(reached)
    }

    /**
     * Returns what the endpoint of the next attempt must be.
     *
     * @param silent endpoint that is running the request without an answer, or null
     */
    fun endpointRequest(
        canWait: Boolean,
        silent: EndpointId? = null,
    ): EndpointRequest {
        val isLimitReached = tried.size >= route.attempts
        // The second attempt goes to another endpoint; later ones may return to an endpoint that refused, and to a silent
        // one once no other endpoint is left. Beside a silent endpoint, the request stays with two attempts.
        val others =
            when {
                progress.sends <= 1 -> tried + excluded
                (isLimitReached || isReturnAllowed) && silent == null -> excluded - silenced
                else -> excluded
            }
        return EndpointRequest(
            service,
            excluded = others + listOfNotNull(silent),
            only = tried.toSet().takeIf { isLimitReached },
            isRetry = progress.sends > 0,
            canWait = canWait,
        )
    }

    /**
     * Lets a request that no other endpoint takes return to one that was only silent; returns false if there is none, or
     * if this was allowed before.
     */
    fun allowReturn(): Boolean {
        if (isReturnAllowed || silenced.isEmpty()) return false
        isReturnAllowed = true
        return true
    }

    fun history(
        isAnswerBegun: Boolean,
        remaining: Duration,
        holdTimeLeft: Duration,
    ): AttemptHistory =
        AttemptHistory(
            kind = route.kind,
            isResumable = route.resumable,
            endpointsTried = tried.size,
            maxEndpoints = route.attempts,
            unsentAttempts = unsent,
            mayHaveRun = mayHaveRun,
            canAskAgain = tried.any { it !in excluded || it in silenced },
            isAnswerBegun = isAnswerBegun,
            remaining = remaining,
            holdTimeLeft = holdTimeLeft,
        )

    private companion object {
        val NOT_RUN_ENDS = setOf(AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED)
    }
}
