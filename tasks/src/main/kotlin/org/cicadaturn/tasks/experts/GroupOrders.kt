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

/** Map version that a group uses from pass [step] on. */
internal data class SwitchResult(
    val version: Long,
    val step: Long,
)

/** Sends the orders of map switches to the ranks of [group]. */
internal class GroupOrders(
    private val group: Group,
    private val client: RankClient,
    private val lease: Lease,
    private val clock: Clock,
    private val versions: MapVersions,
) {
    /** Fencing token of the switch in progress; all orders of a switch carry the same token. */
    private var token = 0L

    /** Answer timeouts of ranks that once did not answer in time. */
    private val timeouts = HashMap<Int, Duration>()

    /** Unused connections for the orders that follow a hold, by rank. */
    private val connections = HashMap<Int, ArrayDeque<OrderConnection>>()

    /** Time until which further orders are expected to be lost. */
    private var lossExpectedUntil = Instant.DISTANT_PAST

    /**
     * Switches the group from [version] to the map of [plan] and returns the new version with the pass from which it
     * is in use, or null if it is not certain that the group switches. [steps] estimates the current pass.
     */
    suspend fun switch(
        plan: PlacementPlan,
        version: Long,
        steps: StepEstimate,
    ): SwitchResult? {
        val new = nextVersion(version) ?: return null
        val all = group.ranks.keys.toSet()
        if (!prepare(SwitchPhase.Preparing(new, plan.map, all), plan.newExperts)) return null
        // The queues of a held group grow, and a rank with a long queue resets new connections. An order that it could
        // not be sent then would leave the group held.
        try {
            return if (openConnections()) holdAndArm(new, all, steps) else null
        } finally {
            closeConnections()
        }
    }

    private suspend fun holdAndArm(
        new: Long,
        all: Set<Int>,
        steps: StepEstimate,
    ): SwitchResult? {
        // The group waits at the held pass until all ranks are armed. While orders are likely to be lost,
        // a later pass is held, which leaves time to repeat them.
        val ahead = if (clock.now() < lossExpectedUntil) STEPS_AHEAD_ON_LOSS else 1
        val first = steps.at(clock.now()) + ahead
        // A hold for a pass that has begun is refused at once, so later passes are tried until one can be held.
        for (next in first..first + MAX_STEPS_AHEAD) {
            if (lease.token() != token) return null
            val holding = SwitchPhase.Holding(new, next, HOLDER, all)
            val held = run(holding, HOLD_TIMEOUT) { it is SwitchPhase.Holding }
            if (held is SwitchPhase.Arming) {
                // This process may have been suspended since the hold, and another process may hold the lease.
                if (lease.token() != token) return null
                return if (finish(held)) SwitchResult(new, next) else null
            }
            if (held != SwitchPhase.Done) return null
        }
        return null
    }

    /** Takes the fencing token for a switch from version [inUse] and returns the new version; null if there is none. */
    private fun nextVersion(inUse: Long): Long? {
        token = lease.token() ?: return null
        val version = versions.next(token, inUse)
        if (version == null) {
            logger.warn("experts: {} keeps map {}, as token {} has no versions left", group.name, inUse, token)
            // The next holder, which may be this process, has a higher token.
            lease.forfeit()
        }
        return version
    }

    /** Opens the connections for the orders that follow a hold; returns false if a rank accepts none. */
    private suspend fun openConnections(): Boolean {
        if (!group.ranks.keys.all { open(it) }) return false
        // The holder receives the order to arm and the release.
        return open(HOLDER)
    }

    private suspend fun open(rank: Int): Boolean {
        val connection = client.connect(group.ranks.getValue(rank), CONNECT_TIMEOUT)
        if (connection == null) logger.info("experts: {} not switched: rank {} accepts no connection", group.name, rank)
        connection?.let { connections.getOrPut(rank, ::ArrayDeque).addLast(it) }
        return connection != null
    }

    private fun closeConnections() {
        connections.values.flatten().forEach { it.close() }
        connections.clear()
    }

    /** Completes a switch that cannot be undone; returns false if it was abandoned or the lease is not held. */
    suspend fun finish(phase: SwitchPhase): Boolean {
        if (token == 0L) token = lease.token() ?: return false
        return run(phase, Duration.INFINITE) { true } == SwitchPhase.Done
    }

    /** Makes each rank copy its [newExperts] and returns true if all of them have confirmed. */
    private suspend fun prepare(
        start: SwitchPhase.Preparing,
        newExperts: List<Int>,
    ): Boolean {
        val latest = clock.now() + PREPARE_TIMEOUT
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
        var remaining = phase as? SwitchPhase.Preparing ?: return false
        // A rank that already has the copies may refuse a repeated order for the same version; its report shows them.
        if (answers.containsValue(OrderAnswer.REFUSED)) remaining = remaining.reported(states() ?: return false)
        if (remaining.missing.isNotEmpty()) {
            logger.info(
                "experts: {} not prepared, answers by rank: {}",
                group.name,
                answers,
            )
        }
        return remaining.missing.isEmpty()
    }

    /** Repeats [order] until [rank] has copied its new experts or refuses, or until [latest]. */
    private suspend fun prepareRank(
        rank: Int,
        order: RankOrder,
        newExperts: Int,
        latest: Instant,
    ): OrderAnswer {
        var wait = group.profile.copyTime * newExperts
        while (true) {
            val answer = send(rank, order)
            val isPending = answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.LOST
            if (!isPending || lease.token() != token || clock.now() >= latest) return answer
            if (answer == OrderAnswer.LOST) {
                delay(RETRY_INTERVAL_AFTER_LOSS)
            } else {
                delay(wait)
                wait = REPEAT_INTERVAL
            }
        }
    }

    /** Returns the state of every rank, or null if one does not answer or the epoch has changed. */
    private suspend fun states(): Map<Int, RankState>? {
        val reports = reports(isFresh = false)
        val areComplete =
            reports.size == group.ranks.size && reports.all { (rank, report) -> group.isReportOf(rank, report) }
        if (!areComplete || reports.values.any { !it.isOpen || it.state.epoch != group.epoch }) return null
        return reports.mapValues { it.value.state }
    }

    /**
     * Sends the orders of a phase and of those that follow it, until the switch is done or abandoned, [mayContinue]
     * returns false or [limit] has passed; returns the phase reached.
     */
    private suspend fun run(
        start: SwitchPhase,
        limit: Duration,
        mayContinue: (SwitchPhase) -> Boolean,
    ): SwitchPhase {
        var phase = start
        val latest = if (limit.isInfinite()) null else clock.now() + limit
        var failures = 0
        while (phase.orders().isNotEmpty() && mayContinue(phase)) {
            if (latest != null && clock.now() >= latest) return phase
            val before = phase
            val sent = phase.orders()
            val answers = send(phase)
            answers.forEach { (rank, answer) -> phase = phase.after(rank, sent.getValue(rank), answer) }
            if (phase == before) {
                failures += 1
                if (failures % FAILURES_BEFORE_LINE == 0) reportDelay(phase, answers, failures)
                if (failures % FAILURES_BEFORE_CHECK == 0 && isOver(phase)) return SwitchPhase.Abandoned
                delay(REPEAT_INTERVAL)
            }
        }
        if (phase == SwitchPhase.Abandoned) lease.forfeit()
        return phase
    }

    /** Logs that no rank has accepted its order in the last rounds: a held group makes no pass meanwhile. */
    private fun reportDelay(
        phase: SwitchPhase,
        answers: Map<Int, OrderAnswer>,
        failures: Int,
    ) = logger.warn(
        "experts: {} {} rounds without progress in {}, last answers: {}",
        group.name,
        failures,
        phase,
        answers,
    )

    /** Returns true if the group has a new epoch or another process has completed the switch. */
    private suspend fun isOver(phase: SwitchPhase): Boolean {
        // An earlier report may be of an earlier epoch, and giving the switch up for it would leave the group held.
        val reports = reports(isFresh = true)
        // The ranks of a new epoch may have other numbers.
        if (reports.values.any { it.group == group.name && it.state.epoch != group.epoch }) return true
        val step = (phase as? SwitchPhase.Arming)?.step ?: return false
        return group.ranks.keys.all { rank ->
            reports[rank]?.let { group.isReportOf(rank, it) && it.state.step >= step } ?: false
        }
    }

    /** Returns what the endpoint of each rank reports, without those that do not answer. */
    private suspend fun reports(isFresh: Boolean): Map<Int, RankReport> {
        val reports = gather(group.ranks.values.toList()) { client.report(it, isFresh) }
        return group.ranks.mapNotNull { (rank, endpoint) -> reports[endpoint]?.let { rank to it } }.toMap()
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
        val timeout = timeouts[rank] ?: MIN_ANSWER_TIMEOUT
        val isAfterHold = order is RankOrder.Arm || order is RankOrder.Release
        val connection = if (isAfterHold) connections[rank]?.removeFirstOrNull() else null
        val answer =
            connection?.send(order, group.epoch, token, timeout)
                ?: client.order(group.ranks.getValue(rank), order, group.epoch, token, timeout)
        if (answer == OrderAnswer.LOST) {
            lossExpectedUntil = clock.now() + LOSS_PERIOD
            timeouts[rank] = minOf(timeout * 2, MAX_ANSWER_TIMEOUT)
        }
        return answer
    }

    companion object {
        private val logger = LogManager.getLogger(GroupOrders::class.java)

        /** Rank that receives the holds; any rank can hold the group. */
        const val HOLDER = 0

        /** Number of later passes that are tried, as that many may have begun since the last known one. */
        private const val MAX_STEPS_AHEAD = 40

        /** Rounds without progress after which the state of the group is checked. */
        private const val FAILURES_BEFORE_CHECK = 5

        /** Rounds without progress after which a line is logged, and again after as many; about two seconds. */
        private const val FAILURES_BEFORE_LINE = 25

        /** Two passes more than without losses; a lost arm order is sent again within the time of one pass. */
        private const val STEPS_AHEAD_ON_LOSS = 3

        /** Initial answer timeout; an order is answered within a few milliseconds unless the rank is slow. */
        private val MIN_ANSWER_TIMEOUT = 60.milliseconds
        private val MAX_ANSWER_TIMEOUT = 500.milliseconds

        /** Losses occur in bursts that last seconds. */
        private val LOSS_PERIOD = 5.seconds

        private val HOLD_TIMEOUT = 2.seconds

        /** A connection is accepted within milliseconds unless the rank is slow. */
        private val CONNECT_TIMEOUT = 500.milliseconds
        private val PREPARE_TIMEOUT = 6.seconds
        private val REPEAT_INTERVAL = 40.milliseconds

        /**
         * Delay before a lost order is repeated. Such an order has usually waited for its timeout already; the delay
         * prevents a tight loop if sending fails at once.
         */
        private val RETRY_INTERVAL_AFTER_LOSS = 10.milliseconds
    }
}
