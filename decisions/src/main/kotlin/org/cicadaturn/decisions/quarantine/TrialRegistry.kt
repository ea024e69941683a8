package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.SegmentTrial
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps track of the trials of suspected segments, of which each service should have one at a time. Has one owner and
 * is not safe for concurrent use.
 *
 * A process claims a trial, asks all others and starts it unless one objects. Of two that claim at the same time, the
 * one with the lower identifier goes on. Processes that do not answer are not waited for, so two trials are possible
 * while they cannot reach each other.
 */
public interface TrialRegistry {
    /** Claims the trial for [service] and returns the claim to send, or null if another trial is known. */
    public fun claim(
        service: ServiceId,
        now: Instant,
    ): SegmentTrial?

    /** Returns true and starts the claimed trial if none of [answers] of the other processes objects to it. */
    public fun start(
        service: ServiceId,
        answers: List<SegmentTrial>,
    ): Boolean

    /** Ends the claim or trial of this process for [service]. */
    public fun end(service: ServiceId)

    /** Records [trial] of another process. */
    public fun seen(
        trial: SegmentTrial,
        now: Instant,
    )

    /** Returns the claims and trials of this process. */
    public fun own(): List<SegmentTrial>
}

/** Returns a registry of the process [self] without trials. */
public fun trialRegistry(self: ProcessId): TrialRegistry = ClaimRegistry(self)

private class ClaimRegistry(
    private val self: ProcessId,
) : TrialRegistry {
    private val own = HashMap<ServiceId, SegmentTrial>()
    private val others = HashMap<ServiceId, MutableMap<ProcessId, Instant>>()

    override fun claim(
        service: ServiceId,
        now: Instant,
    ): SegmentTrial? {
        val known = others[service]
        known?.values?.removeIf { now - it >= MAX_TRIAL_TIME }
        if (service in own || !known.isNullOrEmpty()) return null
        return SegmentTrial(self, service, isGranted = false).also { own[service] = it }
    }

    override fun start(
        service: ServiceId,
        answers: List<SegmentTrial>,
    ): Boolean {
        val claim = own[service] ?: return false
        if (answers.any { it.service == service && objects(it) }) {
            own -= service
            return false
        }
        own[service] = claim.copy(isGranted = true)
        return true
    }

    private fun objects(other: SegmentTrial): Boolean =
        other.holder != self && !other.isOver && (other.isGranted || other.holder.text < self.text)

    override fun end(service: ServiceId) {
        own -= service
    }

    override fun seen(
        trial: SegmentTrial,
        now: Instant,
    ) {
        if (trial.holder == self) return
        val known = others.getOrPut(trial.service) { HashMap() }
        if (trial.isOver) known -= trial.holder else known[trial.holder] = now
    }

    override fun own(): List<SegmentTrial> = own.values.toList()

    private companion object {
        /** Longest time for which another process's trial is respected; covers a wait, a stall and the first events. */
        val MAX_TRIAL_TIME = 4.seconds
    }
}
