package org.cicadaturn.decisions.dispatch

import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.RateBudget
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Identifier of a request at one dispatcher; assigned by its owner and never reused. */
@JvmInline
public value class DispatchTicket(
    public val number: Long,
)

/**
 * Request that is to be placed at an endpoint.
 *
 * @property organisation organisation that it counts for; null if the route is public
 * @property priority priority under overload; 0 is served first
 * @property bytes memory that it holds while it waits
 * @property aimUntil latest time at which its placement still leads to an answer within the latency target
 * @property waitUntil latest time until which it may wait
 * @property hasReturned true if its caller has come back after a refusal and would probably not come again
 */
public data class DispatchRequest(
    val endpoint: EndpointRequest,
    val organisation: OrganisationId?,
    val priority: Int,
    val bytes: Int,
    val aimUntil: Instant,
    val waitUntil: Instant,
    val hasReturned: Boolean = false,
) {
    /** Returns true if its placement at [now] would no longer lead to an answer within the latency target. */
    internal fun isLateAt(now: Instant): Boolean = now > aimUntil

    /** Returns the request for an endpoint that it makes at [now]. */
    internal fun endpointAt(now: Instant): EndpointRequest = endpoint.copy(isLate = isLateAt(now))
}

/** Decision on one request. */
public sealed interface DispatchDecision {
    /** Identifier of the request. */
    public val ticket: DispatchTicket

    /** The request goes to an endpoint now and counts as in flight there. */
    public data class Place(
        override val ticket: DispatchTicket,
        val choice: EndpointChoice.Chosen,
    ) : DispatchDecision

    /** The request waits because of [cause]; a later decision places or rejects it. */
    public data class Wait(
        override val ticket: DispatchTicket,
        val cause: Unavailability,
    ) : DispatchDecision

    /**
     * The request is not placed because of [cause]; a place is likely after [retryAfter].
     *
     * @property notBefore time before which there is no place, by what the endpoints ask for; null if it is not known
     */
    public data class Reject(
        override val ticket: DispatchTicket,
        val cause: Unavailability,
        val retryAfter: Duration,
        val notBefore: Duration? = null,
    ) : DispatchDecision
}

/**
 * Decides which requests are placed, which wait and which are rejected. Has one owner and is not safe for concurrent
 * use.
 *
 * Requests that can still be answered within their latency target are placed before those that cannot: under overload,
 * first come first served would make all of them late. Among equals the order is by priority, then by the requests
 * that were placed lately for their organisation, then by the time left. Late requests whose callers have come back go
 * before other late ones, whose callers can still come back.
 */
public interface Dispatcher {
    /** Decides on a new request. */
    public fun submit(
        ticket: DispatchTicket,
        request: DispatchRequest,
        now: Instant,
    ): DispatchDecision

    /** Removes a waiting request; an unknown ticket is ignored. */
    public fun cancel(ticket: DispatchTicket)

    /** Returns the requests that no longer wait, after an endpoint or the time has changed. */
    public fun advance(now: Instant): List<DispatchDecision>

    /** Returns when [advance] has to be called at the latest, or null if no request waits. */
    public fun nextEvent(now: Instant): Instant?

    /** Number of waiting requests. */
    public val waiting: Int
}

/** Returns a dispatcher that places requests with [balancer]; [random] returns numbers from 0 to 1. */
public fun dispatcher(
    balancer: EndpointBalancer,
    random: () -> Double,
): Dispatcher = QueueingDispatcher(balancer, outageForecast(random))

