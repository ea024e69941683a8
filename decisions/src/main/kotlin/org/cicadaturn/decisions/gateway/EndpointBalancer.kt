package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Chooses endpoints for requests and keeps what this process knows about them. Has one owner and is not safe for
 * concurrent use.
 *
 * No request goes to an endpoint that leaves or that asked for a pause, whatever it is sent for. In a group, both concern
 * the rank that says so: the other ranks go on, and the health of the group does not change.
 *
 * The rate of requests to an endpoint of a service with cold starts or to one that names a limit, and the retries for
 * any service, stay within this process's share of the bounds that apply to all gateways together.
 */
public interface EndpointBalancer {
    /** Replaces the known fleet with a newer [view] and drops the state of endpoints that are gone. */
    public fun update(
        view: FleetView,
        now: Instant,
    )

    /** Counts a caller's request for [service]; the retry budget is a share of these requests. */
    public fun arrived(
        service: ServiceId,
        now: Instant,
    )

    /** Chooses an endpoint for [request] and counts the request as in flight there. */
    public fun choose(
        request: EndpointRequest,
        now: Instant,
    ): EndpointChoice

    /** Returns true if [choose] would find an endpoint for [request], which takes and counts nothing here. */
    public fun canPlace(
        request: EndpointRequest,
        now: Instant,
    ): Boolean

    /** Counts the end of a request at [endpoint]. */
    public fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
        now: Instant,
    )

    /** Records that [endpoint] accepted a request. */
    public fun accepted(
        endpoint: EndpointId,
        now: Instant,
    )

    /**
     * Returns true if a request that has got no data from [endpoint] for a while should be sent to another endpoint;
     * [hasBegun] is true if it got data before.
     *
     * While the group makes progress, a full rank has the request queued, but a stream that has begun would get an event
     * in each pass, so its connection is dead. While the group stands still, a repetition helps only if another group
     * has room; elsewhere it would take the place of other requests, and the work done would be thrown away.
     */
    public fun shouldAbandon(
        endpoint: EndpointId,
        hasBegun: Boolean,
        now: Instant,
    ): Boolean

    /** Returns true if this process reaches no group of a service that other processes may reach. */
    public fun isIsolated(now: Instant): Boolean

    /** Records what [endpoint] reported about its group; null if it did not answer. */
    public fun groupReported(
        endpoint: EndpointId,
        report: GroupReport?,
        now: Instant,
    )

    /** Returns the endpoints whose report about their group is due, and counts them as asked. */
    public fun endpointsToAsk(now: Instant): List<LiveEndpoint>

    /** Returns when the next report will be due, or null if none is needed. */
    public fun nextAsk(now: Instant): Instant?

    /** Returns since when all groups of [service] have been down, or null if at least one is not. */
    public fun downSince(service: ServiceId): Instant?

    /** Records the load that [endpoint] reported. */
    public fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
        now: Instant,
    )

    /** Records a pause between two events of a stream from [endpoint], as a [ratio] of its target. */
    public fun paced(
        endpoint: EndpointId,
        ratio: Double,
        now: Instant,
    )

    /**
     * Records what an answer of [endpoint] to a request that was sent at [sentAt] says about its rate limit; call it for
     * each answer.
     */
    public fun limitNamed(
        endpoint: EndpointId,
        limit: NamedLimit,
        now: Instant,
        sentAt: Instant = now,
    )

    /** Records what other gateways report; a report that is older than what is known changes nothing. */
    public fun limitsReported(
        reports: List<EndpointLimitReport>,
        now: Instant,
    )

    /** True if [takeLimitNews] has something to return. */
    public val hasLimitNews: Boolean

    /**
     * Returns the changes of limits that other gateways should be told, each once.
     *
     * This includes changes that another gateway reported and that were not known here, so that they spread by relay.
     */
    public fun takeLimitNews(now: Instant): List<EndpointLimitReport>

    /**
     * Returns all limits that are in force and those that ended lately, for a gateway that asks: one that has just
     * started, or one that may have missed news. Of [disputed] endpoints, all that is known is returned, as another
     * gateway has reported something about them.
     */
    public fun limitReports(
        now: Instant,
        disputed: Set<EndpointId> = emptySet(),
    ): List<EndpointLimitReport>

    /** What endpoints say about taking no further requests. */
    public val notices: EndpointNotices

    /** Returns the endpoints that get no requests now and why, for state dumps and metrics. */
    public fun withheld(now: Instant): List<WithheldEndpoint>

    /** Returns the limits that are in force and this process's use of them, for state dumps and metrics. */
    public fun limitStatus(now: Instant): List<EndpointLimitStatus>
}

/** Returns a balancer that knows no endpoints. */
public fun endpointBalancer(
    options: BalancerOptions,
    random: Random,
): EndpointBalancer = LeastLoadBalancer(options, random)
