package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.routing.EndpointHealth
import org.cicadaturn.decisions.routing.OutlierDetector
import org.cicadaturn.decisions.routing.outlierDetector
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Load that an endpoint told of itself.
 *
 * @property running requests that it worked on
 * @property waiting requests that waited there
 * @property slots requests that it works on at once
 */
public data class LoadSample(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/**
 * A request that needs an endpoint.
 *
 * @property service service that it goes to
 * @property excluded endpoints that may not get it, as it may have run there
 * @property only endpoints that alone may get it, as no further ones are allowed; null for any
 * @property isRetry true if it was sent to an endpoint before, so that the retry budget binds
 * @property canWait true if it may wait until the service accepts requests
 */
public data class EndpointRequest(
    val service: ServiceId,
    val excluded: Set<EndpointId>,
    val only: Set<EndpointId>?,
    val isRetry: Boolean,
    val canWait: Boolean,
)

/** Result of [EndpointBalancer.choose]. */
public sealed interface EndpointChoice {
    /** The request goes to [endpoint] and counts there until [EndpointBalancer.finished]. */
    public data class Chosen(
        val endpoint: LiveEndpoint,
        val maxConnections: Int,
    ) : EndpointChoice

    /** No endpoint may take it now; [reason] is for logs, [retryAfter] for the caller. */
    public data class None(
        val reason: String,
        val retryAfter: Duration,
    ) : EndpointChoice
}

/** How the use of an endpoint ended, as far as its standing is concerned. */
public sealed interface EndpointUse {
    /** It answered; the head came after [firstByte]. */
    public data class Answered(
        val firstByte: Duration,
    ) : EndpointUse

    /** It refused the request as full, or is another endpoint than expected. */
    public data object Refused : EndpointUse

    /** It failed, stalled or could not be reached. */
    public data object Failed : EndpointUse

    /** The caller left; nothing is known of the endpoint. */
    public data object Abandoned : EndpointUse
}

/**
 * Chooses endpoints and keeps what this process knows of them. Has one owner.
 *
 * The rate at which any endpoint with a cold start is sent requests, and the repeats for any service, stay within
 * this process's share of the bounds that hold over all gateways.
 */
public interface EndpointBalancer {
    /** Takes over a newer [view]; what is known of endpoints that are gone is forgotten. */
    public fun update(
        view: FleetView,
        now: Instant,
    )

    /** Counts a caller's request for [service], which the retry budget is a share of. */
    public fun arrived(
        service: ServiceId,
        now: Instant,
    )

    /** Chooses an endpoint for [request] and counts the request there. */
    public fun choose(
        request: EndpointRequest,
        now: Instant,
    ): EndpointChoice

    /** Ends the count of a request at [endpoint]. */
    public fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
        now: Instant,
    )

    /** Tells that [endpoint] accepted a request. */
    public fun accepted(endpoint: EndpointId)

    /** Returns the service of [endpoint], or null if it is not known. */
    public fun serviceOf(endpoint: EndpointId): ServiceId?

    /** Takes what [endpoint] said of its load. */
    public fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
        now: Instant,
    )
}

/**
 * Parameters of the balancer; the bounds hold over all gateways together.
 *
 * @property localDomain failure domain of this process
 * @property coldFactor factor on the rate that a cold endpoint bears
 * @property coldSlack requests per second beyond it
 * @property retryPercent repeats per 100 requests
 * @property retrySlack repeats in a window beyond that
 * @property retryWindow window of the retry budget
 */
public data class BalancerOptions(
    val localDomain: FailureDomainId,
    val coldFactor: Double,
    val coldSlack: Int,
    val retryPercent: Int,
    val retrySlack: Int,
    val retryWindow: Duration,
)

/** Returns a balancer that knows no endpoints. */
public fun endpointBalancer(
    options: BalancerOptions,
    random: Random,
): EndpointBalancer = LeastLoadBalancer(options, random)

