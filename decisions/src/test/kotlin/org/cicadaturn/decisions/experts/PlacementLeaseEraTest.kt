package org.cicadaturn.decisions.experts

import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Lease in a store that is restored from an older copy, in which revisions are given out again. */
class PlacementLeaseEraTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val me = ProcessId("me")
    private val other = LeaseRecord(ProcessId("other"), token = 1_004, renewals = 7, era = 1)

    /** Records of an older copy that say that nobody acts on the lease. */
    private val vacant =
        mapOf(
            "none" to null,
            "a released one" to other.copy(isReleased = true),
            "one of this process" to other.copy(holder = me),
        )

    private fun newLease(): PlacementLease = placementLease(me, delay = 100.milliseconds)

    private fun PlacementLease.read(
        record: LeaseRecord?,
        position: StorePosition,
        now: Instant,
        isFresh: Boolean = true,
    ): Boolean = seen(record, position, isFresh, now, now)

    /** Returns a lease that is held since [start] with token 1,005 at revision 20 of era 1. */
    private fun heldLease(): PlacementLease {
        val lease = newLease()
        lease.read(other.copy(isReleased = true), StorePosition(1, 10), start)
        val write = lease.next(start) as LeaseStep.Write
        assertEquals(LeaseRecord(me, 1_005, 0, era = 1), write.record)
        assertTrue(lease.written(write.record, StorePosition(1, 20), start, start))
        return lease
    }

    /** Guards against a lease that is not read for as long as the new revisions are below the old ones. */
    @Test
    fun `a record of a new era is read although its revision is lower`() {
        val lease = newLease()
        lease.read(other, StorePosition(1, 100), start)
        assertTrue(lease.read(other.copy(renewals = 3), StorePosition(2, 60), start + 1.seconds))
        lease.read(other.copy(renewals = 9, era = 2), StorePosition(2, 61), start + 3.seconds)
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 5.seconds))
        val write = lease.next(start + 5.4.seconds) as LeaseStep.Write
        assertEquals(StorePosition(2, 61), write.expected)
    }

    /** Guards against a late answer of before the restore. */
    @Test
    fun `an answer of an earlier era changes nothing`() {
        val lease = newLease()
        lease.read(other.copy(era = 2), StorePosition(2, 60), start)
        assertFalse(lease.read(other.copy(renewals = 90), StorePosition(1, 100), start + 2.seconds))
        val write = lease.next(start + 2.4.seconds) as LeaseStep.Write
        assertEquals(StorePosition(2, 60), write.expected)
    }

    /** Guards against two holders: the record that was replaced need not be the one that was read. */
    @Test
    fun `a write that is done in a later era than it was read in does not count`() {
        val lease = newLease()
        lease.read(other.copy(isReleased = true), StorePosition(1, 10), start)
        val takeover = lease.next(start) as LeaseStep.Write
        assertFalse(lease.written(takeover.record, StorePosition(2, 11), start, start))
        assertNull(lease.token(start))

        val held = heldLease()
        val renewal = held.next(start + 1.seconds) as LeaseStep.Write
        assertFalse(held.written(renewal.record, StorePosition(2, 21), start + 1.seconds, start + 1.seconds))
        assertNull(held.token(start + 1.5.seconds))
    }

    /** Guards against a condition that a stale answer of before the restore has brought into the new era. */
    @Test
    fun `a record that was read stale is read again before it is replaced`() {
        val lease = newLease()
        lease.read(other, StorePosition(2, 80), start, isFresh = false)
        assertEquals(LeaseStep.Read(isFresh = true), lease.next(start + 3.seconds))
        lease.read(other.copy(token = 2_001, era = 2), StorePosition(2, 70), start + 3.seconds)
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 5.seconds))
        val write = lease.next(start + 5.4.seconds) as LeaseStep.Write
        assertEquals(StorePosition(2, 70), write.expected)
    }

    /** Guards against a process that takes over beside a holder whose lease is not in the copy. */
    @Test
    fun `what an older copy says of a vacant lease is not believed`() {
        for ((name, record) in vacant) {
            val known = newLease().also { it.read(other, StorePosition(1, 100), start) }
            for (lease in listOf(newLease(), known)) {
                lease.read(record, StorePosition(2, if (record == null) 0 else 60), start + 1.seconds)
                assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 3.3.seconds), name)
                assertTrue(lease.next(start + 3.4.seconds) is LeaseStep.Write, name)
            }
        }
    }

    /** Guards against groups that no process balances for seconds after each planned stop since the last restore. */
    @Test
    fun `what was written in the present era is believed`() {
        for ((name, record) in vacant.filterValues { it != null }) {
            val lease = newLease()
            lease.read(record!!.copy(era = 2), StorePosition(2, 60), start)
            assertTrue(lease.next(start) is LeaseStep.Write, name)
        }
    }

    /** Guards against a token that was given out in the time that the copy does not have. */
    @Test
    fun `a takeover passes over the tokens that may have been lost`() {
        val tokens = mutableListOf<Long>()
        // The copy is the same in each era, as if nothing had been written since.
        for (era in 1L..4L) {
            val lease = newLease()
            lease.read(other, StorePosition(era, 60), start)
            val first = (lease.next(start + 3.seconds) as LeaseStep.Write).record
            lease.read(
                first.copy(holder = ProcessId("x"), isReleased = true),
                StorePosition(era, 61),
                start + 3.seconds,
            )
            tokens += first.token
            tokens += (lease.next(start + 3.seconds) as LeaseStep.Write).record.token
        }
        assertEquals(tokens.sorted().distinct(), tokens)
        val none = (1L..4L).map { era -> newLease().also { it.read(null, StorePosition(era, 0), start) } }
        val first = none.map { (it.next(start + 3.seconds) as LeaseStep.Write).record.token }
        assertEquals(first.sorted().distinct(), first)
    }

    /** Guards against a token below those of an era whose copy had no lease, after two restores in a row. */
    @Test
    fun `a takeover from a holder that kept its token passes over the tokens of all earlier eras`() {
        val without = newLease().also { it.read(null, StorePosition(3, 0), start) }
        val lost = (without.next(start + 3.seconds) as LeaseStep.Write).record
        val kept = LeaseRecord(other.holder, token = 1, renewals = 9, era = 2)
        val lease = newLease().also { it.read(kept, StorePosition(4, 60), start) }
        val next = (lease.next(start + 3.seconds) as LeaseStep.Write).record
        assertTrue(next.token > lost.token, "${next.token} after ${lost.token}")
    }

    /** Guards against a switch that is broken off, and a lease that nobody holds, because of a restore. */
    @Test
    fun `the holder keeps its lease and its token in a new era`() {
        for (copy in vacant.values + other + other.copy(holder = me, token = 1_005)) {
            val lease = heldLease()
            val position = StorePosition(2, if (copy == null) 0 else 20)
            lease.read(copy, position, start + 1.seconds)
            val write = lease.next(start + 1.seconds) as LeaseStep.Write
            assertEquals(LeaseRecord(me, 1_005, 1, era = 2), write.record, "copy $copy")
            assertEquals(position.takeIf { copy != null }, write.expected, "copy $copy")
            lease.written(write.record, StorePosition(2, 21), start + 1.seconds, start + 1.seconds)
            assertEquals(1_005L, lease.token(start + 2.4.seconds), "copy $copy")
        }
    }

    /** Guards against a process that was suspended and acts beside the holder that the copy does not have. */
    @Test
    fun `a holder whose lease has ended waits like the others in a new era`() {
        val lease = heldLease()
        lease.read(LeaseRecord(me, 1_005, 0, era = 1), StorePosition(2, 20), start + 1.5.seconds)
        assertNull(lease.token(start + 1.5.seconds))
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 3.8.seconds))
        assertTrue((lease.next(start + 3.9.seconds) as LeaseStep.Write).record.token > 1_005)
    }

    /** Guards against two holders: a process in the new era has the lease, and the copy is older than both. */
    @Test
    fun `a record that another process has written in the new era ends the lease`() {
        val lease = heldLease()
        lease.read(LeaseRecord(other.holder, 2_001, 0, era = 2), StorePosition(2, 15), start + 1.seconds)
        assertNull(lease.token(start + 1.seconds))
    }

    /** Guards against a holder without the store that stops because the copy has an earlier token. */
    @Test
    fun `a pledge is given to the holder of a token that the copy does not have`() {
        val lease = newLease()
        lease.read(other, StorePosition(2, 60), start)
        assertTrue(lease.pledge(1_005, start + 2.seconds))
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 4.2.seconds))
        assertTrue(lease.next(start + 4.3.seconds) is LeaseStep.Write)
        assertFalse(lease.pledge(1_003, start + 4.3.seconds))
    }

    /** Guards against a takeover before the end of a pledge because the lease looks vacant in a new era. */
    @Test
    fun `a pledge binds in the next era`() {
        val lease = newLease()
        lease.read(other, StorePosition(1, 60), start)
        assertTrue(lease.pledge(1_004, start + 3.seconds))
        lease.read(other.copy(isReleased = true, era = 2), StorePosition(2, 50), start + 3.seconds)
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 5.2.seconds))
    }
}
