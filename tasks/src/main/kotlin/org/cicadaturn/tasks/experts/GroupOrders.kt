package org.cicadaturn.tasks.experts

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.MapVersions
import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.PlacementPlan
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.decisions.experts.StepEstimate
import org.cicadaturn.decisions.experts.SwitchPhase
import org.cicadaturn.decisions.experts.after
import org.cicadaturn.decisions.experts.orders
import org.cicadaturn.decisions.experts.reported
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Version that a group uses from pass [step] on. */
internal data class Switched(
    val version: Long,
    val step: Long,
)

/** Carries out the phases of switches at the ranks of [group]. */
internal class GroupOrders(
    private val group: Group,
    private val calls: RankClient,
    private val lease: Lease,
    private val clock: Clock,
    private val versions: MapVersions,
) {
    /** Token that the last order carried; a switch that is under way is finished with it. */
    private var token = 0L

    /** How long answers of ranks are waited for, where one was too late. */
    private val patiences = HashMap<Int, Duration>()

    /** Time until which orders are taken to be lost now and then. */
    private var lossyUntil = Instant.DISTANT_PAST

    /**
     * Switches the group from [version] to the map of [plan] and returns the new version with the pass from which it
     * is in use, or null if that is not certain; [steps] tells the passes.
     */
    suspend fun switch(
        plan: PlacementPlan,
        version: Long,
        steps: StepEstimate,
    ): Switched? {
        token = lease.token() ?: return null
        val new = versions.next(token, version)
        val all = group.ranks.keys.toSet()
        if (!prepare(SwitchPhase.Preparing(new, plan.map, all), plan.newExperts)) return null
        // The group waits at the held pass for lost arms, so that pass comes later where orders are being lost.
        val ahead = if (clock.now() < lossyUntil) STEPS_AHEAD_IF_LOSSY else 1
        val first = steps.at(clock.now()) + ahead
        // A hold for a pass that has begun is refused at once, so the first pass that can be held is searched.
        for (next in first..first + MOST_STEPS_AHEAD) {
            if (lease.token() != token) return null
            val holding = SwitchPhase.Holding(new, next, HOLDER, all)
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

    /** Has [newExperts] copied by each rank and returns true once all have confirmed. */
    private suspend fun prepare(
        start: SwitchPhase.Preparing,
        newExperts: List<Int>,
    ): Boolean {
        val latest = clock.now() + PREPARE_TIME
        val answers =
            coroutineScope {
                start
                    .orders()
                    .map { (rank, order) -> async { rank to prepareRank(rank, order, newExperts[rank], latest) } }
                    .awaitAll()
                    .toMap()
            }
        var phase: SwitchPhase = start
        answers.forEach { (rank, answer) -> phase = phase.after(rank, start.orders().getValue(rank), answer) }
        if (phase == SwitchPhase.Abandoned) lease.forfeit()
        var left = phase as? SwitchPhase.Preparing ?: return false
        // A rank that has the copies may refuse the same version as no higher one; its report tells.
        if (answers.containsValue(OrderAnswer.REFUSED)) left = left.reported(states() ?: return false)
        if (left.missing.isNotEmpty()) logger.info("experts: {} not prepared: {}", group.name, answers)
        return left.missing.isEmpty()
    }

    /** Repeats [order] until [rank] has copied its new experts or refuses. */
    private suspend fun prepareRank(
        rank: Int,
        order: RankOrder,
        newExperts: Int,
        latest: Instant,
    ): OrderAnswer {
        var wait = group.profile.copyTime * newExperts
        while (true) {
            val answer = send(rank, order)
            val isOpen = answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.LOST
            if (!isOpen || lease.token() != token || clock.now() >= latest) return answer
            if (answer == OrderAnswer.LOST) {
                delay(LOST_INTERVAL)
            } else {
                delay(wait)
                wait = REPEAT_INTERVAL
            }
        }
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
                if (failures % CHECK_EVERY == 0 && isOver(phase)) return SwitchPhase.Abandoned
                delay(REPEAT_INTERVAL)
            }
        }
        if (phase == SwitchPhase.Abandoned) lease.forfeit()
        return phase
    }

    /** Tells whether the group has a new epoch, or has begun the pass, as another process has finished the switch. */
    private suspend fun isOver(phase: SwitchPhase): Boolean {
        val states = gather(group.ranks.values.toList()) { calls.report(it) }.values.map { it.state }
        if (states.any { it.epoch != group.epoch }) return true
        val step = (phase as? SwitchPhase.Arming)?.step ?: return false
        return states.size == group.ranks.size && states.all { it.step >= step }
    }

    private suspend fun send(phase: SwitchPhase): Map<Int, OrderAnswer> =
        coroutineScope {
            phase
                .orders()
                .map { (rank, order) -> async { rank to send(rank, order) } }
                .awaitAll()
                .toMap()
        }

    private suspend fun send(
        rank: Int,
        order: RankOrder,
    ): OrderAnswer {
        val patience = patiences[rank] ?: LEAST_PATIENCE
        val answer = calls.order(group.ranks.getValue(rank), order, group.epoch, token, patience)
        if (answer == OrderAnswer.LOST) {
            lossyUntil = clock.now() + LOSSY_TIME
            patiences[rank] = minOf(patience * 2, MOST_PATIENCE)
        }
        return answer
    }

    companion object {
        private val logger = LogManager.getLogger(GroupOrders::class.java)

        /** Rank that holds the group; any would do. */
        const val HOLDER = 0

        /** Passes that may have begun since the last known one. */
        private const val MOST_STEPS_AHEAD = 40
        private const val CHECK_EVERY = 5

        /** Two passes more than without losses: a lost arm is sent again within the time of one. */
        private const val STEPS_AHEAD_IF_LOSSY = 3

        /** An order is answered in a round trip of a few milliseconds, unless the rank is slow. */
        private val LEAST_PATIENCE = 60.milliseconds
        private val MOST_PATIENCE = 500.milliseconds

        /** Losses come in spells of seconds. */
        private val LOSSY_TIME = 5.seconds

        private val HOLD_TIME = 2.seconds
        private val PREPARE_TIME = 6.seconds
        private val REPEAT_INTERVAL = 40.milliseconds

        /** A lost order has waited for its answer already; keeps one that fails at once from being sent in a loop. */
        private val LOST_INTERVAL = 10.milliseconds
    }
}
