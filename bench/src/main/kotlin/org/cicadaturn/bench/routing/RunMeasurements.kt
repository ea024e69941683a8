package org.cicadaturn.bench.routing

import org.HdrHistogram.Histogram
import org.cicadaturn.schema.generated.RoutingBenchOptions
import org.cicadaturn.schema.generated.RoutingBenchRun
import org.cicadaturn.schema.generated.RoutingPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

/** Counts and latencies of the requests of one run. */
internal class RunMeasurements {
    private val requests = ArrayList<BenchRequest>()
    private val firstTokens = Histogram(3)
    private val gaps = Histogram(3)
    private var retries = 0
    private var refused = 0
    private var failed = 0

    fun recordRequest(request: BenchRequest) {
        requests += request
    }

    fun recordFirstToken(
        request: BenchRequest,
        time: Duration,
    ) {
        request.firstToken = time
        firstTokens.recordValue(time.inWholeMicroseconds)
    }

    fun recordGap(
        request: BenchRequest,
        time: Duration,
    ) {
        request.gaps += 1
        if (time > BenchRequest.GAP_LIMIT) request.lateGaps += 1
        gaps.recordValue(time.inWholeMicroseconds)
    }

    fun recordRetry() {
        retries += 1
    }

    fun recordRefusal() {
        refused += 1
    }

    fun recordFailure() {
        failed += 1
    }

    fun result(
        policy: RoutingPolicy,
        loadPercent: Int,
        coldOverload: Int,
        options: RoutingBenchOptions,
    ): RoutingBenchRun {
        val weight = requests.sumOf { it.kind.weight }
        val inTime = requests.filter { it.isInTime }.sumOf { it.kind.weight }
        return RoutingBenchRun(
            policy = policy,
            loadPercent = loadPercent,
            requests = requests.size,
            inTimeShare = inTime.toDouble() / maxOf(weight, 1),
            firstTokenP95 = firstTokens.getValueAtPercentile(95.0).microseconds,
            gapP95 = gaps.getValueAtPercentile(95.0).microseconds,
            coldOverload = coldOverload,
            retryShare = retries.toDouble() / maxOf(requests.size, 1),
            goodput = inTime / options.duration.toDouble(DurationUnit.SECONDS),
            refused = refused,
            failed = failed,
        )
    }
}
