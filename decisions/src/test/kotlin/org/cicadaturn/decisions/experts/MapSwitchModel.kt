package org.cicadaturn.decisions.experts

/**
 * Model of a rank according to the platform's description.
 *
 * @property map version of the map that is in use
 * @property highest highest version that was prepared
 * @property prepared version whose experts have been copied; null if none
 * @property armed version that the rank is going to switch to, and the pass at which it does; null if none
 * @property held pass that the rank keeps the group from beginning; null if none
 * @property fence highest fencing token of an executed order
 */
internal data class ModelRank(
    val map: Long = 0,
    val highest: Long = 0,
    val prepared: Long? = null,
    val armed: Pair<Long, Long>? = null,
    val held: Long? = null,
    val fence: Long = 0,
)

/** Order that was sent and may still be carried out. */
internal data class PendingOrder(
    val rank: Int,
    val order: RankOrder,
    val epoch: Int,
    val token: Long,
)

/** Process that leads the group; with a null [phase] it reads the state of the group next. */
internal data class ModelLeader(
    val token: Long,
    val phase: SwitchPhase? = null,
    val version: Long = 0,
    val epoch: Int = 0,
)

/** Rules of a switch, which the exploration can replace with faulty ones. */
internal class SwitchRules(
    val after: (SwitchPhase, Int, RankOrder, OrderAnswer) -> SwitchPhase = { p, r, o, a -> p.after(r, o, a) },
    val resume: (Map<Int, RankState>) -> SwitchPhase? = ::interruptedSwitch,
    val holds: Boolean = true,
)

