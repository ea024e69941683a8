package org.cicadaturn.decisions.experts

/**
 * Which rank holds which experts.
 *
 * @property sets for each set of layers, for each rank, the experts that it holds
 */
public data class ExpertMap(
    val sets: List<List<List<Int>>>,
)

/**
 * Sizes that a map has to respect.
 *
 * @property experts experts in each set
 * @property ranks ranks of the group
 * @property places experts that a rank holds at most in a set
 * @property newPlaces experts of a set that a rank can take in one change
 * @property newInAllSets experts of all sets together that a rank takes in one change; they set the time of the copy
 */
public data class PlacementBounds(
    val experts: Int,
    val ranks: Int,
    val places: Int,
    val newPlaces: Int,
    val newInAllSets: Int = Int.MAX_VALUE,
)

/**
 * Returns the load of the most loaded rank in each set, in parts of the mean over the ranks.
 *
 * The ranks that hold an expert share its choices evenly.
 * @param demand choices by set and expert
 */
public fun skewOf(
    map: ExpertMap,
    demand: List<DoubleArray>,
): List<Double> =
    map.sets.mapIndexed { set, ranks ->
        val loads = rankLoads(ranks, demand[set])
        val mean = loads.average()
        if (mean <= 0.0) 1.0 else loads.max() / mean
    }

internal fun rankLoads(
    ranks: List<List<Int>>,
    demand: DoubleArray,
): DoubleArray {
    val copies = IntArray(demand.size)
    ranks.forEach { held -> held.forEach { copies[it] += 1 } }
    return DoubleArray(ranks.size) { r -> ranks[r].sumOf { demand[it] / copies[it] } }
}
