package org.cicadaturn.decisions.experts

import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PlacementLeaseTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val lease = placementLease(ProcessId("me"), Duration.ZERO)
    private val other = LeaseRecord(ProcessId("other"), token = 4, renewals = 7)

    /** Guards against two holders: a record that still changes is not taken over. */
    @Test
    fun `a renewed record is left to its holder`() {
        lease.seen(other, StorePosition(0, 10), isFresh = true, start, start)
        lease.seen(other.copy(renewals = 8), StorePosition(0, 12), isFresh = true, start + 5.seconds, start + 5.seconds)
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(start + 7.seconds))
    }

    /** Guards against a lease that stays with a holder that has died, and against a token that is used twice. */
    @Test
    fun `a record that is not renewed is taken over with a higher token`() {
        lease.seen(other, StorePosition(0, 10), isFresh = true, start, start)
        lease.seen(other, StorePosition(0, 10), isFresh = true, start + 5.seconds, start + 5.seconds)
        val write = lease.next(start + 6.5.seconds) as LeaseStep.Write
        assertEquals(5L, write.record.token)
        assertEquals(StorePosition(0, 10), write.expected)
    }

    /** Guards against a holder that still acts after its lease has expired, for example after it was suspended. */
    @Test
    fun `the lease ends without a renewal, by the suspend-aware clock`() {
        lease.seen(null, StorePosition(0, 0), isFresh = true, start, start)
        val write = lease.next(start) as LeaseStep.Write
        assertNull(write.expected)
        lease.written(write.record, StorePosition(0, 11), start, actingSince = start)
        assertEquals(1L, lease.token(start + 1.4.seconds))
        assertNull(lease.token(start + 1.5.seconds))
    }

    /** Guards against a holder that still acts after another process has taken the lease over. */
    @Test
    fun `a record of another holder ends the lease`() {
        lease.seen(null, StorePosition(0, 0), isFresh = true, start, start)
        val write = lease.next(start) as LeaseStep.Write
        lease.written(write.record, StorePosition(0, 11), start, start)
        lease.seen(other, StorePosition(0, 15), isFresh = true, start + 1.seconds, start + 1.seconds)
        assertNull(lease.token(start + 1.seconds))
    }

    /** Guards against a stale read that hides a newer record. */
    @Test
    fun `an older read changes nothing`() {
        lease.seen(null, StorePosition(0, 0), isFresh = true, start, start)
        val write = lease.next(start) as LeaseStep.Write
        lease.written(write.record, StorePosition(0, 11), start, start)
        lease.seen(other, StorePosition(0, 9), isFresh = false, start + 1.seconds, start + 1.seconds)
        assertEquals(1L, lease.token(start + 1.seconds))
    }

    /** Guards against a takeover that waits for the next poll, and against one that is announced too early. */
    @Test
    fun `the takeover is announced for the time from which it is allowed`() {
        assertNull(lease.takeoverTime())
        lease.seen(other, StorePosition(0, 10), isFresh = true, start, start)
        val at = lease.takeoverTime()!!
        assertEquals(LeaseStep.Read(isFresh = false), lease.next(at - 1.milliseconds))
        assertEquals(5L, (lease.next(at) as LeaseStep.Write).record.token)
    }
}
