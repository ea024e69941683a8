package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.decisions.gateway.fleetWatchTimes
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.PlantedFailure
import org.cicadaturn.tasks.processScope
import org.cicadaturn.tasks.store.StoreError
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what callers and peers see after a task of a gateway has met a defect, in virtual time. */
class TaskFailureTest {
    private val service = ServiceId("s")
    private val domain = FailureDomainId("a")
    private val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), domain)

    private fun endpoint(
        id: String = "e",
        state: AdmissionState = AdmissionState.IN_SERVICE,
        coldFor: Duration = Duration.ZERO,
    ) = LiveEndpoint(EndpointId(id), service, NetworkAddress(id, 1), domain, state, 8, coldFor)

    private fun fleetOf(vararg endpoints: LiveEndpoint): Fleet =
        object : Fleet {
            private val services = listOf(RoutedService(service, 400, coldRate = 8.0))
            private val configuration = RoutingConfiguration(1, emptyList(), services, null, CallerLimits())
            override val state =
                MutableStateFlow(
                    FleetState(FleetView(configuration, endpoints.toList(), peers = listOf(peer)), true, true),
                )

            override suspend fun ownView() = state.value.view

            override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
        }

    private val options =
        BalancerOptions(
            self = ProcessId("g"),
            localDomain = domain,
            coldFactor = 1.5,
            coldSlack = 5.0,
            retryRatio = 0.2,
            retrySlack = 100.0,
            retryWindow = 10.seconds,
        )

    private fun TestScope.balancerOf(
        endpoints: EndpointBalancer,
        fleet: Fleet,
    ): Balancer {
        val dispatcher = dispatcher(endpoints, Random(1)::nextDouble)
        val dependencies = BalancerDependencies(endpoints, dispatcher, fleet, { null }, virtualClock())
        return startBalancer(processScope(), dependencies)
    }

    private fun TestScope.request(): DispatchRequest {
        val now = virtualClock().now()
        val endpoint = EndpointRequest(service, emptySet(), only = null, isRetry = false, canWait = false)
        return DispatchRequest(endpoint, null, 0, 0, now, now)
    }

    private suspend fun TestScope.place(balancer: Balancer): Placement? =
        withTimeoutOrNull(1.seconds) { balancer.place(request()) }

    /** Guards against a process that places no request any more after a defect that concerns one of them. */
    @Test
    fun `a request whose placement fails is refused at once and the next one is placed`() =
        runTest {
            val failure = PlantedFailure()
            val real = endpointBalancer(options, Random(1))
            val failing =
                object : EndpointBalancer by real {
                    override fun choose(
                        request: EndpointRequest,
                        now: Instant,
                    ): EndpointChoice {
                        failure()
                        return real.choose(request, now)
                    }
                }
            val balancer = balancerOf(failing, fleetOf(endpoint()))
            delay(1.milliseconds)
            assertInstanceOf(Placement.Rejected::class.java, place(balancer))
            assertInstanceOf(Placement.Placed::class.java, place(balancer))
        }

    /** Guards against a process that places no request any more after a defect outside of any request. */
    @Test
    fun `requests are placed after a failure to look for groups to ask`() =
        runTest {
            val failure = PlantedFailure()
            val real = endpointBalancer(options, Random(1))
            val failing =
                object : EndpointBalancer by real {
                    override fun endpointsToAsk(now: Instant): List<LiveEndpoint> {
                        failure()
                        return real.endpointsToAsk(now)
                    }
                }
            val balancer = balancerOf(failing, fleetOf(endpoint()))
            delay(1.milliseconds)
            assertInstanceOf(Placement.Placed::class.java, place(balancer))
        }

    /** Guards against a balancer that forgets with a defect what it has sent to a cold endpoint, and exceeds its rate. */
    @Test
    fun `the rate of a cold endpoint holds after a failure`() =
        runTest {
            val failure = PlantedFailure()
            val failing =
                object : EndpointBalancer by endpointBalancer(options, Random(1)) {
                    override fun loadReported(
                        endpoint: EndpointId,
                        load: LoadSample,
                        now: Instant,
                    ) = failure()
                }
            val balancer = balancerOf(failing, fleetOf(endpoint(coldFor = 1.hours)))
            delay(1.milliseconds)
            var placed = 0
            while (placed < 100 && place(balancer) is Placement.Placed) placed += 1
            assertTrue(placed in 1..99, "$placed requests were placed at a cold endpoint at once")
            balancer.loadReported(EndpointId("e"), LoadSample(0, 0, 8))
            assertInstanceOf(Placement.Rejected::class.java, place(balancer))
        }

    /** Store with an endpoint that drains; the answer to a watch that says so cannot be applied the first time. */
    private inner class UnappliedDrainStore : FleetStore by FixedFleetStore(content = null) {
        private val failure = PlantedFailure()
        private val drained = listOf(FleetChange.EndpointListed(endpoint(state = AdmissionState.DRAINED)))
        private var isDrained = false

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (part != FleetPart.ENDPOINTS) return FleetChanges(StorePosition(0, 1), emptyList()).right()
            if (isDrained) return FleetChanges(StorePosition(0, 2), drained).right()
            return FleetChanges(StorePosition(0, 1), listOf(FleetChange.EndpointListed(endpoint()))).right()
        }

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            if (part != FleetPart.ENDPOINTS || position.revision > 1) awaitCancellation()
            isDrained = true
            val poisoned =
                object : List<FleetChange> by drained {
                    override fun iterator(): Iterator<FleetChange> {
                        failure()
                        return drained.iterator()
                    }
                }
            return FleetChanges(StorePosition(0, 2), poisoned).right()
        }
    }

    private fun TestScope.fleetWith(
        store: FleetStore,
        fetchPeerView: suspend (List<GatewayPeer>) -> FleetView? = { null },
    ): Fleet =
        startFleet(
            processScope(),
            FleetDependencies(
                store,
                peer,
                fetchPeerView,
                { fleetWatchTimes(it, 10.seconds, 3.seconds, 1.seconds) },
                Backoff { 100.milliseconds },
                virtualClock(),
            ),
        )

    /** Guards against a process that serves with the state of the fleet from before a defect, for good. */
    @Test
    fun `a change that cannot be applied is read again`() =
        runTest {
            val fleet = fleetWith(UnappliedDrainStore())
            delay(3.seconds)
            assertEquals(
                AdmissionState.DRAINED,
                fleet.state.value.view.endpoints
                    .single()
                    .state,
            )
            assertNotNull(withTimeoutOrNull(1.seconds) { fleet.ownView() })
        }

    /** Guards against a process that learns nothing from its peers any more after a defect in a call to them. */
    @Test
    fun `peers are asked again after a call to them failed`() =
        runTest {
            val failure = PlantedFailure()
            val configuration = RoutingConfiguration(1, emptyList(), emptyList(), null, CallerLimits())
            val fleet =
                fleetWith(FixedFleetStore(content = null)) {
                    failure()
                    FleetView(configuration = configuration, configurationPosition = StorePosition(0, 1))
                }
            val known = withTimeoutOrNull(5.seconds) { fleet.state.first { it.view.configuration != null } }
            assertNotNull(known)
        }

    /** Guards against a process that its peers never learn of, without which no pledge of all is complete. */
    @Test
    fun `the process registers after a failed attempt`() =
        runTest {
            val failure = PlantedFailure()
            var isRegistered = false
            val store =
                object : FleetStore by FixedFleetStore(content = null) {
                    override suspend fun register(peer: GatewayPeer): Either<StoreError, StorePosition> {
                        failure()
                        isRegistered = true
                        return StorePosition().right()
                    }
                }
            fleetWith(store)
            delay(5.seconds)
            assertTrue(isRegistered)
        }

    /** Guards against requests that wait for an idle connection until their deadline. */
    @Test
    fun `connections can be taken after the pool has failed`() =
        runTest {
            val failure = PlantedFailure()
            val pool = startConnectionPool(processScope(), fleetOf(endpoint()), virtualClock()) { failure() }
            pool.surplusReceived(EndpointId("e"))
            val isAnswered = withTimeoutOrNull(1.seconds) { pool.take(EndpointId("e"), 1.seconds, null).let { true } }
            assertEquals(true, isAnswered)
        }
}
