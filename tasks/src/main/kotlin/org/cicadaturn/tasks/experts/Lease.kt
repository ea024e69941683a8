package org.cicadaturn.tasks.experts

import arrow.core.left
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.LeaseStep
import org.cicadaturn.decisions.experts.LeaseTimes
import org.cicadaturn.decisions.experts.PlacementLease
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.gateway.StoredLease
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Lease that allows one process at a time to act. */
public interface Lease {
    /** Returns the fencing token while this process holds the lease, or null. */
    public fun token(): Long?

    /** Gives up the lease, as another process has a higher token; this process may acquire it again later. */
    public fun forfeit()

    /** Promises the holder of [token] not to take the lease over for a while; returns true if the promise is given. */
    public fun pledge(token: Long): Boolean

    /** Releases the lease permanently, as this process is stopping. */
    public fun release()

    /** Acquires the lease and renews it until it is cancelled. */
    public suspend fun keep()
}

/**
 * Dependencies of the task that acquires and renews a lease.
 *
 * @property name name of the lease in the store
 * @property pollInterval time between reads of a lease that another process holds
 * @property requestPledges requests a pledge for a token from all other processes; returns true if all have granted it
 * @property clock monotonic clock
 * @property suspendAwareClock clock that also advances while the machine is suspended
 */
public class LeaseDependencies(
    public val store: FleetStore,
    public val name: String,
    public val pollInterval: Duration,
    public val requestPledges: suspend (Long) -> Boolean,
    public val clock: Clock,
    public val suspendAwareClock: Clock,
    public val times: LeaseTimes = LeaseTimes(),
)

/** Returns [lease] as it is kept in the store. */
public fun storeLease(
    lease: PlacementLease,
    dependencies: LeaseDependencies,
): Lease = LeaseTask(lease, dependencies)

private class LeaseTask(
    private val lease: PlacementLease,
    private val dependencies: LeaseDependencies,
) : Lease {
    private val store = dependencies.store
    private val name = dependencies.name
    private val clock = dependencies.clock
    private val suspendAwareClock = dependencies.suspendAwareClock

    /** True after a write without an answer; pledges of the other processes are then requested as well. */
    private var isStoreUnavailable = false

    /** False after a write that failed or does not count. */
    private var isRenewed = true
    private var isStopping = false

    override fun token(): Long? = lease.token(suspendAwareClock.now())

    override fun forfeit() {
        logger.warn("lease: {} given up", name)
        lease.forfeit()
    }

    override fun pledge(token: Long): Boolean = lease.pledge(token, clock.now())

    override fun release() {
        isStopping = true
    }

    override suspend fun keep() {
        while (true) {
            // While the store is unavailable no other process could take the lease over, so it is kept.
            if (isStopping && !isStoreUnavailable) lease.release()
            val step = lease.next(clock.now())
            when (step) {
                is LeaseStep.Read -> read(step.isFresh)
                is LeaseStep.Write -> renew(step)
            }
            if (!isDue(step)) delay(interval(step))
        }
    }

    /** Returns true if the record that was read in [last] needs a further call at once, such as that of a takeover. */
    private fun isDue(last: LeaseStep): Boolean {
        if (last !is LeaseStep.Read) return false
        val next = lease.next(clock.now())
        return next is LeaseStep.Write || (next == LeaseStep.Read(isFresh = true) && !last.isFresh)
    }

    private fun interval(step: LeaseStep): Duration =
        when {
            !isRenewed && token() != null -> RETRY_INTERVAL
            step == LeaseStep.Read(isFresh = false) -> readInterval()
            else -> dependencies.times.renewal
        }

    /** A takeover that falls between two reads does not wait for the second one, as its write is conditional. */
    private fun readInterval(): Duration {
        val untilTakeover = lease.takeoverTime()?.let { it - clock.now() } ?: Duration.ZERO
        val poll = dependencies.pollInterval
        return if (untilTakeover.isPositive()) minOf(poll, untilTakeover) else poll
    }

    /**
     * Writes the lease. While the store is unavailable, the holder continues as long as all other processes pledge.
     *
     * Pledges are requested after a failed write, and also before the next one: a write that gets no answer would leave
     * no time for them.
     */
    private suspend fun renew(step: LeaseStep.Write) {
        if (isStoreUnavailable) requestPledges(step)
        write(step)
        if (isStoreUnavailable) requestPledges(step)
    }

    private suspend fun requestPledges(step: LeaseStep.Write) {
        val since = suspendAwareClock.now()
        // A takeover that was not written cannot be extended by pledges.
        if (lease.token(since) != step.record.token) return
        if (dependencies.requestPledges(step.record.token)) lease.pledged(since)
    }

    private suspend fun read(isFresh: Boolean) {
        store.readLease(name, isFresh).onRight { stored ->
            val isNewEra =
                lease.seen(stored.record, stored.position, isFresh, clock.now(), suspendAwareClock.now())
            if (isNewEra) logNewEra(stored)
        }
    }

    private fun logNewEra(stored: StoredLease) {
        val held = token()?.let { "kept with token $it" } ?: "not held"
        logger.info(
            "lease: {} {}, read again in era {} of the store: {}",
            name,
            held,
            stored.position.era,
            stored.record,
        )
    }

    private suspend fun write(step: LeaseStep.Write) {
        val since = clock.now()
        val actingSince = suspendAwareClock.now()
        val isNew = lease.token(actingSince) == null
        val answer = withTimeoutOrNull(WRITE_TIMEOUT) { store.writeLease(name, step.record, step.expected) }
        (answer ?: StoreError.Unanswered("no answer within $WRITE_TIMEOUT").left()).fold(
            { error ->
                isRenewed = false
                val isOutage = error is StoreError.Unavailable || error is StoreError.Unanswered
                if (!isStoreUnavailable || !isOutage) logger.info("lease: {} not written: {}", name, error.message)
                isStoreUnavailable = isOutage
                if (!isStoreUnavailable || isNew) read(isFresh = true)
            },
            { position ->
                isStoreUnavailable = false
                isRenewed = lease.written(step.record, position, since, actingSince)
                if (!isRenewed) read(isFresh = true)
                if (isRenewed && isNew) logger.info("lease: {} held with token {}", name, step.record.token)
            },
        )
    }

    private companion object {
        val logger = LogManager.getLogger(LeaseTask::class.java)

        /**
         * Longest time for a write. Together with the renewal interval it leaves time to request pledges before the
         * lease expires.
         */
        val WRITE_TIMEOUT = 700.milliseconds

        /**
         * Time after which a holder tries again to renew its lease. Together with the longest call it is shorter than
         * the time for which a holder may act without a renewal or pledges.
         */
        val RETRY_INTERVAL = 150.milliseconds
    }
}
