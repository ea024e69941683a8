package org.cicadaturn.decisions.dispatch

import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class DispatcherTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("s")
    private val domain = FailureDomainId("d")
    private val ids = listOf("a0", "a1", "b0", "b1").map { EndpointId(it) }
    private var lastTicket = 0L

    private fun balancer(): EndpointBalancer {
        val options = BalancerOptions(ProcessId("g"), domain, 1.5, 5.0, 0.2, 20.0, 10.seconds)
        val endpoints =
            ids.map {
                LiveEndpoint(
                    it,
                    service,
                    NetworkAddress("10.0.0.1", 80),
                    domain,
                    AdmissionState.IN_SERVICE,
                    4,
                    Duration.ZERO,
                )
            }
        val profile = ExpertProfile(1, 4, 2, 1, 100.milliseconds, 200.milliseconds, 5.milliseconds, 1.milliseconds)
        val configuration =
            RoutingConfiguration(
                1,
                emptyList(),
                listOf(RoutedService(service, 400, 0.0, profile)),
                null,
                CallerLimits(),
            )
        val peers = listOf(GatewayPeer(ProcessId("p"), NetworkAddress("10.0.0.2", 80), domain))
        return endpointBalancer(options, Random(1)).also { balancer ->
            balancer.update(FleetView(configuration = configuration, endpoints = endpoints, peers = peers), start)
            ids.forEach { balancer.groupReported(it, GroupReport(it.text.take(1), 1, isOpen = true), start) }
        }
    }

    private fun request(
        organisation: String = "o",
        priority: Int = 1,
        aimUntil: Instant = start + 300.milliseconds,
        waitUntil: Instant = start + 1.seconds,
        isRetry: Boolean = false,
    ) = DispatchRequest(
        EndpointRequest(service, emptySet(), null, isRetry, canWait = true),
        OrganisationId(organisation),
        priority,
        bytes = 100,
        aimUntil,
        waitUntil,
    )

    private fun ticket() = DispatchTicket(++lastTicket)

    /** Takes the groups to their limit: each rank reports that all its slots are in use by this process. */
    private fun fill(
        balancer: EndpointBalancer,
        dispatcher: Dispatcher,
    ) {
        repeat(
            16,
        ) { assertInstanceOf(DispatchDecision.Place::class.java, dispatcher.submit(ticket(), request(), start)) }
        ids.forEach { balancer.loadReported(it, LoadSample(4, 0, 4), start) }
    }

    private fun placed(decisions: List<DispatchDecision>) =
        decisions.filterIsInstance<DispatchDecision.Place>().map { it.ticket }

    /** Guards against a metastable overload, in which requests are served in order of arrival and all of them late. */
    @Test
    fun `a request that can be in time is placed before one that waits for longer`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        fill(balancer, dispatcher)
        val late = ticket()
        val fresh = ticket()
        dispatcher.submit(late, request(aimUntil = start + 50.milliseconds), start)
        dispatcher.submit(fresh, request(), start)
        val now = start + 100.milliseconds
        balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), now)
        assertEquals(listOf(fresh), placed(dispatcher.advance(now)))
        // The late request gets its place once the rest of the room suffices for those that can be in time.
        repeat(2) { balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), now) }
        assertEquals(emptyList<DispatchTicket>(), placed(dispatcher.advance(now)))
        balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), now)
        assertEquals(listOf(late), placed(dispatcher.advance(now)))
    }

    /** Guards against late requests that fill a group after an outage, so that all that follow are late as well. */
    @Test
    fun `late requests leave a part of the room to those that can be in time`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        fill(balancer, dispatcher)
        val now = start + 400.milliseconds
        ids.forEach { balancer.finished(it, EndpointUse.Answered(50.milliseconds), now) }
        val late = ticket()
        assertInstanceOf(DispatchDecision.Wait::class.java, dispatcher.submit(late, request(), now))
        val fresh = request(aimUntil = now + 200.milliseconds)
        assertInstanceOf(DispatchDecision.Place::class.java, dispatcher.submit(ticket(), fresh, now))
        ids.forEach { balancer.finished(it, EndpointUse.Answered(50.milliseconds), now) }
        assertEquals(listOf(late), placed(dispatcher.advance(now)))
    }

    /** Guards against an organisation that floods the service and takes the places of the others. */
    @Test
    fun `the organisation with fewer requests placed lately goes first`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        repeat(16) { dispatcher.submit(ticket(), request("flooding"), start) }
        ids.forEach { balancer.loadReported(it, LoadSample(4, 0, 4), start) }
        repeat(3) { dispatcher.submit(ticket(), request("flooding"), start) }
        val other = ticket()
        dispatcher.submit(other, request("other"), start)
        balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), start)
        assertEquals(listOf(other), placed(dispatcher.advance(start)))
    }

    /** Guards against retries that are spent on a service that is down and are missing once it is back. */
    @Test
    fun `requests wait without cost while all groups are down and are placed at their return`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        val tickets = List(8) { ticket() }
        tickets.forEach { id ->
            val decision = dispatcher.submit(id, request(aimUntil = start + 600.milliseconds), start)
            assertEquals(DispatchDecision.Wait(id, Unavailability.DOWN), decision)
        }
        val back = start + 500.milliseconds
        assertEquals(emptyList<DispatchDecision>(), dispatcher.advance(back))
        balancer.groupReported(ids[1], GroupReport("a", 2, isOpen = true), back)
        assertEquals(tickets.toSet(), placed(dispatcher.advance(back)).toSet())
    }

    /** Guards against late requests that wait in vain at the return of a group that no other request uses. */
    @Test
    fun `late requests are all placed after the return of a group while none in time competes`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        val tickets = List(8) { ticket() }
        tickets.forEach { dispatcher.submit(it, request(), start) }
        val back = start + 500.milliseconds
        balancer.groupReported(ids[1], GroupReport("a", 2, isOpen = true), back)
        // The group has 8 places, of which late requests get 0.65; the others follow as places become free.
        val first = dispatcher.advance(back)
        assertEquals(6, placed(first).size)
        assertEquals(emptyList<DispatchTicket>(), placed(dispatcher.advance(back + 50.milliseconds)))
        val used = first.filterIsInstance<DispatchDecision.Place>().map { it.choice.endpoint.id }
        val next = back + 100.milliseconds
        used.take(2).forEach { balancer.finished(it, EndpointUse.Answered(50.milliseconds), next) }
        assertEquals(tickets.toSet(), (placed(first) + placed(dispatcher.advance(next))).toSet())
    }

    /** Guards against requests that wait until their time is over although the service will not be back by then. */
    @Test
    fun `a request is rejected at once if the outage is expected to outlast its wait`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.0 }
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        val now = start + 4.seconds
        val decision = dispatcher.submit(ticket(), request(waitUntil = now + 1.seconds), now)
        val reject = assertInstanceOf(DispatchDecision.Reject::class.java, decision)
        assertEquals(2.seconds, reject.retryAfter)
    }

    /** Guards against the loss of a request whose caller has come back once, while the service may return. */
    @Test
    fun `a caller that has come back waits as long as it can`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.0 }
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        val now = start + 4.seconds
        val id = ticket()
        val returned = request(waitUntil = now + 1.seconds).copy(hasReturned = true)
        assertEquals(DispatchDecision.Wait(id, Unavailability.DOWN), dispatcher.submit(id, returned, now))
    }

    /** Guards against places for callers that can still come back, while others are lost after their only retry. */
    @Test
    fun `among late requests those whose callers have come back go first`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.0 }
        fill(balancer, dispatcher)
        val now = start + 400.milliseconds
        val first = ticket()
        val returned = ticket()
        dispatcher.submit(first, request("other"), now)
        dispatcher.submit(returned, request().copy(hasReturned = true), now)
        repeat(4) { balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), now) }
        assertEquals(returned, placed(dispatcher.advance(now)).first())
    }

    /** Guards against callers that were rejected together and come back together. */
    @Test
    fun `the delays of rejected callers are spread`() {
        val balancer = balancer()
        val random = Random(3)
        val dispatcher = dispatcher(balancer, random::nextDouble)
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        val now = start + 4.seconds
        val delays =
            List(50) { dispatcher.submit(ticket(), request(waitUntil = now + 1.seconds), now) }
                .map { (it as DispatchDecision.Reject).retryAfter }
        assertTrue(delays.max() - delays.min() > 1.seconds, "$delays")
    }

    /** Guards against a waiting request that is forgotten, and against one that waits beyond its time. */
    @Test
    fun `a request that finds no place is rejected when its wait ends`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        fill(balancer, dispatcher)
        val id = ticket()
        dispatcher.submit(id, request(waitUntil = start + 200.milliseconds), start)
        assertTrue(dispatcher.nextEvent(start)!! <= start + 200.milliseconds)
        assertEquals(emptyList<DispatchDecision>(), dispatcher.advance(start + 199.milliseconds))
        val end = dispatcher.advance(start + 200.milliseconds).single()
        assertEquals(id, assertInstanceOf(DispatchDecision.Reject::class.java, end).ticket)
        assertEquals(0, dispatcher.waiting)
    }

    /** Guards against memory that grows with the requests that wait. */
    @Test
    fun `the number of waiting requests is bounded`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        listOf(ids[0], ids[2]).forEach { balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), start) }
        repeat(2_000) { dispatcher.submit(ticket(), request(), start) }
        assertEquals(512, dispatcher.waiting)
    }

    /** Guards against a place that stays counted for a caller that has left. */
    @Test
    fun `a cancelled request is not placed`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        fill(balancer, dispatcher)
        val id = ticket()
        dispatcher.submit(id, request(), start)
        dispatcher.cancel(id)
        balancer.finished(ids[0], EndpointUse.Answered(50.milliseconds), start)
        assertEquals(emptyList<DispatchDecision>(), dispatcher.advance(start))
    }
}
