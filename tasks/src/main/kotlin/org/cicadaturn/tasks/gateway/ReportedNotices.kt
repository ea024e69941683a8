package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.WithheldEndpoint
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Instant

/** What endpoints say about taking no further requests, as known to the [Balancer] that applies it. */
public interface ReportedNotices {
    /** Records what the answer to the request with [requestId] says about [endpoint], to which that was sent. */
    public fun noticed(
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        requestId: String?,
    )

    /** Records the endpoints that leave, as the process [sender] reports. */
    public fun departuresReported(
        reports: List<DepartureReport>,
        sender: ProcessId?,
    )

    /** Returns the endpoints of which other processes should be told that they leave, each once. */
    public suspend fun takeDepartures(): List<DepartureReport>

    /** Returns the endpoints that leave, all or only those that were learned to [lately]. */
    public suspend fun departures(lately: Boolean = false): List<DepartureReport>

    /** Returns the endpoints that get no requests now and why. */
    public suspend fun withheld(): List<WithheldEndpoint>
}

/** Returns true if [endpoint] is known to leave. */
internal suspend fun ReportedNotices.isLeaving(endpoint: LiveEndpoint): Boolean =
    departures().any { it.endpoint == endpoint.id && it.startedAt >= endpoint.startedAt }

/** Notices that the owner of the endpoint balancer keeps, which gets messages by [send]. */
internal class BalancerNotices(
    private val send: (BalancerMessage) -> Unit,
) : ReportedNotices {
    override fun noticed(
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        requestId: String?,
    ) = send(BalancerMessage.Noticed(endpoint, notice, requestId))

    override fun departuresReported(
        reports: List<DepartureReport>,
        sender: ProcessId?,
    ) = send(BalancerMessage.DeparturesReported(reports, sender))

    override suspend fun takeDepartures(): List<DepartureReport> =
        readState(send) { balancer, _ -> balancer.notices.takeDepartures() }

    override suspend fun departures(lately: Boolean): List<DepartureReport> =
        readState(send) { balancer, now ->
            if (lately) balancer.notices.recentDepartures(now) else balancer.notices.departures()
        }

    override suspend fun withheld(): List<WithheldEndpoint> = readState(send, EndpointBalancer::withheld)
}

/** Returns what [read] returns in the owner of the endpoint balancer, which gets messages by [send]; empty if it fails. */
internal suspend fun <T> readState(
    send: (BalancerMessage) -> Unit,
    read: (EndpointBalancer, Instant) -> List<T>,
): List<T> {
    val reply = CompletableDeferred<List<T>>()
    send(BalancerMessage.ReadState(read, emptyList(), reply))
    return reply.await()
}
