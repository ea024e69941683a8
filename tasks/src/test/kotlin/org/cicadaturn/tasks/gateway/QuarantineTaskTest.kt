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
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.decisions.quarantine.Verdict
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.suspect
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.AnswerProgress
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
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.schema.generated.SuspectKind
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that all processes of a fleet hold back what one of them has found, in virtual time and without sockets. */
@OptIn(ExperimentalCoroutinesApi::class)
class QuarantineTaskTest {
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

    /** Processes that reach each other and one store, unless they are cut off. */
    private inner class TestFleet(
        private val test: TestScope,
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
        private val endpoints = listOf("e1", "e2", "e3", "e4").map { endpoint(it) } + leaving

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
            val view = FleetView(endpoints = endpoints, peers = peers, quarantine = stored.values.toList())
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

    private class StateFleet(
        override val state: MutableStateFlow<FleetState>,
    ) : Fleet {
        override suspend fun ownView(): FleetView = state.value.view

        override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
    }

    private fun assertQuarantined(
        process: TestFleet.Process,
        prompt: String,
    ) = assertTrue(process.verdict(prompt) is Verdict.Quarantined, "${process.name}: ${process.verdict(prompt)}")

    /** Guards against a segment that crashes one endpoint for each gateway, as each learns only from its own losses. */
    @Test
    fun `a crash that one process sees makes all of them hold the segment back`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2", "g3").map { fleet.start(it) }
            processes[1].answer("shared own1")
            processes[0].lose("e1", "shared bad own2")
            testScheduler.advanceTimeBy(100)
            processes.forEach { process ->
                assertQuarantined(process, "other bad own3")
                assertEquals(Verdict.Clear, process.verdict("shared own4"), process.name)
            }
        }

    /** Guards against a request that crashes an endpoint for each gateway, or again after all have lost power. */
    @Test
    fun `a request that crashes endpoints is held back by all processes, by late ones and after a loss of power`() =
        runTest {
            val fleet = TestFleet(this)
            val bad = Digest("bad")
            val processes = listOf("g1", "g2", "g3").map { fleet.start(it) }
            fleet.isStoreAvailable = false
            processes[1].answer("shared own1")
            processes[0].lose("e1", "shared own2", request = bad)
            testScheduler.advanceTimeBy(100)
            val all = processes + fleet.start("g4")
            testScheduler.advanceTimeBy(100)
            all.forEach { process ->
                val verdict = process.verdict("shared own3", bad)
                assertTrue(verdict is Verdict.Quarantined && verdict.isForRequest, "${process.name}: $verdict")
                assertEquals(Verdict.Clear, process.verdict("shared own3", Digest("sound")), process.name)
            }
            fleet.isStoreAvailable = true
            testScheduler.advanceTimeBy(3_000)
            assertEquals(listOf(SuspectKind.REQUEST), fleet.stored.keys.map { it.kind })
            all.forEach { it.end() }
            val restarted = fleet.start("g1")
            testScheduler.advanceTimeBy(10)
            assertTrue(restarted.verdict("shared own3", bad) is Verdict.Quarantined)
            assertEquals(Verdict.Clear, restarted.verdict("shared own3", Digest("sound")))
        }

    /** Guards against a process that starts after the crashes, or with an empty store, and sends such requests again. */
    @Test
    fun `a process that starts later learns from the others`() =
        runTest {
            val fleet = TestFleet(this)
            fleet.isStoreAvailable = false
            val first = fleet.start("g1")
            first.lose("e1", "bad own1")
            val late = fleet.start("g2")
            testScheduler.advanceTimeBy(100)
            assertQuarantined(late, "bad own2")
        }

    /** Guards against knowledge that is lost with the processes that had it. */
    @Test
    fun `a fleet that is started again learns from the store`() =
        runTest {
            val fleet = TestFleet(this)
            val first = fleet.start("g1")
            first.lose("e1", "bad own1")
            testScheduler.advanceTimeBy(1_000)
            first.end()
            val restarted = fleet.start("g1")
            testScheduler.advanceTimeBy(10)
            assertQuarantined(restarted, "bad own2")
        }

