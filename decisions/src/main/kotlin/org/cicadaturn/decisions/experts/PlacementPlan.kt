package org.cicadaturn.decisions.experts

/**
 * Planned change of a map.
 *
 * @property before skew under the current map: highest load of a rank relative to the mean, averaged over the sets
 * @property after skew under [map]
 * @property newExperts for each rank, the number of experts of all sets that it has to copy; the highest one determines
 * the duration of the change
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
 * Local search: in the set with the highest skew, it reduces the load of the most loaded rank by copying one of its
 * experts to another rank, in place of an expert that has further copies, or by exchanging experts of two ranks. The
 * time of a search step grows with ranks * places^2, and the number of steps with the number of new experts allowed.
 */
public fun planPlacement(
    current: ExpertMap,
    demand: List<DoubleArray>,
    bounds: PlacementBounds,
): PlacementPlan {
    val newExperts = IntArray(bounds.ranks)
    val searches = current.sets.mapIndexed { s, ranks -> SetSearch(ranks, demand[s], bounds, newExperts) }
    val open = searches.toMutableList()
    while (open.isNotEmpty()) {
        val search = open.maxBy { it.skew }
        if (!search.step()) open -= search
    }
    val map = ExpertMap(searches.map { it.ranks() })
    val before = skewOf(current, demand).average()
    return PlacementPlan(map, before, skewOf(map, demand).average(), newExperts.toList())
}

/** Search in one set; [newExperts] counts the new experts of each rank over all sets. */
private class SetSearch(
    private val start: List<List<Int>>,
    private val demand: DoubleArray,
    private val bounds: PlacementBounds,
    private val newExperts: IntArray,
) {
    private val held = start.map { it.toMutableSet() }
    private val copies = IntArray(demand.size).also { c -> start.forEach { rank -> rank.forEach { c[it] += 1 } } }
    private val newInSet = IntArray(bounds.ranks)
    private val loads = rankLoads(start, demand)
    private val mean = loads.average()
    private var stepsLeft = bounds.ranks * (bounds.newPlaces + 1)

    /** Load of the most loaded rank, relative to the mean. */
    val skew: Double get() = if (mean <= 0.0) 1.0 else loads.max() / mean

    fun ranks(): List<List<Int>> = held.map { it.sorted() }

    /** Applies the best move and returns true, or returns false if there is none. */
    fun step(): Boolean {
        if (stepsLeft == 0) return false
        stepsLeft -= 1
        apply(bestMove() ?: return false)
        return true
    }

    /**
     * Adds [expert] to rank [to] in place of [replaced]; a relocation also removes it from rank [from].
     *
     * @property peak load of the most loaded rank after the move
     */
    private class Move(
        val from: Int,
        val to: Int,
        val expert: Int,
        val replaced: Int?,
        val isRelocation: Boolean,
        val peak: Double,
    )

    private fun bestMove(): Move? {
        val busiest = loads.indices.maxBy { loads[it] }
        val limit = loads[busiest] * MAX_PEAK_RATIO
        val targets =
            loads.indices
                .filter { it != busiest }
                .sortedBy { loads[it] }
                .take(MAX_TARGETS)
        var best: Move? = null
        for (expert in held[busiest]) {
            for (to in targets) {
                if (expert in held[to] || !canTake(to, expert)) continue
                best = bestOf(best, bestMoveTo(busiest, to, expert, limit))
            }
        }
        return best
    }

    /** Returns the best move of [expert] from rank [from] to rank [to] with all loads below [limit], or null. */
    private fun bestMoveTo(
        from: Int,
        to: Int,
        expert: Int,
        limit: Double,
    ): Move? {
        var best: Move? = null
        for (replaced in replaceable(to)) {
            best = bestOf(best, evaluate(from, to, expert, replaced, isRelocation = false))
            best = bestOf(best, evaluate(from, to, expert, replaced, isRelocation = true))
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
    ): Boolean = expert in start[rank] || (newInSet[rank] < bounds.newPlaces && newExperts[rank] < bounds.newInAllSets)

    /** Returns the experts that a new one may replace at [rank]; null stands for a free place. */
    private fun replaceable(rank: Int): List<Int?> {
        val free: List<Int?> = if (held[rank].size < bounds.places) listOf(null) else emptyList()
        return free + held[rank]
    }

    /** Returns the move and its [Move.peak], or null if the move is not allowed. */
    private fun evaluate(
        from: Int,
        to: Int,
        expert: Int,
        replaced: Int?,
        isRelocation: Boolean,
    ): Move? {
        // An exchange relocates the replaced expert in turn; in any other move it must have another copy.
        val isExchange = isRelocation && replaced != null && copies[replaced] == 1
        if (replaced != null && copies[replaced] == 1 && !isRelocation) return null
        if (isExchange && (replaced in held[from] || !canTake(from, replaced))) return null
        val change = DoubleArray(loads.size)
        val newCopies = copies[expert] + if (isRelocation) 0 else 1
        addLoads(change, expert, newCopies, added = to, removed = if (isRelocation) from else null)
        if (replaced != null) {
            val rest = copies[replaced] - if (isExchange) 0 else 1
            addLoads(change, replaced, rest, added = if (isExchange) from else null, removed = to)
        }
        var peak = 0.0
        for (r in loads.indices) peak = maxOf(peak, loads[r] + change[r])
        return Move(from, to, expert, replaced, isRelocation, peak)
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
        val isExchange = move.isRelocation && replaced != null && copies[replaced] == 1
        held[move.to] += move.expert
        copies[move.expert] += 1
        if (move.isRelocation) {
            held[move.from] -= move.expert
            copies[move.expert] -= 1
        }
        if (replaced != null) {
            held[move.to] -= replaced
            if (isExchange) held[move.from] += replaced else copies[replaced] -= 1
        }
        for (rank in listOf(move.from, move.to)) {
            val count = held[rank].count { it !in start[rank] }
            newExperts[rank] += count - newInSet[rank]
            newInSet[rank] = count
        }
        val after = rankLoads(held.map { it.toList() }, demand)
        after.copyInto(loads)
    }

    private companion object {
        /** Number of least loaded ranks that are tried as targets; the others rarely give the best move. */
        const val MAX_TARGETS = 6

        /** Highest load after a move, relative to the one before; a smaller gain is not worth a copy. */
        const val MAX_PEAK_RATIO = 0.999
    }
}
