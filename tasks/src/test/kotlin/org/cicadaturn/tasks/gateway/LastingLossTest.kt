package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.decisions.quarantine.SegmentQuarantine
import org.cicadaturn.decisions.quarantine.TrialRegistry
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.SegmentTrial
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.PlantedFailure
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.processScope
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that what a task was told, and could not handle, does not stay unknown to it, in virtual time. */
class LastingLossTest {
    private val service = ServiceId("s")
    private val domain = FailureDomainId("a")
    private val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), domain)

    private fun endpoint(
        id: String,
        state: AdmissionState = AdmissionState.IN_SERVICE,
    ) = LiveEndpoint(EndpointId(id), service, NetworkAddress(id, 1), domain, state, 8, Duration.ZERO)

    private class ChangingFleet(
        first: FleetView,
    ) : Fleet {
        override val state = MutableStateFlow(FleetState(first, true, true))

        fun change(view: FleetView) {
            state.value = FleetState(view, true, true)
        }

        override suspend fun ownView() = state.value.view

        override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
    }

    private fun viewOf(vararg endpoints: LiveEndpoint): FleetView {
        val configuration =
            RoutingConfiguration(1, emptyList(), listOf(RoutedService(service, 400)), null, CallerLimits())
        return FleetView(configuration, endpoints.toList(), peers = listOf(peer))
    }

    /** Starts a balancer whose update fails with each view for which [isFailing] returns true. */
    private fun TestScope.balancerOf(
        fleet: Fleet,
        isFailing: (FleetView) -> Boolean,
    ): Balancer {
        val options = BalancerOptions(ProcessId("g"), domain, 1.5, 5.0, 0.2, 100.0, 10.seconds)
        val real = endpointBalancer(options, Random(1))
        val failing =
            object : EndpointBalancer by real {
                override fun update(
                    view: FleetView,
                    now: Instant,
                ) {
                    check(!isFailing(view)) { "planted failure" }
                    real.update(view, now)
                }
            }
        val dispatcher = dispatcher(failing, Random(1)::nextDouble)
        val dependencies = BalancerDependencies(failing, dispatcher, fleet, { null }, virtualClock())
        return startBalancer(processScope(), dependencies)
    }

    /** Returns the endpoints that get some of 40 requests. */
    private suspend fun TestScope.usedEndpoints(balancer: Balancer): Set<String> {
        val used = HashSet<String>()
        repeat(40) {
            val now = virtualClock().now()
            val endpoint = EndpointRequest(service, emptySet(), only = null, isRetry = false, canWait = false)
            val placement = balancer.place(DispatchRequest(endpoint, null, 0, 0, now, now))
            if (placement is Placement.Placed) used += placement.endpoint.id.text
        }
        return used
    }

    /** Guards against requests to an endpoint that drains, as the update that says so failed. */
    @Test
    fun `a drained endpoint gets no requests after an update failed`() =
        runTest {
            val fleet = ChangingFleet(viewOf(endpoint("e1"), endpoint("e2")))
            var failuresLeft = 0
            val balancer = balancerOf(fleet) { failuresLeft-- > 0 }
            delay(1.seconds)
            // All attempts of the first application of the view fail.
            failuresLeft = 20
            fleet.change(viewOf(endpoint("e1", AdmissionState.DRAINED), endpoint("e2")))
            delay(10.seconds)
            assertEquals(setOf("e2"), usedEndpoints(balancer))
        }

    /** Guards against a fleet that is not known any more, as the entry of one endpoint fails each time. */
    @Test
    fun `endpoints are updated beside one whose entry fails`() =
        runTest {
            val fleet = ChangingFleet(viewOf(endpoint("e1"), endpoint("e2"), endpoint("bad")))
            val drained = AdmissionState.DRAINED
            val balancer =
                balancerOf(fleet) { view -> view.endpoints.any { it.id.text == "bad" && it.state == drained } }
            delay(1.seconds)
            assertEquals(setOf("e1", "e2", "bad"), usedEndpoints(balancer))
            fleet.change(viewOf(endpoint("e1", drained), endpoint("e2"), endpoint("e3"), endpoint("bad", drained)))
            delay(1.seconds)
            assertEquals(setOf("e2", "e3"), usedEndpoints(balancer))
        }

    /** Connection that is idle; [onClose] is called when it is closed. */
    private class IdleLink(
        private val onClose: () -> Unit = {},
    ) : HttpLink {
        var isClosed = false
        override val closed = CompletableDeferred<Unit>()
        override val isIdle get() = !isClosed
        override val hasSurplus = false
        override val isWithinHead = false

        override suspend fun receive(): HttpPart? = null

        override fun readAhead() = Unit

        override fun sendRequest(
            head: RequestHead,
            body: ByteArray,
        ) = CompletableDeferred(true)

        override suspend fun awaitRequest() = false

        override suspend fun sendContinue() = true

        override suspend fun sendResponse(
            head: ResponseHead,
            body: ByteArray,
        ) = true

        override suspend fun sendHead(head: ResponseHead) = true

        override suspend fun sendData(bytes: ByteArray) = true

        override suspend fun sendEnd() = true

        override fun close() {
            onClose()
            isClosed = true
        }
    }

    /** Guards against connections to endpoints that are gone, which stay open as the closing of one of them failed. */
    @Test
    fun `connections to endpoints that are gone are closed after the closing of one failed`() =
        runTest {
            val fleet = ChangingFleet(viewOf(endpoint("e1"), endpoint("e2")))
            val pool = startConnectionPool(processScope(), fleet, virtualClock()) {}
            val links = listOf(IdleLink { error("planted failure") }) + List(3) { IdleLink() }
            links.forEachIndexed {
                i,
                link,
                ->
                pool.put(EndpointId("e${i / 2 + 1}"), EndpointConnection(link), 60.seconds)
            }
            delay(1.seconds)
            fleet.change(viewOf())
            delay(1.seconds)
            assertEquals(listOf(false, true, true, true), links.map { it.isClosed })
        }

    /** Guards against requests on connections where bytes arrive that belong to no request. */
    @Test
    fun `the connections of an endpoint with surplus bytes are closed if the count of these fails`() =
        runTest {
            val pool =
                startConnectionPool(
                    processScope(),
                    ChangingFleet(viewOf(endpoint("e1"))),
                    virtualClock(),
                ) { error("planted failure") }
            val link = IdleLink()
            pool.put(EndpointId("e1"), EndpointConnection(link), 60.seconds)
            pool.surplusReceived(EndpointId("e1"))
            delay(1.seconds)
            assertTrue(link.isClosed)
        }

    private fun TestScope.quarantineWith(
        fleet: Fleet,
        segments: SegmentQuarantine = segmentQuarantine(),
        trials: TrialRegistry = trialRegistry(ProcessId("self")),
        exchange: suspend (GatewayPeer, QuarantineNews) -> QuarantineNews? = { _, _ -> null },
    ): Quarantine =
        startQuarantine(
            processScope(),
            QuarantineDependencies(
                self = ProcessId("self"),
                quarantine = segments,
                weights = lossWeights(),
                trials = trials,
                fleet = fleet,
                store = FixedFleetStore(content = null),
                refusesConnections = { false },
                exchange = exchange,
                metrics = QuarantineMetrics(PrometheusRegistry()),
                random = Random(1),
                clock = virtualClock(),
                wallClock = virtualClock(),
            ),
        )

    /** Guards against prompts that crash endpoints and are sent on, as the update of the list in the store failed. */
    @Test
    fun `the list in the store is applied after an attempt failed`() =
        runTest {
            val failure = PlantedFailure()
            val real = segmentQuarantine()
            val failing =
                object : SegmentQuarantine by real {
                    override fun listed(
                        listed: List<QuarantinedSegment>,
                        now: Instant,
                        wallClock: Instant,
                    ) {
                        if (listed.isNotEmpty()) failure()
                        real.listed(listed, now, wallClock)
                    }
                }
            val fleet = ChangingFleet(viewOf(endpoint("e")))
            val quarantine = quarantineWith(fleet, segments = failing)
            delay(1.seconds)
            val entry = QuarantinedSegment(service, PromptSegmentId("a"), 0.99, 3, listOf(EndpointId("e")), 0)
            fleet.change(viewOf(endpoint("e")).copy(quarantine = listOf(entry)))
            delay(1.seconds)
            assertEquals(
                listOf("a"),
                quarantine.view.value.suspicions
                    .map { it.segment.segment.text },
            )
        }

    /** Guards against a process that does not ask its peers any more after it was cut off. */
    @Test
    fun `peers are asked again after a question to one failed`() =
        runTest {
            val failure = PlantedFailure()
            var questions = 0
            val fleet = ChangingFleet(viewOf(endpoint("e")))
            quarantineWith(fleet, exchange = { _, news ->
                failure()
                if (news.isQuery) questions += 1
                QuarantineNews()
            })
            delay(10.seconds)
            assertEquals(1, questions)
            fleet.state.value = fleet.state.value.copy(isConfigurationCurrent = false)
            delay(10.seconds)
            assertEquals(2, questions)
        }

    /** Guards against a service without any further trial, as the end of one could not be recorded. */
    @Test
    fun `a trial can be claimed after the end of another one failed`() =
        runTest {
            val failure = PlantedFailure()
            val real = trialRegistry(ProcessId("self"))
            val failing =
                object : TrialRegistry by real {
                    override fun end(service: ServiceId) {
                        failure()
                        real.end(service)
                    }
                }
            val quarantine = quarantineWith(ChangingFleet(viewOf(endpoint("e"))), trials = failing)
            assertEquals(true, withTimeoutOrNull(2.seconds) { quarantine.claimTrial(service) })
            quarantine.endTrial(service)
            delay(5.seconds)
            assertEquals(true, withTimeoutOrNull(2.seconds) { quarantine.claimTrial(service) })
        }

    /** Guards against a service without any further trial, as the start of one failed. */
    @Test
    fun `a trial can be claimed after the start of another one failed`() =
        runTest {
            val failure = PlantedFailure()
            val real = trialRegistry(ProcessId("self"))
            val failing =
                object : TrialRegistry by real {
                    override fun start(
                        service: ServiceId,
                        answers: List<SegmentTrial>,
                    ): Boolean {
                        failure()
                        return real.start(service, answers)
                    }
                }
            val quarantine = quarantineWith(ChangingFleet(viewOf(endpoint("e"))), trials = failing)
            val claims = List(2) { withTimeoutOrNull(2.seconds) { quarantine.claimTrial(service) } }
            assertEquals(listOf(false, true), claims)
        }
}
