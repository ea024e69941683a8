package org.cicadaturn.decisions.dispatch

import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.LeavingNotice
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.ratelimit.START
import org.cicadaturn.decisions.ratelimit.limitedBalancer
import org.cicadaturn.decisions.ratelimit.limitedEndpoint
import org.cicadaturn.decisions.ratelimit.limitedRequest
import org.cicadaturn.decisions.ratelimit.limitedView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What becomes of requests while their endpoints leave or pause. */
class WithheldEndpointsTest {
    private val e0 = limitedEndpoint("e0")
    private val e1 = limitedEndpoint("e1")
    private val balancer =
        limitedBalancer("g0").also { it.update(limitedView(listOf(e0, e1), listOf("g0")), START) }
    private val dispatcher = dispatcher(balancer) { 0.0 }
    private var lastTicket = 0L

    private fun submit(
        now: Instant = START,
        wait: Duration = 2.seconds,
        hasReturned: Boolean = false,
        endpoint: EndpointRequest = limitedRequest(),
    ): DispatchDecision {
        val request = DispatchRequest(endpoint, null, 0, 100, now + wait, now + wait, hasReturned)
        return dispatcher.submit(DispatchTicket(++lastTicket), request, now)
    }

    private fun EndpointBalancer.leaves(
        endpoint: LiveEndpoint,
        now: Instant,
    ) = notices.noticed(endpoint, EndpointNotice(leaving = LeavingNotice.Announced), now)

    private fun EndpointBalancer.pauses(
        endpoint: LiveEndpoint,
        time: Duration,
        now: Instant = START,
    ) = notices.noticed(endpoint, EndpointNotice(pause = PauseNotice.Requested(time)), now)

    /** Guards against requests that wait for endpoints that do not return. */
    @Test
    fun `a request is rejected at once if all endpoints leave unless its caller has come back`() {
        balancer.leaves(e0, START)
        assertTrue(submit() is DispatchDecision.Place)
        balancer.leaves(e1, START)
        val decision = submit() as DispatchDecision.Reject
        assertEquals(Unavailability.LEAVING, decision.cause)
        assertTrue(decision.retryAfter >= 1.seconds, "$decision")
        assertTrue(submit(hasReturned = true) is DispatchDecision.Wait)
    }

    /** Guards against a retry that waits for the only endpoint to which it may go, although that leaves. */
    @Test
    fun `a retry is rejected at once if the endpoints to which it may go leave`() {
        balancer.leaves(e0, START)
        val retry = limitedRequest(isRetry = true)
        val rejected = listOf(retry.copy(only = setOf(e0.id)), retry.copy(excluded = setOf(e1.id)))
        rejected.forEach {
            assertEquals(Unavailability.LEAVING, (submit(endpoint = it) as DispatchDecision.Reject).cause)
        }
        assertTrue(submit(endpoint = retry) is DispatchDecision.Place)
    }

    /** Guards against requests that wait until their time is over, and callers that return within the pause. */
    @Test
    fun `a request is rejected at once with the end of the shortest pause if that is too late`() {
        balancer.pauses(e0, 30.seconds)
        balancer.pauses(e1, 5.seconds)
        val decision = submit()
        assertEquals(DispatchDecision.Reject(DispatchTicket(1), Unavailability.PAUSED, 5.seconds, 5.seconds), decision)
    }

    /** Guards against a rejection of requests that can be served after the pause, and of more than those. */
    @Test
    fun `requests wait for the end of a pause that comes in time`() {
        balancer.pauses(e0, 900.milliseconds)
        balancer.pauses(e1, 30.seconds)
        val decisions = List(100) { submit() }
        val waiting = decisions.count { it is DispatchDecision.Wait }
        assertTrue(waiting in 3..8, "$waiting of 100 wait")
        assertTrue(decisions.all { it !is DispatchDecision.Place })
        assertEquals(emptyList<DispatchDecision>(), dispatcher.advance(START + 850.milliseconds))
        val later = (0..<110).flatMap { dispatcher.advance(START + 900.milliseconds + 10.milliseconds * it) }
        val placed = later.count { it is DispatchDecision.Place }
        assertTrue(placed >= waiting - 1, "$placed of $waiting placed")
    }

    /** Guards against requests in the queue that go to an endpoint that leaves, or wait for it. */
    @Test
    fun `requests that wait are rejected when their endpoints leave`() {
        listOf(e0, e1).forEach { balancer.pauses(it, 1.seconds) }
        assertTrue(submit() is DispatchDecision.Wait)
        listOf(e0, e1).forEach { balancer.leaves(it, START + 500.milliseconds) }
        val decision = dispatcher.advance(START + 550.milliseconds).single()
        assertEquals(Unavailability.LEAVING, (decision as DispatchDecision.Reject).cause)
    }

    /** Guards against requests in the queue that wait until their time is over. */
    @Test
    fun `requests that wait are rejected when their endpoints pause for longer than their time`() {
        listOf(e0, e1).forEach { balancer.pauses(it, 1.seconds) }
        assertTrue(submit() is DispatchDecision.Wait)
        listOf(e0, e1).forEach { balancer.pauses(it, 9.seconds, START + 500.milliseconds) }
        val decision = dispatcher.advance(START + 550.milliseconds).single()
        assertEquals(Unavailability.PAUSED, (decision as DispatchDecision.Reject).cause)
    }

    /** Guards against a pause of one endpoint that makes requests wait while another one has room. */
    @Test
    fun `a request goes to another endpoint while one pauses`() {
        balancer.pauses(e0, 9.seconds)
        val placed = List(20) { submit() as DispatchDecision.Place }
        assertEquals(setOf(e1.id), placed.mapTo(HashSet()) { it.choice.endpoint.id })
    }
}
