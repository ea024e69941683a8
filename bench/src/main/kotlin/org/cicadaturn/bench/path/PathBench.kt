package org.cicadaturn.bench.path

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.HdrHistogram.ConcurrentHistogram
import org.cicadaturn.schema.generated.LatencyRow
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PathBenchOptions
import org.cicadaturn.schema.generated.PathBenchResult
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val MAX_MICROS = 60_000_000L
private const val MICROS_PER_MS = 1000.0

/** Shares of the saturation rate at which latency is measured. */
private val rateShares = listOf(0.1, 0.25, 0.5)

/**
 * Compares calls through one entry and one endpoint process with direct calls to the same stand-in.
 *
 * Calls start at fixed times, independent of earlier answers (open loop), and are timed from their scheduled
 * start. The latencies thus include the delay of a late start, which avoids coordinated omission. Both ways are
 * measured in turn in the same run.
 */
public suspend fun pathBench(options: PathBenchOptions): PathBenchResult =
    coroutineScope {
        val setup = startPathSetup(this)
        val caller = PathCaller(PATH_BENCH_KEY)
        val time = options.seconds.seconds
        // The first rounds are warm-up of the just-in-time compiler.
        repeat(2) {
            measureSaturation(caller, setup.direct, options.workers, time)
            measureSaturation(caller, setup.path, options.workers, time)
        }
        val direct = measureSaturation(caller, setup.direct, options.workers, time)
        val path = measureSaturation(caller, setup.path, options.workers, time)
        val rows =
            rateShares.flatMap { share ->
                val rate = path * share
                listOf(
                    measureLatency("direct", caller, setup.direct, rate, time),
                    measureLatency("path", caller, setup.path, rate, time),
                )
            }
        caller.close()
        setup.close()
        val result = PathBenchResult(path, direct, Runtime.getRuntime().availableProcessors(), rows)
        coroutineContext[kotlinx.coroutines.Job]?.children?.forEach { it.cancel() }
        result
    }

private suspend fun measureSaturation(
    caller: PathCaller,
    address: NetworkAddress,
    workers: Int,
    time: Duration,
): Double =
    coroutineScope {
        val calls = AtomicLong()
        val start = TimeSource.Monotonic.markNow()
        List(workers) {
            launch {
                while (start.elapsedNow() < time) {
                    if (caller.call(address)) calls.incrementAndGet()
                }
            }
        }.joinAll()
        calls.get() / (start.elapsedNow() / 1.seconds)
    }

private suspend fun measureLatency(
    way: String,
    caller: PathCaller,
    address: NetworkAddress,
    perSecond: Double,
    time: Duration,
): LatencyRow =
    coroutineScope {
        val times = ConcurrentHistogram(MAX_MICROS, 3)
        val failures = AtomicLong()
        val start = TimeSource.Monotonic.markNow()
        val callCount = (perSecond * (time / 1.seconds)).toInt()
        val calls =
            List(callCount) { i ->
                val due = (i / perSecond).seconds
                val timeUntilDue = due - start.elapsedNow()
                if (timeUntilDue > Duration.ZERO) delay(timeUntilDue)
                launch {
                    if (!caller.call(address)) failures.incrementAndGet()
                    times.recordValue((start.elapsedNow() - due).inWholeMicroseconds.coerceIn(0, MAX_MICROS))
                }
            }
        calls.joinAll()
        LatencyRow(
            way = way,
            perSecond = perSecond,
            calls = callCount.toLong(),
            failures = failures.get(),
            p50Ms = times.getValueAtPercentile(50.0) / MICROS_PER_MS,
            p99Ms = times.getValueAtPercentile(99.0) / MICROS_PER_MS,
            p999Ms = times.getValueAtPercentile(99.9) / MICROS_PER_MS,
        )
    }

/** Returns [result] as a text table, with the latency that the path adds to direct calls. */
public fun renderPathBench(result: PathBenchResult): String {
    val header = "way     calls/s   calls failed   p50 ms   p99 ms p99.9 ms"
    val rows =
        result.rows.map {
            "%-6s %8.0f %7d %6d %8.3f %8.3f %8.3f".format(
                it.way,
                it.perSecond,
                it.calls,
                it.failures,
                it.p50Ms,
                it.p99Ms,
                it.p999Ms,
            )
        }
    val added =
        result.rows.chunked(2).map { (direct, path) ->
            "added at %.0f/s: p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms".format(
                path.perSecond,
                path.p50Ms - direct.p50Ms,
                path.p99Ms - direct.p99Ms,
                path.p999Ms - direct.p999Ms,
            )
        }
    val ratio =
        "saturation: path %.0f/s, direct %.0f/s, ratio %.2f; %.0f/s a core of %d".format(
            result.saturation,
            result.directSaturation,
            result.saturation / result.directSaturation,
            result.saturation / result.cores,
            result.cores,
        )
    return (listOf(header) + rows + added + ratio).joinToString("\n")
}
