package org.cicadaturn.tasks.experts

import arrow.core.left
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.LeaseStep
import org.cicadaturn.decisions.experts.LeaseTimes
import org.cicadaturn.decisions.experts.PlacementLease
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Right of this process to act alone. */
public interface Lease {
    /** Fencing token while this process may act, else null. */
    public fun token(): Long?

    /** Gives the right up, as another process has a higher token. */
    public fun forfeit()

    /** Promises the holder of [token] not to take the lease over for a while; returns whether it is promised. */
    public fun pledge(token: Long): Boolean

    /** Gives the right up for good, as this process ends. */
    public fun release()
}

/**
 * Parts of the task that keeps a lease.
 *
 * @property name name of the lease in the store
 * @property lookInterval time between looks at a lease that another process holds
 * @property pledges asks all other processes to pledge for a token; returns true if each of them has
 * @property clock steady clock
 * @property suspendAwareClock clock that also advances while the machine is suspended
 */
public class LeaseParts(
    public val store: FleetStore,
    public val name: String,
    public val lookInterval: Duration,
    public val pledges: suspend (Long) -> Boolean,
    public val clock: Clock,
    public val suspendAwareClock: Clock,
    public val times: LeaseTimes = LeaseTimes(),
)

/** Starts a task in [scope] that takes and renews [lease]. */
public fun startLease(
    scope: CoroutineScope,
    lease: PlacementLease,
    parts: LeaseParts,
): Lease {
    val task = LeaseTask(lease, parts)
    scope.launch { task.keep() }
    return task
}

private class LeaseTask(
    private val lease: PlacementLease,
    private val parts: LeaseParts,
) : Lease {
    private val store = parts.store
    private val name = parts.name
    private val clock = parts.clock
    private val suspendAwareClock = parts.suspendAwareClock

    /** True after a write without an answer; the others are then asked for pledges as well. */
    private var isStoreAway = false
    private var isLeaving = false

    override fun token(): Long? = lease.token(suspendAwareClock.now())

    override fun forfeit() {
        logger.warn("lease: {} given up", name)
        lease.forfeit()
    }

    override fun pledge(token: Long): Boolean = lease.pledge(token, clock.now())

    override fun release() {
        isLeaving = true
    }

    suspend fun keep() {
        while (true) {
            // Without the store nobody could take it over.
            if (isLeaving && !isStoreAway) lease.release()
            val step = lease.next(clock.now())
            when (step) {
                // An old record only delays a takeover: the write is conditional.
                LeaseStep.Read -> look(isFresh = false)
                is LeaseStep.Write -> renew(step)
            }
            // What was read may allow a takeover now, as after a restart of the holder.
            val isDue = step == LeaseStep.Read && lease.next(clock.now()) is LeaseStep.Write
            if (!isDue) delay(interval(step))
        }
    }

    private fun interval(step: LeaseStep): Duration =
        when {
            isStoreAway && token() != null -> RETRY_INTERVAL
            step is LeaseStep.Write -> parts.times.renewal
            else -> parts.lookInterval
        }

    /**
     * Writes the lease; while the store is away, a holder goes on as long as every other process pledges.
     *
     * Pledges are asked for before a write to a store that may be silent, as it leaves no time after it, and after a
     * write that failed.
     */
    private suspend fun renew(step: LeaseStep.Write) {
        if (isStoreAway) askForPledges(step)
        write(step)
        if (isStoreAway) askForPledges(step)
    }

    private suspend fun askForPledges(step: LeaseStep.Write) {
        val since = suspendAwareClock.now()
        // A takeover that was not written is no right that could be pledged for.
        if (lease.token(since) != step.record.token) return
        if (parts.pledges(step.record.token)) lease.pledged(since)
    }

    private suspend fun look(isFresh: Boolean) {
        store.readLease(name, isFresh).onRight { stored ->
            lease.seen(stored?.record, stored?.revision ?: 0L, clock.now())
        }
    }

    private suspend fun write(step: LeaseStep.Write) {
        val since = clock.now()
        val actingSince = suspendAwareClock.now()
        val isNew = lease.token(actingSince) == null
        val answer = withTimeoutOrNull(WRITE_TIME) { store.writeLease(name, step.record, step.expected) }
        (answer ?: StoreError.Unanswered("no answer within $WRITE_TIME").left()).fold(
            { error ->
                val isNews = !isStoreAway || error is StoreError.Conflict
                if (isNews) logger.info("lease: {} not written: {}", name, error.message)
                isStoreAway = error !is StoreError.Conflict
                if (error is StoreError.Conflict) lease.forfeit()
                if (!isStoreAway || isNew) look(isFresh = true)
            },
            { revision ->
                isStoreAway = false
                lease.written(step.record, revision, since, actingSince)
                if (isNew) logger.info("lease: {} held with token {}", name, step.record.token)
            },
        )
    }

    private companion object {
        val logger = LogManager.getLogger(LeaseTask::class.java)

        /** With the renewal interval, short enough that pledges can be asked for while the holder may still act. */
        val WRITE_TIME = 700.milliseconds

        /** With the longest call, less than the time for which a holder may act without a renewal or pledges. */
        val RETRY_INTERVAL = 150.milliseconds
    }
}
