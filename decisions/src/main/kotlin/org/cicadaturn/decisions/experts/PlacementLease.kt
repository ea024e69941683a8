package org.cicadaturn.decisions.experts

import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Next call to the store that a lease needs. */
public sealed interface LeaseStep {
    /** Read the record; a stale one is sufficient unless [isFresh]. */
    public data class Read(
        val isFresh: Boolean,
    ) : LeaseStep

    /** Write [record] if the stored one is still at [expected]; null creates it. */
    public data class Write(
        val record: LeaseRecord,
        val expected: StorePosition?,
    ) : LeaseStep
}

/**
 * Lease that allows at most one process at a time to act, based on a record in the store. Has one owner and is not safe
 * for concurrent use.
 *
 * A candidate takes over a record that has not changed for [LeaseTimes.expiry] by its own monotonic clock, so that
 * clocks of different processes are never compared. The holder stops acting [LeaseTimes.validity] after the start of
 * its last write. It measures this time with a suspend-aware clock, which advances by the larger advance of the
 * monotonic clock and the wall clock, because the monotonic clock stops while a machine is suspended. Times are of the
 * monotonic clock unless stated otherwise.
 *
 * The store may be restored from an older copy, which begins a new era and may lack records that were acknowledged.
 * Three rules exclude a second holder and a token that is given out twice:
 * - A record that was written in an earlier era does not show that the lease is vacant, so each process waits for
 *   [LeaseTimes.expiry]. Only a holder that learns of the new era while it may still act writes its lease again at once.
 * - A write counts only in the era in which the record that it replaces was read, as the store compares revisions alone.
 * - The first takeover in a new era leaves out the tokens that may have been lost.
 */
public interface PlacementLease {
    /** Returns the fencing token if this process may act at [now] of the suspend-aware clock, else null. */
    public fun token(now: Instant): Long?

    /** Returns the call to the store that is due at [now]. */
    public fun next(now: Instant): LeaseStep

    /** Returns when this process may take the lease over unless it is renewed, or null if it holds or never read it. */
    public fun takeoverTime(): Instant?

    /**
     * Records that [record], or null if there is none, was read at [position] in the store; returns true if this is the
     * first read of a new era.
     *
     * The read ended at [now] of the monotonic clock and at [actingNow] of the suspend-aware clock.
     */
    public fun seen(
        record: LeaseRecord?,
        position: StorePosition,
        isFresh: Boolean,
        now: Instant,
        actingNow: Instant,
    ): Boolean

    /**
     * Records that [record] was written at [position] in the store; returns false if the write does not count, as it was
     * executed in another era than the one of its condition.
     *
     * The write began at [since] of the monotonic clock and at [actingSince] of the suspend-aware clock.
     */
    public fun written(
        record: LeaseRecord,
        position: StorePosition,
        since: Instant,
        actingSince: Instant,
    ): Boolean

    /**
     * Promises the holder of [token] not to take over the lease for [LeaseTimes.expiry].
     *
     * Returns false if this process holds the lease itself, knows of a higher token or never read the record.
     */
    public fun pledge(
        token: Long,
        now: Instant,
    ): Boolean

    /**
     * Extends the lease without a renewal, because every other process has pledged not to take it over.
     *
     * Another process may act only after it has written the record, and no process writes it before its pledge ends.
     * The first process was asked at [actingSince] of the suspend-aware clock.
     */
    public fun pledged(actingSince: Instant)

    /** Stops acting permanently. The next write marks the record as released, which permits an immediate takeover. */
    public fun release()

    /** Stops acting, because another process has a higher token or the clock cannot be trusted. */
    public fun forfeit()
}

/**
 * Times of a lease.
 *
 * @property renewal time between renewals
 * @property validity time for which the holder may act after a renewal
 * @property expiry time after which others take the lease over; exceeds the validity by more than a delayed call takes
 */
public data class LeaseTimes(
    val renewal: Duration = 500.milliseconds,
    val validity: Duration = 1.5.seconds,
    val expiry: Duration = 2.3.seconds,
) {
    init {
        val isOrdered = renewal < validity && validity < expiry
        require(isOrdered) { "renewal $renewal < validity $validity < expiry $expiry must hold" }
    }
}

/** Returns a lease that [self] does not hold; a different [delay] of each candidate avoids simultaneous takeovers. */
public fun placementLease(
    self: ProcessId,
    delay: Duration,
    times: LeaseTimes = LeaseTimes(),
): PlacementLease = RecordLease(self, delay, times)

