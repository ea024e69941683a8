package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.gateway.Admission
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.AttemptHistory
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.NextStep
import org.cicadaturn.decisions.gateway.RouteTable
import org.cicadaturn.decisions.gateway.finalStep
import org.cicadaturn.decisions.gateway.maxHoldTime
import org.cicadaturn.decisions.gateway.nextStep
import org.cicadaturn.decisions.gateway.retryDelay
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RequestLine
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.endToEnd
import org.cicadaturn.tasks.http.valueOf
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Complete request of a caller.
 *
 * @property arrivedAt time at which the head of the request was received
 */
internal class CallerRequest(
    val head: RequestHead,
    val body: ByteArray,
    val arrivedAt: Instant,
)

/** Handles requests: admission, choice of endpoints, attempts and the answer. */
internal class RequestHandler(
    private val fleet: StateFlow<FleetState>,
    private val routes: () -> RouteTable?,
    private val balancer: Balancer,
    private val exchange: Exchange,
    private val dialect: GatewayDialect,
    private val clock: Clock,
    private val random: Random,
    private val journal: RequestJournal,
) {
    /** Runs [request] and answers on [caller], whose connection is then closed if [mustClose] returns true. */
    suspend fun handle(
        request: CallerRequest,
        caller: HttpLink,
        mustClose: () -> Boolean,
    ): RequestEnd {
        val answer = CallerAnswer(caller, mustClose, request.head.closesConnection)
        if (!awaitFleet()) return answer.refuse(DEFAULT_RETRY_DELAY, "no configuration yet")
        val table = routes() ?: return answer.refuse(DEFAULT_RETRY_DELAY, "no configuration yet")
        val head = request.head
        val admission = table.admit(head.headers.valueOf("Host").orEmpty(), head.path, keyOf(head))
        if (admission !is Admission.Admitted) return deny(admission, answer)
        val service =
            chooseService(admission.route)
                ?: return answer.sendError(BAD_GATEWAY, "the route has no service", emptyList())
        return RequestExecution(request, admission, service, answer).run()
    }

    /**
     * Waits until the fleet is known and returns true, or returns false if that takes too long.
     *
     * The store is read within a fraction of a second of the start, which is less than a caller takes to come back.
     */
    private suspend fun awaitFleet(): Boolean =
        fleet.value.isKnown || withTimeoutOrNull(MAX_START_WAIT) { fleet.first { it.isKnown } } != null

    private fun keyOf(head: RequestHead): String? {
        val value = head.headers.valueOf("Authorization") ?: return null
        val scheme = value.substringBefore(' ')
        if (!scheme.equals(dialect.keyScheme, ignoreCase = true)) return null
        return value.substringAfter(' ', "").trim().ifEmpty { null }
    }

    /**
     * Refuses a request that was not admitted. A configuration that may be outdated may lack the route or the key, so
     * the answer then asks for a retry.
     */
    private suspend fun deny(
        admission: Admission,
        answer: CallerAnswer,
    ): RequestEnd {
        if (!fleet.value.isConfigurationCurrent) {
            return answer.refuse(
                DEFAULT_RETRY_DELAY,
                "configuration may be old",
            )
        }
        if (admission == Admission.UnknownRoute) return answer.sendError(NOT_FOUND, "no route", emptyList())
        return answer.sendError(UNAUTHORIZED, "unknown key", listOf(Header("WWW-Authenticate", dialect.keyScheme)))
    }

    private inner class RequestExecution(
        private val request: CallerRequest,
        private val admission: Admission.Admitted,
        private val service: ServiceId,
        private val answer: CallerAnswer,
    ) {
        private val route: Route = admission.route
        private val id = request.head.headers.valueOf(dialect.requestId)
        private val prompt = dialect.promptOf(request.head.headers)
        private val deadline = request.arrivedAt + timeLimit()
        private val holdUntil = request.arrivedAt + maxHoldTime(route.kind, timeLimit())

        /** Endpoints that the request was sent to. */
        private val triedEndpoints = HashSet<EndpointId>()

        /** Endpoints that may have run the request or could not be reached. */
        private val excludedEndpoints = HashSet<EndpointId>()
        private var sends = 0
        private var unsentAttempts = 0
        private var mayHaveRun = false
        private var lastFailure: Pair<ResponseHead, ByteArray>? = null

        private fun timeLimit(): Duration {
            val requested =
                request.head.headers
                    .valueOf(dialect.deadlineMillis)
                    ?.trim()
                    ?.toLongOrNull()
                    ?.milliseconds
            return minOf(requested ?: route.timeout, route.timeout)
        }

        private fun remaining(): Duration = deadline - clock.now()

        suspend fun run(): RequestEnd {
            balancer.arrived(service)
            val end = withTimeoutOrNull(remaining().coerceAtLeast(1.milliseconds)) { attempts() }
            return (end ?: expire()).copy(service = service)
        }

        private suspend fun expire(): RequestEnd =
            when {
                answer.isBegun -> answer.cut("deadline passed within the answer")
                sends > 0 -> answer.sendError(GATEWAY_TIMEOUT, "deadline passed", emptyList())
                else -> answer.refuse(DEFAULT_RETRY_DELAY, "deadline passed before an endpoint was found")
            }

        private suspend fun attempts(): RequestEnd {
            var last = AttemptEnd.NOT_SENT
            while (true) {
                when (val placement = place()) {
                    is Placement.Placed -> {
                        val result = attempt(placement.endpoint)
                        if (result !is AttemptResult.Failed) {
                            return answer.result().copy(endpoint = placement.endpoint.id)
                        }
                        last = result.end
                        val step = nextStep(result.end, history())
                        record("attempt", placement.endpoint, result.detail, step, result.events)
                        if (step == NextStep.HOLD) delay(minOf(holdTime(), HOLD_PAUSE * sends))
                        if (step != NextStep.REPEAT && step != NextStep.HOLD) {
                            return finish(step, result.detail, retryDelay(remaining()))
                        }
                    }
                    is Placement.Rejected -> {
                        val step = finalStep(last, history())
                        return finish(step, placement.cause.text, retryDelay(remaining(), placement.retryAfter))
                    }
                    is Placement.Waiting -> error("a wait ends with another placement")
                }
            }
        }

        private suspend fun place(): Placement {
            val placement = balancer.place(dispatchRequest())
            if (placement !is Placement.Waiting) return placement
            record("wait", null, placement.cause.text, null)
            return balancer.await(placement)
        }

        private fun dispatchRequest(): DispatchRequest =
            DispatchRequest(
                endpoint = endpointRequest(),
                organisation = admission.organisation,
                priority = admission.priority,
                bytes = request.body.size,
                aimUntil = request.arrivedAt - timeSpent() + route.latencyTarget * START_SHARE,
                waitUntil = clock.now() + holdTime(),
                hasReturned = timeSpent() > MIN_RETURN_TIME,
            )

        /** Returns the time that the caller had spent on earlier attempts, as far as its deadline tells. */
        private fun timeSpent(): Duration = (route.timeout - timeLimit()).coerceAtLeast(Duration.ZERO)

        private fun record(
            event: String,
            endpoint: LiveEndpoint?,
            detail: String,
            step: NextStep?,
            events: Int? = null,
        ) {
            val state = fleet.value
            journal(
                RequestLine(
                    event = event,
                    request = id,
                    route = route.name,
                    service = service.text,
                    endpoint = endpoint?.id?.text,
                    address = endpoint?.address?.let { "${it.ip}:${it.port}" },
                    configuration = state.view.configuration?.version,
                    endpointsRevision = state.view.endpointsRevision,
                    current = state.isConfigurationCurrent,
                    sends = sends,
                    remainingMs = remaining().inWholeMilliseconds,
                    prompt = promptText(prompt),
                    events = events,
                    detail = detail,
                    step = step?.name,
                ),
            )
        }

        private fun endpointRequest(): EndpointRequest {
            val isLimitReached = triedEndpoints.size >= route.attempts
            // The second attempt goes to another endpoint; later ones may return to an endpoint that refused.
            val excluded = if (sends <= 1) triedEndpoints + excludedEndpoints else excludedEndpoints
            return EndpointRequest(
                service,
                excluded = excluded.toSet(),
                only = triedEndpoints.toSet().takeIf { isLimitReached },
                isRetry = sends > 0,
                canWait = holdTime() > Duration.ZERO,
            )
        }

        /** Returns how long the request may still wait; a request that may have been run does not wait. */
        private fun holdTime(): Duration {
            if (mayHaveRun || answer.isBegun) return Duration.ZERO
            return minOf(holdUntil - clock.now(), remaining()).coerceAtLeast(Duration.ZERO)
        }

        private suspend fun attempt(endpoint: LiveEndpoint): AttemptResult {
            // Counted before the request is sent, as expire() must not answer "not run" once it may have been sent.
            triedEndpoints += endpoint.id
            sends += 1
            val result = exchange.run(attemptRequest(endpoint), answer)
            if (result !is AttemptResult.Failed) return result
            if (result.end == AttemptEnd.NOT_SENT) {
                triedEndpoints -= endpoint.id
                excludedEndpoints += endpoint.id
                sends -= 1
                unsentAttempts += 1
            }
            if (result.end !in NOT_RUN_ENDS) {
                excludedEndpoints += endpoint.id
                mayHaveRun = true
            }
            result.failure?.let { lastFailure = it }
            return result
        }

        private fun attemptRequest(endpoint: LiveEndpoint): AttemptRequest {
            val remaining = remaining()
            val isRepeatable = route.kind == RouteKind.IDEMPOTENT || route.resumable
            val canTryAnother = triedEndpoints.size < route.attempts
            val limit =
                when {
                    !isRepeatable || !canTryAnother -> remaining
                    route.kind == RouteKind.STREAM -> STREAM_STALL_TIMEOUT
                    else -> route.latencyTarget * SLOW_ANSWER_FACTOR
                }
            return AttemptRequest(
                endpoint = endpoint,
                kind = if (isRepeatable) route.kind else RouteKind.AT_MOST_ONCE,
                head = headFor(endpoint, remaining),
                body = request.body,
                requestId = id,
                firstByteLimit = minOf(limit, remaining - ANSWER_RESERVE).coerceAtLeast(1.milliseconds),
                gapLimit = minOf(limit, remaining - ANSWER_RESERVE).coerceAtLeast(1.milliseconds),
                canBeAbandoned = route.kind == RouteKind.STREAM && limit == STREAM_STALL_TIMEOUT,
                pauseTarget = route.pauseTarget,
                remaining = remaining,
            )
        }

        private fun headFor(
            endpoint: LiveEndpoint,
            remaining: Duration,
        ): RequestHead {
            val setByGateway =
                setOf(
                    dialect.deadlineMillis,
                    dialect.organisation,
                    dialect.expectedEndpoint,
                ).map { it.lowercase() }
            val isKeyed = routes()?.configuration?.tenancies != null
            val resumeFrom = answer.lastEventId
            val forwarded =
                request.head.headers.endToEnd().filter {
                    val name = it.name.lowercase()
                    name !in setByGateway &&
                        !(isKeyed && name == "authorization") &&
                        !(resumeFrom != null && name == dialect.lastEventId.lowercase())
                }
            val added =
                listOfNotNull(
                    Header(dialect.deadlineMillis, remaining.inWholeMilliseconds.coerceAtLeast(1).toString()),
                    Header(dialect.expectedEndpoint, endpoint.id.text),
                    admission.organisation?.let { Header(dialect.organisation, it.text) },
                    resumeFrom?.let { Header(dialect.lastEventId, it.toString()) },
                )
            return RequestHead(request.head.method, request.head.target, forwarded + added)
        }

        private fun history(): AttemptHistory =
            AttemptHistory(
                kind = route.kind,
                isResumable = route.resumable,
                endpointsTried = triedEndpoints.size,
                maxEndpoints = route.attempts,
                unsentAttempts = unsentAttempts,
                mayHaveRun = mayHaveRun,
                isAnswerBegun = answer.isBegun,
                remaining = remaining(),
                holdTimeLeft = holdUntil - clock.now(),
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
            val failure = lastFailure ?: return answer.sendError(BAD_GATEWAY, reason, emptyList())
            answer.sendAnswer(failure.first, failure.second)
            return answer.result()
        }
    }

    /** Returns a service of [route], chosen by the weights of its shares, or null if it has none with a weight. */
    private fun chooseService(route: Route): ServiceId? {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return null
        val draw = random.nextInt(total)
        val sums = route.shares.runningFold(0) { sum, share -> sum + share.weight }.drop(1)
        return route.shares[sums.indexOfFirst { draw < it }].service
    }

    private companion object {
        val NOT_RUN_ENDS = setOf(AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED)

        /**
         * Longest gap in a stream before it is resumed at another endpoint. Callers abandon a stream after a gap of
         * two seconds, and the resumption must fit into this time. A group that lost a rank answers again after a
         * stall of 1.5 s, and its other endpoints cannot answer earlier.
         */
        val STREAM_STALL_TIMEOUT = 1_600.milliseconds

        /** Pause after a refusal, for each time that the request was sent, before it is sent to the same endpoints. */
        val HOLD_PAUSE = 100.milliseconds

        /** Share of the latency target that may pass before placement; the endpoint needs the rest. */
        const val START_SHARE = 0.4

        /** Time spent on earlier attempts from which a caller counts as having come back; it rules out network delays. */
        val MIN_RETURN_TIME = 300.milliseconds

        /** Longest wait of a request for the first read of the store. */
        val MAX_START_WAIT = 700.milliseconds

        /** Time before the deadline that is left for the answer to the caller. */
        val ANSWER_RESERVE = 10.milliseconds

        /** Multiple of the latency target after which a repeatable request is sent to another endpoint. */
        const val SLOW_ANSWER_FACTOR = 4

        /** Delay stated in Retry-After if it cannot be derived from the time left. */
        val DEFAULT_RETRY_DELAY = 500.milliseconds
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
    }
}
