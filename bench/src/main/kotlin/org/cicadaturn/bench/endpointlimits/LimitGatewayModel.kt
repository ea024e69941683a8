package org.cicadaturn.bench.endpointlimits

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.dispatch.DispatchDecision
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.ProcessId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Gateway with the decisions of the product; it reads limits if it [isAware] of them. */
internal class LimitGatewayModel(
    name: String,
    seed: Long,
    private val time: VirtualTime,
    endpoints: List<LimitedEndpointModel>,
    private val isAware: Boolean,
) {
    private class Pending(
        val onAnswer: () -> Unit,
        val onRefused: (Duration) -> Unit,
    )

    private val random = Random(seed)
    private val balancer =
        endpointBalancer(
            BalancerOptions(
                self = ProcessId(name),
                localDomain = DOMAIN,
                coldFactor = 1.5,
                coldSlack = 5.0,
                retryRatio = 0.2,
                retrySlack = 92.0,
                retryWindow = 10.seconds,
            ),
            random,
        )
    private val dispatcher = dispatcher(balancer) { random.nextDouble() }
    private val models = endpoints.associateBy { it.endpoint.id }
    private val pending = HashMap<DispatchTicket, Pending>()
    private var lastTicket = 0L
    private var nextAdvance: Instant? = null

    fun update(view: FleetView) = balancer.update(view, time.now)

    fun takeNews(): List<EndpointLimitReport> = balancer.takeLimitNews(time.now)

    fun limitsReported(reports: List<EndpointLimitReport>) = balancer.limitsReported(reports, time.now)

    fun submit(
        onAnswer: () -> Unit,
        onRefused: (Duration) -> Unit,
    ) {
        balancer.arrived(SERVICE, time.now)
        val ticket = DispatchTicket(++lastTicket)
        pending[ticket] = Pending(onAnswer, onRefused)
        val endpoint = EndpointRequest(SERVICE, emptySet(), null, isRetry = false, canWait = true)
        val request = DispatchRequest(endpoint, null, 0, 1_000, time.now + AIM, time.now + MAX_WAIT)
        decide(dispatcher.submit(ticket, request, time.now))
        schedule()
    }

    private fun schedule() {
        val next = dispatcher.nextEvent(time.now) ?: return
        if (nextAdvance.let { it != null && it <= next }) return
        nextAdvance = next
        time.at(next) {
            nextAdvance = null
            advance()
        }
    }

    private fun advance() {
        dispatcher.advance(time.now).forEach { decide(it) }
        schedule()
    }

    private fun decide(decision: DispatchDecision) {
        when (decision) {
            is DispatchDecision.Place -> place(decision)
            is DispatchDecision.Reject -> pending.remove(decision.ticket)?.onRefused?.invoke(decision.retryAfter)
            is DispatchDecision.Wait -> Unit
        }
    }

    private fun place(decision: DispatchDecision.Place) {
        val request = pending.remove(decision.ticket) ?: return
        val id = decision.choice.endpoint.id
        models.getValue(id).send { answer ->
            balancer.accepted(id, time.now)
            balancer.loadReported(id, answer.load, time.now)
            if (isAware) balancer.limitNamed(id, answer.limit, time.now)
            balancer.finished(id, EndpointUse.Answered(answer.latency), time.now)
            request.onAnswer()
            advance()
        }
    }

    private companion object {
        val AIM = 400.milliseconds
        val MAX_WAIT = 1_200.milliseconds
    }
}
