package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that the gateways write quarantined segments to a restored store again, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class QuarantineRewritingTest {
    private val segments = (1..SEGMENTS).map { segment("$it") }

    private fun segment(id: String) =
        QuarantinedSegment(ServiceId("s"), PromptSegmentId(id), 0.99, 2, listOf(EndpointId("e")), since = 0L)

    /** Gateways that all miss [segments] in the store and learn of a write after 300 ms; those in [paused] do nothing. */
    private inner class Gateways(
        private val test: TestScope,
        count: Int,
        paused: Int = 0,
    ) {
        val calls = mutableListOf<Pair<Long, QuarantinedSegment>>()
        private val peers =
            (1..count).map { GatewayPeer(ProcessId("g$it"), NetworkAddress("g", 1), FailureDomainId("d")) }
        private val state =
            MutableStateFlow(FleetState(FleetView(peers = peers, quarantine = segments), true, true, segments))

        init {
            peers.drop(paused).forEach { start(it.id) }
        }

        val missing get() = state.value.missingQuarantine

        private val store =
            object : FleetStore by FixedFleetStore(content = null) {
                override suspend fun quarantine(entry: QuarantinedSegment): Either<StoreError, Unit> {
                    calls += test.currentTime to entry
                    if (calls.size == 1) return StoreError.Unavailable("the first call is refused").left()
                    test.backgroundScope.launch {
                        delay(300.milliseconds)
                        state.update { it.copy(missingQuarantine = it.missingQuarantine - entry) }
                    }
                    return Unit.right()
                }
            }

        private fun start(self: ProcessId) {
            val clock =
                object : Clock {
                    override fun now(): Instant = Instant.fromEpochMilliseconds(test.currentTime)
                }
            val fleet =
                object : Fleet {
                    override val state = this@Gateways.state

                    override suspend fun ownView() = state.value.view

                    override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
                }
            test.backgroundScope.launch {
                rewriteMissing(
                    QuarantineDependencies(
                        self = self,
                        quarantine = segmentQuarantine(),
                        weights = lossWeights(),
                        trials = trialRegistry(self),
                        fleet = fleet,
                        store = store,
                        refusesConnections = { false },
                        exchange = { _, _ -> null },
                        metrics = QuarantineMetrics(PrometheusRegistry()),
                        random = Random(self.text.hashCode()),
                        clock = clock,
                        wallClock = clock,
                    ),
                )
            }
        }
    }

    /** Guards against 350 gateways that all write each entry, and against one that stays missing after a refused call. */
    @Test
    fun `an entry that the copy lacks costs few calls whatever the number of gateways`() =
        runTest {
            val gateways = Gateways(this, count = 350)
            delay(20.seconds)
            assertEquals(emptyList<QuarantinedSegment>(), gateways.missing)
            assertTrue(gateways.calls.size <= SEGMENTS + 2, "${gateways.calls.size} calls for $SEGMENTS entries")
            assertTrue(gateways.calls.last().first < 5_000, "last call at ${gateways.calls.last().first} ms")
        }

    /** Guards against entries that stay missing because the gateways that should write them are gone. */
    @Test
    fun `an entry is written although most gateways are gone`() =
        runTest {
            val gateways = Gateways(this, count = 350, paused = 349)
            delay(60.seconds)
            assertEquals(emptyList<QuarantinedSegment>(), gateways.missing)
        }

    private companion object {
        const val SEGMENTS = 5
    }
}