private class QueueingDispatcher(
    private val balancer: EndpointBalancer,
    private val forecast: OutageForecast,
) : Dispatcher {
    private class Waiting(
        val ticket: DispatchTicket,
        val request: DispatchRequest,
    ) {
        /** Reason why the last attempt to place the request found no endpoint. */
        var cause = Unavailability.NO_ENDPOINT

        /** What endpoints' limits and pauses allow if only they bound that attempt. */
        var budget: RateBudget? = null

        /** Records that this request finds what [other] found, which is for the same service. */
        fun findsAsMuchAs(other: Waiting) {
            cause = other.cause
            budget = other.budget
        }
    }

    /** Requests whose rate of placements is measured together, as late ones get only a part of the room. */
    private data class RateKey(
        val service: ServiceId,
        val isLate: Boolean,
    )

    private fun DispatchRequest.rateKeyAt(now: Instant) = RateKey(endpoint.service, isLateAt(now))

    private val shares = DecayingCounts<OrganisationId>()
    private val rates = DecayingCounts<RateKey>()
    private val queue = LinkedHashMap<DispatchTicket, Waiting>()
    private var queuedBytes = 0L

    override val waiting: Int get() = queue.size

    override fun submit(
        ticket: DispatchTicket,
        request: DispatchRequest,
        now: Instant,
    ): DispatchDecision {
        val candidate = Waiting(ticket, request)
        place(candidate, now)?.let { return it }
        val isFull = queue.size >= MAX_WAITING || queuedBytes + request.bytes > MAX_WAITING_BYTES
        if (isFull || !canBePlaced(candidate, now)) return reject(candidate, now)
        queue[ticket] = candidate
        queuedBytes += request.bytes
        return DispatchDecision.Wait(ticket, candidate.cause)
    }

    /** Places [candidate] and returns the decision, or returns null if it finds no endpoint. */
    private fun place(
        candidate: Waiting,
        now: Instant,
    ): DispatchDecision.Place? =
        when (val choice = balancer.choose(candidate.request.endpointAt(now), now)) {
            is EndpointChoice.Chosen -> {
                candidate.request.organisation?.let { shares.placed(it, now) }
                rates.placed(candidate.request.rateKeyAt(now), now)
                DispatchDecision.Place(candidate.ticket, choice)
            }
            is EndpointChoice.None -> {
                candidate.cause = choice.cause
                candidate.budget = choice.budget
                null
            }
        }

    /** Returns false if the service is not expected back within the time that the request may wait. */
    private fun canBePlaced(
        candidate: Waiting,
        now: Instant,
    ): Boolean {
        val request = candidate.request
        if (now >= request.waitUntil) return false
        val isWithoutForecast = candidate.cause == Unavailability.DOWN || candidate.cause == Unavailability.LEAVING
        // Another refusal would be the last answer to a caller that has come back, so the slightest chance is worth it.
        if (isWithoutForecast && request.hasReturned) return true
        // Behind others, a request that is past its aim would be overtaken by later ones until its time is over.
        val isBehind = candidate.budget != null && ahead(candidate, now) > 0
        return now + expectedWait(candidate, now) <= (if (isBehind) request.aimUntil else request.waitUntil)
    }

    /** Returns the time until [candidate] is placed, as expected from the outage or the requests ahead of it. */
    private fun expectedWait(
        candidate: Waiting,
        now: Instant,
    ): Duration =
        when (candidate.cause) {
            Unavailability.DOWN -> forecast.remaining(downTime(candidate.request.endpoint.service, now))
            Unavailability.AT_LIMIT -> queueTime(candidate, now)
            // An endpoint that leaves does not return, and nothing tells when another one starts.
            Unavailability.LEAVING -> Duration.INFINITE
            // A waiting request is tried at intervals, so it may get its place that much later.
            else -> candidate.budget?.let { budgetTime(candidate, it, now) + RETRY_INTERVAL } ?: Duration.ZERO
        }

    private fun queueTime(
        candidate: Waiting,
        now: Instant,
    ): Duration {
        val rate = rates.perSecond(candidate.request.rateKeyAt(now), now).coerceAtLeast(MIN_RATE)
        return (ahead(candidate, now) / rate).seconds
    }

    /**
     * Returns the time until [budget] suffices for [candidate], after all other requests that wait.
     *
     * Those that [candidate] would go before count too: they were told that their place comes in time, and each request
     * that takes it would make one of them wait in vain.
     */
    private fun budgetTime(
        candidate: Waiting,
        budget: RateBudget,
        now: Instant,
    ): Duration {
        if (budget.perSecond <= 0.0) return Duration.INFINITE
        val service = candidate.request.endpoint.service
        val others = queue.values.count { it !== candidate && it.request.endpoint.service == service }
        return budget.nextAt - now + (others / budget.perSecond).seconds
    }

    /** Returns the number of waiting requests that are placed before [candidate], which is the last of its equals. */
    private fun ahead(
        candidate: Waiting,
        now: Instant,
    ): Int {
        val service = candidate.request.endpoint.service
        val order = order(now)
        return queue.values.count {
            it !== candidate && it.request.endpoint.service == service && order.compare(it, candidate) <= 0
        }
    }

    private fun downTime(
        service: ServiceId,
        now: Instant,
    ): Duration = balancer.downSince(service)?.let { now - it } ?: Duration.ZERO

    private fun reject(
        candidate: Waiting,
        now: Instant,
    ): DispatchDecision.Reject {
        val service = candidate.request.endpoint.service
        val budget = candidate.budget
        if (candidate.cause != Unavailability.AT_LIMIT && budget != null) return rejectAtBudget(candidate, budget, now)
        val delay =
            if (candidate.cause == Unavailability.AT_LIMIT) {
                forecast.spread(maxOf(queueTime(candidate, now), MIN_OVERLOAD_DELAY))
            } else {
                forecast.retryAfter(downTime(service, now))
            }
        return DispatchDecision.Reject(candidate.ticket, candidate.cause, delay)
    }

    private fun rejectAtBudget(
        candidate: Waiting,
        budget: RateBudget,
        now: Instant,
    ): DispatchDecision.Reject {
        val time = budgetTime(candidate, budget, now)
        val isKnown = budget.perSecond > 0.0 && budget.nextAt < Instant.DISTANT_FUTURE
        // A pause ends at a known time, unlike a limit.
        val isPause = candidate.cause == Unavailability.PAUSED && budget.nextAt < Instant.DISTANT_FUTURE
        val earliest = if (isPause) time else time.coerceAtMost(MAX_BUDGET_DELAY)
        val delay = if (isPause) time else maxOf(earliest, MIN_OVERLOAD_DELAY)
        return DispatchDecision.Reject(
            candidate.ticket,
            candidate.cause,
            forecast.spread(delay),
            earliest.takeIf { isKnown },
        )
    }

    override fun cancel(ticket: DispatchTicket) {
        queue.remove(ticket)?.let { queuedBytes -= it.request.bytes }
    }

    override fun advance(now: Instant): List<DispatchDecision> {
        if (queue.isEmpty()) return emptyList()
        val decisions = mutableListOf<DispatchDecision>()
        queue.values.filter { now >= it.request.waitUntil }.forEach { expired ->
            cancel(expired.ticket)
            decisions += reject(expired, now)
        }
        // A request without a restriction that finds no place tells that the others of its service find none either.
        val exhausted = HashMap<ServiceId, Waiting>()
        val kept = HashMap<ServiceId, Int>()
        for (candidate in inOrder(now)) {
            val endpoint = candidate.request.endpoint
            val first = exhausted[endpoint.service]
            val placed = if (first == null) place(candidate, now) else null
            if (first != null) candidate.findsAsMuchAs(first)
            val ahead = kept[endpoint.service] ?: 0
            when {
                placed != null -> cancel(candidate.ticket)
                isHopeless(candidate, ahead) -> cancel(candidate.ticket)
                else -> kept[endpoint.service] = ahead + 1
            }
            if (placed != null) decisions += placed
            if (placed == null && candidate.ticket !in queue) decisions += reject(candidate, now)
            if (placed == null && !endpoint.isRetry && endpoint.excluded.isEmpty()) {
                exhausted.putIfAbsent(endpoint.service, candidate)
            }
        }
        return decisions
    }

    /**
     * Returns true if [candidate], which waits behind [ahead] others of its service, gets no place in its time by what
     * endpoints have said since it began to wait.
     */
    private fun isHopeless(
        candidate: Waiting,
        ahead: Int,
    ): Boolean {
        if (candidate.cause == Unavailability.LEAVING) return !candidate.request.hasReturned
        val budget = candidate.budget ?: return false
        return budget.perSecond <= 0.0 ||
            budget.nextAt + (ahead / budget.perSecond).seconds > candidate.request.waitUntil
    }

    private fun inOrder(now: Instant): List<Waiting> = queue.values.sortedWith(order(now))

    private fun order(now: Instant): Comparator<Waiting> =
        compareBy<Waiting> { it.request.isLateAt(now) }
            .thenBy { it.request.priority }
            .thenBy { it.request.isLateAt(now) && !it.request.hasReturned }
            .thenBy { it.request.organisation?.let { id -> shares.recent(id, now) } ?: 0.0 }
            .thenBy { it.request.waitUntil }

    override fun nextEvent(now: Instant): Instant? {
        val expiry = queue.values.minOfOrNull { it.request.waitUntil } ?: return null
        return minOf(expiry, now + RETRY_INTERVAL)
    }

    private companion object {
        /** Bounds the memory of waiting requests, and the time that one decision takes. */
        const val MAX_WAITING = 512
        const val MAX_WAITING_BYTES = 8L * 1024 * 1024

        /** Shortest delay stated under overload; a caller that comes back sooner meets the same queue. */
        val MIN_OVERLOAD_DELAY = 1.seconds

        /** Longest delay stated for a limit of endpoints; each sender learns within this time whether one has ended. */
        val MAX_BUDGET_DELAY = 8.seconds

        /** Requests per second that are assumed to be placed if none has been for a while. */
        const val MIN_RATE = 1.0

        /** Rates and ejections end without a message, so waiting requests are tried again at this interval. */
        val RETRY_INTERVAL = 50.milliseconds
    }
}
