package org.cicadaturn.tasks.experts

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.experts.ExpertMap
import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.PlacementPlan
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.decisions.experts.SwitchPhase
import org.cicadaturn.decisions.experts.mapVersions
import org.cicadaturn.decisions.experts.stepEstimate
import org.cicadaturn.schema.generated.LiveEndpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the orders to a group if a rank answers a read with what is not of that rank, or cannot be. */
class ForeignRankAnswerTest {
    private val group =
        Group("g", testService, 1, testEndpoints.withIndex().associate { it.index to it.value }, testProfile)

    /** Group whose rank 1 reports [foreign] and answers the n-th order of a kind with [answers] of n. */
    private class ForeignReport(
        private val foreign: (prepared: Long?) -> RankReport,
        private val answers: (RankOrder, Int) -> OrderAnswer,
    ) : TestRanks() {
        val sent = mutableListOf<RankOrder>()
        private var prepared: Long? = null

        override suspend fun report(
            endpoint: LiveEndpoint,
            isFresh: Boolean,
        ): RankReport =
            if (rankOf(endpoint) == 1) {
                foreign(prepared)
            } else {
                reportOf(endpoint, RankState(1, 10, 0, prepared, null, null))
            }

        override suspend fun selections(endpoint: LiveEndpoint): ExpertSelections? = null

        override suspend fun order(
            endpoint: LiveEndpoint,
            order: RankOrder,
            epoch: Long,
            token: Long,
            timeout: Duration,
        ): OrderAnswer {
            delay(3.milliseconds)
            if (order is RankOrder.Prepare) prepared = order.version
            if (rankOf(endpoint) != 1) return OrderAnswer.DONE.also { sent += order }
            sent += order
            return answers(order, sent.count { it::class == order::class })
        }
    }

    private fun foreignReport(
        group: String,
        rank: Int,
        epoch: Long = 1,
    ) = { prepared: Long? -> RankReport(group, rank, RANKS, true, RankState(epoch, 90, 0, prepared, null, null)) }

    private val foreignReports =
        mapOf("another group" to foreignReport("h", 1), "another rank of the group" to foreignReport("g", 2))

    /** Guards against a pass with two maps, as a rank without the copies is armed for it. */
    @TestFactory
    fun `copies are not complete by the report of another rank`(): List<DynamicTest> =
        foreignReports.map { (name, report) ->
            DynamicTest.dynamicTest(name) {
                runTest {
                    val ranks = ForeignReport(report) { _, _ -> OrderAnswer.REFUSED }
                    val orders = GroupOrders(group, ranks, testLease, testClock(), mapVersions())
                    val plan = PlacementPlan(ExpertMap(listOf(List(RANKS) { listOf(it) })), 2.0, 1.0, List(RANKS) { 1 })
                    orders.switch(plan, version = 0, stepEstimate().also { it.read(10, testClock().now()) })
                    assertEquals(emptyList<RankOrder>(), ranks.sent.filter { it !is RankOrder.Prepare })
                }
            }
        }

    /** Guards against a group that stays held, as the switch is given up for the epoch of another group. */
    @Test
    fun `a switch is not given up for the report of another group`() =
        runTest {
            val ranks =
                ForeignReport(foreignReport("h", 1, epoch = 5)) { order, n ->
                    if (order is RankOrder.Arm && n < 20) OrderAnswer.LOST else OrderAnswer.DONE
                }
            val orders = GroupOrders(group, ranks, testLease, testClock(), mapVersions())
            assertTrue(orders.finish(SwitchPhase.Arming(7, 11, 0, setOf(1))), "the switch was given up")
            assertEquals(RankOrder.Release(11), ranks.sent.last())
        }

    /** Group with a steady demand, whose rank 1 answers its first reads of the map with [held]. */
    private class ForeignMap(
        private val held: List<Int>,
        private val counts: (Int) -> DoubleArray,
    ) : TestRanks() {
        var prepared = 0
            private set
        var mapReads = 0
            private set
        private var reads = 0

        override suspend fun report(
            endpoint: LiveEndpoint,
            isFresh: Boolean,
        ) = reportOf(endpoint, RankState(1, 10L + reads, 0, null, null, null))

        override suspend fun map(endpoint: LiveEndpoint): RankMap {
            if (rankOf(endpoint) != 1) return super.map(endpoint)
            mapReads += 1
            return if (mapReads <= FOREIGN_READS) RankMap(0, 1, listOf(held)) else super.map(endpoint)
        }

        override suspend fun selections(endpoint: LiveEndpoint): ExpertSelections {
            reads += 1
            return ExpertSelections(10L + reads, 1, counts(reads))
        }

        override suspend fun order(
            endpoint: LiveEndpoint,
            order: RankOrder,
            epoch: Long,
            token: Long,
            timeout: Duration,
        ): OrderAnswer {
            delay(3.milliseconds)
            if (order is RankOrder.Prepare) prepared += 1
            return OrderAnswer.DONE
        }
    }

    private fun skewed(reads: Int) = DoubleArray(EXPERTS) { if (it == 0) 5_000.0 * reads else 100.0 * reads }

    /** Guards against a balancer that ends with an exception, or plans with experts that no rank holds. */
    @TestFactory
    fun `a group is balanced once its ranks list a whole map`(): List<DynamicTest> =
        mapOf("an expert that does not exist" to listOf(1, 4, 99), "the experts of another rank" to listOf(0, 3, 6))
            .map { (name, held) ->
                DynamicTest.dynamicTest(name) {
                    runTest {
                        val ranks = ForeignMap(held, ::skewed)
                        balance(ranks, 10.seconds)
                        assertTrue(ranks.mapReads > FOREIGN_READS, "the map was read ${ranks.mapReads} times")
                        assertTrue(ranks.prepared > 0, "no map was prepared")
                    }
                }
            }

    /** Guards against a map for counts that are cut or of another service. */
    @TestFactory
    fun `no map follows from counts of another number of experts`(): List<DynamicTest> =
        listOf(1, EXPERTS - 1, EXPERTS + 1, 2 * EXPERTS).map { size ->
            DynamicTest.dynamicTest("$size counts") {
                runTest {
                    val ranks = ForeignMap(listOf(1, 4, 7)) { skewed(it).copyOf(size) }
                    balance(ranks, 10.seconds)
                    assertEquals(0, ranks.prepared)
                }
            }
        }

    private companion object {
        const val FOREIGN_READS = 2
    }
}
