package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.OrganisationLimit
import org.cicadaturn.schema.generated.LimitFault
import org.cicadaturn.schema.generated.LimitScheme
import org.cicadaturn.schema.generated.LimitsBenchOptions
import org.cicadaturn.schema.generated.LimitsBenchResult
import org.cicadaturn.schema.generated.LimitsControlTraffic
import org.cicadaturn.schema.generated.LimitsRun
import org.cicadaturn.schema.generated.LimitsTarget
import org.cicadaturn.schema.generated.OrganisationId
import kotlin.random.Random

/** Largest permitted excess over the limit in any minute, as a share of the limit. */
private const val MAX_OVER_LIMIT = 0.02

/** Smallest permitted share of the limit that is used or usable. */
private const val MIN_USED = 0.95

/** Bytes of all control traffic that a node may send per second at the design scale. */
private const val MAX_CONTROL_BYTES_PER_SECOND = 7_000.0

/** Number of nodes at which the demand of an organisation arrives in the runs with some, but not all, of the nodes. */
private const val PARTIAL_SPREAD = 10
private const val DESIGN_NODES = 350
private const val DESIGN_ORGANISATIONS = 870

/**
 * Demand of an organisation at the design scale, in tokens per minute: 2.9 million per second over 870
 * organisations.
 */
private const val DESIGN_TOKENS_PER_MINUTE = 200_000L

private val controlNodes = listOf(8, 32, 128, DESIGN_NODES)
private val controlOrganisations = listOf(2, 4, 8)
private const val CONTROL_MINUTES = 2
private const val HALF_DEMAND_PERCENT = 50
private const val OVERLOAD_DEMAND_PERCENT = 150

/** Limit of requests in flight that no run reaches, so that only tokens are limited. */
private const val UNLIMITED_IN_FLIGHT = 100_000

/** Compares the shared limits with a static split and a central counter; the result depends only on [options]. */
public fun limitsBench(options: LimitsBenchOptions): LimitsBenchResult {
    require(options.nodes >= 1) { "nodes ${options.nodes} must be at least 1" }
    require(options.organisations >= 1) { "organisations ${options.organisations} must be at least 1" }
    require(options.minutes >= 2) { "minutes ${options.minutes} must be at least 2" }
    val spreads = listOf(1, minOf(PARTIAL_SPREAD, options.nodes), options.nodes).distinct()
    val runs =
        LimitScheme.entries.flatMap { scheme ->
            LimitFault.entries.flatMap { fault ->
                spreads.map { runScheme(options, scheme, fault, it) }
            }
        }
    val controlTraffic =
        if (options.control) {
            listOf(HALF_DEMAND_PERCENT, OVERLOAD_DEMAND_PERCENT).flatMap {
                controlTraffic(options, it)
            }
        } else {
            emptyList()
        }
    return LimitsBenchResult(
        options,
        runs,
        controlTraffic,
        compareLimiters(options.seed),
        targets(runs, controlTraffic),
    )
}

private fun runScheme(
    options: LimitsBenchOptions,
    scheme: LimitScheme,
    fault: LimitFault,
    spread: Int,
): LimitsRun {
    val limit = OrganisationLimit(options.tokensPerMinute, UNLIMITED_IN_FLIGHT)
    val fleet = fleet(options, options.nodes, options.organisations, limit)
    return BenchRun(fleet, options.demandPercent, spread, fault, options.minutes).run(scheme)
}

private fun fleet(
    options: LimitsBenchOptions,
    nodes: Int,
    organisations: Int,
    limit: OrganisationLimit,
): BenchFleet {
    val ids = List(organisations) { OrganisationId("organisation-${it.toString().padStart(3, '0')}") }
    return BenchFleet(nodes, ids, limit, options.lossPercent / 100, Random(options.seed))
}

private fun controlTraffic(
    options: LimitsBenchOptions,
    demandPercent: Int,
): List<LimitsControlTraffic> {
    // The demand in tokens is always that of the design scale; demandPercent changes the limit.
    val limit = OrganisationLimit(DESIGN_TOKENS_PER_MINUTE * 100 / demandPercent, UNLIMITED_IN_FLIGHT)
    return controlNodes.map { nodes ->
        val bytes =
            controlOrganisations.map { organisations ->
                val fleet = fleet(options, nodes, organisations, limit)
                val run = BenchRun(fleet, demandPercent, nodes, LimitFault.NONE, CONTROL_MINUTES)
                run.run(LimitScheme.SHARED).bytesPerSecond
            }
        val slope = slope(controlOrganisations, bytes)
        val intercept = bytes.average() - slope * controlOrganisations.average()
        LimitsControlTraffic(
            nodes,
            demandPercent,
            controlOrganisations,
            bytes,
            slope,
            intercept + slope * DESIGN_ORGANISATIONS,
        )
    }
}

/** Returns the slope of the least-squares line through the points ([x], [y]). */
internal fun slope(
    x: List<Int>,
    y: List<Double>,
): Double {
    val meanX = x.average()
    val meanY = y.average()
    val covariance = x.indices.sumOf { (x[it] - meanX) * (y[it] - meanY) }
    return covariance / x.sumOf { (it - meanX) * (it - meanX) }
}

private fun targets(
    runs: List<LimitsRun>,
    controlTraffic: List<LimitsControlTraffic>,
): List<LimitsTarget> {
    val shared = runs.filter { it.scheme == LimitScheme.SHARED }
    val over = LimitFault.entries.map { f -> overLimitTarget("worst minute over the limit, ${f.name}", shared, f) }
    val faultFree = shared.filter { it.fault == LimitFault.NONE }
    val used =
        faultFree.flatMap {
            val at = "demand at ${it.demandNodes} nodes"
            listOf(
                usageTarget("usable share with reserved estimates, $at", it.usableShare),
                usageTarget("used share in real tokens, $at", it.usedShare),
            )
        }
    val bytes =
        controlTraffic.filter { it.nodes == DESIGN_NODES }.map {
            val name = "control bytes a second at $DESIGN_NODES nodes, demand ${it.demandPercent}%"
            LimitsTarget(name, it.atDesign, MAX_CONTROL_BYTES_PER_SECOND, it.atDesign <= MAX_CONTROL_BYTES_PER_SECOND)
        }
    return over + used + bytes
}

private fun overLimitTarget(
    name: String,
    runs: List<LimitsRun>,
    fault: LimitFault,
): LimitsTarget {
    val worst = runs.filter { it.fault == fault }.maxOf { it.worstOver }
    return LimitsTarget(name, worst, MAX_OVER_LIMIT, worst <= MAX_OVER_LIMIT)
}

private fun usageTarget(
    name: String,
    value: Double,
): LimitsTarget = LimitsTarget(name, value, MIN_USED, value >= MIN_USED)
