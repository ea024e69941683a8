package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.gateway.Admission
import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.AttemptHistory
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.NextStep
import org.cicadaturn.decisions.gateway.RequestTimes
import org.cicadaturn.decisions.gateway.StopTimes
import org.cicadaturn.decisions.gateway.TimeEstimate
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.gateway.canEndBefore
import org.cicadaturn.decisions.gateway.estimateAt
import org.cicadaturn.decisions.gateway.finalStep
import org.cicadaturn.decisions.gateway.maxHoldTime
import org.cicadaturn.decisions.gateway.maxStreamGap
import org.cicadaturn.decisions.gateway.nextStep
import org.cicadaturn.decisions.gateway.retryDelay
import org.cicadaturn.decisions.gateway.timeSpent
import org.cicadaturn.decisions.quarantine.Verdict
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RequestLine
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.valueOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Handling of one admitted [request] from its arrival to its end. */
internal class RequestExecution(
    private val request: CallerRequest,
    private val admission: Admission.Admitted,
    private val service: ServiceId,
    private val answer: CallerAnswer,
    private val progress: RequestProgress,
    private val dependencies: RequestDependencies,
) {
    private val dialect = dependencies.dialect
    private val balancer = dependencies.balancer
    private val clock = dependencies.clock
    private val route: Route = admission.route
    private val isResumable = route.kind == RouteKind.STREAM && route.resumable
    private val isRepeatable = route.kind == RouteKind.IDEMPOTENT || route.resumable
    private val id = request.head.headers.valueOf(dialect.requestId)
    private val prompt = dialect.promptOf(request.head.headers)
    private val gate = promptGate(request, admission, service, prompt, dependencies)
    private val attempts =
        RequestAttempts(
            service,
            route,
            AttemptRequests(request, admission, answer, dependencies),
            gate,
            progress,
            dependencies.exchange,
            clock,
        )
    private val deadline = request.arrivedAt + timeLimit()
    private val streamGap = maxStreamGap(route.latencyTarget, route.pauseTarget)
    private val holdUntil = request.arrivedAt + maxHoldTime(route.kind, timeLimit())

    /** Time from which the request may be sent to another endpoint while one is silent. */
    private var nextStandbyAt = Instant.DISTANT_PAST

    private fun timeLimit(): Duration {
        val requested = request.head.headers.valueOf(dialect.deadlineMillis)
        val limit = requested?.trim()?.toLongOrNull()?.milliseconds
        return minOf(limit ?: route.timeout, route.timeout)
    }

    private fun remaining(): Duration = deadline - clock.now()

    suspend fun run(): RequestEnd {
        balancer.arrived(service)
        try {
            val end = withTimeoutOrNull(remaining().coerceAtLeast(1.milliseconds)) { attemptsUntilLastCall() }
            return end ?: expire()
        } finally {
            gate.close()
        }
    }

    /** Returns null if the process ends before the request. */
    private suspend fun attemptsUntilLastCall(): RequestEnd? =
        coroutineScope {
            val end = async { runAttempts(this) }
            select {
                end.onAwait { it }
                dependencies.shutdown.lastCall.onJoin {
                    end.cancel()
                    null
                }
            }
        }

    /** Ends the request, whose time is over or whose process ends. */
    private suspend fun expire(): RequestEnd {
        recordTime()
        val cause = if (dependencies.shutdown.lastCall.isCompleted) "the process ends" else "deadline passed"
        return when {
            answer.isBegun -> answer.cut("$cause within the answer")
            progress.sends > 0 -> answer.sendError(GATEWAY_TIMEOUT, cause, emptyList())
            else -> answer.refuse(DEFAULT_RETRY_DELAY, "$cause before an endpoint was found")
        }
    }

    /**
     * Returns false if the process is stopping and would probably end within the request. An answer that has begun goes
     * on in any case, as only a cut could end it.
     */
    private fun canEndBeforeShutdown(): Boolean {
        val stop = dependencies.shutdown.times ?: return true
        return answer.isBegun || canAttemptEnd(stop, stop.estimateAt(clock.now(), request.arrivedAt, isRepeatable))
    }

    /** Judged by the longest time, as an endpoint that is silent may still answer earlier. */
    private fun canRepeatInTime(): Boolean =
        dependencies.shutdown.times?.let { canAttemptEnd(it, TimeEstimate.LONGEST) } ?: true

    private fun canAttemptEnd(
        stop: StopTimes,
        estimate: TimeEstimate,
    ): Boolean = canEndBefore(stop.endsAt - clock.now(), remaining(), recentTimes(), estimate)

    private fun recentTimes(): RequestTimes? = dependencies.times.recent.value[service]

    private suspend fun refuseForShutdown(last: AttemptEnd): RequestEnd {
        val step = finalStep(last, history())
        record("shutdown", null, "the process ends before the request could", step)
        return finish(step, "the process is stopping", retryDelay(remaining(), Duration.ZERO))
    }

    private suspend fun runAttempts(scope: CoroutineScope): RequestEnd {
        var last = AttemptEnd.NOT_SENT
        while (true) {
            if (!canEndBeforeShutdown()) return refuseForShutdown(last)
            val verdict = gate.pass(trialTime())
            if (verdict != Verdict.Clear) return holdBack(verdict, last)
            when (val placement = place()) {
                is Placement.Placed -> {
                    // Both may have changed while the request waited for its place.
                    if (!gate.isOpen() || !canEndBeforeShutdown()) {
                        balancer.finished(placement.endpoint.id, EndpointUse.Abandoned)
                        continue
                    }
                    val (endpoint, result) = attempt(scope, placement.endpoint)
                    if (result !is AttemptResult.Failed) return answered(result.summary)
                    last = result.end
                    val step = if (result.canContinue) nextStep(result.end, history()) else NextStep.CUT
                    record("attempt", endpoint, result.detail, step, result)
                    if (step == NextStep.HOLD) delay(minOf(holdTime(), HOLD_PAUSE * progress.sends))
                    if (step != NextStep.REPEAT && step != NextStep.HOLD) {
                        return finish(step, result.detail, retryDelay(remaining()))
                    }
                }
                is Placement.Rejected -> {
                    if (canAwaitPlace(placement.cause)) {
                        delay(minOf(holdTime(), HOLD_PAUSE))
                        continue
                    }
                    val step = finalStep(last, history())
                    val delay = retryDelay(remaining(), placement.retryAfter, placement.notBefore)
                    return finish(step, placement.cause.text, delay)
                }
                is Placement.Waiting -> error("a wait ends with another placement")
            }
        }
    }

    private fun answered(summary: AnswerSummary?): RequestEnd {
        val end = answer.result().copy(summary = summary)
        // A caller that left tells nothing about the time of a whole answer.
        if (end.outcome == RequestOutcome.ANSWERED) recordTime()
        return end
    }

    private fun recordTime() {
        progress.placedAt?.let { dependencies.times.answered(service, clock.now() - it) }
    }

    /** Ends the request without sending it, or sending it again, because of [verdict]. */
    private suspend fun holdBack(
        verdict: Verdict,
        last: AttemptEnd,
    ): RequestEnd {
        val step = finalStep(last, history())
        record("quarantine", null, "$verdict", step)
        dependencies.metrics.judged(service, actionFor(verdict))
        return finish(step, reasonFor(verdict), retryDelayFor(verdict) { retryDelay(remaining(), it) })
    }

    private suspend fun place(): Placement {
        val placement = balancer.place(dispatchRequest())
        if (placement !is Placement.Waiting) return placement
        record("wait", null, placement.cause.text, null)
        return balancer.await(placement)
    }

    private fun dispatchRequest(endpoint: EndpointRequest = endpointRequest()): DispatchRequest =
        DispatchRequest(
            endpoint = endpoint,
            organisation = admission.organisation,
            priority = admission.priority,
            bytes = request.body.size,
            aimUntil = request.arrivedAt - timeSpent() + route.latencyTarget * START_SHARE,
            waitUntil = if (answer.isBegun) clock.now() else clock.now() + holdTime(),
            hasReturned = timeSpent() > MIN_RETURN_TIME,
        )

    /** Time that the caller had spent on earlier attempts, as far as its deadline tells. */
    private fun timeSpent(): Duration = timeSpent(route.timeout, timeLimit())

    private fun record(
        event: String,
        endpoint: LiveEndpoint?,
        detail: String,
        step: NextStep?,
        result: AttemptResult.Failed? = null,
    ) {
        val state = dependencies.fleet.value
        dependencies.journal(
            RequestLine(
                event = event,
                request = id,
                route = route.name,
                service = service.text,
                endpoint = endpoint?.id?.text,
                address = endpoint?.address?.let { "${it.ip}:${it.port}" },
                configuration = state.view.configuration?.version,
                endpointsPosition = state.view.endpointsPosition,
                current = state.isConfigurationCurrent,
                sends = progress.sends,
                remainingMs = remaining().inWholeMilliseconds,
                prompt = promptText(prompt),
                digest = gate.knownDigest?.text,
                events = result?.events,
                earlierRequests = endpoint?.let { progress.earlierRequests },
                connection = endpoint?.let { progress.connectionEnd?.name },
                detail = detail,
                step = step?.name,
            ).withAnswer(result?.summary).withStop(dependencies.shutdown.times, recentTimes(), clock.now()),
        )
    }

    private fun endpointRequest(): EndpointRequest =
        attempts.endpointRequest(canWait = !answer.isBegun && holdTime() > Duration.ZERO)

    /**
     * Returns how long the request may still wait. A stream that has begun waits as long as its caller waits for the next
     * event; another request that may have been run does not wait.
     */
    private fun holdTime(): Duration {
        val until =
            when {
                answer.isBegun && isResumable -> answer.lastSentAt + streamGap
                answer.isBegun || attempts.mayHaveRun -> return Duration.ZERO
                else -> holdUntil
            }
        return minOf(until - clock.now(), remaining()).coerceAtLeast(Duration.ZERO)
    }

    /**
     * Returns how long the request may wait for a trial. One that was lost may be repeated here, and may be a suspect
     * only because it was lost beside another.
     */
    private fun trialTime(): Duration =
        if (answer.isBegun) holdTime() else minOf(holdUntil - clock.now(), remaining()).coerceAtLeast(Duration.ZERO)

    /** Returns true if an answer that has begun waits for a place, as a cut is worse for its caller than the wait. */
    private fun canAwaitPlace(cause: Unavailability): Boolean =
        answer.isBegun && holdTime() > Duration.ZERO && (attempts.allowReturn() || cause.mayPass)

    private data class EndedAttempt(
        val endpoint: LiveEndpoint,
        val result: AttemptResult,
    )

    /** Runs an attempt at [first], and at the endpoints that replace it; returns how the last one ended. */
    private suspend fun attempt(
        scope: CoroutineScope,
        first: LiveEndpoint,
    ): EndedAttempt {
        var endpoint = first
        var standby = standbyOf(scope, endpoint, isActive = true)
        beginAt(endpoint, clock.now())
        var result = attempts.run(endpoint, remaining(), answer, standby, isCurrent = { true })
        while (result is AttemptResult.Failed && result.canContinue) {
            val next = standby.running ?: break
            record("attempt", endpoint, result.detail, NextStep.REPEAT, result)
            endpoint = next.endpoint
            standby = next.standby
            beginAt(endpoint, next.startedAt)
            if (next.isAccepted) progress.begunAt = progress.begunAt ?: clock.now()
            next.promote()
            result = next.result.await()
        }
        standby.close()
        return EndedAttempt(endpoint, result)
    }

    private fun beginAt(
        endpoint: LiveEndpoint,
        time: Instant,
    ) {
        progress.endpoint = endpoint.id
        progress.placedAt = time
        progress.connectionEnd = null
        progress.earlierRequests = null
    }

    private fun standbyOf(
        scope: CoroutineScope,
        endpoint: LiveEndpoint,
        isActive: Boolean,
    ): EndpointStandby =
        EndpointStandby(
            scope,
            answer,
            clock,
            isActive,
            choose = { chooseBeside(endpoint) },
            createNext = { standbyOf(scope, it, isActive = false) },
            run = ::runStandby,
        )

    /** Returns another endpoint than [silent] that can serve the request now, or null. */
    private suspend fun chooseBeside(silent: LiveEndpoint): LiveEndpoint? {
        val canHelp = (!answer.isBegun || isResumable) && gate.isOpen() && !gate.hasTrial && canRepeatInTime()
        if (!canHelp || clock.now() < nextStandbyAt) return null
        val request = attempts.endpointRequest(canWait = false, silent = silent.id)
        if (!balancer.canPlace(request)) return null
        val placement = balancer.place(dispatchRequest(request).copy(waitUntil = clock.now()))
        return (placement as? Placement.Placed)?.endpoint
    }

    private suspend fun runStandby(
        attempt: StandbyAttempt,
        sink: AnswerSink,
    ): AttemptResult {
        val result =
            attempts.run(attempt.endpoint, remaining(), sink, attempt.standby, isCurrent = { attempt.isPromoted })
        if (result is AttemptResult.Failed && !attempt.isPromoted) {
            // A failure is the answer of the service; its caller may have time for a retry of its own.
            if (result.end == AttemptEnd.FAILED && !answer.isBegun) attempt.awaitTurn()
            if (!attempt.isPromoted) record("attempt", attempt.endpoint, result.detail, null, result)
            nextStandbyAt = clock.now() + HOLD_PAUSE * progress.sends
        }
        return result
    }

    private fun history(): AttemptHistory =
        attempts.history(
            isAnswerBegun = answer.isBegun,
            remaining = remaining(),
            holdTimeLeft = if (answer.isBegun) holdTime() else holdUntil - clock.now(),
        )

    private suspend fun finish(
        step: NextStep,
        reason: String,
        retryAfter: Duration,
    ): RequestEnd =
        when (step) {
            NextStep.PASS_FAILURE -> passFailure(reason)
            NextStep.REFUSE -> answer.refuse(retryAfter, reason)
            NextStep.CUT -> answer.cut(reason)
            NextStep.FAIL, NextStep.REPEAT, NextStep.HOLD -> answer.sendError(BAD_GATEWAY, reason, emptyList())
        }

    private suspend fun passFailure(reason: String): RequestEnd {
        val failure = attempts.lastFailure ?: return answer.sendError(BAD_GATEWAY, reason, emptyList())
        answer.sendAnswer(failure.first, failure.second)
        return answer.result()
    }

    private companion object {
        /** Pause after a refusal, for each time that the request was sent, before it is sent to the same endpoints. */
        val HOLD_PAUSE = 100.milliseconds

        /** Share of the latency target that may pass before placement; the endpoint needs the rest. */
        const val START_SHARE = 0.4

        /** Time spent on earlier attempts from which a caller counts as having come back; it rules out network delays. */
        val MIN_RETURN_TIME = 300.milliseconds

        const val GATEWAY_TIMEOUT = 504
    }
}
