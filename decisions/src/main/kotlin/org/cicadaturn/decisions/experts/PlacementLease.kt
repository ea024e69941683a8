package org.cicadaturn.decisions.experts

import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What to do about the lease now. */
public sealed interface LeaseStep {
    /** Read the record, if need be an old one. */
    public data object Read : LeaseStep

    /** Write [record] if the stored one still has [expected]; null creates it. */
    public data class Write(
        val record: LeaseRecord,
        val expected: Long?,
    ) : LeaseStep
}

/**
 * Decides who may act alone, by a record in the store and this process's steady clock. Has one owner.
 *
 * The record is taken over after it did not change for [LeaseTimes.expiry] by the own clock, so no clocks are
 * compared. The holder stops to act after [LeaseTimes.validity], counted from before its write by a cautious clock:
 * one that advances by the larger of steady clock and time of day, as the steady clock stands still while a machine
 * is suspended.
 */
public interface PlacementLease {
    /** Fencing token of this process while it may act at [now] of the cautious clock, else null. */
    public fun token(now: Instant): Long?

    /** Returns what to do at [now]. */
    public fun next(now: Instant): LeaseStep

    /** Takes the [record] that was read, null if there is none, with its store [revision]. */
    public fun seen(
        record: LeaseRecord?,
        revision: Long,
        now: Instant,
    )

    /** Notes that [record] was written with [revision] by a call that began at [since], at [actingSince] cautiously. */
    public fun written(
        record: LeaseRecord,
        revision: Long,
        since: Instant,
        actingSince: Instant,
    )

    /**
     * Promises the holder of [token] not to take the lease over for [LeaseTimes.expiry]; returns false if this process
     * holds it or knows of another token.
     */
    public fun pledge(
        token: Long,
        now: Instant,
    ): Boolean

    /**
     * Goes on to act without a renewal, as every other process has pledged; the first was asked at [actingSince].
     *
     * Another process could only act after a write to the store, and none of those that can write does before its
     * pledge ends.
     */
    public fun pledged(actingSince: Instant)

    /** Stops to act for good, so that another process can take the lease over at once. */
    public fun release()

    /** Stops to act, as another process has a higher token or the clock cannot be trusted. */
    public fun forfeit()
}

/**
 * Times of a lease.
 *
 * @property renewal time between renewals
 * @property validity time for which the holder acts after a renewal
 * @property expiry time after which others take it over; longer than the validity by more than a late call
 */
public data class LeaseTimes(
    val renewal: Duration = 500.milliseconds,
    val validity: Duration = 1.5.seconds,
    val expiry: Duration = 2.3.seconds,
) {
    init {
        require(renewal < validity && validity < expiry) { "renewal $renewal < validity $validity < expiry $expiry" }
    }
}

/** Returns a lease that [self] does not hold; [delay] keeps candidates from taking it over at the same moment. */
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
    private var revision: Long? = null
    private var seenAt: Instant? = null
    private var validUntil = Instant.DISTANT_PAST
    private var own: LeaseRecord? = null
    private var pledgedUntil = Instant.DISTANT_PAST
    private var isReleased = false

    override fun token(now: Instant): Long? = own?.takeIf { now < validUntil && !isReleased }?.token

    override fun next(now: Instant): LeaseStep {
        val mine = own
        if (mine != null) {
            return LeaseStep.Write(mine.copy(renewals = mine.renewals + 1, isReleased = isReleased), revision)
        }
        if (!mayTakeOver(now)) return LeaseStep.Read
        return LeaseStep.Write(LeaseRecord(self, (record?.token ?: 0L) + 1, 0), revision)
    }

    private fun mayTakeOver(now: Instant): Boolean {
        val at = seenAt ?: return false
        if (isReleased || now < pledgedUntil) return false
        val known = record ?: return true
        // An earlier run of this process holds nothing any more.
        return known.holder == self || known.isReleased || now - at >= times.expiry + delay
    }

    override fun seen(
        record: LeaseRecord?,
        revision: Long,
        now: Instant,
    ) {
        val isNewer = seenAt == null || revision > (this.revision ?: 0L)
        if (!isNewer) return
        this.record = record
        this.revision = if (record == null) null else revision
        seenAt = now
        if (record != own) own = null
    }

    override fun written(
        record: LeaseRecord,
        revision: Long,
        since: Instant,
        actingSince: Instant,
    ) {
        this.record = record
        this.revision = revision
        own = record.takeIf { !it.isReleased }
        seenAt = since
        validUntil = actingSince + times.validity
    }

    override fun pledge(
        token: Long,
        now: Instant,
    ): Boolean {
        if (own != null || record?.token != token) return false
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
}
