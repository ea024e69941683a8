package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.decisions.dispatch.DispatchDecision
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.dispatch.Dispatcher
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What becomes of requests that no endpoint may get because of their limits. */
class EndpointLimitDispatchTest {
    private val e0 = EndpointId("e0")
    private var lastTicket = 0L

    private fun dispatcher(
        limit: Double,
        gateways: Int = 1,
        self: String = "g0",
    ): Dispatcher {
        val balancer = limitedBalancer(self)
        val view = limitedView(listOf(limitedEndpoint("e0")), List(gateways) { "g$it" })
        balancer.update(view, START)
        balancer.limitNamed(e0, NamedLimit.Rate(limit), START)
        return dispatcher(balancer) { 0.0 }
    }

    private fun Dispatcher.submit(
        now: Instant,
        wait: Duration,
        canWait: Boolean = true,
        aim: Duration = wait,
    ) = submit(
        DispatchTicket(++lastTicket),
        DispatchRequest(limitedRequest(canWait = canWait), null, 0, 100, now + aim, now + wait),
        now,
    )

    /** Guards against a request that waits for its deadline although its place comes later. */
    @Test
    fun `a request without budget in time is rejected at once with the time of the next budget`() {
        val decision = dispatcher(limit = 0.25).submit(START, wait = 2.seconds)
        assertEquals(
            DispatchDecision.Reject(DispatchTicket(1), Unavailability.AT_NAMED_LIMIT, 4.seconds, 4.seconds),
            rounded(decision),
        )
    }

    /** Guards against a rejection of a request whose place comes in time. */
    @Test
    fun `a request waits for budget that comes in time`() {
        val dispatcher = dispatcher(limit = 1.0)
        assertTrue(dispatcher.submit(START, wait = 2.seconds) is DispatchDecision.Wait)
        assertTrue(dispatcher.advance(START + 900.milliseconds).isEmpty())
        assertTrue(dispatcher.advance(START + 1_010.milliseconds).single() is DispatchDecision.Place)
    }

    /** Guards against a queue in which each request counts on the same budget. */
    @Test
    fun `the requests ahead count for the wait`() {
        val dispatcher = dispatcher(limit = 2.0)
        val decisions = List(6) { dispatcher.submit(START + it.milliseconds, wait = 2_050.milliseconds) }
        assertEquals(4, decisions.count { it is DispatchDecision.Wait })
        val rejected = decisions.filterIsInstance<DispatchDecision.Reject>()
        assertTrue(rejected.all { it.retryAfter in 2.seconds..3.seconds }, "$rejected")
    }

    /** Guards against requests that wait in vain, as later ones that can still be in time take their places. */
    @Test
    fun `a request that waits gets its place`() {
        val dispatcher = dispatcher(limit = 1.0)
        val later = mutableListOf<DispatchDecision>()
        repeat(200) { i ->
            val now = START + 50.milliseconds * i
            later += dispatcher.advance(now)
            dispatcher.submit(now, wait = 1_050.milliseconds, aim = 100.milliseconds)
        }
        val refused = later.count { it is DispatchDecision.Reject }
        assertTrue(later.size >= 8 && refused == 0, "$refused of ${later.size} that waited were rejected")
    }

    /** Guards against requests that later ones overtake once they are past their aim, and that are rejected at the end. */
    @Test
    fun `a request waits behind others only up to its aim`() {
        val dispatcher = dispatcher(limit = 2.0)
        val decisions = List(40) { dispatcher.submit(START, wait = 2.seconds, aim = 1_050.milliseconds) }
        assertEquals(2, decisions.count { it is DispatchDecision.Wait })
        assertTrue(dispatcher.submit(START, 2.seconds, aim = 300.milliseconds) is DispatchDecision.Reject)
        val first = dispatcher(limit = 2.0).submit(START, 2.seconds, aim = 300.milliseconds)
        assertTrue(first is DispatchDecision.Wait, "$first")
    }

    /** Guards against requests that wait at a process which may not send at all. */
    @Test
    fun `a process that is no sender rejects at once`() {
        val decisions =
            (0 until 40).map { dispatcher(limit = 0.0, gateways = 40, self = "g$it").submit(START, wait = 30.seconds) }
        assertEquals(38, decisions.count { it is DispatchDecision.Reject && it.retryAfter == 8.seconds })
        // Another process may serve the caller sooner.
        assertEquals(38, decisions.count { it is DispatchDecision.Reject && it.notBefore == null })
    }

    /** Guards against a stream that waits for another endpoint while its caller has a part, or exceeds a limit. */
    @Test
    fun `a request that cannot wait is rejected at once`() {
        val dispatcher = dispatcher(limit = 10.0)
        val decision = dispatcher.submit(START, wait = Duration.ZERO, canWait = false)
        assertTrue(decision is DispatchDecision.Reject && decision.cause == Unavailability.AT_NAMED_LIMIT, "$decision")
        val later = dispatcher.submit(START + 150.milliseconds, wait = Duration.ZERO, canWait = false)
        assertTrue(later is DispatchDecision.Place, "$later")
    }

    /** Guards against requests that wait in vain, as the limit has become lower since they began to wait. */
    @Test
    fun `requests that wait are rejected when a lower limit leaves them no budget in time`() {
        val balancer = limitedBalancer("g0")
        balancer.update(limitedView(listOf(limitedEndpoint("e0")), listOf("g0")), START)
        balancer.limitNamed(e0, NamedLimit.Rate(2.0), START)
        val dispatcher = dispatcher(balancer) { 0.0 }
        val first = List(10) { dispatcher.submit(START, wait = 6.seconds) }
        assertEquals(10, first.count { it is DispatchDecision.Wait })
        balancer.limitNamed(e0, NamedLimit.Rate(0.0), START + 100.milliseconds)
        val changed = START + 200.milliseconds
        val rejected = dispatcher.advance(changed).count { it is DispatchDecision.Reject }
        assertTrue(rejected >= 8, "$rejected of 10 rejected, one of which can be served in 6 s")
    }

    private fun rounded(decision: DispatchDecision): DispatchDecision =
        (decision as DispatchDecision.Reject).let {
            it.copy(retryAfter = rounded(it.retryAfter), notBefore = it.notBefore?.let(::rounded))
        }

    private fun rounded(time: Duration): Duration = (Math.round(time / 10.milliseconds) * 10).milliseconds
}
