package org.cicadaturn.decisions.dispatch

import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
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
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against requests that wait, or are refused, after a group can run again, because no report has told so yet. */
class GroupReturnTest {
    private val start = Instant.fromEpochSeconds(1_000)

    /** The time of day, which has another origin than the times of the decisions. */
    private val dayStart = Instant.fromEpochSeconds(2_000_000)
    private var now = start
    private val wallClock =
        object : Clock {
            override fun now(): Instant = dayStart + (this@GroupReturnTest.now - start)
        }
    private val service = ServiceId("s")
    private val domain = FailureDomainId("d")
    private val formTime = 600.milliseconds
    private val lost = EndpointId("a0")
    private val others = listOf("a1", "a2").map(::EndpointId)
    private val replacement = EndpointId("a3")
    private var lastTicket = 0L

    private fun endpoint(
        id: EndpointId,
        startedAt: Instant,
    ) = LiveEndpoint(
        id,
        service,
        NetworkAddress("10.0.0.1", 80),
        domain,
        AdmissionState.IN_SERVICE,
        4,
        Duration.ZERO,
        startedAt.toEpochMilliseconds(),
    )

    private fun view(endpoints: List<LiveEndpoint>): FleetView {
        val profile = ExpertProfile(1, 4, 2, 1, 100.milliseconds, 200.milliseconds, formTime = formTime)
        val services = listOf(RoutedService(service, 400, 0.0, profile))
        val configuration = RoutingConfiguration(1, emptyList(), services, null, CallerLimits())
        val peers = listOf(GatewayPeer(ProcessId("p"), NetworkAddress("10.0.0.2", 80), domain))
        return FleetView(configuration = configuration, endpoints = endpoints, peers = peers)
    }

    /** Returns a balancer whose only group has lost a rank at [start]. */
    private fun balancer(): EndpointBalancer {
        val options = BalancerOptions(ProcessId("g"), domain, 1.5, 5.0, 0.2, 20.0, 10.seconds, wallClock)
        val known = (listOf(lost) + others).map { endpoint(it, dayStart - 60.seconds) }
        return endpointBalancer(options, Random(1)).also { balancer ->
            balancer.update(view(known), start - 10.seconds)
            known.forEach { balancer.groupReported(it.id, GroupReport("a", 1, isOpen = true), start - 10.seconds) }
            balancer.finished(others[0], EndpointUse.Refused(hadFreePlaces = true), start)
        }
    }

    /** Lists the replacement of the lost rank, which started [age] ago by the time of day [day]. */
    private fun EndpointBalancer.replace(
        age: Duration,
        day: Instant = wallClock.now(),
    ) {
        val ranks = others.map { endpoint(it, dayStart - 60.seconds) } + endpoint(replacement, day - age)
        update(view(ranks), now)
        groupReported(replacement, GroupReport("a", 1, isOpen = false), now)
    }

    private fun Dispatcher.submit(): DispatchDecision {
        val request = EndpointRequest(service, emptySet(), null, isRetry = false, canWait = true)
        val ticket = DispatchTicket(++lastTicket)
        val dispatch = DispatchRequest(request, OrganisationId("o"), 1, 100, now + 300.milliseconds, now + 1.seconds)
        return submit(ticket, dispatch, now)
    }

    /** Returns the endpoints that get requests until [until], with the time since [start]. */
    private fun Dispatcher.placements(
        until: Instant,
        onPlaced: (EndpointId) -> Unit = {},
    ): List<Duration> {
        val times = mutableListOf<Duration>()
        while (now < until) {
            now = minOf(until, nextEvent(now) ?: until)
            advance(now).filterIsInstance<DispatchDecision.Place>().forEach {
                times += now - start
                onPlaced(it.choice.endpoint.id)
            }
        }
        return times
    }

    /** Failed as the first request was sent when a report named the new epoch, 0.2 s later or more. */
    @Test
    fun `one request is sent at the time at which the group can run again`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        now = start + 210.milliseconds
        balancer.replace(age = 150.milliseconds)
        repeat(3) { dispatcher.submit() }
        assertEquals(listOf(760.milliseconds), dispatcher.placements(start + 770.milliseconds))
        balancer.accepted(others[0], now)
        assertEquals(2, dispatcher.advance(now).size)
    }

    /** Guards against a wait for the first event of that request, which takes as long as a report. */
    @Test
    fun `the group runs again if that request is not refused`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        balancer.replace(age = Duration.ZERO)
        repeat(4) { dispatcher.submit() }
        val times = dispatcher.placements(start + 900.milliseconds)
        assertEquals(listOf(700, 750, 750, 750).map { it.milliseconds }, times)
        assertEquals(null, balancer.downSince(service))
    }

    /** Guards against a refusal of each waiting request while another rank is missing. */
    @Test
    fun `the interval between such requests grows while they are refused`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        balancer.replace(age = Duration.ZERO)
        repeat(20) { dispatcher.submit() }
        val times =
            dispatcher.placements(start + 999.milliseconds) {
                balancer.finished(it, EndpointUse.Refused(hadFreePlaces = true), now)
            }
        assertEquals(listOf(700, 750, 850).map { it.milliseconds }, times)
        assertEquals(start, balancer.downSince(service))
    }

    /** Guards against requests that are sent long before the group has formed, or never, as a clock was set. */
    @Test
    fun `a wrong time of day delays the request by the delay of the entry at most`() {
        val balancer = balancer()
        val dispatcher = dispatcher(balancer) { 0.5 }
        now = start + 210.milliseconds
        balancer.replace(age = 150.milliseconds, day = wallClock.now() - 1.hours)
        repeat(3) { dispatcher.submit() }
        assertEquals(listOf(910.milliseconds), dispatcher.placements(start + 920.milliseconds))
    }

    /** Guards against a report from before the return, which is some hundred milliseconds old, and against its epoch. */
    @Test
    fun `a report from before the return does not end it`() {
        val balancer = balancer()
        balancer.replace(age = Duration.ZERO)
        now = start + 700.milliseconds
        balancer.accepted(others[0], now)
        balancer.groupReported(others[1], GroupReport("a", 1, isOpen = false), now + 50.milliseconds)
        assertEquals(null, balancer.downSince(service))
        assertEquals(1, balancer.endpointsToAsk(now + 200.milliseconds).size)
        balancer.groupReported(others[1], GroupReport("a", 2, isOpen = true), now + 210.milliseconds)
        assertEquals(0, balancer.endpointsToAsk(now + 500.milliseconds).size)
        balancer.finished(others[1], EndpointUse.Refused(hadFreePlaces = true), now + 900.milliseconds)
        balancer.groupReported(others[0], GroupReport("a", 2, isOpen = true), now + 950.milliseconds)
        assertEquals(now + 900.milliseconds, balancer.downSince(service))
    }
}
