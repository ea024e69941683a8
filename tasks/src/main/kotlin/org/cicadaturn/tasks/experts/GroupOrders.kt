package org.cicadaturn.tasks.experts

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.ExpertMap
import org.cicadaturn.decisions.experts.MapVersions
import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.decisions.experts.SwitchPhase
import org.cicadaturn.decisions.experts.after
import org.cicadaturn.decisions.experts.orders
import org.cicadaturn.decisions.experts.reported
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Version that a group uses from pass [step] on. */
internal data class Switched(
    val version: Long,
    val step: Long,
)

/** Carries out the phases of switches at the ranks of [group]. */
internal class GroupOrders(
    private val group: Group,
    private val calls: RankCalls,
    private val lease: Lease,
    private val clock: Clock,
    private val versions: MapVersions,
) {
    /** Token that the last order carried; a switch that is under way is finished with it. */
    private var token = 0L

    /**
     * Switches the group from [version] to [map] and returns the new version with the pass from which it is in use, or
     * null if that is not certain.
     *
     * @param mostCopies experts that the rank with the most has to copy
     * @param step last pass that is known to have begun
     */
    suspend fun switch(
        map: ExpertMap,
        version: Long,
        mostCopies: Int,
        step: Long,
    ): Switched? {
        token = lease.token() ?: return null
        val new = versions.next(token, version)
        if (!prepare(SwitchPhase.Preparing(new, map, group.ranks.keys.toSet()), mostCopies)) return null
        // A hold for a pass that has begun is refused at once, so the first pass that can be held is searched.
        for (next in step + 1..step + MOST_STEPS_AHEAD) {
            if (lease.token() != token) return null
            val holding = SwitchPhase.Holding(new, next, HOLDER, group.ranks.keys.toSet())
            val held = run(holding, HOLD_TIME) { it is SwitchPhase.Holding }
            if (held is SwitchPhase.Arming) {
                // Between the hold and here this process may have been suspended and replaced.
                if (lease.token() != token) return null
                return if (finish(held)) Switched(new, next) else null
            }
            if (held != SwitchPhase.Done) return null
        }
        return null
    }

    /** Finishes what can only go forward; returns false if the group has a new epoch or another process leads. */
    suspend fun finish(phase: SwitchPhase): Boolean {
        if (token == 0L) token = lease.token() ?: return false
        return run(phase, Duration.INFINITE) { true } == SwitchPhase.Done
    }

    /** Sends the copies and returns true once every rank has confirmed them. */
    private suspend fun prepare(
        start: SwitchPhase.Preparing,
        mostCopies: Int,
    ): Boolean {
        val latest = clock.now() + PREPARE_TIME
        var phase: SwitchPhase = start
        var wait = group.profile.copyTime * mostCopies
        while (phase is SwitchPhase.Preparing && phase.missing.isNotEmpty()) {
            if (lease.token() != token || clock.now() >= latest) return false
            val answers = send(phase)
            answers.forEach { (rank, answer) -> phase = phase.after(rank, phase.orders().getValue(rank), answer) }
            val current = phase as? SwitchPhase.Preparing ?: break
            if (answers.values.any { it == OrderAnswer.REFUSED }) {
                // A rank that has the copies may refuse the same version as no higher one; its report tells.
                phase = current.reported(states() ?: return false)
                if (isRefused(phase, answers)) return false.also { logger.info("experts: {} {}", group.name, answers) }
            }
            delay(wait)
            wait = REPEAT_INTERVAL
        }
        if (phase == SwitchPhase.Abandoned) lease.forfeit()
        return phase is SwitchPhase.Preparing
    }

    private fun isRefused(
        phase: SwitchPhase.Preparing,
        answers: Map<Int, OrderAnswer>,
    ): Boolean = phase.missing.any { answers[it] == OrderAnswer.REFUSED }

    /** Returns the state of every rank, or null if one does not answer or the epoch has changed. */
    private suspend fun states(): Map<Int, RankState>? {
        val reports = gather(group.ranks.values.toList()) { calls.report(it) }
        if (reports.size < group.ranks.size) return null
        if (reports.values.any { !it.isOpen || it.state.epoch != group.epoch }) return null
        return reports.values.associate { it.rank to it.state }
    }

    /** Sends the orders of the phase until it is done, abandoned, no longer [goesOn] or [limit] has passed. */
    private suspend fun run(
        start: SwitchPhase,
        limit: Duration,
        goesOn: (SwitchPhase) -> Boolean,
    ): SwitchPhase {
        var phase = start
        val latest = if (limit.isInfinite()) null else clock.now() + limit
        var failures = 0
        while (phase.orders().isNotEmpty() && goesOn(phase)) {
            if (latest != null && clock.now() >= latest) return phase
            val before = phase
            val sent = phase.orders()
            send(phase).forEach { (rank, answer) -> phase = phase.after(rank, sent.getValue(rank), answer) }
            if (phase == before) {
                failures += 1
                if (failures % CHECK_EVERY == 0 && hasNewEpoch()) return SwitchPhase.Abandoned
                delay(REPEAT_INTERVAL)
            }
        }
        if (phase == SwitchPhase.Abandoned) lease.forfeit()
        return phase
    }

    private suspend fun hasNewEpoch(): Boolean {
        val reports = gather(group.ranks.values.toList()) { calls.report(it) }
        return reports.values.any { it.state.epoch != group.epoch }
    }

    private suspend fun send(phase: SwitchPhase): Map<Int, OrderAnswer> =
        coroutineScope {
            phase
                .orders()
                .map { (rank, order) ->
                    async { rank to calls.order(group.ranks.getValue(rank), order, group.epoch, token) }
                }.awaitAll()
                .toMap()
        }

    companion object {
        private val logger = LogManager.getLogger(GroupOrders::class.java)

        /** Rank that holds the group; any would do. */
        const val HOLDER = 0

        /** Passes that may have begun since the last known one. */
        private const val MOST_STEPS_AHEAD = 40
        private const val CHECK_EVERY = 5

        private val HOLD_TIME = 2.seconds
        private val PREPARE_TIME = 6.seconds
        private val REPEAT_INTERVAL = 40.milliseconds
    }
}