private class LeastLoadBalancer(
    private val options: BalancerOptions,
    private val random: Random,
) : EndpointBalancer {
    private class Member(
        var entry: LiveEndpoint,
    ) {
        var inFlight = 0
        var sample: LoadSample? = null
        var sampledAt = Instant.DISTANT_PAST
        var inFlightAtSample = 0
        val sends = sendWindow()
        var refusedUntil = Instant.DISTANT_PAST
        var coldUntil = Instant.DISTANT_PAST
    }

    private class Pool(
        val detector: OutlierDetector = outlierDetector(),
        val budget: RepeatBudget,
        var maxConnections: Int = DEFAULT_CONNECTIONS,
        var coldRate: Double = 0.0,
    ) {
        /** Refusals and failures since the last request that was accepted. */
        var refusals = 0
        var offeredAt = Instant.DISTANT_PAST
    }

    private val members = HashMap<EndpointId, Member>()
    private val pools = HashMap<ServiceId, Pool>()
    private val gateways = GatewayCount()
    private var drained = emptySet<FailureDomainId>()

    override fun update(
        view: FleetView,
        now: Instant,
    ) {
        gateways.listed(view.peers.size, now)
        drained = view.drainedDomains.toSet()
        members.keys.retainAll(view.endpoints.mapTo(HashSet()) { it.id })
        view.endpoints.forEach { entry -> take(entry, now) }
        view.configuration?.services?.forEach { service ->
            val pool = pool(service.id, now)
            pool.maxConnections = maxOf(1, service.maxConnections / gateways.at(now))
            pool.coldRate = service.coldRate
        }
        pools.forEach { (id, pool) ->
            val own = members.values.filter { it.entry.service == id && it.entry.state == AdmissionState.IN_SERVICE }
            pool.detector.updateMembers(own.mapTo(HashSet()) { it.entry.id }, now)
        }
    }

    private fun take(
        entry: LiveEndpoint,
        now: Instant,
    ) {
        val known = members[entry.id]
        if (known == null || known.entry.startedAt != entry.startedAt) {
            members[entry.id] = Member(entry).also { it.coldUntil = now + entry.coldFor }
            pool(entry.service, now)
            return
        }
        if (known.entry.coldFor != entry.coldFor) known.coldUntil = now + entry.coldFor
        known.entry = entry
    }

    private fun pool(
        service: ServiceId,
        now: Instant,
    ): Pool =
        pools.getOrPut(service) {
            Pool(budget = repeatBudget(options.retryPercent, options.retryWindow, now))
        }

    /** This process's part of the repeats that are allowed beyond the share of the requests. */
    private fun slack(now: Instant): Double = options.retrySlack * USED_SLACK / gateways.at(now)

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
        val usable =
            members.values.filter {
                it.entry.service == request.service &&
                    it.entry.state == AdmissionState.IN_SERVICE &&
                    it.entry.failureDomain !in drained &&
                    it.entry.id !in request.excluded &&
                    (request.only == null || it.entry.id in request.only)
            }
        if (usable.isEmpty()) return EndpointChoice.None("no endpoint of the service is in service", LONG_RETRY)
        val free = usable.filter { isFree(it, pool, now) }.ifEmpty { usable.filter { withinRate(it, pool, now) } }
        if (free.isEmpty()) return EndpointChoice.None("every endpoint is at its rate", SHORT_RETRY)
        val isRefusing = pool.refusals >= REFUSALS_IN_A_ROW && now - pool.offeredAt < OFFER_INTERVAL
        if (request.isRetry && request.canWait && isRefusing) {
            return EndpointChoice.None("the service refuses requests", LONG_RETRY)
        }
        if (request.isRetry && !pool.budget.tryRepeat(now, slack(now))) {
            return EndpointChoice.None("the retry budget is used up", LONG_RETRY)
        }
        pool.offeredAt = now
        val best = free.minBy { cost(it, now) }
        best.inFlight += 1
        best.sends.sent(now)
        return EndpointChoice.Chosen(best.entry, pool.maxConnections)
    }

    private fun isFree(
        member: Member,
        pool: Pool,
        now: Instant,
    ): Boolean =
        now >= member.refusedUntil &&
            pool.detector.health(member.entry.id, now) != EndpointHealth.EJECTED &&
            member.inFlight < pool.detector.ownLimit(member.entry.id, now) &&
            withinRate(member, pool, now)

    /** An endpoint may turn cold without notice, so the bound of a cold one holds at all times. */
    private fun withinRate(
        member: Member,
        pool: Pool,
        now: Instant,
    ): Boolean {
        if (pool.coldRate <= 0.0) return true
        val share = coldShare(pool.coldRate, options.coldFactor, options.coldSlack, gateways.at(now))
        return member.sends.count(now) < share
    }

    private fun cost(
        member: Member,
        now: Instant,
    ): Double {
        val sample = member.sample?.takeIf { now - member.sampledAt < SAMPLE_AGE }
        val slots = maxOf(1, sample?.slots ?: member.entry.slots)
        val reported = sample?.let { it.running + it.waiting + member.inFlight - member.inFlightAtSample } ?: 0
        val load = maxOf(reported, member.inFlight).toDouble() / slots
        val distance = if (member.entry.failureDomain == options.localDomain) 0.0 else REMOTE_COST
        val cold = if (now < member.coldUntil) COLD_COST else 0.0
        return load + distance + cold + random.nextDouble() * JITTER
    }

    override fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        member.inFlight = maxOf(0, member.inFlight - 1)
        val pool = pool(member.entry.service, now)
        when (use) {
            is EndpointUse.Answered -> pool.detector.answered(endpoint, use.firstByte, now)
            EndpointUse.Failed -> pool.detector.failed(endpoint, now)
            EndpointUse.Refused -> member.refusedUntil = now + REFUSAL_PAUSE
            EndpointUse.Abandoned -> Unit
        }
        if (use == EndpointUse.Failed || use == EndpointUse.Refused) pool.refusals += 1
    }

    override fun accepted(endpoint: EndpointId) {
        pools[serviceOf(endpoint)]?.refusals = 0
    }

    override fun serviceOf(endpoint: EndpointId): ServiceId? = members[endpoint]?.entry?.service

    override fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        member.sample = load
        member.sampledAt = now
        member.inFlightAtSample = member.inFlight
    }

    private companion object {
        /** Connections to one endpoint that are allowed before its service is known. */
        const val DEFAULT_CONNECTIONS = 8

        /** Rest of the slack is for processes that start during a window. */
        const val USED_SLACK = 0.65

        /** Refusals without a request accepted between them after which the service as a whole is taken to refuse. */
        const val REFUSALS_IN_A_ROW = 3

        /** While the service refuses, requests that may wait are offered no more often than this. */
        val OFFER_INTERVAL = 150.milliseconds

        /** Load, in parts of the slots, that an endpoint in another failure domain must be below. */
        const val REMOTE_COST = 0.05

        /** A cold endpoint is slow, so it is used when the others are half full. */
        const val COLD_COST = 0.5

        /** Keeps processes with the same knowledge from choosing the same endpoint. */
        const val JITTER = 0.08

        /** Age at which a load report says nothing any more: about the length of a request. */
        val SAMPLE_AGE = 500.milliseconds

        /** Time for which a full endpoint is left out. */
        val REFUSAL_PAUSE = 100.milliseconds

        val SHORT_RETRY = 200.milliseconds
        val LONG_RETRY = 500.milliseconds
    }
}