private class RecordLease(
    private val self: ProcessId,
    private val delay: Duration,
    private val times: LeaseTimes,
) : PlacementLease {
    private var record: LeaseRecord? = null

    /** Position of [record], or revision 0 of the era in which there was none; null if it was never read. */
    private var position: StorePosition? = null

    /** False if [record] was read with a call that may be answered from an earlier state. */
    private var isFresh = false
    private var seenAt: Instant? = null
    private var validUntil = Instant.DISTANT_PAST
    private var own: LeaseRecord? = null
    private var pledgedUntil = Instant.DISTANT_PAST
    private var isReleased = false

    override fun token(now: Instant): Long? = own?.takeIf { now < validUntil && !isReleased }?.token

    override fun next(now: Instant): LeaseStep {
        val mine = own
        if (mine == null && !mayTakeOver(now)) return LeaseStep.Read(isFresh = false)
        // The condition of a write may be met by another record if a stale read was answered from an earlier era.
        val at = position?.takeIf { isFresh } ?: return LeaseStep.Read(isFresh = true)
        val next =
            mine?.copy(renewals = mine.renewals + 1, isReleased = isReleased, era = at.era)
                ?: LeaseRecord(self, nextToken(at.era), renewals = 0, era = at.era)
        return LeaseStep.Write(next, at.takeIf { record != null })
    }

    /** A holder may have kept a token of an earlier era, so the era itself is a lower bound as well. */
    private fun nextToken(era: Long): Long {
        val lostEras = maxOf(0L, era - eraOf(record))
        val next = (record?.token ?: 0L) + 1 + lostEras * MAX_LOST_TOKENS
        return maxOf(next, era * MAX_LOST_TOKENS + 1)
    }

    override fun takeoverTime(): Instant? {
        val at = seenAt ?: return null
        if (own != null || isReleased) return null
        return maxOf(at + times.expiry + delay, pledgedUntil)
    }

    private fun mayTakeOver(now: Instant): Boolean {
        val at = seenAt ?: return false
        if (isReleased || now < pledgedUntil) return false
        return isVacant() || now - at >= times.expiry + delay
    }

    /** Returns true if the record shows that no process acts on the lease. */
    private fun isVacant(): Boolean {
        if (eraOf(record) != position?.era) return false
        val known = record ?: return true
        // An earlier run of this process no longer acts on its lease.
        return known.holder == self || known.isReleased
    }

    override fun seen(
        record: LeaseRecord?,
        position: StorePosition,
        isFresh: Boolean,
        now: Instant,
        actingNow: Instant,
    ): Boolean {
        val known = this.position
        if (known != null && isOutdated(position, isFresh, known)) return false
        this.isFresh = isFresh
        if (position == known && record == this.record) return false
        this.record = record
        this.position = position
        seenAt = now
        // As long as the holder may act, no other process can have taken over before the restore.
        val isHeld = if (eraOf(record) == position.era) record == own else token(actingNow) != null
        if (!isHeld) own = null
        return known != null && position.era > known.era
    }

    /** A fresh read began after all earlier answers; within its era it is never older than they are. */
    private fun isOutdated(
        position: StorePosition,
        isFresh: Boolean,
        known: StorePosition,
    ): Boolean = if (isFresh) position.era < known.era else position <= known

    override fun written(
        record: LeaseRecord,
        position: StorePosition,
        since: Instant,
        actingSince: Instant,
    ): Boolean {
        if (position.era != record.era) return false
        this.record = record
        this.position = position
        isFresh = true
        own = record.takeIf { !it.isReleased }
        seenAt = since
        validUntil = actingSince + times.validity
        return true
    }

    override fun pledge(
        token: Long,
        now: Instant,
    ): Boolean {
        if (own != null || position == null) return false
        // After a restore the record may be of a holder before the one that asks.
        if (token < (record?.token ?: 0L)) return false
        pledgedUntil = now + times.expiry
        return true
    }

    override fun pledged(actingSince: Instant) {
        if (own != null) validUntil = maxOf(validUntil, actingSince + times.validity)
    }

    override fun release() {
        isReleased = true
    }

    override fun forfeit() {
        own = null
        validUntil = Instant.DISTANT_PAST
    }

    /** Returns the era in which [record] was written; the absence of a record belongs to a store without restores. */
    private fun eraOf(record: LeaseRecord?): Long = record?.era ?: 0L

    private companion object {
        /**
         * Takeovers that one restore can lose. Each takes a read and a write, so that seconds have room for a few
         * hundred at most.
         */
        const val MAX_LOST_TOKENS = 1_000L
    }
}
