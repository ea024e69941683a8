package org.cicadaturn.bench.load

import org.HdrHistogram.Histogram
import org.cicadaturn.schema.generated.CallKind
import org.cicadaturn.schema.generated.KindReport
import org.cicadaturn.schema.generated.OrderRuns
import org.cicadaturn.schema.generated.TrafficReport
import kotlin.time.Duration

private const val HIGHEST_MICROS = 3_600_000_000L
private const val MICROS_PER_MS = 1000.0

/** Returns the report on [results], given what the order services say they ran in [runs]. */
public fun summariseTraffic(
    results: List<CallResult>,
    runs: List<OrderRuns>,
    deadline: Duration,
): TrafficReport {
    val runsOf = runs.flatMap { it.keys }.groupBy({ it.key }, { it.runs }).mapValues { it.value.sum() }
    val orders = results.filter { it.kind == CallKind.ORDER }
    return TrafficReport(
        kinds = CallKind.entries.map { kind -> kindReport(kind, results.filter { it.kind == kind }, deadline) },
        lost = orders.count { it.end != CallEnd.WHOLE || runsOf.getOrDefault(it.key, 0) == 0L },
        doubled = orders.count { runsOf.getOrDefault(it.key, 0) > 1 },
        falseNotRun = orders.count { it.outcome == "not_run" && runsOf.getOrDefault(it.key, 0) > 0 },
    )
}

private fun kindReport(
    kind: CallKind,
    results: List<CallResult>,
    deadline: Duration,
): KindReport {
    val whole = results.filter { it.end == CallEnd.WHOLE }
    val times = Histogram(HIGHEST_MICROS, 3)
    whole.forEach { times.recordValue(it.took.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS)) }
    return KindReport(
        kind = kind,
        sent = results.size,
        whole = whole.size,
        inTime = whole.count { it.took <= deadline },
        refused = results.count { it.end == CallEnd.REFUSED },
        cut = results.count { it.end == CallEnd.CUT },
        wrong = results.count { it.end == CallEnd.WRONG },
        repeats = results.sumOf { it.repeats },
        p50Ms = times.getValueAtPercentile(50.0) / MICROS_PER_MS,
        p99Ms = times.getValueAtPercentile(99.0) / MICROS_PER_MS,
    )
}

/** Returns [report] as a table for people. */
public fun renderTraffic(report: TrafficReport): String {
    val rows =
        report.kinds.map { k ->
            "%-6s %6d %6d %7d %7d %4d %5d %7d %8.1f %8.1f".format(
                k.kind.name.lowercase(),
                k.sent,
                k.whole,
                k.inTime,
                k.refused,
                k.cut,
                k.wrong,
                k.repeats,
                k.p50Ms,
                k.p99Ms,
            )
        }
    val head = "kind     sent  whole in-time refused  cut wrong repeats   p50 ms   p99 ms"
    val orders = "orders: lost ${report.lost}, doubled ${report.doubled}, false not_run ${report.falseNotRun}"
    return (listOf(head) + rows + orders).joinToString("\n")
}
