package org.cicadaturn.decisions.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.cicadaturn.decisions.dispatch.GroupHealth
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.dispatch.groupTracker
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.decisions.routing.EndpointHealth
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Balancer that prefers the endpoint with the lowest load, among those that limits and health allow. */
internal class LeastLoadBalancer(
    private val options: BalancerOptions,
    private val random: Random,
) : EndpointBalancer {
    private val members = HashMap<EndpointId, BalancedEndpoint>()
    private val lapsed = LapsedEndpoints()
    private val pools = HashMap<ServiceId, ServicePool>()

    private val gateways = GatewayCount()
    private val rates = EndpointRates(options, gateways)
    private val departures = Departures()
    private val pauses = EndpointPauses()
    private val permits =
        SendPermits(departures, pauses, rates) { pools[it.endpoint.service]?.coldRate ?: 0.0 }
    private val serving = ServingEndpoints(permits)
    override val notices: EndpointNotices = KnownNotices(departures, pauses) { serving.update(members.values) }
    private val groups = groupTracker { ASK_INTERVAL * maxOf(1, gateways.listed / GATEWAYS_PER_ASK) }

    private val room = GroupRoom(groups, gateways, options.wallClock) { members[it] }

    override fun update(
        view: FleetView,
        now: Instant,
    ) {
        gateways.update(view.peers.size, now)
        permits.drainedDomains = view.drainedDomains.toSet()
        val listed = view.endpoints.mapTo(HashSet()) { it.id }
        lapsed.update(members.values, listed, now)
        members.keys.retainAll(listed)
        groups.retain(listed)
        val configuration = view.configuration
        if (configuration != null) room.update(configuration)
        view.endpoints.forEach { endpoint -> updateMember(endpoint, now) }
        rates.update(view.peers.map { it.id }, members.values, now)
        view.endpoints.filter { it.service in room.profiles }.forEach { groups.discover(it.id) }
        room.retain(members.keys)
        configuration?.services?.forEach { pool(it.id, now).coldRate = it.coldRate }
        view.endpoints.filter { it.state != AdmissionState.IN_SERVICE }.forEach {
            departures.learned(it.id, it.startedAt, DepartureSource.ENTRY, now)
        }
        departures.retain(view.endpoints, now)
        pauses.retain(now)
        val remaining = members.values.filterNot(permits::isLeaving).groupBy { it.endpoint.service }
        pools.forEach { (id, pool) ->
            pool.detector.updateMembers(remaining[id].orEmpty().mapTo(HashSet()) { it.endpoint.id }, now)
        }
        serving.update(members.values)
    }

    private fun updateMember(
        endpoint: LiveEndpoint,
        now: Instant,
    ) {
        val known = members[endpoint.id]
        if (known == null || known.endpoint.startedAt != endpoint.startedAt) {
            members[endpoint.id] = lapsed.listed(endpoint, now)
            groups.forget(endpoint.id)
            room.opensAt(endpoint, now)?.let { groups.started(endpoint.id, it) }
            pool(endpoint.service, now)
            return
        }
        if (known.endpoint.coldFor != endpoint.coldFor) known.coldUntil = now + endpoint.coldFor
        known.endpoint = endpoint
    }

    private fun pool(
        service: ServiceId,
        now: Instant,
    ): ServicePool =
        pools.getOrPut(service) {
            ServicePool(budget = gatewayRetryBudget(options.retryRatio, options.retryWindow, now))
        }

    /** Returns this process's share of the retries that are allowed beyond the ratio to the requests. */
    private fun slack(now: Instant): Double = options.retrySlack * USED_SLACK_SHARE / gateways.at(now)

    override fun arrived(
        service: ServiceId,
        now: Instant,
    ) {
        pool(service, now).budget.request(now)
    }

    override fun choose(
        request: EndpointRequest,
        now: Instant,
    ): EndpointChoice {
        val pool = pool(request.service, now)
        val choice = candidates(request, pool, now).flatMap { found -> useRetry(request, pool, now).map { found } }
        return choice.fold(
            { it },
            { candidates ->
                pool.lastSentAt = now
                val best = candidates.minBy { cost(it, now) + random.nextDouble() * JITTER }
                best.inFlight += 1
                permits.sent(best, now)
                EndpointChoice.Chosen(best.endpoint)
            },
        )
    }

    override fun canPlace(
        request: EndpointRequest,
        now: Instant,
    ): Boolean {
        val pool = pool(request.service, now)
        if (request.isRetry && !pool.budget.hasRetry(now, slack(now))) return false
        // Without a running group, the search for candidates would count a probe.
        val isUp =
            serving.of(request.service).any {
                it.endpoint.id !in request.excluded && groups.health(it.endpoint.id, now) in RUNNING
            }
        return isUp && candidates(request, pool, now).isRight()
    }

    private fun cost(
        member: BalancedEndpoint,
        now: Instant,
    ): Double = member.cost(options.localDomain, rates.isReserve(member, now), now)

    /** Returns the endpoints that may get [request], at least one, or why none may. */
    private fun candidates(
        request: EndpointRequest,
        pool: ServicePool,
        now: Instant,
    ): Either<EndpointChoice.None, List<BalancedEndpoint>> {
        val usable = grouped(serving.of(request.service), now).filter { request.mayGoTo(it.endpoint.id) }
        if (usable.isEmpty()) return none(serving.causeOfNone(request))
        val running = usable.filter { groups.health(it.endpoint.id, now) in RUNNING }.ifEmpty { probe(usable, now) }
        if (running.isEmpty()) return none(Unavailability.DOWN)
        // What endpoints ask for binds every request, also one for which no other endpoint is left.
        val holds = permits.holds(running, now)
        val allowed = running.filter { holds[it]?.isAskedFor != true }
        if (allowed.isEmpty()) return none(permits.causeOf(holds), permits.budget(holds, now))
        val withRoom = if (request.canWait) allowed.filter { room.hasRoom(it, request.isLate, now) } else allowed
        if (withRoom.isEmpty()) return none(Unavailability.AT_LIMIT)
        val open = withRoom.filter { it !in holds }
        val available = open.filter { isAvailable(it, pool, now) }
        val trusted = available.filter { groups.health(it.endpoint.id, now) == GroupHealth.ACCEPTING }
        val fallback = if (request.isRetry && request.canWait) emptyList() else open
        val candidates = trusted.ifEmpty { available }.ifEmpty { fallback }
        return if (candidates.isEmpty()) none(Unavailability.AT_RATE) else candidates.right()
    }

    private fun none(
        cause: Unavailability,
        budget: RateBudget? = null,
    ) = EndpointChoice.None(cause, budget).left()

    /**
     * Returns [members] without those whose group is not known yet, if that of others is.
     *
     * A rank that has just started cannot run a request before its group forms again. Until then the requests of all
     * processes would go to it, as its group is the only one that is not known to be down, and overload it.
     */
    private fun grouped(
        members: List<BalancedEndpoint>,
        now: Instant,
    ): List<BalancedEndpoint> {
        if (members.none { it.endpoint.service in room.profiles && groups.isKnown(it.endpoint.id) }) return members
        return members.filter { groups.isKnown(it.endpoint.id) || now - it.listedAt >= MAX_UNKNOWN_TIME }
    }

    /** Returns the first of [members] whose group may be probed by a request. */
    private fun probe(
        members: List<BalancedEndpoint>,
        now: Instant,
    ): List<BalancedEndpoint> =
        listOfNotNull(
            members.firstOrNull {
                permits.holdOn(it, now)?.isAskedFor != true &&
                    groups.tryProbe(it.endpoint.id, now)
            },
        )

    /** Takes a retry from the budget if [request] is one, or returns why it must not be sent again now. */
    private fun useRetry(
        request: EndpointRequest,
        pool: ServicePool,
        now: Instant,
    ): Either<EndpointChoice.None, Unit> {
        if (!request.isRetry) return Unit.right()
        // The health of groups tells more than a number of refusals, which may all come from one of several groups.
        val isRefusing = pool.refusals >= MIN_REFUSALS_IN_A_ROW && now - pool.lastSentAt < PROBE_INTERVAL
        val mustWait = request.canWait && isRefusing && request.service !in room.profiles
        return when {
            mustWait -> none(Unavailability.REFUSING)
            pool.budget.tryRetry(now, slack(now)) -> Unit.right()
            else -> none(Unavailability.NO_RETRY)
        }
    }

    private fun isAvailable(
        member: BalancedEndpoint,
        pool: ServicePool,
        now: Instant,
    ): Boolean =
        now >= member.refusedUntil &&
            pool.detector.health(member.endpoint.id, now) != EndpointHealth.EJECTED &&
            member.inFlight < pool.detector.ownLimit(member.endpoint.id, now)

    override fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        member.inFlight = maxOf(0, member.inFlight - 1)
        val pool = pool(member.endpoint.service, now)
        when (use) {
            is EndpointUse.Answered -> pool.detector.answered(endpoint, use.firstByte, now)
            EndpointUse.Failed -> pool.detector.failed(endpoint, now)
            EndpointUse.Lost -> recordLoss(member, pool, now)
            is EndpointUse.Refused -> {
                if (use.isPause) return
                member.refusedUntil = now + REFUSAL_PAUSE
                if (use.hadFreePlaces) groups.refused(endpoint, now)
            }
            EndpointUse.Abandoned -> Unit
        }
        if (use == EndpointUse.Failed || use == EndpointUse.Lost || use is EndpointUse.Refused) pool.refusals += 1
    }

    /** Records a loss; one of a rank says more about its group than about the rank, which therefore stays in use. */
    private fun recordLoss(
        member: BalancedEndpoint,
        pool: ServicePool,
        now: Instant,
    ) {
        val endpoint = member.endpoint
        if (endpoint.service !in room.profiles) return pool.detector.failed(endpoint.id, now)
        member.refusedUntil = now + LOSS_PAUSE
        groups.unreachable(endpoint.id, now)
    }

    override fun shouldAbandon(
        endpoint: EndpointId,
        hasBegun: Boolean,
        now: Instant,
    ): Boolean {
        val member = members[endpoint] ?: return true
        if (member.endpoint.service !in room.profiles) return true
        if (now - groups.lastProgress(endpoint) <
            MAX_PROGRESS_AGE
        ) {
            return hasBegun || !member.isFull(now, MAX_PROGRESS_AGE)
        }
        val group = groups.groupOf(endpoint)
        return serving.of(member.endpoint.service).any {
            groups.groupOf(it.endpoint.id) != group &&
                groups.health(it.endpoint.id, now) == GroupHealth.ACCEPTING &&
                room.hasRoom(it, isLate = false, now)
        }
    }

    override fun isIsolated(now: Instant): Boolean =
        room.profiles.keys.any { service -> groups.areIsolated(serving.of(service), now) }

    override fun accepted(
        endpoint: EndpointId,
        now: Instant,
    ) {
        groups.accepted(endpoint, now)
        pools[members[endpoint]?.endpoint?.service]?.refusals = 0
    }

    override fun groupReported(
        endpoint: EndpointId,
        report: GroupReport?,
        now: Instant,
    ) {
        if (endpoint in members) groups.reported(endpoint, report, now)
    }

    override fun endpointsToAsk(now: Instant): List<LiveEndpoint> =
        groups.endpointsToAsk(now).mapNotNull { members[it]?.endpoint }.filter { pauses.endOf(it, now) == null }

    override fun nextAsk(now: Instant): Instant? = groups.nextAsk(now)

    override fun downSince(service: ServiceId): Instant? = groups.downSince(membersOf(service))

    private fun membersOf(service: ServiceId) = members.values.filter { it.endpoint.service == service }

    override fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        room.loadReported(member, load, now)
        member.loadReported(load, now)
    }

    override fun paced(
        endpoint: EndpointId,
        ratio: Double,
        now: Instant,
    ) {
        groups.progressed(endpoint, now)
        room.paced(endpoint, ratio, now)
    }

    override fun limitNamed(
        endpoint: EndpointId,
        limit: NamedLimit,
        now: Instant,
        sentAt: Instant,
    ) {
        val member = members[endpoint] ?: return
        if (limit is NamedLimit.Rate) member.limitConfirmedAt = now
        rates.named.named(endpoint, member.endpoint.startedAt, limit, now, sentAt)
    }

    override fun limitsReported(
        reports: List<EndpointLimitReport>,
        now: Instant,
    ) {
        reports.forEach { rates.named.reported(it, now) }
    }

    override val hasLimitNews: Boolean get() = rates.named.hasNews

    override fun takeLimitNews(now: Instant): List<EndpointLimitReport> = rates.named.takeNews(now)

    override fun limitReports(
        now: Instant,
        disputed: Set<EndpointId>,
    ): List<EndpointLimitReport> = rates.named.reports(now, disputed)

    override fun withheld(now: Instant): List<WithheldEndpoint> = permits.withheld(members.values, now)

    override fun limitStatus(now: Instant): List<EndpointLimitStatus> = rates.status(members.values, now)

    private companion object {
        /** The rest of the slack is reserved for processes that start during a window. */
        const val USED_SLACK_SHARE = 0.65

        /** Refusals and failures in a row, without an accepted request, after which the service counts as refusing. */
        const val MIN_REFUSALS_IN_A_ROW = 3

        /** While the service refuses, a retry that may wait is sent only if no request was sent to it for this long. */
        val PROBE_INTERVAL = 150.milliseconds

        /** Keeps processes with the same view of the load from choosing the same endpoint. */
        const val JITTER = 0.08

        /** Time for which an endpoint that refused a request is avoided. */
        val REFUSAL_PAUSE = 100.milliseconds

        /** Health of groups to which requests are sent. */
        val RUNNING = setOf(GroupHealth.ACCEPTING, GroupHealth.SUSPECT)

        /** A group that has sent nothing for this long stands still; passes take a fraction of it. */
        val MAX_PROGRESS_AGE = 1_500.milliseconds

        /** Time for which a rank that was lost is avoided; longer than a group stalls without it. */
        val LOSS_PAUSE = 1.seconds

        /** Time after which a rank that tells no group is used; ranks tell theirs within a second of their start. */
        val MAX_UNKNOWN_TIME = 3.seconds

        /** Time between two questions to a group that is down, for each process at a small site. */
        val ASK_INTERVAL = 150.milliseconds

        /** Number of processes beyond which each asks less often, so that together they ask at a bounded rate. */
        const val GATEWAYS_PER_ASK = 8
    }
}
