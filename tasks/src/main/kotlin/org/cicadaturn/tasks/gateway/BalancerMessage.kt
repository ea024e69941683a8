package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Instant

/** Message to the task that owns the endpoint balancer and the waiting requests. */
internal sealed interface BalancerMessage {
    class Updated(
        val state: FleetState,
        val isApplied: CompletableDeferred<Boolean>,
    ) : BalancerMessage

    class Arrived(
        val service: ServiceId,
    ) : BalancerMessage

    class Place(
        val request: DispatchRequest,
        val reply: CompletableDeferred<Placement>,
    ) : BalancerMessage

    class CanPlace(
        val request: EndpointRequest,
        val reply: CompletableDeferred<Boolean>,
    ) : BalancerMessage

    class Cancelled(
        val ticket: DispatchTicket,
    ) : BalancerMessage

    class Finished(
        val endpoint: EndpointId,
        val use: EndpointUse,
    ) : BalancerMessage

    class Accepted(
        val endpoint: EndpointId,
    ) : BalancerMessage

    class LoadReported(
        val endpoint: EndpointId,
        val load: LoadSample,
    ) : BalancerMessage

    class Stalled(
        val endpoint: EndpointId,
        val hasBegun: Boolean,
        val reply: CompletableDeferred<Boolean>,
    ) : BalancerMessage

    class Paced(
        val endpoint: EndpointId,
        val ratio: Double,
    ) : BalancerMessage

    class GroupReported(
        val endpoint: EndpointId,
        val report: GroupReport?,
    ) : BalancerMessage

    /** What an answer to a request that was sent at [sentAt] says about the limit of its endpoint. */
    class LimitNamed(
        val endpoint: EndpointId,
        val limit: NamedLimit,
        val sentAt: Instant,
    ) : BalancerMessage

    class LimitsReported(
        val reports: List<EndpointLimitReport>,
    ) : BalancerMessage

    /** What the answer to the request with [requestId] says about [endpoint], as that was when the request was sent. */
    class Noticed(
        val endpoint: LiveEndpoint,
        val notice: EndpointNotice,
        val requestId: String?,
    ) : BalancerMessage

    /** Endpoints that leave, as [sender] reports. */
    class DeparturesReported(
        val reports: List<DepartureReport>,
        val sender: ProcessId?,
    ) : BalancerMessage

    /** Request for a part of what the balancer knows; [fallback] is the reply if [read] fails. */
    class ReadState<T>(
        val read: (EndpointBalancer, Instant) -> T,
        val fallback: T,
        val reply: CompletableDeferred<T>,
    ) : BalancerMessage {
        fun answer(
            balancer: EndpointBalancer,
            now: Instant,
        ) = reply.complete(read(balancer, now))

        fun reject() = reply.complete(fallback)
    }
}
