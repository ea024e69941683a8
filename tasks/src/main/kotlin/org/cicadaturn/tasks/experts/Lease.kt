package org.cicadaturn.tasks.experts

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.LeaseStep
import org.cicadaturn.decisions.experts.LeaseTimes
import org.cicadaturn.decisions.experts.PlacementLease
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock

/** Right of this process to act alone. */
public interface Lease {
    /** Fencing token while this process may act, else null. */
    public fun token(): Long?

    /** Gives the right up, as another process has a higher token. */
    public fun forfeit()
}

/**
 * Starts a task in [scope] that takes and renews the lease [name] in [store].
 *
 * @param clock steady clock
 * @param cautious clock that also counts the time for which a machine was suspended
 */
public fun startLease(
    scope: CoroutineScope,
    store: FleetStore,
    name: String,
    lease: PlacementLease,
    clock: Clock,
    cautious: Clock,
    times: LeaseTimes = LeaseTimes(),
): Lease {
    val task = LeaseTask(store, name, lease, clock, cautious, times)
    scope.launch { task.keep() }
    return task
}

private class LeaseTask(
    private val store: FleetStore,
    private val name: String,
    private val lease: PlacementLease,
    private val clock: Clock,
    private val cautious: Clock,
    private val times: LeaseTimes,
) : Lease {
    override fun token(): Long? = lease.token(cautious.now())

    override fun forfeit() {
        logger.warn("lease: {} given up", name)
        lease.forfeit()
    }

    suspend fun keep() {
        while (true) {
            val step = lease.next(clock.now())
            when (step) {
                // An old record only delays a takeover: the write is conditional.
                LeaseStep.Look -> look(isFresh = false)
                is LeaseStep.Write -> write(step)
            }
            // What was read may allow a takeover now, as after a restart of the holder.
            val isDue = step == LeaseStep.Look && lease.next(clock.now()) is LeaseStep.Write
            if (!isDue) delay(times.renewal)
        }
    }

    private suspend fun look(isFresh: Boolean) {
        store.readLease(name, isFresh).onRight { stored ->
            lease.seen(stored?.record, stored?.revision ?: 0L, clock.now())
        }
    }

    private suspend fun write(step: LeaseStep.Write) {
        val since = clock.now()
        val actingSince = cautious.now()
        val isNew = lease.token(actingSince) == null
        store.writeLease(name, step.record, step.expected).fold(
            { error ->
                logger.info("lease: {} not written: {}", name, error.message)
                if (error is StoreError.Conflict) lease.forfeit()
                look(isFresh = true)
            },
            { revision ->
                lease.written(step.record, revision, since, actingSince)
                if (isNew) logger.info("lease: {} held with token {}", name, step.record.token)
            },
        )
    }

    private companion object {
        val logger = LogManager.getLogger(LeaseTask::class.java)
    }
}
