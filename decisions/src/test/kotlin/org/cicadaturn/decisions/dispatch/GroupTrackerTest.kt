package org.cicadaturn.decisions.dispatch

import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class GroupTrackerTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val a1 = EndpointId("a1")
    private val a2 = EndpointId("a2")
    private val a3 = EndpointId("a3")
    private val b1 = EndpointId("b1")

    private fun open(
        group: String,
        epoch: Long = 1,
    ) = GroupReport(group, epoch, isOpen = true)

    private fun tracker(): GroupTracker =
        groupTracker().also { tracker ->
            listOf(a1, a2, a3).forEach { tracker.reported(it, open("a"), start) }
            tracker.reported(b1, open("b"), start)
        }

    /** Guards against requests to the other ranks of a group that cannot run, which each refuse them. */
    @Test
    fun `a refusal with free places stops all ranks of the group but no other group`() {
        val tracker = tracker()
        tracker.refused(a1, start)
        assertEquals(GroupHealth.DOWN, tracker.health(a2, start))
        assertEquals(GroupHealth.ACCEPTING, tracker.health(b1, start))
        assertEquals(start, tracker.downSince(a3))
    }

    /** Guards against a group that stays unused after its return, and against a report from before the failure. */
    @Test
    fun `a group accepts again after a report of a later epoch`() {
        val tracker = tracker()
        tracker.refused(a1, start)
        tracker.reported(a2, open("a"), start + 100.milliseconds)
        assertEquals(GroupHealth.DOWN, tracker.health(a1, start + 100.milliseconds))
        tracker.reported(a2, open("a", epoch = 2), start + 200.milliseconds)
        assertEquals(GroupHealth.ACCEPTING, tracker.health(a1, start + 200.milliseconds))
    }

    /** Guards against ranks that are cut off from each other, whose reports would send all requests to a broken group. */
    @Test
    fun `a report of the epoch in which the group failed allows one request at an interval`() {
        val tracker = tracker()
        tracker.refused(a1, start)
        val later = start + 1.seconds
        assertEquals(false, tracker.tryProbe(a1, later))
        tracker.reported(a2, open("a"), later)
        assertEquals(GroupHealth.DOWN, tracker.health(a1, later))
        assertEquals(listOf(true, false), List(2) { tracker.tryProbe(a1, later) })
        assertEquals(true, tracker.tryProbe(a2, later + 1.seconds))
    }

    /** Guards against a group that stays unused because its return is seen by a request before a report. */
    @Test
    fun `a group accepts again once a rank accepts a request`() {
        val tracker = tracker()
        tracker.refused(a1, start)
        tracker.accepted(a2, start + 1.seconds)
        assertEquals(GroupHealth.ACCEPTING, tracker.health(a1, start + 1.seconds))
    }

    /** Guards against a single rank whose path is cut taking a running group out of use. */
    @Test
    fun `an unreachable rank casts doubt on its group until a rank reports that it is open`() {
        val tracker = tracker()
        tracker.unreachable(a1, start)
        assertEquals(GroupHealth.SUSPECT, tracker.health(a2, start))
        tracker.reported(a2, open("a"), start + 50.milliseconds)
        assertEquals(GroupHealth.ACCEPTING, tracker.health(a2, start + 50.milliseconds))
    }

    /** Guards against requests that each wait for a connection to a group that is cut off as a whole. */
    @Test
    fun `a group of which no rank answers is unreachable until one does`() {
        val tracker = tracker()
        tracker.unreachable(a1, start)
        listOf(a2, a3, a1).forEach { tracker.reported(it, null, start) }
        assertEquals(GroupHealth.UNREACHABLE, tracker.health(a2, start))
        tracker.reported(a3, open("a"), start + 1.seconds)
        assertEquals(GroupHealth.ACCEPTING, tracker.health(a2, start + 1.seconds))
    }

    /** Guards against a group whose return nobody notices, and against reports without need. */
    @Test
    fun `a group is asked at an interval while it is down and only then`() {
        val tracker = tracker()
        assertNull(tracker.nextAsk(start))
        tracker.refused(a1, start)
        val asks = (1..10).flatMap { tracker.endpointsToAsk(start + (it * 100).milliseconds) }
        assertTrue(asks.size in 4..7, "$asks")
        assertEquals(setOf(a1, a2, a3), asks.toSet())
        tracker.accepted(a1, start + 1.seconds)
        assertNull(tracker.nextAsk(start + 1.seconds))
    }

    /** Guards against endpoints that are asked for their group without end, all at the same time. */
    @Test
    fun `an endpoint without a known group is asked once a second`() {
        val tracker = groupTracker()
        (0 until 40).forEach { tracker.discover(EndpointId("e$it")) }
        val first = tracker.endpointsToAsk(start)
        assertTrue(first.size < 40)
        assertTrue(tracker.endpointsToAsk(start).none { it in first })
        tracker.reported(EndpointId("e0"), open("a"), start)
        val later = (10..20).flatMap { tracker.endpointsToAsk(start + (it * 100).milliseconds) }
        assertTrue(EndpointId("e0") !in later && EndpointId("e1") in later)
    }

    /** Guards against a division by the number of ranks of a group that all of them have left. */
    @Test
    fun `a group whose ranks all report another name is not asked any more`() {
        val tracker = tracker()
        tracker.refused(b1, start)
        tracker.reported(b1, open("c"), start + 10.milliseconds)
        assertEquals(emptyList<EndpointId>(), tracker.endpointsToAsk(start + 1.seconds))
        assertNull(tracker.nextAsk(start + 1.seconds))
        assertEquals(setOf(b1), tracker.ranksOf(b1))
    }
}