    /** Guards against a sound segment that is listed, and held back for a minute, as the answers to it come late. */
    @Test
    fun `nothing is listed before the other processes have told what they answered`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2", "g3").map { fleet.start(it) }
            testScheduler.advanceTimeBy(100)
            fleet.exchangeTime = 200.milliseconds
            processes[1].answer("shared own1")
            processes[0].lose("e1", "shared own2", request = Digest("bad"))
            testScheduler.advanceTimeBy(3_000)
            assertEquals(listOf("request-bad"), fleet.stored.keys.map { it.name })
            processes.forEach { assertEquals(Verdict.Clear, it.verdict("shared own3"), it.name) }
        }

    /** Guards against entries that are lost as the store was away when they were due. */
    @Test
    fun `entries are written after an outage of the store`() =
        runTest {
            val fleet = TestFleet(this)
            fleet.isStoreAvailable = false
            fleet.start("g1").lose("e1", "bad own1")
            testScheduler.advanceTimeBy(10_000)
            assertEquals(0, fleet.stored.size)
            fleet.isStoreAvailable = true
            testScheduler.advanceTimeBy(3_000)
            assertEquals(listOf("bad"), fleet.stored.keys.map { it.segment.text })
        }

    /** Guards against a process that was cut off while the others learned, and does not learn afterwards. */
    @Test
    fun `a process that was cut off learns from the store`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2").map { fleet.start(it) }
            fleet.cutOff += "g2"
            processes[0].lose("e1", "bad own1")
            testScheduler.advanceTimeBy(1_000)
            assertEquals(Verdict.Clear, processes[1].verdict("bad own2"))
            fleet.cutOff -= "g2"
            fleet.publish()
            testScheduler.advanceTimeBy(10)
            assertQuarantined(processes[1], "bad own2")
        }

    /** Guards against a process that was cut off during a crash and sends suspected requests beside another trial. */
    @Test
    fun `a process that was cut off learns suspicions from its peers`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2").map { fleet.start(it) }
            testScheduler.advanceTimeBy(100)
            fleet.cutOff += "g2"
            processes[1].state.value = processes[1].state.value.copy(isConfigurationCurrent = false)
            processes[0].lose("e1", "bad own1", AnswerProgress.NONE)
            testScheduler.advanceTimeBy(3_000)
            assertTrue(processes[0].verdict("bad own2") is Verdict.Suspected, "${processes[0].verdict("bad own2")}")
            assertEquals(Verdict.Clear, processes[1].verdict("bad own2"))
            fleet.cutOff -= "g2"
            fleet.publish()
            testScheduler.advanceTimeBy(100)
            assertTrue(processes[1].verdict("bad own2") is Verdict.Suspected, "${processes[1].verdict("bad own2")}")
        }

    /** Guards against segments that are suspected for connections that were reset, and for endpoints that leave. */
    @Test
    fun `requests lost without a crash make nothing suspicious`() =
        runTest {
            val fleet = TestFleet(this)
            val process = fleet.start("g1")
            process.lose("e4", "a own1")
            fleet.crashed = setOf("leaving")
            process.lose("leaving", "b own2")
            assertEquals(Verdict.Clear, process.verdict("a own3"))
            assertEquals(Verdict.Clear, process.verdict("b own3"))
        }

    /** Guards against segments that are suspected as an endpoint ends that only its answers said to leave. */
    @Test
    fun `requests lost at an endpoint that leaves by its answers make nothing suspicious`() =
        runTest {
            val fleet = TestFleet(this)
            val process = fleet.start("g1")
            fleet.leavingByAnswer = setOf("e1")
            process.lose("e1", "a own1")
            assertEquals(Verdict.Clear, process.verdict("a own3"))
        }

    /** Guards against segments that are suspected as a failure domain is cut off in a way that refuses connections. */
    @Test
    fun `a failure domain that refuses connections makes nothing suspicious`() =
        runTest {
            val fleet = TestFleet(this)
            val process = fleet.start("g1")
            fleet.crashed = setOf("e1", "e2", "e3", "e4", "leaving")
            process.lose("e1", "bad own1")
            assertEquals(Verdict.Clear, process.verdict("bad own2"))
            assertTrue(fleet.probed.size in 2..4, "probed ${fleet.probed}")
        }

    /** Guards against several processes that try a suspected segment at the same time. */
    @Test
    fun `one process at a time tries a suspected segment`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2", "g3").map { fleet.start(it) }
            val granted = mutableListOf<String>()
            processes.forEach { launch { if (it.task.claimTrial(service)) granted += it.name } }
            testScheduler.advanceTimeBy(200)
            assertEquals(1, granted.size)
            processes.first { it.name == granted.single() }.task.endTrial(service)
            testScheduler.advanceTimeBy(50)
            assertTrue(processes[2].task.claimTrial(service))
            assertFalse(processes[0].task.claimTrial(service))
        }

    /** Guards against a trial that never comes, as one of the processes has ended or is cut off. */
    @Test
    fun `a process that does not answer does not prevent a trial`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2").map { fleet.start(it) }
            fleet.cutOff += "g2"
            assertTrue(processes[0].task.claimTrial(service))
        }

    /** Guards against a segment that stays held back at some processes after an operator has released it. */
    @Test
    fun `an entry that is removed from the store is released everywhere and not written again`() =
        runTest {
            val fleet = TestFleet(this)
            val processes = listOf("g1", "g2").map { fleet.start(it) }
            processes[0].lose("e1", "bad own1")
            testScheduler.advanceTimeBy(1_000)
            fleet.stored.clear()
            fleet.publish()
            testScheduler.advanceTimeBy(10_000)
            processes.forEach { assertEquals(Verdict.Clear, it.verdict("bad own2"), it.name) }
            assertEquals(0, fleet.stored.size)
        }

    /** Guards against a quarantine that keeps a service from answering anything, which would never clear it. */
    @Test
    fun `requests are tried if nothing else is answered`() =
        runTest {
            val fleet = TestFleet(this)
            val process = fleet.start("g1")
            process.lose("e1", "everywhere own1")
            assertQuarantined(process, "everywhere own2")
            repeat(50) { process.task.heldBack(service) }
            testScheduler.advanceTimeBy(10)
            assertTrue(process.verdict("everywhere own3") is Verdict.Suspected)
            process.answer("everywhere own3")
            testScheduler.advanceTimeBy(10)
            assertEquals(Verdict.Clear, process.verdict("everywhere own4"))
        }
}