/** State of a model of three ranks with up to two leaders and the orders in flight. */
internal data class SwitchModel(
    val ranks: List<ModelRank> = List(RANKS) { ModelRank() },
    val step: Long = 0,
    val epoch: Int = 0,
    val pending: Set<PendingOrder> = emptySet(),
    val leaders: List<ModelLeader> = listOf(ModelLeader(1)),
    val restarts: Int = 0,
) {
    /** True if a pass has begun with two maps. */
    val isBroken: Boolean get() = ranks.map { it.map }.toSet().size > 1

    fun states(): Map<Int, RankState> =
        ranks.withIndex().associate { (i, r) ->
            i to RankState(epoch.toLong(), step, r.map, r.prepared, r.armed?.first, r.held)
        }

    /** Returns the states that can follow this one. */
    fun next(rules: SwitchRules): List<SwitchModel> =
        buildList {
            if (step < MAX_STEPS && ranks.none { it.held == step + 1 }) add(nextPass())
            pending.forEach { add(copy(pending = pending - it).carriedOut(it).first) }
            if (restarts < 1) add(restarted())
            if (leaders.size == 1) add(takenOver())
            leaders.indices.forEach { addAll(ledBy(it, rules)) }
        }

    private fun nextPass(): SwitchModel {
        val begun = step + 1
        val switched =
            ranks.map { r ->
                if (r.armed?.second == begun) r.copy(map = r.armed.first, armed = null, prepared = null) else r
            }
        return copy(step = begun, ranks = switched)
    }

    /** Returns the state after a restart of the group in which rank 0 was replaced by a new process. */
    private fun restarted(): SwitchModel =
        copy(
            ranks =
                ranks.mapIndexed { i, r ->
                    if (i == 0) ModelRank() else ModelRank(highest = r.highest, fence = r.fence)
                },
            epoch = epoch + 1,
            restarts = restarts + 1,
        )

    /** The older leader, whose lease has expired, may act only in phases in which the switch can only go forward. */
    private fun takenOver(): SwitchModel {
        val old = leaders.single()
        val stays = old.phase is SwitchPhase.Arming || old.phase is SwitchPhase.Releasing
        val left = if (stays) old else old.copy(phase = SwitchPhase.Abandoned)
        return copy(leaders = listOf(left, ModelLeader(2)))
    }

    private fun ledBy(
        index: Int,
        rules: SwitchRules,
    ): List<SwitchModel> {
        val leader = leaders[index]
        return when (val phase = leader.phase) {
            null -> listOf(withLeader(index, afterRead(leader, rules)))
            SwitchPhase.Done -> listOf(withLeader(index, leader.copy(phase = null)))
            SwitchPhase.Abandoned -> emptyList()
            is SwitchPhase.Preparing -> prepared(index, leader, phase, rules) + sent(index, leader, phase, rules)
            else -> sent(index, leader, phase, rules)
        }
    }

    private fun afterRead(
        leader: ModelLeader,
        rules: SwitchRules,
    ): ModelLeader {
        val left = rules.resume(states())
        if (left != null) return leader.copy(phase = left, epoch = epoch)
        val version = maxOf(leader.version, leader.token * 10) + 1
        if (version > leader.token * 10 + MAX_SWITCHES) return leader.copy(phase = SwitchPhase.Abandoned)
        val phase = SwitchPhase.Preparing(version, ExpertMap(emptyList()), ranks.indices.toSet())
        return leader.copy(phase = phase, version = version, epoch = epoch)
    }

    private fun prepared(
        index: Int,
        leader: ModelLeader,
        phase: SwitchPhase.Preparing,
        rules: SwitchRules,
    ): List<SwitchModel> {
        if (leader.epoch != epoch) return listOf(withLeader(index, leader.copy(phase = null)))
        val reported = phase.reported(states())
        if (reported.missing.isNotEmpty()) return emptyList()
        return (1L..2L).map { ahead ->
            val all = ranks.indices.toSet()
            val next =
                if (rules.holds) {
                    SwitchPhase.Holding(phase.version, step + ahead, 0, all)
                } else {
                    SwitchPhase.Arming(phase.version, step + ahead, 0, all)
                }
            withLeader(index, leader.copy(phase = next))
        }
    }

    /** Each order is carried out and answered, carried out without an answer, or may be carried out later. */
    private fun sent(
        index: Int,
        leader: ModelLeader,
        phase: SwitchPhase,
        rules: SwitchRules,
    ): List<SwitchModel> =
        phase.orders().flatMap { (rank, order) ->
            val sent = PendingOrder(rank, order, leader.epoch, leader.token)
            val (done, answer) = carriedOut(sent)
            val answered = done.withLeader(index, leader.copy(phase = rules.after(phase, rank, order, answer)))
            val lost = done.withLeader(index, leader.copy(phase = rules.after(phase, rank, order, OrderAnswer.LOST)))
            val delayed = if (pending.size < MAX_PENDING) listOf(copy(pending = pending + sent)) else emptyList()
            listOf(answered, lost) + delayed
        }

    private fun withLeader(
        index: Int,
        leader: ModelLeader,
    ): SwitchModel {
        // The leader learns of a new epoch from refusals and starts again.
        val isOutdated = leader.epoch != epoch && leader.phase != SwitchPhase.Abandoned
        val current = if (isOutdated) leader.copy(phase = null) else leader
        return copy(leaders = leaders.mapIndexed { i, l -> if (i == index) current else l })
    }

    private fun carriedOut(sent: PendingOrder): Pair<SwitchModel, OrderAnswer> {
        if (sent.epoch != epoch) return this to OrderAnswer.REFUSED
        val rank = ranks[sent.rank]
        if (sent.token < rank.fence) return this to OrderAnswer.FENCED
        val fenced = rank.copy(fence = sent.token)
        val next = applied(fenced, sent.order) ?: return this to OrderAnswer.REFUSED
        return copy(ranks = ranks.mapIndexed { i, r -> if (i == sent.rank) next else r }) to answerFor(rank, sent.order)
    }

    private fun answerFor(
        before: ModelRank,
        order: RankOrder,
    ): OrderAnswer {
        val isDone = order is RankOrder.Prepare && before.prepared == order.version
        return if (isDone) OrderAnswer.DONE else OrderAnswer.ACCEPTED
    }

    private fun applied(
        rank: ModelRank,
        order: RankOrder,
    ): ModelRank? =
        when (order) {
            is RankOrder.Prepare ->
                rank
                    .copy(prepared = order.version, highest = order.version)
                    .takeIf { order.version > rank.highest && rank.armed == null }
                    ?: rank.takeIf { rank.prepared == order.version }
            is RankOrder.Arm ->
                rank.takeIf { rank.armed == order.version to order.step }
                    ?: rank
                        .copy(armed = order.version to order.step)
                        .takeIf { rank.prepared == order.version && rank.armed == null && order.step > step }
            is RankOrder.Hold ->
                rank.takeIf { rank.held == order.step }
                    ?: rank.copy(held = order.step).takeIf { rank.held == null && order.step > step }
            is RankOrder.Release -> rank.copy(held = null).takeIf { rank.held == order.step }
        }

    internal companion object {
        const val RANKS = 3
        const val MAX_STEPS = 4L
        const val MAX_PENDING = 2
        const val MAX_SWITCHES = 1
    }
}
