package org.cicadaturn.tasks.experts

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.gateway.Fleet
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal const val RANKS = 3
internal const val EXPERTS = 9

internal val testService = ServiceId("s")
internal val testProfile = ExpertProfile(1, EXPERTS, 4, 1, 50.milliseconds, 100.milliseconds)
internal val testEndpoints =
    List(RANKS) {
        LiveEndpoint(
            EndpointId("e$it"),
            testService,
            NetworkAddress("10.0.0.$it", 80),
            FailureDomainId("a"),
            AdmissionState.IN_SERVICE,
            8,
            Duration.ZERO,
        )
    }

private val testFleet =
    object : Fleet {
        private val routed = RoutedService(testService, 400, 0.0, testProfile)
        private val configuration = RoutingConfiguration(1, emptyList(), listOf(routed), null, CallerLimits())
        override val state = MutableStateFlow(FleetState(FleetView(configuration, testEndpoints), true, true))

        override suspend fun ownView() = state.value.view

        override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
    }

internal val testLease =
    object : Lease {
        override fun token() = 1L

        override fun forfeit() = Unit

        override fun pledge(token: Long) = false

        override fun release() = Unit

        override suspend fun keep() = Unit
    }

/** Group of [RANKS] ranks that use the first map as version [inUse]. */
internal abstract class TestRanks(
    private val inUse: Long = 0,
) : RankClient {
    protected fun rankOf(endpoint: LiveEndpoint) = testEndpoints.indexOf(endpoint)

    protected fun reportOf(
        endpoint: LiveEndpoint,
        state: RankState,
    ) = RankReport("g", rankOf(endpoint), RANKS, isOpen = true, state)

    override suspend fun connect(
        endpoint: LiveEndpoint,
        timeout: Duration,
    ): OrderConnection? = connectionOf(this, endpoint)

    override suspend fun map(endpoint: LiveEndpoint): RankMap =
        RankMap(inUse, 1, listOf((0 until EXPERTS).filter { it % RANKS == rankOf(endpoint) }))
}

/** Returns a connection whose order is an order of [client] to [endpoint]. */
internal fun connectionOf(
    client: RankClient,
    endpoint: LiveEndpoint,
): OrderConnection =
    object : OrderConnection {
        override suspend fun send(
            order: RankOrder,
            epoch: Long,
            token: Long,
            timeout: Duration,
        ): OrderAnswer = client.order(endpoint, order, epoch, token, timeout)

        override fun close() = Unit
    }

/** Returns a connection whose order is given to [carryOut]. */
internal fun connectionOf(carryOut: suspend (RankOrder) -> OrderAnswer): OrderConnection =
    object : OrderConnection {
        override suspend fun send(
            order: RankOrder,
            epoch: Long,
            token: Long,
            timeout: Duration,
        ): OrderAnswer = carryOut(order)

        override fun close() = Unit
    }

/** Clock of the virtual time of this scope. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.testClock(): Clock =
    object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
    }

internal suspend fun TestScope.balance(
    ranks: RankClient,
    time: Duration,
) {
    startExpertBalancer(backgroundScope, testFleet, testLease, ranks, testClock())
    delay(time)
}
