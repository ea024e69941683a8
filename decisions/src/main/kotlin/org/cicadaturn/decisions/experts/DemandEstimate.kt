package org.cicadaturn.decisions.experts

import kotlin.math.sqrt

/**
 * Estimates how often each expert is chosen, from counts that only grow. Has one owner.
 *
 * The demand is steady for seconds and then shifts at once. So choices add up, which averages their noise out, until
 * new ones differ clearly from them.
 */
public interface DemandEstimate {
    /**
     * Takes the [counts] of [rank] since its start: set after set, for each expert; empty if it served nothing.
     *
     * Returns true if they brought enough choices to change the estimate.
     */
    public fun add(
        rank: Int,
        counts: DoubleArray,
    ): Boolean

    /** Returns the choices by set and expert that the estimate rests on. */
    public fun choices(): List<DoubleArray>
}

/** Returns an estimate of [sets] sets with [experts] experts. */
public fun demandEstimate(
    sets: Int,
    experts: Int,
): DemandEstimate = ShiftingDemand(sets, experts)

private class ShiftingDemand(
    private val sets: Int,
    private val experts: Int,
) : DemandEstimate {
    private val last = HashMap<Int, DoubleArray>()

    /** Choices since the last read that had enough of them, then since the last shift. */
    private var fresh = DoubleArray(sets * experts)
    private var steady = DoubleArray(sets * experts)

    override fun add(
        rank: Int,
        counts: DoubleArray,
    ): Boolean {
        val before = last.put(rank, counts) ?: return false
        for (i in fresh.indices) {
            // Counts begin anew when a rank starts again.
            val count = counts.getOrElse(i) { 0.0 }
            val grown = count - before.getOrElse(i) { 0.0 }
            fresh[i] += if (grown < 0) count else grown
        }
        if (fresh.sum() < LEAST_CHOICES * experts * sets) return false
        val hasShifted = similarity(fresh, steady) < LEAST_SIMILARITY
        for (i in steady.indices) steady[i] = fresh[i] + if (hasShifted) 0.0 else steady[i] * KEPT
        fresh = DoubleArray(sets * experts)
        return true
    }

    override fun choices(): List<DoubleArray> = List(sets) { s -> steady.copyOfRange(s * experts, (s + 1) * experts) }

    /** Returns the cosine of the angle between [a] and [b]; 0 if either is empty. */
    private fun similarity(
        a: DoubleArray,
        b: DoubleArray,
    ): Double {
        var product = 0.0
        var lengthA = 0.0
        var lengthB = 0.0
        for (i in a.indices) {
            product += a[i] * b[i]
            lengthA += a[i] * a[i]
            lengthB += b[i] * b[i]
        }
        return if (lengthA == 0.0 || lengthB == 0.0) 0.0 else product / sqrt(lengthA * lengthB)
    }

    private companion object {
        /** Choices per expert that a read must bring. */
        const val LEAST_CHOICES = 20.0

        /** Similarity of two reads of a steady demand is 0.95 and more; after a shift it is below 0.6. */
        const val LEAST_SIMILARITY = 0.88

        /** Weight of the older choices at each read; lets a slow drift through. */
        const val KEPT = 0.8
    }
}
