package org.cicadaturn.bench.routing

import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.RoutingBenchResult
import org.cicadaturn.schema.generated.RoutingBenchRun
import org.cicadaturn.schema.generated.RoutingTarget
import org.cicadaturn.schema.generated.SubsetBalance
import java.util.Locale

/** Returns the result as a JSON document. */
public fun RoutingBenchResult.toJson(): String = json.encodeToString(RoutingBenchResult.serializer(), this)

/** Returns the result as text tables for a terminal. */
public fun RoutingBenchResult.toText(): String =
    buildString {
        appendLine(
            "routing: seed ${options.seed}, ${options.endpoints} endpoints, ${options.nodes} nodes, " +
                "reports ${options.reportLag} old, ${options.coldPercent}% cold, ${options.stalledPercent}% stalled, " +
                "${options.duration}",
        )
        appendLine()
        appendLine(RUN_HEADER)
        runs.forEach { appendLine(line(it)) }
        if (decisionTimes.isNotEmpty()) {
            appendLine()
            appendLine("endpoints  time of a decision  ratio to the smallest")
            decisionTimes.forEach { appendLine(format("%9d  %15.0f ns  %5.2f", it.endpoints, it.nanos, it.ratio)) }
        }
        appendLine()
        appendLine("entries  endpoints  for an entry  uncovered  imbalance  after a tenth left  moved")
        subsets.forEach { appendLine(line(it)) }
        appendLine()
        appendLine("targets")
        targets.forEach { appendLine(line(it)) }
    }

private fun line(run: RoutingBenchRun): String =
    format(
        "%3d%%  %-15s  %8d  %7.4f  %9.1f  %7.1f  %13d  %7.4f  %7.2f  %7d  %6d",
        run.loadPercent,
        run.policy,
        run.requests,
        run.inTimeShare,
        run.firstTokenP95.inWholeMicroseconds / 1_000.0,
        run.gapP95.inWholeMicroseconds / 1_000.0,
        run.coldOverload,
        run.retryShare,
        run.goodput,
        run.refused,
        run.failed,
    )

private fun line(subset: SubsetBalance): String =
    format(
        "%7d  %9d  %5d..%5d  %9d  %9.3f  %18.3f  %5.3f",
        subset.entries,
        subset.endpoints,
        subset.smallest,
        subset.largest,
        subset.uncovered,
        subset.imbalance,
        subset.imbalanceWithout,
        subset.moved,
    )

private fun line(target: RoutingTarget): String {
    val verdict = if (target.met) "met    " else "NOT MET"
    return format("%s  %s %.4f: %.4f", verdict, target.name, target.bound, target.value)
}

// Uses the root locale, so that numbers have the same format on every machine.
private fun format(
    pattern: String,
    vararg values: Any,
): String = String.format(Locale.ROOT, pattern, *values)

private val json = Json { prettyPrint = true }

private const val RUN_HEADER =
    "load  policy           requests  in time  ttft p95   gap p95  cold overload  retries  goodput  refused  failed"
