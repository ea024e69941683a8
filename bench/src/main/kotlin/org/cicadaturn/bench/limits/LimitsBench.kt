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

/** Most that a minute may be over the limit, as a share of it. */
private const val MOST_OVER = 0.02

/** Least share of the limit that must be usable. */
private const val LEAST_USABLE = 0.95

/** Control bytes a second that a node may use at the design scale, for everything. */
private const val CONTROL_BYTES = 7_000.0

private const val TEN = 10
private const val DESIGN_NODES = 350
private const val DESIGN_ORGANISATIONS = 870

/** Tokens in a minute of one organisation at the design scale: 2.9 million a second over 870 organisations. */
private const val DESIGN_TOKENS = 200_000L

private val controlNodes = listOf(8, 32, 128, DESIGN_NODES)
private val controlOrganisations = listOf(2, 4, 8)
private const val CONTROL_MINUTES = 2
private const val HALF_LOAD = 50
private const val OVERLOAD = 150

/** Requests in flight that no run reaches, so that tokens alone are limited. */
private const val MANY_IN_FLIGHT = 100_000

/** Measures the shared limits beside a static split and a central counter; depends only on [options]. */
public fun limitsBench(options: LimitsBenchOptions): LimitsBenchResult {
    require(options.nodes >= 1) { "nodes ${options.nodes} must be at least 1" }
    require(options.organisations >= 1) { "organisations ${options.organisations} must be at least 1" }
    require(options.minutes >= 2) { "minutes ${options.minutes} must be at least 2" }
    val spreads = listOf(1, minOf(TEN, options.nodes), options.nodes).distinct()
    val runs =
        LimitScheme.entries.flatMap { scheme ->
            LimitFault.entries.flatMap { fault ->
                spreads.map { run(options, scheme, fault, it) }
            }
        }
    val control = if (options.control) listOf(HALF_LOAD, OVERLOAD).flatMap { control(options, it) } else emptyList()
    return LimitsBenchResult(options, runs, control, limitIdeas(options.seed), targets(runs, control))
}

private fun run(
    options: LimitsBenchOptions,
    scheme: LimitScheme,
    fault: LimitFault,
    spread: Int,
): LimitsRun {
    val limit = OrganisationLimit(options.tokensPerMinute, MANY_IN_FLIGHT)
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

private fun control(
    options: LimitsBenchOptions,
    demandPercent: Int,
): List<LimitsControlTraffic> {
    // The demand is that of the design scale in both cases; the limit is above or below it.
    val limit = OrganisationLimit(DESIGN_TOKENS * 100 / demandPercent, MANY_IN_FLIGHT)
    return controlNodes.map { nodes ->
        val bytes =
            controlOrganisations.map { organisations ->
                val fleet = fleet(options, nodes, organisations, limit)
                val run = BenchRun(fleet, demandPercent, nodes, LimitFault.NONE, CONTROL_MINUTES)
                run.run(LimitScheme.SHARED).bytesPerSecond
            }
        val slope = slope(controlOrganisations, bytes)
        val level = bytes.average() - slope * controlOrganisations.average()
        LimitsControlTraffic(
            nodes,
            demandPercent,
            controlOrganisations,
            bytes,
            slope,
            level + slope * DESIGN_ORGANISATIONS,
        )
    }
}

/** Returns the slope of the line of least squares. */
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
    control: List<LimitsControlTraffic>,
): List<LimitsTarget> {
    val own = runs.filter { it.scheme == LimitScheme.SHARED }
    val over = LimitFault.entries.map { f -> atMost("worst minute over the limit, ${f.name}", own, f) }
    val calm = own.filter { it.fault == LimitFault.NONE }
    val used =
        calm.flatMap {
            val at = "demand at ${it.demandNodes} nodes"
            listOf(
                atLeast("usable share with reserved estimates, $at", it.usableShare),
                atLeast("used share in real tokens, $at", it.usedShare),
            )
        }
    val bytes =
        control.filter { it.nodes == DESIGN_NODES }.map {
            val name = "control bytes a second at $DESIGN_NODES nodes, demand ${it.demandPercent}%"
            LimitsTarget(name, it.atDesign, CONTROL_BYTES, it.atDesign <= CONTROL_BYTES)
        }
    return over + used + bytes
}

private fun atMost(
    name: String,
    runs: List<LimitsRun>,
    fault: LimitFault,
): LimitsTarget {
    val worst = runs.filter { it.fault == fault }.maxOf { it.worstOver }
    return LimitsTarget(name, worst, MOST_OVER, worst <= MOST_OVER)
}

private fun atLeast(
    name: String,
    value: Double,
): LimitsTarget = LimitsTarget(name, value, LEAST_USABLE, value >= LEAST_USABLE)
