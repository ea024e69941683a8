package org.cicadaturn.bench.routing

import org.cicadaturn.schema.generated.RoutingBenchOptions
import org.cicadaturn.schema.generated.RoutingBenchResult
import org.cicadaturn.schema.generated.RoutingBenchRun
import org.cicadaturn.schema.generated.RoutingPolicy
import org.cicadaturn.schema.generated.RoutingTarget

/**
 * Compares the routing decisions with baselines and with an omniscient scheduler, in virtual time.
 *
 * The result, apart from the decision times, depends only on [options].
 */
public fun routingBench(options: RoutingBenchOptions): RoutingBenchResult {
    require(options.endpoints >= 1) { "endpoints ${options.endpoints} must be at least 1" }
    require(options.nodes >= 1) { "nodes ${options.nodes} must be at least 1" }
    require(options.failureDomains >= 1) { "failure domains ${options.failureDomains} must be at least 1" }
    require(options.loadPercent >= 1) { "load ${options.loadPercent} must be at least 1 percent" }
    val loads = listOf(options.loadPercent, FULL_LOAD, options.overloadPercent).distinct()
    val runs =
        loads.flatMap { load ->
            RoutingPolicy.entries.map { BenchRun(options, it, load).run() }
        }
    val times = if (options.decisionTimes) decisionTimes(options.seed) else emptyList()
    return RoutingBenchResult(options, runs, times, subsetBalances(), targets(options, runs))
}

private fun targets(
    options: RoutingBenchOptions,
    runs: List<RoutingBenchRun>,
): List<RoutingTarget> {
    fun of(
        policy: RoutingPolicy,
        load: Int = options.loadPercent,
    ) = runs.first { it.policy == policy && it.loadPercent == load }

    val own = of(RoutingPolicy.OWN)
    val load = "at ${options.loadPercent}% load"
    val baselines =
        listOf(RoutingPolicy.ROUND_ROBIN, RoutingPolicy.LEAST_IN_FLIGHT).map { policy ->
            val share = of(policy).inTimeShare
            RoutingTarget("share in time $load, above $policy", own.inTimeShare, share, own.inTimeShare > share)
        }
    val omniscient = of(RoutingPolicy.OMNISCIENT).inTimeShare
    val full = of(RoutingPolicy.OWN, FULL_LOAD).goodput
    val overload = of(RoutingPolicy.OWN, options.overloadPercent).goodput
    val ownRuns = runs.filter { it.policy == RoutingPolicy.OWN }
    return listOf(
        atLeast("share in time $load over the omniscient scheduler's", ratio(own.inTimeShare, omniscient), 0.97),
    ) +
        baselines +
        atMost("requests above the bound of a cold endpoint", ownRuns.maxOf { it.coldOverload }.toDouble(), 0.0) +
        atLeast("goodput at ${options.overloadPercent}% load over that at $FULL_LOAD%", ratio(overload, full), 0.95) +
        atMost("retries over requests, largest of all loads", ownRuns.maxOf { it.retryShare }, 0.1)
}

private fun atLeast(
    name: String,
    value: Double,
    bound: Double,
) = RoutingTarget("$name, at least", value, bound, value >= bound)

private fun atMost(
    name: String,
    value: Double,
    bound: Double,
) = RoutingTarget("$name, at most", value, bound, value <= bound)

/** Returns the ratio of [value] to [base]; 0 if nothing was measured, so that the target is not met. */
private fun ratio(
    value: Double,
    base: Double,
): Double = if (base > 0) value / base else 0.0

private const val FULL_LOAD = 100
