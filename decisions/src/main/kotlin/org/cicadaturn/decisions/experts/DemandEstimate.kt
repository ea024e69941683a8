package org.cicadaturn.decisions.experts

/**
 * Estimates how often each expert is chosen from counts that only grow. Has one owner.
 *
 * Newer choices weigh more, as the demand shifts within seconds.
 */
public interface DemandEstimate {
    /** True once enough choices were seen for a plan. */
    public val isSufficient: Boolean

    /** Takes the [counts] of [rank] since its start: set after set, for each expert; empty if it served nothing. */
    public fun add(
        rank: Int,
        counts: DoubleArray,
    )

    /** Returns the estimated choices by set and expert, and lets what is known weigh less from now on. */
    public fun shares(): List<DoubleArray>
}

/** Returns an estimate of [sets] sets with [experts] experts. */
public fun demandEstimate(
    sets: Int,
    experts: Int,
): DemandEstimate = DecayingDemand(sets, experts)

private class DecayingDemand(
    private val sets: Int,
    private val experts: Int,
) : DemandEstimate {
    private val last = HashMap<Int, DoubleArray>()
    private val recent = List(sets) { DoubleArray(experts) }

    override val isSufficient: Boolean get() = recent[0].sum() >= LEAST_CHOICES * experts

    override fun add(
        rank: Int,
        counts: DoubleArray,
    ) {
        val before = last.put(rank, counts) ?: return
        for (s in 0 until sets) {
            for (e in 0 until experts) {
                // Counts begin anew when a rank starts again.
                val count = countOf(counts, s, e)
                val grown = count - countOf(before, s, e)
                recent[s][e] += if (grown < 0) count else grown
            }
        }
    }

    private fun countOf(
        counts: DoubleArray,
        set: Int,
        expert: Int,
    ): Double = counts.getOrElse(set * experts + expert) { 0.0 }

    override fun shares(): List<DoubleArray> {
        val now = recent.map { it.copyOf() }
        recent.forEach { set -> for (e in set.indices) set[e] *= KEPT }
        return now
    }

    private companion object {
        /** Choices per expert that a plan needs. */
        const val LEAST_CHOICES = 4.0

        /** Part of the older choices that still counts at the next plan. */
        const val KEPT = 0.5
    }
}
