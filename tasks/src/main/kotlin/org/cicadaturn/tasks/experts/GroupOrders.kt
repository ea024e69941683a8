package org.cicadaturn.tasks.experts

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.ExpertMap
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
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Carries out the phases of switches at the ranks of [group]. */
internal class GroupOrders(
    private val group: Group,
    private val calls: RankCalls,
    private val lease: Lease,
    private val clock: Clock,
) {
    /** Token that the last order carried; a switch that is under way is finished with it. */
    private var token = 0L
    private var nextVersion = 0L
    private var paceMark: PaceMark? = null

    private class PaceMark(
        val step: Long,
        val at: Instant,
    )

    /** Switches the group from [version] to [map]; returns the new version, or null if that is not certain. */
    suspend fun switch(
        map: ExpertMap,
        version: Long,
        copies: Int,
    ): Long? {
        token = lease.token() ?: return null
        nextVersion = maxOf(nextVersion + 1, version + 1, token * VERSIONS_PER_TOKEN)
        val new = nextVersion
        val states = prepare(SwitchPhase.Preparing(new, map, group.ranks.keys.toSet()), copies) ?: return null
        val ahead = stepsAhead(states)
        repeat(HOLD_ATTEMPTS) { attempt ->
            if (lease.token() != token) return null
            val step = states.values.maxOf { it.step } + ahead + attempt
            val holding = SwitchPhase.Holding(new, step, HOLDER, group.ranks.keys.toSet())
            val held = run(holding, HOLD_TIME) { it is SwitchPhase.Holding }
            if (held is SwitchPhase.Arming) {
                // Between the hold and here this process may have been suspended and replaced.
                if (lease.token() != token) return null
                return if (finish(held) && settle(new)) new else null
            }
            if (held is SwitchPhase.Abandoned) return null
        }
        return null
    }

    /** Waits until the pass of the switch has begun; all ranks switch at the same one, so one is asked. */
    private suspend fun settle(version: Long): Boolean {
        val latest = clock.now() + SETTLE_TIME
        while (clock.now() < latest) {
            delay(REPORT_INTERVAL)
            val report = calls.report(group.ranks.getValue(HOLDER)) ?: return false
            if (report.state.epoch != group.epoch) return false
            if (report.state.map == version) return true
        }
        return false
    }

    /** Returns the passes that are likely to have begun since the reports, and the one that can still be held. */
    private fun stepsAhead(states: Map<Int, RankState>): Long {
        val step = states.values.maxOf { it.step }
        val now = clock.now()
        val before = paceMark
        paceMark = PaceMark(step, now)
        if (before == null || now - before.at < LEAST_PACE_TIME || step <= before.step) return 1
        val perSecond = (step - before.step) / (now - before.at).toDouble(DurationUnit.SECONDS)
        return (perSecond * group.profile.reportLag.toDouble(DurationUnit.SECONDS)).toLong() + 1
    }

    /** Finishes what can only go forward; returns false if the group has a new epoch or another process leads. */
    suspend fun finish(phase: SwitchPhase): Boolean {
        if (token == 0L) token = lease.token() ?: return false
        return run(phase, Duration.INFINITE) { true } == SwitchPhase.Done
    }

    /** Sends the copies and waits until every rank has them; returns the last reports, or null if given up. */
    private suspend fun prepare(
        start: SwitchPhase.Preparing,
        copies: Int,
    ): Map<Int, RankState>? {
        var phase = start
        val latest = clock.now() + PREPARE_TIME
        val first = send(phase)
        if (first.values.any { it == OrderAnswer.FENCED }) return null.also { lease.forfeit() }
        if (first.values.any { it == OrderAnswer.REFUSED }) {
            logger.info("experts: {} refused to copy version {} at {}", group.name, start.version, first)
            return null
        }
        delay(group.profile.copyTime * copies)
        while (clock.now() < latest) {
            if (lease.token() != token) return null
            val states = states() ?: return null
            phase = phase.reported(states)
            if (phase.missing.isEmpty()) return states
            val lost = phase.missing.filter { first[it] == OrderAnswer.LOST }.toSet()
            if (lost.isNotEmpty()) send(phase.copy(missing = lost))
            delay(REPORT_INTERVAL)
        }
        logger.info("experts: {} did not copy version {} in time", group.name, start.version)
        return null
    }

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

    private companion object {
        val logger = LogManager.getLogger(GroupOrders::class.java)

        /** Versions of different leaders never meet. */
        const val VERSIONS_PER_TOKEN = 10_000L

        /** Rank that holds the group; any would do. */
        const val HOLDER = 0

        /** A hold for a pass that has begun is refused at once, so the next one is tried. */
        const val HOLD_ATTEMPTS = 12
        const val CHECK_EVERY = 5

        val LEAST_PACE_TIME = 300.milliseconds
        val SETTLE_TIME = 4.seconds
        val HOLD_TIME = 2.seconds
        val PREPARE_TIME = 6.seconds
        val REPORT_INTERVAL = 100.milliseconds
        val REPEAT_INTERVAL = 60.milliseconds
    }
}
