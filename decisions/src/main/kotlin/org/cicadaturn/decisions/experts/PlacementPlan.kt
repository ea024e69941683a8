package org.cicadaturn.decisions.experts

/**
 * Result of a plan.
 *
 * @property before mean over the sets of the most loaded rank's load, in parts of the mean, under the current map
 * @property after the same under [map]
 * @property newExperts experts of all sets that each rank has to copy; the most of a rank set the time
 */
public data class PlacementPlan(
    val map: ExpertMap,
    val before: Double,
    val after: Double,
    val newExperts: List<Int>,
)

/**
 * Returns a map with a lower skew under [demand] that can be reached from [current] in one change.
 *
 * A local search: in the set with the highest skew it takes load off the most loaded rank by adding a copy of one of
 * its experts elsewhere, in place of a copy that the set can spare, or by exchanging experts of two ranks. The time
 * grows with ranks * places^2 for each step, and the steps with the number of new experts allowed.
 */
public fun planPlacement(
    current: ExpertMap,
    demand: List<DoubleArray>,
    bounds: PlacementBounds,
): PlacementPlan {
    val taken = IntArray(bounds.ranks)
    val searches = current.sets.mapIndexed { s, ranks -> SetSearch(ranks, demand[s], bounds, taken) }
    val open = searches.toMutableList()
    while (open.isNotEmpty()) {
        val search = open.maxBy { it.skew }
        if (!search.step()) open -= search
    }
    val map = ExpertMap(searches.map { it.ranks() })
    val before = skewOf(current, demand).average()
    return PlacementPlan(map, before, skewOf(map, demand).average(), taken.toList())
}

/** Search in one set; [taken] counts the new experts of each rank over all sets. */
private class SetSearch(
    private val start: List<List<Int>>,
    private val demand: DoubleArray,
    private val bounds: PlacementBounds,
    private val taken: IntArray,
) {
    private val held = start.map { it.toMutableSet() }
    private val copies = IntArray(demand.size).also { c -> start.forEach { rank -> rank.forEach { c[it] += 1 } } }
    private val added = IntArray(bounds.ranks)
    private val loads = rankLoads(start, demand)
    private val mean = loads.average()
    private var steps = bounds.ranks * (bounds.newPlaces + 1)

    /** Load of the most loaded rank in parts of the mean. */
    val skew: Double get() = if (mean <= 0.0) 1.0 else loads.max() / mean

    fun ranks(): List<List<Int>> = held.map { it.sorted() }

    /** Applies the best change; returns false if there is none. */
    fun step(): Boolean {
        if (steps == 0) return false
        steps -= 1
        apply(best() ?: return false)
        return true
    }

    /** A change of one set: [expert] is added to [to], [replaced] leaves [to], [leaves] leaves [from]. */
    private class Move(
        val from: Int,
        val to: Int,
        val expert: Int,
        val replaced: Int?,
        val leaves: Boolean,
        val peak: Double,
    )

    private fun best(): Move? {
        val hot = loads.indices.maxBy { loads[it] }
        val limit = loads[hot] * LEAST_GAIN
        val targets =
            loads.indices
                .filter { it != hot }
                .sortedBy { loads[it] }
                .take(TARGETS)
        var best: Move? = null
        for (expert in held[hot]) {
            for (to in targets) {
                if (expert in held[to] || !canTake(to, expert)) continue
                best = bestOf(best, bestTo(hot, to, expert, limit))
            }
        }
        return best
    }

    /** Returns the best way to take [expert] from [from] to [to] that leaves no rank above [limit], or null. */
    private fun bestTo(
        from: Int,
        to: Int,
        expert: Int,
        limit: Double,
    ): Move? {
        var best: Move? = null
        for (replaced in replaceable(to)) {
            best = bestOf(best, consider(from, to, expert, replaced, leaves = false))
            best = bestOf(best, consider(from, to, expert, replaced, leaves = true))
        }
        return best?.takeIf { it.peak < limit }
    }

    private fun bestOf(
        a: Move?,
        b: Move?,
    ): Move? = if (a == null || (b != null && b.peak < a.peak)) b else a

    private fun canTake(
        rank: Int,
        expert: Int,
    ): Boolean = expert in start[rank] || (added[rank] < bounds.newPlaces && taken[rank] < bounds.newInAllSets)

    /** Returns the experts that may leave [rank] for a new one; null stands for a free place. */
    private fun replaceable(rank: Int): List<Int?> {
        val free: List<Int?> = if (held[rank].size < bounds.places) listOf(null) else emptyList()
        return free + held[rank]
    }

    /** Returns the move with the highest load that it leaves on any rank that it touches, or null if it is not allowed. */
    private fun consider(
        from: Int,
        to: Int,
        expert: Int,
        replaced: Int?,
        leaves: Boolean,
    ): Move? {
        // An exchange puts the replaced expert where the other one leaves; else it must have another copy.
        val isExchange = leaves && replaced != null && copies[replaced] == 1
        if (replaced != null && copies[replaced] == 1 && !leaves) return null
        if (isExchange && (replaced in held[from] || !canTake(from, replaced))) return null
        val change = DoubleArray(loads.size)
        val newCopies = copies[expert] + if (leaves) 0 else 1
        addLoads(change, expert, newCopies, added = to, removed = if (leaves) from else null)
        if (replaced != null) {
            val rest = copies[replaced] - if (isExchange) 0 else 1
            addLoads(change, replaced, rest, added = if (isExchange) from else null, removed = to)
        }
        var peak = 0.0
        for (r in loads.indices) peak = maxOf(peak, loads[r] + change[r])
        return Move(from, to, expert, replaced, leaves, peak)
    }

    private fun addLoads(
        change: DoubleArray,
        expert: Int,
        newCopies: Int,
        added: Int?,
        removed: Int?,
    ) {
        val old = demand[expert] / copies[expert]
        val new = demand[expert] / newCopies
        for (r in held.indices) {
            val holds = expert in held[r]
            if (holds) change[r] -= old
            val willHold = (holds && r != removed) || r == added
            if (willHold) change[r] += new
        }
    }

    private fun apply(move: Move) {
        val replaced = move.replaced
        val isExchange = move.leaves && replaced != null && copies[replaced] == 1
        held[move.to] += move.expert
        copies[move.expert] += 1
        if (move.leaves) {
            held[move.from] -= move.expert
            copies[move.expert] -= 1
        }
        if (replaced != null) {
            held[move.to] -= replaced
            if (isExchange) held[move.from] += replaced else copies[replaced] -= 1
        }
        for (rank in listOf(move.from, move.to)) {
            val count = held[rank].count { it !in start[rank] }
            taken[rank] += count - added[rank]
            added[rank] = count
        }
        val after = rankLoads(held.map { it.toList() }, demand)
        after.copyInto(loads)
    }

    private companion object {
        /** Least loaded ranks that are tried as targets; the others rarely give the best move. */
        const val TARGETS = 6

        /** A move that lowers the peak by less is not worth a copy. */
        const val LEAST_GAIN = 0.999
    }
}
