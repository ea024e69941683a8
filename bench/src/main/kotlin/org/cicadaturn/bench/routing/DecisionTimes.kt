package org.cicadaturn.bench.routing

import org.cicadaturn.decisions.routing.Candidate
import org.cicadaturn.decisions.routing.Choice
import org.cicadaturn.decisions.routing.RoutingInput
import org.cicadaturn.decisions.routing.Work
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.DecisionTime
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.measureTime

/**
 * Measures the time of one routing decision for several numbers of endpoints.
 *
 * Each round measures all numbers of endpoints, so that a change of the speed of the machine affects all of them. The
 * first rounds are warm-up and do not count.
 */
internal fun decisionTimes(seed: Long): List<DecisionTime> {
    val inputs = ENDPOINT_COUNTS.associateWith { decisionInput(it, seed) }
    val samples = ENDPOINT_COUNTS.associateWith { ArrayList<Double>() }
    val chooser = sampledChooser(Random(seed))
    var chosen = 0
    repeat(WARM_UP_ROUNDS + MEASURED_ROUNDS) { round ->
        for ((size, input) in inputs) {
            val time = measureTime { repeat(DECISIONS_PER_SAMPLE) { if (chooser(input) is Choice.Chosen) chosen += 1 } }
            val nanos = time.inWholeNanoseconds.toDouble() / DECISIONS_PER_SAMPLE
            if (round >= WARM_UP_ROUNDS) samples.getValue(size) += nanos
        }
    }
    check(chosen == (WARM_UP_ROUNDS + MEASURED_ROUNDS) * DECISIONS_PER_SAMPLE * ENDPOINT_COUNTS.size) {
        "a decision found no endpoint"
    }
    val medians = samples.mapValues { (_, values) -> values.sorted()[values.size / 2] }
    val smallest = medians.getValue(ENDPOINT_COUNTS.first())
    return medians.map { (size, nanos) -> DecisionTime(size, nanos, nanos / smallest) }
}

private fun decisionInput(
    size: Int,
    seed: Long,
): RoutingInput {
    val random = Random(seed)
    val candidates =
        List(size) { number ->
            val running = random.nextInt(32)
            val id = EndpointId("endpoint-$number")
            val report =
                LoadReport(id, ServiceId("draft"), 1, EngineState.WARM, running, 0, 32, running * 600L, true)
            val network = if (number % 3 == 0) Duration.ZERO else 2.milliseconds
            Candidate(id, report, Work(1, 600), network = network)
        }
    val (local, remote) = candidates.partition { it.network == Duration.ZERO }
    val now = Instant.fromEpochSeconds(0)
    return RoutingInput(local, remote, tokens = 600, deadline = now + 30.seconds, now = now)
}

private val ENDPOINT_COUNTS = listOf(10, 100, 1_000, 3_800)
private const val WARM_UP_ROUNDS = 30
private const val MEASURED_ROUNDS = 51
private const val DECISIONS_PER_SAMPLE = 5_000
