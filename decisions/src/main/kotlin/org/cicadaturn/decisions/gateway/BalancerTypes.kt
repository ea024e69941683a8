package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Load that an endpoint reported of itself.
 *
 * @property running requests that it was working on
 * @property waiting requests that were queued there
 * @property slots requests that it can work on at once
 */
public data class LoadSample(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/**
 * Request that needs an endpoint.
 *
 * @property service service that it is for
 * @property excluded endpoints that must not get it, for example because it may have run there
 * @property only endpoints that may get it once it was sent to the maximum number of endpoints; null for no
 * restriction
 * @property isRetry true if it was sent to an endpoint before, so that the retry budget applies
 * @property canWait true if it may wait until the service accepts requests
 * @property isLate true if it can no longer be answered within its latency target
 */
public data class EndpointRequest(
    val service: ServiceId,
    val excluded: Set<EndpointId>,
    val only: Set<EndpointId>?,
    val isRetry: Boolean,
    val canWait: Boolean,
    val isLate: Boolean = false,
) {
    /** Returns true if the request's own history lets it go to [endpoint]. */
    public fun mayGoTo(endpoint: EndpointId): Boolean = endpoint !in excluded && (only == null || endpoint in only)
}

/** Result of [EndpointBalancer.choose]. */
public sealed interface EndpointChoice {
    /** The request goes to [endpoint] and counts as in flight there until [EndpointBalancer.finished]. */
    public data class Chosen(
        val endpoint: LiveEndpoint,
    ) : EndpointChoice

    /** No endpoint may get the request now; [budget] tells when one may if only what the endpoints ask for binds it. */
    public data class None(
        val cause: Unavailability,
        val budget: RateBudget? = null,
    ) : EndpointChoice
}

/**
 * What the limits that endpoints name and the pauses that they ask for let this process send to them.
 *
 * @property nextAt when the next request may be sent; in the distant future if other processes send to all of them
 * @property perSecond requests per second on average; after a pause, in its first seconds
 */
public data class RateBudget(
    val nextAt: Instant,
    val perSecond: Double,
)

/**
 * Reason why no endpoint may get a request.
 *
 * @property text description for logs and answers
 * @property mayPass true if it may end within a second or two, false if another process serves the request sooner
 */
public enum class Unavailability(
    public val text: String,
    public val mayPass: Boolean,
) {
    NO_ENDPOINT("no endpoint of the service is in service", mayPass = false),
    DOWN("every group of the service is down", mayPass = true),
    REFUSING("the service refuses requests", mayPass = true),
    AT_LIMIT("every group of the service is at its limit", mayPass = true),
    AT_RATE("every endpoint is at its rate", mayPass = true),
    AT_NAMED_LIMIT("every endpoint gets as many requests as it takes", mayPass = true),
    PAUSED("every endpoint asked for a pause or gets as many requests as it takes", mayPass = true),
    LEAVING("every endpoint that may get the request leaves", mayPass = false),
    NO_RETRY("the retry budget is used up", mayPass = false),
    DEFECT("the placement failed by a defect, which the log of this process shows", mayPass = false),
}

/** Outcome of a request at an endpoint, as far as it affects the endpoint's health. */
public sealed interface EndpointUse {
    /** The endpoint answered; the head of the answer arrived after [firstByte]. */
    public data class Answered(
        val firstByte: Duration,
    ) : EndpointUse

    /**
     * The endpoint refused the request.
     *
     * @property hadFreePlaces true if it reported free places, so that its group and not its load is the reason
     * @property isPause true if it asked for a pause, which tells nothing about its health, its group or other endpoints
     */
    public data class Refused(
        val hadFreePlaces: Boolean,
        val isPause: Boolean = false,
    ) : EndpointUse

    /** The endpoint answered with a failure or with bytes that are no valid answer. */
    public data object Failed : EndpointUse

    /** The endpoint accepted no connection, ended it within the request or stopped sending. */
    public data object Lost : EndpointUse

    /** The request ended for a reason that says nothing about the endpoint, such as a caller that left. */
    public data object Abandoned : EndpointUse
}

/**
 * Parameters of the balancer; the bounds apply to all gateways together.
 *
 * @property self identifier of this process
 * @property localDomain failure domain of this process
 * @property coldFactor factor on the request rate that a cold endpoint can sustain
 * @property coldSlack requests per second that are allowed in addition to that product
 * @property retryRatio retries per request
 * @property retrySlack retries in a window that are allowed in addition to that ratio
 * @property retryWindow window of the retry budget
 * @property wallClock time of day, by which endpoints state their start; null if it is not known
 */
public data class BalancerOptions(
    val self: ProcessId,
    val localDomain: FailureDomainId,
    val coldFactor: Double,
    val coldSlack: Double,
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindow: Duration,
    val wallClock: Clock? = null,
)
