package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.StateFlow
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.Dispatcher
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration

/** Answer of the [Balancer] to a request for an endpoint. */
public sealed interface Placement {
    /** The request goes to [endpoint] and counts there until [Balancer.finished] is called. */
    public class Placed(
        public val endpoint: LiveEndpoint,
    ) : Placement

    /** The request waits because of [cause]; [Balancer.await] returns what follows. */
    public class Waiting(
        public val cause: Unavailability,
        internal val ticket: DispatchTicket,
        internal val outcome: CompletableDeferred<Placement>,
    ) : Placement

    /**
     * The request gets no endpoint because of [cause]; the caller should retry after [retryAfter].
     *
     * @property notBefore time before which no endpoint takes it; null if it is not known
     */
    public class Rejected(
        public val cause: Unavailability,
        public val retryAfter: Duration,
        public val notBefore: Duration? = null,
    ) : Placement
}

/** Task that owns the endpoint balancer and the waiting requests of this process. */
public interface Balancer {
    /** Counts a request of a caller for [service]. */
    public suspend fun arrived(service: ServiceId)

    /** Returns the first decision on [request]. */
    public suspend fun place(request: DispatchRequest): Placement

    /** Returns true if [request] could be placed now; nothing is placed or counted. */
    public suspend fun canPlace(request: EndpointRequest): Boolean

    /** Returns the decision that ends the wait of a request; it is not [Placement.Waiting]. */
    public suspend fun await(waiting: Placement.Waiting): Placement

    /** Stops counting a request at [endpoint]; never suspends, so that it can be called on cancellation. */
    public fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
    )

    /** Records that [endpoint] accepted a request. */
    public fun accepted(endpoint: EndpointId)

    /** Records the [load] that [endpoint] reported. */
    public fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
    )

    /** Records a pause between two events of a stream from [endpoint], as a [ratio] of its target. */
    public fun paced(
        endpoint: EndpointId,
        ratio: Double,
    )

    /**
     * Returns true if a request that has got no data from [endpoint] for a while should be sent to another one;
     * [hasBegun] is true if it got data before.
     */
    public suspend fun shouldAbandon(
        endpoint: EndpointId,
        hasBegun: Boolean,
    ): Boolean

    /** True while this process reaches no group of a service that other processes may reach. */
    public val isIsolated: StateFlow<Boolean>

    /** Limits on the rate of requests that endpoints name. */
    public val limits: EndpointLimits

    /** What endpoints say about taking no further requests. */
    public val notices: ReportedNotices
}

/**
 * Dependencies of the balancer task.
 *
 * @property balancer chooses endpoints; [dispatcher] places requests with it
 * @property askGroup returns what an endpoint reports about its group, or null if it does not answer
 * @property onWithheld called for each request that found no endpoint because of what all of them ask for
 * @property onNotice called for each answer that says something about taking no further requests
 */
public class BalancerDependencies(
    public val balancer: EndpointBalancer,
    public val dispatcher: Dispatcher,
    public val fleet: Fleet,
    public val askGroup: suspend (LiveEndpoint) -> GroupReport?,
    public val clock: Clock,
    public val onWithheld: (ServiceId, Unavailability, LimitAction) -> Unit = { _, _, _ -> },
    public val onNotice: (EndpointNotice) -> Unit = {},
)
