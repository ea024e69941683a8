package org.cicadaturn.bench.placement

import org.cicadaturn.decisions.experts.ExpertMap
import org.cicadaturn.decisions.experts.PlacementBounds
import org.cicadaturn.decisions.experts.planPlacement
import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementBenchResult
import org.cicadaturn.schema.generated.PlacementBenchRun
import org.cicadaturn.schema.generated.PlacementPolicy
import org.cicadaturn.schema.generated.PlanTime
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Compares expert placement with simpler policies; the result, apart from measured times, depends only on
 * [options].
 */
public fun placementBench(options: PlacementBenchOptions): PlacementBenchResult {
    require(options.ranks >= 2) { "ranks ${options.ranks} must be at least 2" }
    require(options.ranks * options.places >= options.experts) {
        "ranks ${options.ranks} times places ${options.places} must be at least experts ${options.experts}"
    }
    val runs = PlacementPolicy.entries.map { PlacementRun(options, it).run() }
    return PlacementBenchResult(options, lowerBound(options), runs, rankCounts.map { planTime(options, it) })
}

private val rankCounts = listOf(12, 32, 64, 128)
private const val EXPERTS_PER_RANK = 6
private const val SPARE_PLACES_PER_RANK = 2
private const val PLANS_PER_ROUND = 4

/**
 * Returns a lower bound of the skew: the load of a copy of the most chosen expert if all spare places hold
 * copies of it.
 */
private fun lowerBound(options: PlacementBenchOptions): Double {
    val largestShare = expertShares(options.experts, options.skewPercent).max()
    val copies = minOf(options.ranks, options.ranks * options.places - options.experts + 1)
    return maxOf(1.0, largestShare * options.ranks / copies)
}

private fun planTime(
    options: PlacementBenchOptions,
    ranks: Int,
): PlanTime {
    val experts = ranks * EXPERTS_PER_RANK
    val bounds =
        PlacementBounds(experts, ranks, EXPERTS_PER_RANK + SPARE_PLACES_PER_RANK, options.newPlaces, options.ownInAll)
    val demand = ShiftingDemand(options.copy(ranks = ranks, experts = experts), Random(options.seed))
    val map = initialMap(options.sets, experts, ranks)
    repeat(PLANS_PER_ROUND) { planPlacement(map, demand.demandShares(), bounds) }
    val start = TimeSource.Monotonic.markNow()
    repeat(PLANS_PER_ROUND) { planPlacement(map, demand.demandShares(), bounds) }
    return PlanTime(ranks, start.elapsedNow().inWholeMicroseconds.toDouble() / PLANS_PER_ROUND)
}

/** Returns the map that assigns the experts to the ranks in turn. */
internal fun initialMap(
    sets: Int,
    experts: Int,
    ranks: Int,
): ExpertMap = ExpertMap(List(sets) { List(ranks) { r -> (0 until experts).filter { it % ranks == r } } })

/** Returns [result] as text for a terminal. */
public fun renderPlacement(result: PlacementBenchResult): String {
    val header = "no map gets below a skew of %.3f".format(result.lowerBound)
    val runs = result.runs.joinToString("\n") { renderRun(it) }
    val times = result.planTimes.joinToString(", ") { "%d ranks: %.0f us".format(it.ranks, it.micros) }
    return "$header\n$runs\ntime of a plan: $times"
}

private fun renderRun(run: PlacementBenchRun): String =
    "%s: skew %.3f, settled %.3f; step time %.3f, slow for %.3f of the time; %d changes, %d copies; %.0f us a plan"
        .format(
            run.policy,
            run.meanSkew,
            run.settledSkew,
            run.netStepTime,
            run.slowShare,
            run.changes,
            run.copies,
            run.planMicros,
        )
