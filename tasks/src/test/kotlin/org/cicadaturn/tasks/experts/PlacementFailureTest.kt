package org.cicadaturn.tasks.experts

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.decisions.experts.placementLease
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LeaseRecord
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
import org.cicadaturn.tasks.gateway.FixedFleetStore
import org.cicadaturn.tasks.gateway.Fleet
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.gateway.StoredLease
import org.cicadaturn.tasks.processScope
import org.cicadaturn.tasks.store.StoreError
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the lease and the balancing of experts after a defect in one of them, in virtual time. */
class PlacementFailureTest {
    private val service = ServiceId("s")
    private val endpoints =
        List(RANKS) {
            val address = NetworkAddress("10.0.0.$it", 80)
            val state = AdmissionState.IN_SERVICE
            LiveEndpoint(EndpointId("e$it"), service, address, FailureDomainId("a"), state, 8, Duration.ZERO)
        }

    private val fleet =
        object : Fleet {
            private val profile = ExpertProfile(1, EXPERTS, 4, 1, 50.milliseconds, 100.milliseconds)
            private val routed = RoutedService(service, 400, 0.0, profile)
            private val configuration = RoutingConfiguration(1, emptyList(), listOf(routed), null, CallerLimits())
            override val state = MutableStateFlow(FleetState(FleetView(configuration, endpoints), true, true))

            override suspend fun ownView() = state.value.view

            override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
        }

    /** Store that keeps one lease. */
    private open class LeaseStore : FleetStore by FixedFleetStore(content = null) {
        private var stored: StoredLease? = null

        override suspend fun readLease(
            name: String,
            isFresh: Boolean,
        ): Either<StoreError, StoredLease> = (stored ?: StoredLease(null, StorePosition())).right()

        override suspend fun writeLease(
            name: String,
            record: LeaseRecord,
            expected: StorePosition?,
        ): Either<StoreError, StorePosition> {
            if (stored?.position != expected) return StoreError.Conflict(null).left()
            val position = StorePosition(0, (expected?.revision ?: 0L) + 1)
            stored = StoredLease(record, position)
            return position.right()
        }
    }

    /** Group with shifting demand that records the tokens of its orders; [onRead] is called for each read of it. */
    private inner class Ranks(
        private val onRead: () -> Unit = {},
    ) : RankClient {
        val tokens = mutableListOf<Long>()
        private var reads = 0
        private val counts = DoubleArray(EXPERTS)

        private fun rankOf(endpoint: LiveEndpoint) = endpoints.indexOf(endpoint)

        override suspend fun report(
            endpoint: LiveEndpoint,
            isFresh: Boolean,
        ): RankReport =
            RankReport("g", rankOf(endpoint), RANKS, isOpen = true, RankState(1, 10L + reads, 0, null, null, null))

        override suspend fun connect(
            endpoint: LiveEndpoint,
            timeout: Duration,
        ): OrderConnection? = connectionOf(this, endpoint)

        override suspend fun map(endpoint: LiveEndpoint): RankMap =
            RankMap(0, 1, listOf((0 until EXPERTS).filter { it % RANKS == rankOf(endpoint) }))

        override suspend fun selections(endpoint: LiveEndpoint): ExpertSelections {
            onRead()
            reads += 1
            val popular = reads / READS_PER_SHIFT % EXPERTS
            for (e in counts.indices) counts[e] += if (e == popular) 5_000.0 else 100.0
            return ExpertSelections(10L + reads, 1, counts.copyOf())
        }

        override suspend fun order(
            endpoint: LiveEndpoint,
            order: RankOrder,
            epoch: Long,
            token: Long,
            timeout: Duration,
        ): OrderAnswer {
            delay(3.milliseconds)
            tokens += token
            return OrderAnswer.DONE
        }
    }

    /** Starts what a gateway process [id] runs, and returns its lease. */
    private fun TestScope.start(
        id: String,
        store: FleetStore,
        ranks: RankClient,
        scope: CoroutineScope = processScope(),
    ): Lease {
        val clock = virtualClock()
        val dependencies = LeaseDependencies(store, "l", 500.milliseconds, { false }, clock, clock)
        val lease = storeLease(placementLease(ProcessId(id), 100.milliseconds), dependencies)
        startExpertBalancer(scope, fleet, lease, ranks, clock)
        return lease
    }

