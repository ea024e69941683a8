package org.cicadaturn.bench.load

import org.HdrHistogram.Histogram
import org.cicadaturn.schema.generated.CallKind
import org.cicadaturn.schema.generated.KindReport
import org.cicadaturn.schema.generated.OrderRuns
import org.cicadaturn.schema.generated.TrafficReport
import kotlin.time.Duration

private const val MAX_MICROS = 3_600_000_000L
private const val MICROS_PER_MS = 1000.0

/** Returns the report on [results]; [runs] are the runs of orders that the order services counted. */
public fun summariseTraffic(
    results: List<CallResult>,
    runs: List<OrderRuns>,
    deadline: Duration,
): TrafficReport {
    val runsByKey = runs.flatMap { it.keys }.groupBy({ it.key }, { it.runs }).mapValues { it.value.sum() }
    val orders = results.filter { it.kind == CallKind.ORDER }
    return TrafficReport(
        kinds = CallKind.entries.map { kind -> kindReport(kind, results.filter { it.kind == kind }, deadline) },
        lost = orders.count { it.end != CallEnd.COMPLETE || runsByKey.getOrDefault(it.key, 0) == 0L },
        doubled = orders.count { runsByKey.getOrDefault(it.key, 0) > 1 },
        falseNotRun = orders.count { it.outcome == "not_run" && runsByKey.getOrDefault(it.key, 0) > 0 },
    )
}

private fun kindReport(
    kind: CallKind,
    results: List<CallResult>,
    deadline: Duration,
): KindReport {
    val complete = results.filter { it.end == CallEnd.COMPLETE }
    val times = Histogram(MAX_MICROS, 3)
    complete.forEach { times.recordValue(it.duration.inWholeMicroseconds.coerceIn(0, MAX_MICROS)) }
    return KindReport(
        kind = kind,
        sent = results.size,
        whole = complete.size,
        inTime = complete.count { it.duration <= deadline },
        refused = results.count { it.end == CallEnd.REFUSED },
        cut = results.count { it.end == CallEnd.TRUNCATED },
        wrong = results.count { it.end == CallEnd.WRONG },
        repeats = results.sumOf { it.repeats },
        p50Ms = times.getValueAtPercentile(50.0) / MICROS_PER_MS,
        p99Ms = times.getValueAtPercentile(99.0) / MICROS_PER_MS,
    )
}

/** Returns [report] as a text table. */
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
    val header = "kind     sent  whole in-time refused  cut wrong repeats   p50 ms   p99 ms"
    val orders = "orders: lost ${report.lost}, doubled ${report.doubled}, false not_run ${report.falseNotRun}"
    return (listOf(header) + rows + orders).joinToString("\n")
}
