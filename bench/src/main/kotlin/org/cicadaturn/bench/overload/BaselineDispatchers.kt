package org.cicadaturn.bench.overload

import org.cicadaturn.decisions.dispatch.DispatchDecision
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.Dispatcher
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Returns a dispatcher that places each request at once, without a limit, or rejects it. */
internal fun noQueueDispatcher(balancer: EndpointBalancer): Dispatcher =
    object : Dispatcher {
        override val waiting = 0

        override fun submit(
            ticket: DispatchTicket,
            request: DispatchRequest,
            now: Instant,
        ): DispatchDecision =
            when (val choice = balancer.choose(request.endpoint.copy(canWait = false), now)) {
                is EndpointChoice.Chosen -> DispatchDecision.Place(ticket, choice)
                is EndpointChoice.None -> DispatchDecision.Reject(ticket, choice.cause, RETRY_DELAY)
            }

        override fun cancel(ticket: DispatchTicket) = Unit

        override fun advance(now: Instant): List<DispatchDecision> = emptyList()

        override fun nextEvent(now: Instant): Instant? = null
    }

/** Returns a dispatcher whose requests wait for a place in the order of [key]. */
internal fun orderedDispatcher(
    balancer: EndpointBalancer,
    key: (DispatchTicket, DispatchRequest) -> Comparable<*>,
): Dispatcher = OrderedDispatcher(balancer, key)

private class OrderedDispatcher(
    private val balancer: EndpointBalancer,
    private val key: (DispatchTicket, DispatchRequest) -> Comparable<*>,
) : Dispatcher {
    private val queue = LinkedHashMap<DispatchTicket, DispatchRequest>()

    override val waiting get() = queue.size

    override fun submit(
        ticket: DispatchTicket,
        request: DispatchRequest,
        now: Instant,
    ): DispatchDecision =
        when (val choice = balancer.choose(request.endpoint, now)) {
            is EndpointChoice.Chosen -> DispatchDecision.Place(ticket, choice)
            is EndpointChoice.None -> {
                queue[ticket] = request
                DispatchDecision.Wait(ticket, choice.cause)
            }
        }

    override fun cancel(ticket: DispatchTicket) {
        queue.remove(ticket)
    }

    override fun advance(now: Instant): List<DispatchDecision> {
        val decisions = mutableListOf<DispatchDecision>()
        val inOrder = queue.entries.sortedWith { a, b -> compareValues(key(a.key, a.value), key(b.key, b.value)) }
        for ((ticket, request) in inOrder) {
            when (val choice = balancer.choose(request.endpoint, now)) {
                is EndpointChoice.Chosen -> decisions += DispatchDecision.Place(ticket, choice)
                is EndpointChoice.None ->
                    if (now >= request.waitUntil) {
                        decisions += DispatchDecision.Reject(ticket, choice.cause, RETRY_DELAY)
                    }
            }
        }
        decisions.forEach { queue.remove(it.ticket) }
        return decisions
    }

    override fun nextEvent(now: Instant): Instant? = if (queue.isEmpty()) null else now + RETRY_INTERVAL
}

private val RETRY_DELAY = 500.milliseconds
private val RETRY_INTERVAL = 50.milliseconds