    /** Guards against a process that renews its lease and balances no group any more. */
    @Test
    fun `groups are balanced under a higher token after a failure`() =
        runTest {
            var isFailing = false
            val ranks = Ranks { check(!isFailing) { "planted failure" } }
            val lease = start("a", LeaseStore(), ranks)
            delay(5.seconds)
            assertEquals(setOf(1L), ranks.tokens.toSet())
            isFailing = true
            withTimeoutOrNull(10.seconds) { while (lease.token() == 1L) delay(1.milliseconds) }
            isFailing = false
            ranks.tokens.clear()
            delay(5.seconds)
            assertTrue(ranks.tokens.isNotEmpty(), "orders were sent")
            assertTrue(ranks.tokens.all { it > 1L }, "tokens ${ranks.tokens.toSet()}")
        }

    /** Guards against groups that no process balances, as the holder of the lease goes on failing. */
    @Test
    fun `another process takes over the lease of one that goes on failing`() =
        runTest {
            val store = LeaseStore()
            val failing = start("a", store, Ranks { error("planted failure") })
            delay(300.milliseconds)
            val ranks = Ranks()
            val other = start("b", store, ranks)
            delay(20.seconds)
            assertNull(failing.token())
            assertNotNull(other.token())
            assertTrue(ranks.tokens.isNotEmpty(), "orders were sent")
        }

    /** Guards against groups that are not balanced because the data of a rank of another group fails each time. */
    @Test
    fun `a group that fails each time does not stop the balancing of another one`() =
        runTest {
            val ranks = Ranks()
            val failing = Ranks { error("planted failure") }
            val others =
                endpoints.map { it.copy(id = EndpointId("f${it.id.text}"), service = ServiceId("t")) }
            val client =
                object : RankClient by ranks {
                    private fun clientOf(endpoint: LiveEndpoint): RankClient =
                        if (endpoint in
                            others
                        ) {
                            failing
                        } else {
                            ranks
                        }

                    private fun same(endpoint: LiveEndpoint): LiveEndpoint =
                        others.indexOf(endpoint).let { if (it < 0) endpoint else endpoints[it] }

                    override suspend fun report(
                        endpoint: LiveEndpoint,
                        isFresh: Boolean,
                    ): RankReport? {
                        val report = clientOf(endpoint).report(same(endpoint), isFresh)
                        return if (endpoint in others) report?.copy(group = "h") else report
                    }

                    override suspend fun map(endpoint: LiveEndpoint) = clientOf(endpoint).map(same(endpoint))

                    override suspend fun selections(endpoint: LiveEndpoint) =
                        clientOf(endpoint).selections(same(endpoint))
                }
            val services =
                fleet.state.value.view.configuration!!
                    .services
            val configuration =
                fleet.state.value.view.configuration!!
                    .copy(services = services + services.map { it.copy(id = ServiceId("t")) })
            fleet.state.value = FleetState(FleetView(configuration, endpoints + others), true, true)
            val lease = start("a", LeaseStore(), client)
            delay(5.seconds)
            ranks.tokens.clear()
            delay(20.seconds)
            assertEquals(1L, lease.token())
            assertTrue(ranks.tokens.isNotEmpty(), "orders were sent")
        }

    /** Guards against a fleet without a holder of the lease, as its tasks have ended one after the other. */
    @Test
    fun `the lease is acquired after a call to the store failed`() =
        runTest {
            val failure = PlantedFailure()
            val store =
                object : LeaseStore() {
                    override suspend fun readLease(
                        name: String,
                        isFresh: Boolean,
                    ): Either<StoreError, StoredLease> {
                        failure()
                        return super.readLease(name, isFresh)
                    }
                }
            val lease = start("a", store, Ranks())
            delay(3.seconds)
            assertNotNull(lease.token())
        }

    private companion object {
        const val RANKS = 3
        const val EXPERTS = 9
        const val READS_PER_SHIFT = 4
    }
}
