package org.cicadaturn.bench.overload

import org.cicadaturn.schema.generated.GoodputAtLoad
import org.cicadaturn.schema.generated.LoadPattern
import org.cicadaturn.schema.generated.OverloadBenchOptions
import org.cicadaturn.schema.generated.OverloadBenchResult
import org.cicadaturn.schema.generated.OverloadBenchRun
import org.cicadaturn.schema.generated.OverloadPolicy

/**
 * Compares the dispatcher of the gateways with simpler policies under load and faults, on a model of engines and
 * callers in virtual time; the result depends only on [options].
 */
public fun overloadBench(options: OverloadBenchOptions): OverloadBenchResult {
    val runs =
        LoadPattern.entries.flatMap { pattern ->
            OverloadPolicy.entries.map { OverloadRun(options, pattern, it).run() }
        }
    val goodput =
        OverloadPolicy.entries.flatMap { policy ->
            loadPercents.map { load -> goodputAt(options.copy(loadPercent = load), policy) }
        }
    val bySize = gatewayCounts.map { goodputAt(options.copy(gateways = it, loadPercent = 200), OverloadPolicy.OWN) }
    return OverloadBenchResult(options, runs, goodput + bySize)
}

private val loadPercents = listOf(50, 100, 150, 200, 300, 400)
private val gatewayCounts = listOf(6, 36, 300)

private fun goodputAt(
    options: OverloadBenchOptions,
    policy: OverloadPolicy,
): GoodputAtLoad {
    val run = OverloadRun(options, LoadPattern.STEADY, policy).run()
    return GoodputAtLoad(policy, options.gateways, options.loadPercent, run.goodput)
}

/** Returns [result] as text for a terminal. */
public fun renderOverload(result: OverloadBenchResult): String {
    val runs = result.runs.joinToString("\n") { renderRun(it) }
    val goodput =
        result.goodput.joinToString("\n") {
            "%s, %d gateways, load %d%%: %.1f answers in aim a second"
                .format(it.policy, it.gateways, it.loadPercent, it.goodput)
        }
    return "$runs\n$goodput"
}

private fun renderRun(run: OverloadBenchRun): String =
    (
        "%s %s: %d requests, in aim %.3f, late %.3f, refused %.3f, abandoned %.3f; worst 2 s %.3f; recovered after " +
            "%.0f s; small organisations %.3f; largest tenth answered %.3f; refused by ranks %.3f"
    ).format(
        run.pattern,
        run.policy,
        run.offered,
        run.inAim,
        run.late,
        run.refused,
        run.abandoned,
        run.worstSeconds,
        run.recoverySeconds,
        run.smallOrganisations,
        run.largeRequests,
        run.refusedByRanks,
    )
