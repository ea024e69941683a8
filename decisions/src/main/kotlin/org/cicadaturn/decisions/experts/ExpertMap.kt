package org.cicadaturn.decisions.experts

/**
 * Assignment of experts to ranks.
 *
 * @property sets for each set of layers and each rank, the experts that the rank holds
 */
public data class ExpertMap(
    val sets: List<List<List<Int>>>,
)

/**
 * Limits that a map has to respect.
 *
 * @property experts number of experts in each set
 * @property ranks number of ranks in the group
 * @property places experts of a set that a rank can hold
 * @property newPlaces experts of a set that a rank can copy in one change
 * @property newInAllSets experts of all sets together that a rank may copy in one change; they determine its duration
 */
public data class PlacementBounds(
    val experts: Int,
    val ranks: Int,
    val places: Int,
    val newPlaces: Int,
    val newInAllSets: Int = Int.MAX_VALUE,
)

/** Returns true if each expert is on a rank of this map and the ranks hold no others and not more than [bounds] allow. */
public fun ExpertMap.isWithin(bounds: PlacementBounds): Boolean =
    sets.all { ranks ->
        ranks.size == bounds.ranks &&
            ranks.all { it.size <= bounds.places } &&
            ranks.flatten().toSet() == (0 until bounds.experts).toSet()
    }

/**
 * Returns for each set the load of the most loaded rank, relative to the mean over the ranks.
 *
 * The choices of an expert are divided evenly among the ranks that hold it.
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
