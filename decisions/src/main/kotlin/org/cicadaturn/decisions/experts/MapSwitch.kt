package org.cicadaturn.decisions.experts

/**
 * What a rank says of itself.
 *
 * @property step last pass that its group has begun
 * @property map version of the map in use
 * @property prepared version that it has copied; null if none
 * @property armed version that it switches to; null if none
 * @property held pass that it keeps the group from beginning; null if none
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
    /** Copies the experts of [map], as [version]. */
    public data class Prepare(
        val version: Long,
        val map: ExpertMap,
    ) : RankOrder

    /** Switches to [version] as pass [step] begins. */
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

/** How a rank answered an order. */
public enum class OrderAnswer {
    /** What was ordered holds already or is done. */
    DONE,

    /** It has begun. */
    ACCEPTED,

    /** It does not fit the rank's state. */
    REFUSED,

    /** Another process has used a higher fencing token. */
    FENCED,

    /** No answer came; it may be carried out at any later time. */
    LOST,
}

/** Phase of a switch. */
public sealed interface SwitchPhase {
    /** The ranks in [missing] have not copied [version] yet. */
    public data class Preparing(
        val version: Long,
        val map: ExpertMap,
        val missing: Set<Int>,
    ) : SwitchPhase

    /** Pass [step] is about to be held by rank [holder], so that [ranks] can be armed; none was armed yet. */
    public data class Holding(
        val version: Long,
        val step: Long,
        val holder: Int,
        val ranks: Set<Int>,
    ) : SwitchPhase

    /** Pass [step] is held by [holder]; the ranks in [missing] have not confirmed that they are armed. */
    public data class Arming(
        val version: Long,
        val step: Long,
        val holder: Int,
        val missing: Set<Int>,
    ) : SwitchPhase

    /** Pass [step] may begin: every rank is armed for it, or none was. */
    public data class Releasing(
        val step: Long,
        val holder: Int,
    ) : SwitchPhase

    /** Nothing more to send. */
    public data object Done : SwitchPhase

    /** Another process leads, or the group has a new epoch; nothing more may be sent. */
    public data object Abandoned : SwitchPhase
}

/** Returns the orders that the phase still needs, by rank; each is repeated until it is answered. */
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
 * Once any arm may have been sent, the switch only goes forward: a lost arm may still be carried out, so the pass is
 * released only when every rank has confirmed its own, and a refused one is sent again. A group whose ranks cannot
 * all be reached does not run anyway, and comes back in a new epoch in which nothing is armed or held.
 */
public fun SwitchPhase.after(
    rank: Int,
    order: RankOrder,
    answer: OrderAnswer,
): SwitchPhase {
    if (answer == OrderAnswer.FENCED) return SwitchPhase.Abandoned
    val isTaken = answer == OrderAnswer.DONE || answer == OrderAnswer.ACCEPTED
    return when {
        this is SwitchPhase.Preparing && order == RankOrder.Prepare(version, map) && answer == OrderAnswer.DONE ->
            copy(missing = missing - rank)
        this is SwitchPhase.Holding && order == RankOrder.Hold(step) -> afterHold(answer)
        this is SwitchPhase.Arming && order == RankOrder.Arm(version, step) && isTaken ->
            armed(rank)
        this is SwitchPhase.Releasing && order ==
            RankOrder.Release(
                step,
            ) && answer != OrderAnswer.LOST -> SwitchPhase.Done
        else -> this
    }
}

/** A hold that came too late has held nothing, so the switch can be given up or begun again with a later pass. */
private fun SwitchPhase.Holding.afterHold(answer: OrderAnswer): SwitchPhase =
    when (answer) {
        OrderAnswer.DONE, OrderAnswer.ACCEPTED -> SwitchPhase.Arming(version, step, holder, ranks)
        OrderAnswer.REFUSED -> SwitchPhase.Done
        OrderAnswer.LOST, OrderAnswer.FENCED -> this
    }

private fun SwitchPhase.Arming.armed(rank: Int): SwitchPhase {
    val rest = missing - rank
    return if (rest.isEmpty()) SwitchPhase.Releasing(step, holder) else copy(missing = rest)
}

/** Returns the phase with what the ranks report: copies that are complete. */
public fun SwitchPhase.Preparing.reported(states: Map<Int, RankState>): SwitchPhase.Preparing =
    copy(missing = missing.filterTo(HashSet()) { states[it]?.prepared != version })

/**
 * Returns the phase in which a switch that another process left has to be taken up, or null if there is none.
 *
 * Arms are sent only after every rank has reported the same prepared version and a pass is held. So with a held
 * pass and one prepared version, arms may be under way and all ranks must be armed; otherwise none can be.
 * [states] holds the state of every rank, read after the other process could have ordered anything.
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
