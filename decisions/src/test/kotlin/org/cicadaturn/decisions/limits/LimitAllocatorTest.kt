package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.LimitRefund
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LimitAllocatorTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val organisation = OrganisationId("survey")
    private val policy = LimitPolicy()
    private val alone = LiveShare(1, 1)
    private val a = ProcessId("a")
    private val b = ProcessId("b")

    private fun allocator(isWindowKnown: Boolean = true) =
        LimitAllocator(organisation, OrganisationLimit(1_000, 10), policy, start, isWindowKnown)

    private fun request(
        sequence: Long,
        want: Long,
        spent: Long = 0,
        held: Long = 0,
        refunds: List<LimitRefund> = emptyList(),
    ) = LimitMessage.BudgetRequest(organisation, sequence, spent, held, want, want, refunds = refunds, slots = 1)

    /** Guards against a second grant or booking for a budget request that is repeated because its answer was lost. */
    @Test
    fun repeatedBudgetRequestIsGrantedOnce() {
        val allocator = allocator()
        val first = allocator.answer(a, request(1, 600), alone, start)
        assertEquals(600, first.tokens)
        assertEquals(first, allocator.answer(a, request(1, 600), alone, start + 1.seconds))
        assertEquals(400, allocator.free(alone, start + 1.seconds))
        allocator.answer(a, request(2, 0, spent = 600), alone, start + 2.seconds)
        allocator.answer(a, request(2, 0, spent = 600), alone, start + 3.seconds)
        assertEquals(400, allocator.free(alone, start + 3.seconds))
    }

    /** Guards against a grant that a disconnected process keeps forever, and one revoked before its lease ends. */
    @Test
    fun disconnectedProcessLosesItsGrantAfterLeaseAndWindow() {
        val allocator = allocator()
        allocator.answer(a, request(1, 1_000), alone, start)
        val leaseEnd = start + policy.lease
        assertEquals(0, allocator.free(alone, leaseEnd - 1.milliseconds))
        assertEquals(0, allocator.free(alone, leaseEnd + 1.minutes - 1.milliseconds))
        assertEquals(1_000, allocator.free(alone, leaseEnd + 1.minutes + policy.slot))
    }

    /** Guards against unused tokens of an ended lease that still count as spent after the process reports its use. */
    @Test
    fun reportAfterLeaseReturnsWhatWasNotSpent() {
        val allocator = allocator()
        allocator.answer(a, request(1, 1_000), alone, start)
        val later = start + policy.lease + 5.seconds
        allocator.answer(a, request(2, 0, spent = 300), alone, later)
        assertEquals(700, allocator.free(alone, later))
    }

    /** Guards against requests in flight above the limit, and against slots that a disconnected process keeps. */
    @Test
    fun requestsInFlightAreShared() {
        val allocator = allocator()
        val many = request(1, 10).copy(slots = 8)
        assertTrue(allocator.answer(a, many, LiveShare(2, 2), start).slots in 8..9)
        assertTrue(allocator.answer(b, many, LiveShare(2, 2), start).slots <= 2)
        val later = start + policy.lease + 1.seconds
        assertEquals(8, minOf(8, allocator.answer(b, many.copy(sequence = 2), LiveShare(2, 2), later).slots))
    }

    /** Guards against charges that are never corrected to the real count, and refunds booked at the wrong time. */
    @Test
    fun refundIsBookedWhereTheChargeWas() {
        val allocator = allocator()
        allocator.answer(a, request(1, 1_000), alone, start)
        allocator.answer(a, request(2, 0, spent = 1_000), alone, start + 1.seconds)
        val refund = LimitRefund(30_500, 600)
        allocator.answer(a, request(3, 0, refunds = listOf(refund)), alone, start + 31.seconds)
        assertEquals(600, allocator.free(alone, start + 31.seconds))
        assertEquals(1_000, allocator.free(alone, start + 62.seconds))
    }

    /** Guards against an allocator that grants the part of processes that are not connected to it. */
    @Test
    fun partOfDisconnectedProcessesStaysReserved() {
        val allocator = allocator()
        val grant = allocator.answer(a, request(1, 1_000).copy(least = 1), LiveShare(1, 4), start)
        assertEquals(250, grant.tokens)
    }

    /** Guards against a new allocator that grants the whole limit again within the window of the failed one. */
    @Test
    fun unknownWindowFreesBudgetAtTheRateOfTheLimit() {
        val allocator = allocator(isWindowKnown = false)
        assertTrue(allocator.free(alone, start) <= 20)
        assertTrue(allocator.free(alone, start + 30.seconds) in 450..530)
        assertEquals(1_000, allocator.free(alone, start + 1.minutes + policy.lease))
    }

    /** Guards against a new process whose empty copy makes another new process grant the whole limit. */
    @Test
    fun copyOfAnUnknownWindowProvesNothing() {
        val fresh = allocator(isWindowKnown = false)
        fresh.merge(allocator(isWindowKnown = false).copy(start), start)
        assertTrue(fresh.free(alone, start) <= 20)
        fresh.merge(allocator().copy(start), start)
        assertEquals(1_000, fresh.free(alone, start))
    }

    /** Guards against a minority that uses its full part before the others have reserved it. */
    @Test
    fun minorityWithoutCopyStartsWithASmallPart() {
        val allocator = allocator(isWindowKnown = false)
        val minority = LiveShare(1, 4)
        assertEquals(50, allocator.free(minority, start + 1.minutes))
        assertEquals(250, allocator.free(minority, start + 1.minutes + policy.lease))
    }

    /** Guards against grants unknown to the standby, which would grant them again after a takeover. */
    @Test
    fun unconfirmedGrantsAreBounded() {
        val allocator = allocator()
        val share = LiveShare(2, 2)
        var granted = 0L
        repeat(50) { granted += allocator.answer(a, request(it + 1L, 10, held = granted), share, start).tokens }
        assertEquals(20, granted)
        val copy = allocator.nextCopy(start)!!
        allocator.confirm(copy.sequence)
        granted += allocator.answer(a, request(60, 10, held = granted), share, start).tokens
        assertEquals(30, granted)
        val next = allocator()
        next.merge(copy, start)
        assertEquals(980, next.free(share, start))
    }
}
