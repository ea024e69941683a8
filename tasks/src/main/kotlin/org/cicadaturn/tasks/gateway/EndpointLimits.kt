package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import kotlin.time.Instant

/** Limits on the rate of requests that endpoints name, as known to the [Balancer] that applies them. */
public interface EndpointLimits {
    /** Receives a value after changes that other processes should be told; [takeNews] returns them. */
    public val changes: ReceiveChannel<Unit>

    /** Records what an answer to a request that was sent to [endpoint] at [sentAt] says about its limit. */
    public fun named(
        endpoint: EndpointId,
        limit: NamedLimit,
        sentAt: Instant,
    )

    /** Records what another process knows. */
    public fun reported(reports: List<EndpointLimitReport>)

    /** Returns the changes that other processes should be told, each once. */
    public suspend fun takeNews(): List<EndpointLimitReport>

    /** Returns the limits in force, those that ended lately, and what is known of [disputed] endpoints. */
    public suspend fun reports(disputed: Set<EndpointId> = emptySet()): List<EndpointLimitReport>

    /** Returns the limits in force and how this process uses them. */
    public suspend fun status(): List<EndpointLimitStatus>
}

/** Limits that the owner of the endpoint balancer keeps, which gets messages by [send]. */
internal class BalancerLimits(
    private val send: (BalancerMessage) -> Unit,
) : EndpointLimits {
    // Conflated, as the changes themselves wait in the balancer until they are taken.
    private val signal = Channel<Unit>(Channel.CONFLATED)
    override val changes: ReceiveChannel<Unit> = signal

    /** Tells the receiver of [changes] that there are some. */
    fun changed() {
        signal.trySend(Unit)
    }

    override fun named(
        endpoint: EndpointId,
        limit: NamedLimit,
        sentAt: Instant,
    ) = send(BalancerMessage.LimitNamed(endpoint, limit, sentAt))

    override fun reported(reports: List<EndpointLimitReport>) = send(BalancerMessage.LimitsReported(reports))

    override suspend fun takeNews(): List<EndpointLimitReport> = readState(send, EndpointBalancer::takeLimitNews)

    override suspend fun reports(disputed: Set<EndpointId>): List<EndpointLimitReport> =
        readState(send) { balancer, now -> balancer.limitReports(now, disputed) }

    override suspend fun status(): List<EndpointLimitStatus> = readState(send, EndpointBalancer::limitStatus)
}
