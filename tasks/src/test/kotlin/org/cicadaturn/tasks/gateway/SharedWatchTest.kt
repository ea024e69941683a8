package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Gateways that share their watches of the store, in virtual time. */
class SharedWatchTest {
    private val names = listOf("g1", "g2", "g3", "g4")
    private val epoch = Instant.fromEpochMilliseconds(0)

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun TestScope.fleet(
        changedAt: Duration,
        names: List<String> = this@SharedWatchTest.names,
    ): SharedFleet {
        val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
            }
        return SharedFleet(backgroundScope, clock, names, epoch + changedAt)
    }

    private fun assertKnown(
        fleet: SharedFleet,
        names: List<String>,
        time: String,
    ) = names.forEach { assertEquals(2L, fleet.version(it), "version at $it $time") }

    /** The fault begins at different moments of the watches, which last up to ten seconds. */
    private fun atManyMoments(test: suspend TestScope.(Duration) -> Unit): List<DynamicTest> =
        (0..19).map { step ->
            val at = 20.seconds + 510.milliseconds * step
            DynamicTest.dynamicTest("from $at") { runTest { test(at) } }
        }

    /** Loses the change in a silence of one second, and expects it 3 s later; domains 4.5 s later. */
    private suspend fun TestScope.loseChange(
        at: Duration,
        prepare: (SharedFleet, ClosedRange<Instant>) -> Unit,
    ) {
        val fleet = fleet(changedAt = at + 500.milliseconds)
        val silence = epoch + at..epoch + at + 1.seconds
        prepare(fleet, silence)
        fleet.start()
        delay(at + 4.seconds)
        assertKnown(fleet, names, "3 s after the silence")
        delay(1.5.seconds)
        names.forEach { assertTrue(fleet.isDrained(it), "$it knows of the drained domain") }
    }

    /** Guards against a price of the watches that rises with each gateway. */
    @Test
    fun `gateways that rely on the reports of one make few calls`() =
        runTest {
            val fleet = fleet(changedAt = 1.days, names = List(8) { "g$it" })
            fleet.start()
            delay(10.seconds)
            val before = fleet.calls.values.sum()
            delay(100.seconds)
            // Alone, each gateway makes 1.5 calls a second; the reporting one may make three, the others half a call.
            val calls = fleet.calls.values.sum() - before
            assertTrue(calls <= 100 * (3 + 7 * 0.55), "$calls calls in 100 s")
        }

    /** Guards against a gateway that reports to all others of a large fleet and has no time for its callers. */
    @Test
    fun `a gateway reports to a limited number of peers`() =
        runTest {
            val fleet = fleet(changedAt = 1.days, names = listOf("g1"))
            fleet.start()
            delay(1.seconds)
            val seen = checkNotNull(fleet.request("g1", seen = 0)).count
            val answers = List(50) { async { fleet.request("g1", seen) } }.awaitAll()
            assertEquals(40, answers.count { it != null })
        }

    /** Guards against an old configuration where the watches of all gateways lose their answers at once. */
    @TestFactory
    fun `a change that is lost for all gateways is known in time`() =
        atManyMoments { at ->
            loseChange(at) { fleet, silence -> names.forEach { fleet.toStore.getValue(it).silences += silence } }
        }

    /** Guards against the reliance on reports that are lost together with the answers of the store. */
    @TestFactory
    fun `a change that is lost while no connection answers is known in time`() =
        atManyMoments { at ->
            loseChange(at) { fleet, silence ->
                names.forEach {
                    fleet.toStore.getValue(it).silences += silence
                    fleet.toPeers.getValue(it).silences += silence
                }
            }
        }

    /** Guards against watches that stay silent for good because connections broke without notice. */
    @TestFactory
    fun `all open connections may break without notice`() =
        atManyMoments { at ->
            val fleet = fleet(changedAt = at + 500.milliseconds)
            (fleet.toStore.values + fleet.toPeers.values).forEach { it.breaks += epoch + at }
            fleet.start()
            delay(at + 3.seconds)
            assertKnown(fleet, names, "3 s after the break")
        }

    /** Guards against a gateway that notices its broken watch only when that should have ended. */
    @TestFactory
    fun `a change after the watch of one gateway has broken is known in time`() =
        atManyMoments { at ->
            val fleet = fleet(changedAt = at + 4.seconds)
            fleet.toStore.getValue("g3").breaks += epoch + at
            fleet.start()
            delay(at + 4.seconds + 1_200.milliseconds)
            assertKnown(fleet, names, "1.2 s after the change")
        }

    /** Guards against a gateway with a broken watch that waits for the report of a peer which has failed meanwhile. */
    @TestFactory
    fun `a change that the reporting gateway cannot report is known in time`() =
        atManyMoments { at ->
            val fleet = fleet(changedAt = at + 4.seconds)
            fleet.toStore.getValue("g3").breaks += epoch + at
            fleet.toPeers.getValue("g1").silences += epoch + at + 4.seconds..epoch + 1.days
            fleet.start()
            delay(at + 4.seconds + 2.seconds)
            assertKnown(fleet, names, "2 s after the change")
        }

    /** Guards against the reliance on a peer that is itself cut off from the store. */
    @TestFactory
    fun `a peer without answers of the store confirms nothing`() =
        atManyMoments { at ->
            val fleet = fleet(changedAt = at + 4.seconds)
            fleet.toStore.getValue("g1").silences += epoch + at + 2.seconds..epoch + 1.days
            names.drop(1).forEach { fleet.toStore.getValue(it).breaks += epoch + at + 3.9.seconds }
            fleet.start()
            delay(at + 4.seconds + 3.seconds)
            assertKnown(fleet, names.drop(1), "3 s after the change")
        }

    /** Guards against a report that was held up on its way and counts as new. */
    @TestFactory
    fun `a report that is late confirms less`() =
        atManyMoments { at ->
            val fleet = fleet(changedAt = at + 4.seconds)
            fleet.toStore.getValue("g3").breaks += epoch + at
            fleet.reportDelay = { if (it < epoch + at + 2.seconds) Duration.ZERO else 1_200.milliseconds }
            fleet.start()
            delay(at + 4.seconds + 2.seconds)
            assertKnown(fleet, names, "2 s after the change")
        }

    /** Guards against a slower reaction beside gateways of an older version, which report nothing. */
    @TestFactory
    fun `a change that is lost beside gateways of an older version is known in time`() =
        atManyMoments { at ->
            loseChange(at) { fleet, silence ->
                fleet.alterReport = { _, _ -> null }
                names.forEach { fleet.toStore.getValue(it).silences += silence }
            }
        }
}
