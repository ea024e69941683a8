package org.cicadaturn.decisions.experts

import kotlin.math.sqrt

/**
 * Estimates how often each expert is chosen, from cumulative counts. Has one owner and is not safe for concurrent use.
 *
 * Demand stays steady for seconds and then shifts abruptly. Choices are therefore accumulated, which averages out their
 * noise, until new ones differ clearly from them.
 */
public interface DemandEstimate {
    /**
     * Adds the choices that the cumulative [counts] of [rank] show since the last call for it.
     *
     * [counts] has one number for each expert, with the sets one after the other; it is empty if the rank has served
     * nothing since its start. Returns true if there were enough choices to update the estimate.
     */
    public fun add(
        rank: Int,
        counts: DoubleArray,
    ): Boolean

    /** Returns the choices by set and expert that the estimate is based on. */
    public fun choices(): List<DoubleArray>
}

/**
 * Returns an estimate for [sets] sets of [experts] experts each that begins with the [known] choices by set and expert,
 * or without any.
 */
public fun demandEstimate(
    sets: Int,
    experts: Int,
    known: List<DoubleArray>? = null,
): DemandEstimate = ShiftingDemand(sets, experts, known)

private class ShiftingDemand(
    private val sets: Int,
    private val experts: Int,
    known: List<DoubleArray>?,
) : DemandEstimate {
    private val lastCounts = HashMap<Int, DoubleArray>()

    /** Choices since the last update of the estimate. */
    private var recent = DoubleArray(sets * experts)

    /** Choices since the last shift of the demand, with a lower weight for older ones. */
    private var accumulated =
        known?.flatMap { it.asIterable() }?.toDoubleArray() ?: DoubleArray(sets * experts)

    override fun add(
        rank: Int,
        counts: DoubleArray,
    ): Boolean {
        val before = lastCounts.put(rank, counts) ?: return false
        for (i in recent.indices) {
            // A restart of the rank sets its counts to 0.
            val count = counts.getOrElse(i) { 0.0 }
            val increase = count - before.getOrElse(i) { 0.0 }
            recent[i] += if (increase < 0) count else increase
        }
        if (recent.sum() < MIN_CHOICES_PER_EXPERT * experts * sets) return false
        val hasShifted = similarity(recent, accumulated) < MIN_SIMILARITY
        for (i in accumulated.indices) accumulated[i] = recent[i] + if (hasShifted) 0.0 else accumulated[i] * DECAY
        recent = DoubleArray(sets * experts)
        return true
    }

    override fun choices(): List<DoubleArray> = List(sets) { accumulated.copyOfRange(it * experts, (it + 1) * experts) }

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
        /** Choices per expert that are needed to update the estimate. */
        const val MIN_CHOICES_PER_EXPERT = 20.0

        /** The similarity of two reads of a steady demand is 0.95 or more; after a shift it is below 0.6. */
        const val MIN_SIMILARITY = 0.88

        /** Weight of the older choices at each update; lets the estimate follow a slow drift. */
        const val DECAY = 0.8
    }
}
