package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.right
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.quarantine.LossWeights
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.AnswerProgress
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
import org.cicadaturn.schema.generated.SegmentState
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.PlantedFailure
import org.cicadaturn.tasks.processScope
import org.cicadaturn.tasks.store.StoreError
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what requests and peers see after the quarantine task has met a defect, in virtual time. */
class QuarantineFailureTest {
    private val service = ServiceId("s")

    private fun endpoint(id: String = "e") =
        LiveEndpoint(
            EndpointId(id),
            service,
            NetworkAddress(id, 1),
            FailureDomainId("a"),
            AdmissionState.IN_SERVICE,
            slots = 8,
            coldFor = Duration.ZERO,
        )

    private val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
    private val view = FleetView(endpoints = listOf(endpoint(), endpoint("e2")), peers = listOf(peer))
    private val lost = LostRequest(endpoint(), listOf("a", "b").map { PromptSegmentId(it) }, AnswerProgress.HEAD)

    private fun TestScope.quarantineWith(
        weights: LossWeights = lossWeights(),
        store: FleetStore = FixedFleetStore(content = null),
        refusesConnections: suspend (NetworkAddress) -> Boolean = { it.ip == "e" },
        exchange: suspend (GatewayPeer, QuarantineNews) -> QuarantineNews? = { _, _ -> null },
    ): Quarantine =
        startQuarantine(
            processScope(),
            QuarantineDependencies(
                self = ProcessId("self"),
                quarantine = segmentQuarantine(),
                weights = weights,
                trials = trialRegistry(ProcessId("self")),
                fleet = StateFleet(MutableStateFlow(FleetState(view, isConfigurationCurrent = true, isKnown = true))),
                store = store,
                refusesConnections = refusesConnections,
                exchange = exchange,
                metrics = QuarantineMetrics(PrometheusRegistry()),
                random = Random(1),
                clock = virtualClock(),
                wallClock = virtualClock(),
            ),
        )

    private suspend fun isAnswered(call: suspend () -> Unit): Boolean =
        withTimeoutOrNull(2.seconds) { call().let { true } } ?: false

    /** Guards against requests that wait for the judgement of their loss until their deadline. */
    @Test
    fun `losses are judged after one of them could not be weighed`() =
        runTest {
            val failure = PlantedFailure()
            val real = lossWeights()
            val failing =
                object : LossWeights by real {
                    override fun likelihoodRatio(
                        service: ServiceId,
                        progress: AnswerProgress,
                        isStream: Boolean,
                    ): Double {
                        failure()
                        return real.likelihoodRatio(service, progress, isStream)
                    }
                }
            val quarantine = quarantineWith(weights = failing)
            repeat(2) { assertTrue(isAnswered { quarantine.lost(lost) }, "loss $it is judged") }
            assertTrue(
                quarantine.view.value.suspicions
                    .isNotEmpty(),
            )
        }

    /** Guards against losses at an endpoint that are never judged after the probe for one of them has failed. */
    @Test
    fun `losses at an endpoint are judged after a probe of it failed`() =
        runTest {
            val failure = PlantedFailure()
            val quarantine =
                quarantineWith(refusesConnections = {
                    failure()
                    it.ip == "e"
                })
            repeat(2) { assertTrue(isAnswered { quarantine.lost(lost) }, "loss $it is judged") }
            assertTrue(
                quarantine.view.value.suspicions
                    .isNotEmpty(),
            )
        }

    /** Guards against a service whose suspected prompts are never tried after a call to a peer has failed. */
    @Test
    fun `a trial can be claimed after a claim failed`() =
        runTest {
            val failure = PlantedFailure()
            val quarantine =
                quarantineWith(exchange = { _, news ->
                    if (news.trials.isNotEmpty()) failure()
                    null
                })
            delay(10.seconds)
            val claims = List(2) { withTimeoutOrNull(2.seconds) { quarantine.claimTrial(service) } }
            assertEquals(listOf(false, true), claims)
        }

    /** Guards against a list in the store that is never updated again after one call has failed. */
    @Test
    fun `the list in the store is updated after a call to the store failed`() =
        runTest {
            val failure = PlantedFailure()
            val stored = mutableListOf<QuarantinedSegment>()
            val store =
                object : FleetStore by FixedFleetStore(content = null) {
                    override suspend fun quarantine(entry: QuarantinedSegment): Either<StoreError, Unit> {
                        failure()
                        stored += entry
                        return Unit.right()
                    }
                }
            val quarantine = quarantineWith(store = store)
            // Answers that follow their heads at once make a lost head strong evidence.
            val times = mapOf(AnswerProgress.NONE to 100.milliseconds, AnswerProgress.RUNNING to 1.seconds)
            repeat(10) { quarantine.observed(service, times) }
            assertTrue(isAnswered { quarantine.lost(lost) })
            assertEquals(
                SegmentState.QUARANTINED,
                quarantine.view.value.suspicions
                    .single()
                    .state,
            )
            delay(10.seconds)
            assertEquals(listOf(PromptSegmentId("a")), stored.map { it.segment }.distinct())
        }
}
