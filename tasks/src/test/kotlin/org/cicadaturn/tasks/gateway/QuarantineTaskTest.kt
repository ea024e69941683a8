package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.quarantine.Verdict
import org.cicadaturn.decisions.quarantine.requestSegment
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

/** Tests that all processes of a fleet hold back what one of them has found, in virtual time and without sockets. */
@OptIn(ExperimentalCoroutinesApi::class)
class QuarantineTaskTest {
    private val service = ServiceId("draft")

    /** Configuration in which the endpoints of the service form groups. */
    private val groupConfiguration: RoutingConfiguration
        get() {
            val profile = ExpertProfile(1, 4, 2, 1, 50.milliseconds, 100.milliseconds)
            val services = listOf(RoutedService(service, maxConnections = 100, experts = profile))
            return RoutingConfiguration(1, emptyList(), services, limits = CallerLimits())
        }

    private fun assertQuarantined(
        process: QuarantineFleet.Process,
        prompt: String,
    ) = assertTrue(process.verdict(prompt) is Verdict.Quarantined, "${process.name}: ${process.verdict(prompt)}")

    /** Guards against a segment that crashes one endpoint for each gateway, as each learns only from its own losses. */
    @Test
    fun `a crash that one process sees makes all of them hold the segment back`() =
        runTest {
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
            val bad = Digest("bad")
            val processes = listOf("g1", "g2", "g3").map { fleet.start(it) }
            fleet.isStoreAvailable = false
            processes[1].answer("shared own1")
            processes[0].lose("e1", "shared own2", request = bad)
            testScheduler.advanceTimeBy(100)
            processes.forEach { process ->
                val verdict = process.verdict("shared own3", bad)
                assertTrue(verdict is Verdict.Suspected && verdict.confidence > 0.9, "${process.name}: $verdict")
                assertEquals(Verdict.Clear, process.verdict("shared own3", Digest("sound")), process.name)
            }
            processes[2].lose("e2", "shared own2", request = bad)
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

    /** Guards against a trial that costs a whole group for a request that hardly comes again, and one that never comes. */
    @Test
    fun `a request to a group is tried after five refused copies, and by no process that has refused fewer`() =
        runTest {
            val fleet = QuarantineFleet(this, configuration = groupConfiguration)
            val request = Digest("sound")
            val (first, second) = listOf("g1", "g2").map { fleet.start(it) }
            first.answer("shared own1")
            first.lose("e1", "shared own2", request = request)
            testScheduler.advanceTimeBy(100)
            repeat(5) {
                val verdict = first.verdict("shared own3", request)
                assertTrue(verdict is Verdict.Quarantined && verdict.isForRequest, "copy $it: $verdict")
                first.task.copyRefused(requestSegment(service, request))
                testScheduler.advanceTimeBy(10)
            }
            assertTrue(first.verdict("shared own3", request) is Verdict.Suspected)
            assertTrue(second.verdict("shared own3", request) is Verdict.Quarantined)
            first.task.answered(service, null, emptyList(), request)
            testScheduler.advanceTimeBy(100)
            listOf(first, second).forEach { assertEquals(Verdict.Clear, it.verdict("shared own3", request), it.name) }
        }

    /** Guards against a trial at a group after a loss of power, as the list is read before the configuration. */
    @Test
    fun `a listed request to a group is not tried before the configuration is known`() =
        runTest {
            val fleet = QuarantineFleet(this, configuration = groupConfiguration)
            val bad = Digest("bad")
            val first = fleet.start("g1")
            first.answer("shared own1")
            first.lose("e1", "shared own2", request = bad)
            testScheduler.advanceTimeBy(1_000)
            first.end()
            fleet.configuration = null
            val restarted = fleet.start("g1")
            testScheduler.advanceTimeBy(10)
            assertTrue(restarted.verdict("shared own3", bad) is Verdict.Quarantined)
            fleet.configuration = groupConfiguration
            fleet.publish()
            testScheduler.advanceTimeBy(10)
            assertTrue(restarted.verdict("shared own3", bad) is Verdict.Quarantined)
        }

    /** Guards against a third crash by a request, as a loss of power comes between the first and the second. */
    @Test
    fun `a request that crashed an endpoint before a loss of power is held back after one further crash`() =
        runTest {
            val fleet = QuarantineFleet(this)
            val bad = Digest("bad")
            val first = fleet.start("g1")
            first.answer("shared own1")
            first.lose("e1", "shared own2", request = bad)
            testScheduler.advanceTimeBy(1_000)
            first.end()
            val restarted = listOf("g1", "g2").map { fleet.start(it) }
            testScheduler.advanceTimeBy(10)
            restarted.forEach { assertTrue(it.verdict("shared own3", bad) is Verdict.Suspected, it.name) }
            restarted[0].answer("shared own1")
            restarted[0].lose("e2", "shared own2", request = bad)
            testScheduler.advanceTimeBy(100)
            restarted.forEach { assertTrue(it.verdict("shared own3", bad) is Verdict.Quarantined, it.name) }
            testScheduler.advanceTimeBy(3_000)
            assertEquals(listOf(2), fleet.stored.values.map { it.crashes })
        }

    /** Guards against a process that starts after the crashes, or with an empty store, and sends such requests again. */
    @Test
    fun `a process that starts later learns from the others`() =
        runTest {
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
            val process = fleet.start("g1")
            fleet.leavingByAnswer = setOf("e1")
            process.lose("e1", "a own1")
            assertEquals(Verdict.Clear, process.verdict("a own3"))
        }

    /** Guards against segments that are suspected as a failure domain is cut off in a way that refuses connections. */
    @Test
    fun `a failure domain that refuses connections makes nothing suspicious`() =
        runTest {
            val fleet = QuarantineFleet(this)
            val process = fleet.start("g1")
            fleet.crashed = setOf("e1", "e2", "e3", "e4", "leaving")
            process.lose("e1", "bad own1")
            assertEquals(Verdict.Clear, process.verdict("bad own2"))
            assertTrue(fleet.probed.size in 2..4, "probed ${fleet.probed}")
        }

    /** Guards against a crash that is passed over because many endpoints of the failure domain crashed with it. */
    @Test
    fun `a crash counts while one of ten endpoints of the failure domain accepts connections`() =
        runTest {
            val fleet = QuarantineFleet(this, endpointCount = 10)
            val process = fleet.start("g1")
            fleet.crashed = (1..9).mapTo(HashSet()) { "e$it" } + "leaving"
            process.lose("e1", "bad own1")
            assertQuarantined(process, "bad own2")
        }

    /** Guards against several processes that try a suspected segment at the same time. */
    @Test
    fun `one process at a time tries a suspected segment`() =
        runTest {
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
            val processes = listOf("g1", "g2").map { fleet.start(it) }
            fleet.cutOff += "g2"
            assertTrue(processes[0].task.claimTrial(service))
        }

    /** Guards against a segment that stays held back at some processes after an operator has released it. */
    @Test
    fun `an entry that is removed from the store is released everywhere and not written again`() =
        runTest {
            val fleet = QuarantineFleet(this)
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
            val fleet = QuarantineFleet(this)
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
