package org.cicadaturn.decisions.experts

/**
 * State that a rank reports.
 *
 * @property epoch epoch of the group; a new one begins when the group restarts
 * @property step number of the last pass that the group has begun
 * @property map version of the map that is in use
 * @property prepared version whose experts have been copied; null if none
 * @property armed version that the rank is going to switch to; null if none
 * @property held pass that the rank keeps the group from beginning; null if none
 */
public data class RankState(
    val epoch: Long,
    val step: Long,
    val map: Long,
    val prepared: Long?,
    val armed: Long?,
    val held: Long?,
)

/** Order to a rank. */
public sealed interface RankOrder {
    /** Copies the experts of [map] and prepares the map as [version]. */
    public data class Prepare(
        val version: Long,
        val map: ExpertMap,
    ) : RankOrder

    /** Switches to [version] when pass [step] begins. */
    public data class Arm(
        val version: Long,
        val step: Long,
    ) : RankOrder

    /** Keeps the group from beginning pass [step]. */
    public data class Hold(
        val step: Long,
    ) : RankOrder

    /** Lets the group begin pass [step]. */
    public data class Release(
        val step: Long,
    ) : RankOrder
}

/** Answer of a rank to an order. */
public enum class OrderAnswer {
    /** The order has been carried out, or its effect was in place already. */
    DONE,

    /** The rank has begun to carry out the order. */
    ACCEPTED,

    /** The order does not fit the state of the rank. */
    REFUSED,

    /** Another process has used a higher fencing token. */
    FENCED,

    /** No answer arrived; the order may be carried out at any later time. */
    LOST,
}

/** Phase of the switch of a group to another map. */
public sealed interface SwitchPhase {
    /** The ranks in [missing] have not yet copied the experts of [version]. */
    public data class Preparing(
        val version: Long,
        val map: ExpertMap,
        val missing: Set<Int>,
    ) : SwitchPhase

    /** Rank [holder] is to hold pass [step], so that [ranks] can be armed; none is armed yet. */
    public data class Holding(
        val version: Long,
        val step: Long,
        val holder: Int,
        val ranks: Set<Int>,
    ) : SwitchPhase

    /** Rank [holder] holds pass [step]; the ranks in [missing] have not confirmed that they are armed. */
    public data class Arming(
        val version: Long,
        val step: Long,
        val holder: Int,
        val missing: Set<Int>,
    ) : SwitchPhase

    /** Pass [step] may begin, because either every rank is armed for it or none is. */
    public data class Releasing(
        val step: Long,
        val holder: Int,
    ) : SwitchPhase

    /** No order is left to send. */
    public data object Done : SwitchPhase

    /** Another process is the leader, or the group has a new epoch, so no more orders may be sent. */
    public data object Abandoned : SwitchPhase
}

/** Returns the orders that this phase still needs, by rank; each is repeated until it is answered. */
public fun SwitchPhase.orders(): Map<Int, RankOrder> =
    when (this) {
        is SwitchPhase.Preparing -> missing.associateWith { RankOrder.Prepare(version, map) }
        is SwitchPhase.Holding -> mapOf(holder to RankOrder.Hold(step))
        is SwitchPhase.Arming -> missing.associateWith { RankOrder.Arm(version, step) }
        is SwitchPhase.Releasing -> mapOf(holder to RankOrder.Release(step))
        SwitchPhase.Done, SwitchPhase.Abandoned -> emptyMap()
    }

/**
 * Returns the phase after [rank] answered [order] with [answer].
 *
 * Once any [RankOrder.Arm] may have been sent, the switch can only go forward: an order without an answer may still be
 * carried out, so the pass is released only when every rank has confirmed that it is armed, and a refused order is sent
 * again. A group with an unreachable rank does not run anyway; it restarts in a new epoch, in which nothing is armed or
 * held.
 */
public fun SwitchPhase.after(
    rank: Int,
    order: RankOrder,
    answer: OrderAnswer,
): SwitchPhase {
    if (answer == OrderAnswer.FENCED) return SwitchPhase.Abandoned
    val isAccepted = answer == OrderAnswer.DONE || answer == OrderAnswer.ACCEPTED
    return when {
        this is SwitchPhase.Preparing && order == RankOrder.Prepare(version, map) && answer == OrderAnswer.DONE ->
            copy(missing = missing - rank)
        this is SwitchPhase.Holding && order == RankOrder.Hold(step) -> afterHold(answer)
        this is SwitchPhase.Arming && order == RankOrder.Arm(version, step) && isAccepted -> withArmed(rank)
        this is SwitchPhase.Releasing && order == RankOrder.Release(step) && answer != OrderAnswer.LOST ->
            SwitchPhase.Done
        else -> this
    }
}

/** A hold that arrived too late has no effect, so the switch can be abandoned or started again with a later pass. */
private fun SwitchPhase.Holding.afterHold(answer: OrderAnswer): SwitchPhase =
    when (answer) {
        OrderAnswer.DONE, OrderAnswer.ACCEPTED -> SwitchPhase.Arming(version, step, holder, ranks)
        OrderAnswer.REFUSED -> SwitchPhase.Done
        OrderAnswer.LOST, OrderAnswer.FENCED -> this
    }

private fun SwitchPhase.Arming.withArmed(rank: Int): SwitchPhase {
    val rest = missing - rank
    return if (rest.isEmpty()) SwitchPhase.Releasing(step, holder) else copy(missing = rest)
}

/** Returns the phase without the ranks whose [states] show that their copies are complete. */
public fun SwitchPhase.Preparing.reported(states: Map<Int, RankState>): SwitchPhase.Preparing =
    copy(missing = missing.filterTo(HashSet()) { states[it]?.prepared != version })

/**
 * Returns the phase from which a switch that another process left unfinished has to be continued, or null if there is
 * none.
 *
 * [RankOrder.Arm] is sent only after every rank has reported the same prepared version and a pass is held. So if a pass
 * is held and all ranks have prepared one version, such orders may be in flight and every rank must be armed; otherwise
 * none can be in flight. [states] is the state of every rank, read when the other process can no longer send orders.
 */
public fun interruptedSwitch(states: Map<Int, RankState>): SwitchPhase? {
    val (holder, state) = states.entries.firstOrNull { it.value.held != null } ?: return null
    val held = state.held ?: return null
    val versions = states.values.map { it.armed ?: it.prepared ?: NO_VERSION }.toSet()
    val version = versions.singleOrNull()?.takeIf { it != NO_VERSION }
    val isSwitched = version != null && states.values.any { it.map >= version }
    if (version == null || isSwitched) return SwitchPhase.Releasing(held, holder)
    return SwitchPhase.Arming(version, held, holder, states.keys.toSet())
}

private const val NO_VERSION = -1L
