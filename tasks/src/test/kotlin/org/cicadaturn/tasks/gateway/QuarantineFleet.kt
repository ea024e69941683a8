package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.decisions.quarantine.Verdict
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.suspect
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.store.StoreError
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val service = ServiceId("draft")
private val organisation = OrganisationId("o")

private fun segments(text: String): List<PromptSegmentId> = text.split(' ').map { PromptSegmentId(it) }

private fun endpoint(
    id: String,
    state: AdmissionState = AdmissionState.IN_SERVICE,
) = LiveEndpoint(
    EndpointId(id),
    service,
    NetworkAddress(id, 80),
    FailureDomainId("a"),
    state,
    slots = 8,
    coldFor = Duration.ZERO,
)

/** Processes that reach each other and one store, unless they are cut off, and [endpointCount] endpoints, from e1 on. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class QuarantineFleet(
    private val test: TestScope,
    endpointCount: Int = 4,
    var configuration: RoutingConfiguration? =
        RoutingConfiguration(1, emptyList(), emptyList(), limits = CallerLimits()),
) {
    val cutOff = mutableSetOf<String>()
    var crashed = setOf("e1", "e2", "e3")

    /** Endpoints that leave although their entries do not tell. */
    var leavingByAnswer = emptySet<String>()

    /** Endpoints that were probed, in order. */
    val probed = mutableListOf<String>()
    var isStoreAvailable = true
    var exchangeTime = 2.milliseconds
    val stored = LinkedHashMap<ServiceSegment, QuarantinedSegment>()
    private val processes = LinkedHashMap<String, Process>()
    private val leaving = endpoint("leaving", AdmissionState.DRAINED)
    private val endpoints = List(endpointCount) { endpoint("e${it + 1}") } + leaving

    inner class Process(
        val name: String,
    ) {
        private val scope = CoroutineScope(test.coroutineContext + Job(test.backgroundScope.coroutineContext[Job]))
        val state = MutableStateFlow(FleetState(FleetView(), isConfigurationCurrent = true, isKnown = false))
        val task = start(this, scope)

        fun verdict(
            prompt: String,
            request: Digest? = null,
        ): Verdict = task.view.value.verdict(service, segments(prompt)) { request }

        suspend fun lose(
            endpoint: String,
            prompt: String,
            progress: AnswerProgress = AnswerProgress.HEAD,
            request: Digest? = null,
        ) = task.lost(LostRequest(endpoints.first { it.id.text == endpoint }, segments(prompt), progress, request))

        fun answer(prompt: String) = task.answered(service, organisation, segments(prompt))

        /** Lets the process see that answers follow their heads at once, which makes lost heads strong evidence. */
        fun observe() =
            repeat(10) {
                val times = mapOf(AnswerProgress.NONE to 100.milliseconds, AnswerProgress.RUNNING to 1.seconds)
                task.observed(service, times)
            }

        fun end() = scope.cancel()
    }

    fun start(name: String): Process {
        val process = Process(name)
        processes[name] = process
        publish()
        process.observe()
        return process
    }

    /** Publishes the fleet to all processes that are not cut off from the store. */
    fun publish() {
        val peers = processes.keys.map { GatewayPeer(ProcessId(it), NetworkAddress(it, 1), FailureDomainId("a")) }
        val view = FleetView(configuration, endpoints, peers = peers, quarantine = stored.values.toList())
        processes.values
            .filter { it.name !in cutOff }
            .forEach { it.state.value = FleetState(view, isConfigurationCurrent = true, isKnown = true) }
    }

    private fun start(
        process: Process,
        scope: CoroutineScope,
    ): Quarantine {
        val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(test.currentTime)
            }
        return startQuarantine(
            scope,
            QuarantineDependencies(
                self = ProcessId(process.name),
                quarantine = segmentQuarantine(),
                weights = lossWeights(),
                trials = trialRegistry(ProcessId(process.name)),
                fleet = StateFleet(process.state),
                store = TestStore(),
                refusesConnections = { address ->
                    delay(1)
                    probed += address.ip
                    address.ip in crashed
                },
                exchange = { peer, news -> exchange(process.name, peer.id.text, news) },
                metrics = QuarantineMetrics(PrometheusRegistry()),
                random = Random(1),
                clock = clock,
                wallClock = clock,
                isLeaving = { it.id.text in leavingByAnswer },
            ),
        )
    }

    private suspend fun exchange(
        from: String,
        to: String,
        news: QuarantineNews,
    ): QuarantineNews? {
        delay(exchangeTime)
        if (from in cutOff || to in cutOff) {
            delay(400)
            return null
        }
        return processes.getValue(to).task.receive(news)
    }

    private inner class TestStore : FleetStore by FixedFleetStore(content = null) {
        private val unavailable = StoreError.Unavailable("the store of this test is unavailable")

        override suspend fun quarantine(entry: QuarantinedSegment): Either<StoreError, Unit> {
            if (!isStoreAvailable) return unavailable.left()
            stored[entry.suspect] = entry
            publish()
            return Unit.right()
        }

        override suspend fun release(segment: ServiceSegment): Either<StoreError, Unit> {
            if (!isStoreAvailable) return unavailable.left()
            stored -= segment
            publish()
            return Unit.right()
        }
    }
}
