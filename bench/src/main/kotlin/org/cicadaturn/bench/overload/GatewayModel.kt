package org.cicadaturn.bench.overload

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.dispatch.DispatchDecision
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.Dispatcher
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.decisions.gateway.maxHoldTime
import org.cicadaturn.decisions.gateway.retryDelay
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.OverloadBenchOptions
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateway with the decisions of the product and a dispatcher from [createDispatcher]. */
internal class GatewayModel(
    private val time: VirtualTime,
    private val groups: List<EngineGroupModel>,
    private val options: OverloadBenchOptions,
    private val hasReports: Boolean,
    createDispatcher: (EndpointBalancer) -> Dispatcher,
) {
    private val balancer = endpointBalancer(balancerOptions(), Random(options.seed))
    private val dispatcher = createDispatcher(balancer)
    private val requests = HashMap<DispatchTicket, Attempt>()
    private var lastTicket = 0L
    private var nextAdvance = false

    /** Number of requests sent to ranks, and of those that ranks refused. */
    var sends = 0
        private set
    var refusals = 0
        private set

    private inner class Attempt(
        val caller: CallerModel,
        val onRefused: (Duration) -> Unit,
    ) {
        var engineRequest: EngineRequest? = null
        var sends = 0
        var isOver = false
    }

    init {
        balancer.update(view(), time.now)
        for (group in groups.indices) {
            for (rank in 0 until options.ranks) report(group, rank)
        }
    }

    private fun balancerOptions() =
        BalancerOptions(
            ProcessId("gateway"),
            DOMAIN,
            coldFactor = 1.5,
            coldSlack = 5.0,
            retryRatio = 0.2,
            retrySlack = 88.0,
            10.seconds,
        )

    private fun view(): FleetView {
        val endpoints =
            groups.indices.flatMap { g ->
                (0 until options.ranks).map { r ->
                    LiveEndpoint(
                        idOf(g, r),
                        SERVICE,
                        ADDRESS,
                        DOMAIN,
                        AdmissionState.IN_SERVICE,
                        EngineModel.SLOTS,
                        Duration.ZERO,
                    )
                }
            }
        val profile =
            ExpertProfile(
                sets = 1,
                experts = options.ranks,
                places = 2,
                newPlaces = 1,
                copyTime = 100.milliseconds,
                reportLag = EngineModel.REPORT_LAG,
                stepTime = EngineModel.STEP_TIME,
                stepTimePerRequest = EngineModel.STEP_TIME_PER_REQUEST,
            )
        val configuration =
            RoutingConfiguration(
                1,
                emptyList(),
                listOf(RoutedService(SERVICE, 400, 0.0, profile)),
                null,
                CallerLimits(),
            )
        val peers = List(options.gateways) { GatewayPeer(ProcessId("p$it"), ADDRESS, DOMAIN) }
        return FleetView(configuration = configuration, endpoints = endpoints, peers = peers)
    }

    private fun idOf(
        group: Int,
        rank: Int,
    ) = EndpointId("$group/$rank")

    private fun groupOf(endpoint: EndpointId) = endpoint.text.substringBefore('/').toInt()

    private fun rankOf(endpoint: EndpointId) = endpoint.text.substringAfter('/').toInt()

    private fun report(
        group: Int,
        rank: Int,
    ) {
        val state = groups[group]
        balancer.groupReported(idOf(group, rank), GroupReport("g$group", state.epoch, state.isOpen), time.now)
    }

    /** Serves a request of [caller] and returns a function that cancels it. */
    fun serve(
        caller: CallerModel,
        onRefused: (Duration) -> Unit,
    ): () -> Unit {
        balancer.arrived(SERVICE, time.now)
        val ticket = DispatchTicket(++lastTicket)
        val attempt = Attempt(caller, onRefused)
        requests[ticket] = attempt
        decide(dispatcher.submit(ticket, requestFor(attempt), time.now))
        schedule()
        return { cancel(ticket, attempt) }
    }

    private fun requestFor(attempt: Attempt): DispatchRequest {
        val remaining = attempt.caller.remaining
        return DispatchRequest(
            EndpointRequest(SERVICE, emptySet(), null, isRetry = attempt.sends > 0, canWait = true),
            OrganisationId("o${attempt.caller.organisation}"),
            priority = 1,
            bytes = 1_000,
            aimUntil = attempt.caller.arrivedAt + Aims.LATENCY * START_SHARE,
            waitUntil = time.now + maxHoldTime(RouteKind.STREAM, remaining),
            hasReturned = remaining < Aims.DEADLINE - RETURN_TIME,
        )
    }

    private fun cancel(
        ticket: DispatchTicket,
        attempt: Attempt,
    ) {
        if (attempt.isOver) return
        attempt.isOver = true
        dispatcher.cancel(ticket)
        attempt.engineRequest?.isCancelled = true
        requests.remove(ticket)
        attempt.engineRequest?.let { changed() }
    }

    private fun decide(decision: DispatchDecision) {
        val attempt = requests[decision.ticket] ?: return
        when (decision) {
            is DispatchDecision.Place -> send(decision.ticket, attempt, decision.choice.endpoint.id)
            is DispatchDecision.Reject -> {
                attempt.isOver = true
                requests.remove(decision.ticket)
                attempt.onRefused(retryDelay(attempt.caller.remaining, decision.retryAfter, decision.notBefore))
            }
            is DispatchDecision.Wait -> Unit
        }
    }

    private fun send(
        ticket: DispatchTicket,
        attempt: Attempt,
        endpoint: EndpointId,
    ) {
        attempt.sends += 1
        sends += 1
        val group = groups[groupOf(endpoint)]
        val rank = rankOf(endpoint)
        var lastEventAt = time.now
        var isFirst = true
        val request =
            EngineRequest(
                attempt.caller.events,
                onEvent = {
                    if (isFirst) {
                        accepted(
                            endpoint,
                        )
                    } else {
                        balancer.paced(endpoint, (time.now - lastEventAt) / Aims.PAUSE, time.now)
                    }
                    isFirst = false
                    lastEventAt = time.now
                    attempt.caller.event()
                },
                onEnd = { isComplete -> ended(ticket, attempt, endpoint, isComplete) },
            )
        attempt.engineRequest = request
        when (group.submit(rank, request)) {
            RankAnswer.ACCEPTED -> Unit
            RankAnswer.FULL -> refused(ticket, attempt, endpoint, hadFreePlaces = false)
            RankAnswer.BROKEN -> refused(ticket, attempt, endpoint, hadFreePlaces = true)
        }
    }

    private fun accepted(endpoint: EndpointId) {
        balancer.accepted(endpoint, time.now)
        if (!hasReports) return
        val group = groups[groupOf(endpoint)]
        val rank = rankOf(endpoint)
        balancer.loadReported(
            endpoint,
            LoadSample(group.running(rank), group.waiting(rank), EngineModel.SLOTS),
            time.now,
        )
    }

    private fun refused(
        ticket: DispatchTicket,
        attempt: Attempt,
        endpoint: EndpointId,
        hadFreePlaces: Boolean,
    ) {
        refusals += 1
        attempt.engineRequest = null
        balancer.finished(endpoint, EndpointUse.Refused(hadFreePlaces), time.now)
        if (attempt.sends < ATTEMPTS) {
            decide(dispatcher.submit(ticket, requestFor(attempt), time.now))
        } else {
            attempt.isOver = true
            requests.remove(ticket)
            attempt.onRefused(retryDelay(attempt.caller.remaining))
        }
        schedule()
    }

    private fun ended(
        ticket: DispatchTicket,
        attempt: Attempt,
        endpoint: EndpointId,
        isComplete: Boolean,
    ) {
        attempt.isOver = true
        requests.remove(ticket)
        val use = if (isComplete) EndpointUse.Answered(100.milliseconds) else EndpointUse.Lost
        balancer.finished(endpoint, use, time.now)
        if (isComplete) attempt.caller.complete()
        changed()
    }

    private fun changed() {
        dispatcher.advance(time.now).forEach { decide(it) }
        schedule()
    }

    /** Schedules the next decision and the next questions to ranks. */
    private fun schedule() {
        if (nextAdvance) return
        val next = listOfNotNull(dispatcher.nextEvent(time.now), balancer.nextAsk(time.now)).minOrNull() ?: return
        nextAdvance = true
        time.at(next) {
            nextAdvance = false
            for (endpoint in balancer.endpointsToAsk(time.now)) {
                time.after(ASK_TIME) {
                    report(groupOf(endpoint.id), rankOf(endpoint.id))
                    changed()
                }
            }
            changed()
        }
    }

    private companion object {
        val SERVICE = ServiceId("s")
        val DOMAIN = FailureDomainId("d")
        val ADDRESS = NetworkAddress("10.0.0.1", 80)

        /** Attempts at ranks for each request of a caller. */
        const val ATTEMPTS = 2
        const val START_SHARE = 0.4
        val RETURN_TIME = 300.milliseconds
        val ASK_TIME = 2.milliseconds
    }
}
