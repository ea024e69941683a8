package org.cicadaturn.decisions.gateway

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
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

class EndpointBalancerTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("s")
    private val home = FailureDomainId("a")

    /** Share of one of 8 gateways in the bound for a cold endpoint, which is 1.5 times its rate of 36, plus 5. */
    private val maxShare = 59 / 8

    private fun endpoint(
        id: String,
        domain: String = "a",
        state: AdmissionState = AdmissionState.IN_SERVICE,
    ) = LiveEndpoint(
        EndpointId(id),
        service,
        NetworkAddress("10.0.0.1", 80),
        FailureDomainId(domain),
        state,
        8,
        Duration.ZERO,
    )

    private fun view(
        endpoints: List<LiveEndpoint>,
        gateways: Int = 8,
        coldRate: Double = 36.0,
        drained: List<String> = emptyList(),
    ) = FleetView(
        configuration =
            RoutingConfiguration(1, emptyList(), listOf(RoutedService(service, 400, coldRate)), null, CallerLimits()),
        endpoints = endpoints,
        drainedDomains = drained.map { FailureDomainId(it) },
        peers = List(gateways) { GatewayPeer(ProcessId("p$it"), NetworkAddress("10.0.0.2", 80), home) },
    )

    private fun balancer(
        seed: Int = 1,
        self: String = "p0",
    ) = endpointBalancer(
        BalancerOptions(
            self = ProcessId(self),
            localDomain = home,
            coldFactor = 1.5,
            coldSlack = 5.0,
            retryRatio = 0.2,
            retrySlack = 92.0,
            retryWindow = 10.seconds,
        ),
        Random(seed),
    )

    private fun request(tried: Set<String> = emptySet()) =
        EndpointRequest(service, tried.map { EndpointId(it) }.toSet(), null, tried.isNotEmpty(), canWait = true)

    /** Guards against shares whose sum over all gateways overloads a cold endpoint. */
    @Property
    fun `all gateways together stay within the bound of a cold endpoint`(
        @ForAll @IntRange(min = 1, max = 60) gateways: Int,
        @ForAll @IntRange(min = 5, max = 200) rate: Int,
    ) {
        val bound = rate * 1.5 + 5
        val share = coldShare(rate.toDouble(), 1.5, 5.0, gateways)
        assertTrue(share.senders <= gateways && share.senders * share.perSender <= bound, "$share exceeds $bound")
    }

    /** Guards against a cold endpoint that is overloaded by one request of each of many gateways, and crashes again. */
    @Test
    fun `many gateways together stay within the bound of an endpoint`() {
        val sent =
            (0 until 40).sumOf { i ->
                val balancer = balancer(self = "p$i")
                balancer.update(view(listOf(endpoint("e")), gateways = 40, coldRate = 14.0), start)
                (1..5).count { balancer.choose(request(), start) is EndpointChoice.Chosen }
            }
        // 1.5 times the rate of 14, plus 5; a part is reserved for processes that have just started.
        assertTrue(sent in 15..26, "$sent requests in a second")
    }

    /** Guards against a burst of requests to the only endpoint that is left. */
    @Test
    fun `one gateway sends at most its share in any second`() {
        val balancer = balancer()
        balancer.update(view(listOf(endpoint("e"))), start)
        val times = (0 until 400).map { start + (it * 10).milliseconds }
        val sent = times.filter { balancer.choose(request(), it) is EndpointChoice.Chosen }
        val most = sent.maxOf { first -> sent.count { it >= first && it - first < 1.seconds } }
        assertTrue(most <= maxShare, "$most requests in a second")
    }

    /** Guards against requests to endpoints that drain or whose failure domain is drained. */
    @Test
    fun `draining endpoints and drained domains get no requests`() {
        val balancer = balancer()
        val endpoints =
            listOf(
                endpoint("draining", state = AdmissionState.DRAINED),
                endpoint("drained", domain = "b"),
                endpoint("in-service"),
            )
        balancer.update(view(endpoints, drained = listOf("b")), start)
        repeat(6) {
            val choice = balancer.choose(request(), start + (it * 300).milliseconds)
            assertEquals("in-service", assertInstanceOf(EndpointChoice.Chosen::class.java, choice).endpoint.id.text)
        }
    }

    /** Guards against retries that multiply an overload. */
    @Test
    fun `retries stay within this gateway's share of the budget`() {
        val balancer = balancer()
        balancer.update(view(List(50) { endpoint("e$it") }), start)
        repeat(10) { balancer.arrived(service, start) }
        val granted = (0 until 100).count { balancer.choose(request(setOf("other")), start) is EndpointChoice.Chosen }
        assertTrue(granted in 1..(92 / 8), "$granted retries")
    }

    /** Guards against an outage of a whole service whose refusals use up the retries that are needed after it. */
    @Test
    fun `retries wait while the whole service refuses`() {
        val balancer = balancer()
        balancer.update(view(List(6) { endpoint("e$it") }, coldRate = 0.0), start)
        val later = start + 20.seconds
        repeat(3) { balancer.choose(request(), later) }
        repeat(3) { balancer.finished(EndpointId("e$it"), EndpointUse.Refused(hadFreePlaces = false), later) }
        assertInstanceOf(EndpointChoice.None::class.java, balancer.choose(request(setOf("e0")), later))
        assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(), later))
        val probe = later + 200.milliseconds
        assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(setOf("e0")), probe))
        assertInstanceOf(EndpointChoice.None::class.java, balancer.choose(request(setOf("e1")), probe))
        balancer.accepted(EndpointId("e2"), probe)
        assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(setOf("e1")), probe))
    }

    /**
     * Guards against gateways that take over the share of cut-off ones: the bounds for cold endpoints and for retries
     * apply to all gateways together, and the cut-off ones may still send requests.
     */
    @Test
    fun `gateways that are no longer listed count for a while`() {
        val balancer = balancer()
        balancer.update(view(listOf(endpoint("e")), gateways = 8), start)
        balancer.update(view(listOf(endpoint("e")), gateways = 2), start + 90.seconds)
        val sent = (0 until 100).count { balancer.choose(request(), start + 110.seconds) is EndpointChoice.Chosen }
        assertTrue(sent <= maxShare, "$sent requests at once")
        val after = (0 until 100).count { balancer.choose(request(), start + 125.seconds) is EndpointChoice.Chosen }
        assertTrue(after > maxShare, "$after requests at once")
    }

    /** Guards against an endpoint that fails every request and still gets its share of them. */
    @Test
    fun `an endpoint that fails gets no requests`() {
        val balancer = balancer()
        balancer.update(view(List(4) { endpoint("e$it") }, coldRate = 0.0), start)
        repeat(3) { balancer.finished(EndpointId("e0"), EndpointUse.Failed, start) }
        val chosen = (0 until 40).map { (balancer.choose(request(), start) as EndpointChoice.Chosen).endpoint.id.text }
        assertTrue("e0" !in chosen)
    }

    private fun groupedView(
        ids: List<String>,
        gateways: Int,
    ): FleetView {
        val profile = ExpertProfile(1, 4, 2, 1, 100.milliseconds, 200.milliseconds, 5.milliseconds, 1.milliseconds)
        val view = view(ids.map { endpoint(it) }, gateways, coldRate = 0.0)
        val services = listOf(RoutedService(service, 400, 0.0, profile))
        return view.copy(configuration = view.configuration!!.copy(services = services))
    }

    /** Returns a balancer for the groups a and b, each with the ranks 0 and 1. */
    private fun groupedBalancer(gateways: Int = 1): EndpointBalancer {
        val ids = listOf("a0", "a1", "b0", "b1")
        return balancer().also { balancer ->
            balancer.update(groupedView(ids, gateways), start)
            ids.forEach { balancer.groupReported(EndpointId(it), GroupReport(it.take(1), 1, isOpen = true), start) }
        }
    }

    /** Guards against a sound stream that queues at a full rank and is begun again elsewhere, which adds to the load. */
    @Test
    fun `a request at a full rank of a running group is not given up`() {
        val balancer = groupedBalancer()
        balancer.loadReported(EndpointId("a0"), LoadSample(8, 3, 8), start)
        balancer.accepted(EndpointId("a1"), start)
        assertEquals(false, balancer.shouldAbandon(EndpointId("a0"), hasBegun = false, start + 1.seconds))
        assertEquals(true, balancer.shouldAbandon(EndpointId("a0"), hasBegun = true, start + 1.seconds))
    }

    /** Guards against a stream that is lost in a group that stands still, and against one that displaces others. */
    @Test
    fun `a request in a group that stands still is given up if another group runs`() {
        val balancer = groupedBalancer()
        balancer.accepted(EndpointId("a0"), start)
        val later = start + 3.seconds
        assertEquals(true, balancer.shouldAbandon(EndpointId("a0"), hasBegun = true, later))
        balancer.finished(EndpointId("b0"), EndpointUse.Refused(hadFreePlaces = true), later)
        assertEquals(false, balancer.shouldAbandon(EndpointId("a0"), hasBegun = true, later))
    }

    /** Guards against a second attempt that goes to the group whose rank has just refused. */
    @Test
    fun `the attempt after a refusal with free places goes to another group`() {
        val balancer = groupedBalancer()
        val first = assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(), start)).endpoint.id
        balancer.finished(first, EndpointUse.Refused(hadFreePlaces = true), start)
        repeat(10) {
            val next = assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(), start))
            assertTrue(
                next.endpoint.id.text
                    .first() != first.text.first(),
                "${next.endpoint.id}",
            )
        }
    }

    /** Guards against a rank that is overloaded and crashes again before its group has formed with it. */
    @Test
    fun `a rank that has just started gets no requests while its group is down`() {
        val balancer = groupedBalancer()
        listOf("a0", "b0").forEach {
            balancer.finished(EndpointId(it), EndpointUse.Refused(hadFreePlaces = true), start)
        }
        val ids = listOf("a0", "a1", "b0", "b2")
        balancer.update(groupedView(ids, gateways = 1), start + 1.seconds)
        val choice = balancer.choose(request(), start + 1.seconds)
        assertEquals(Unavailability.DOWN, assertInstanceOf(EndpointChoice.None::class.java, choice).cause)
        balancer.groupReported(EndpointId("b2"), GroupReport("b", 2, isOpen = true), start + 2.seconds)
        assertInstanceOf(EndpointChoice.Chosen::class.java, balancer.choose(request(), start + 2.seconds))
    }

    /** Guards against all waiting requests of all processes at once at the ranks of a group that has just returned. */
    @Test
    fun `after an outage a process sends its even share of the slots until loads are reported`() {
        val balancer = groupedBalancer(gateways = 4)
        listOf("a0", "b0").forEach {
            balancer.finished(EndpointId(it), EndpointUse.Refused(hadFreePlaces = true), start)
        }
        val up = start + 5.seconds
        listOf("a0", "b0").forEach {
            balancer.groupReported(EndpointId(it), GroupReport(it.take(1), 2, isOpen = true), up)
        }

        fun sent(at: Instant) = (1..100).count { balancer.choose(request(), at) is EndpointChoice.Chosen }
        // Four ranks with 8 slots each, shared by four processes.
        assertEquals(8, sent(up + 10.milliseconds))
        assertTrue(sent(up + 2.seconds) > 8)
    }

    /** Guards against callers that stay with a process which cannot serve them while others can. */
    @Test
    fun `a process is isolated if it reaches no group and one of them may be reached by others`() {
        val balancer = groupedBalancer()
        balancer.finished(EndpointId("a0"), EndpointUse.Refused(hadFreePlaces = true), start)
        balancer.finished(EndpointId("b0"), EndpointUse.Lost, start)
        assertEquals(false, balancer.isIsolated(start))
        repeat(3) { balancer.groupReported(EndpointId("b${it % 2}"), null, start) }
        assertEquals(true, balancer.isIsolated(start))
        balancer.groupReported(EndpointId("b1"), GroupReport("b", 1, isOpen = true), start + 1.seconds)
        assertEquals(false, balancer.isIsolated(start + 1.seconds))
    }

    /** Guards against a service that is down for everyone, whose processes would all leave the rotation. */
    @Test
    fun `a process is not isolated while ranks of all groups answer it`() {
        val balancer = groupedBalancer()
        listOf("a0", "b0").forEach {
            balancer.finished(EndpointId(it), EndpointUse.Refused(hadFreePlaces = true), start)
        }
        assertEquals(false, balancer.isIsolated(start))
    }
}
