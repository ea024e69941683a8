package org.cicadaturn.bench.confirmations

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.callerOutcome
import org.cicadaturn.decisions.confirmation.preferredEndpoint
import org.cicadaturn.decisions.confirmation.report
import org.cicadaturn.decisions.confirmation.shardOf
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationLoadReport
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.ConfirmationsBenchOptions
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoredAnswer
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Parameters of one load run. */
internal data class LoadCase(
    val name: String,
    val rate: Int,
    val policy: LedgerPolicy = LedgerPolicy(),
    /** Share of requests that are sent to a random endpoint instead of the owner of the shard. */
    val otherEndpointShare: Double = 0.0,
    /** Share of requests that repeat an earlier key. */
    val repeatShare: Double = 0.0,
    /**
     * True to stop the store in the middle third of the run and to count only the requests and calls of that
     * third.
     */
    val isStoreDown: Boolean = false,
)

/** Sends confirmations at random times with a constant mean rate, and counts store calls and latencies. */
internal class LoadRun(
    private val options: ConfirmationsBenchOptions,
    private val case: LoadCase,
) {
    private class Sample(
        val outcome: Outcome,
        val overhead: Duration,
    )

    private val random = Random(options.seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(1_800_000_000))
    private val start = time.now
    private val store = SimulatedStore(time, random)
    private val ids = List(options.endpoints) { EndpointId("endpoint-$it") }
    private val endpoints = ids.associateWith { SimulatedEndpoint(time, store, case.policy, ::step) }
    private val ownerOfShard = (0 until options.shards).map { preferredEndpoint(service, it, ids) }
    private val samples = mutableListOf<Sample>()
    private var keysSent = 0
    private val thirdOfLoadTime = options.loadTime / 3
    private val countFrom: Instant = if (case.isStoreDown) start + thirdOfLoadTime else start
    private val countUntil: Instant = if (case.isStoreDown) start + thirdOfLoadTime * 2 else start + options.loadTime
    private var countsBefore = listOf(0, 0, 0)
    private var bytesBefore = 0L
    private var countsAfter = listOf(0, 0, 0)
    private var bytesAfter = 0L

    fun run(): ConfirmationLoadReport {
        val stored = (0 until options.storedRecords).map { typicalRecord("stored $it", 256, start) }
        for (shard in 0 until options.shards) store.setRecords(shard, stored)
        if (case.isStoreDown) {
            time.at(countFrom) { store.condition = StoreCondition(refused = 1.0) }
            time.at(countUntil) { store.condition = StoreCondition() }
        }
        time.at(countFrom) {
            countsBefore = callCounts()
            bytesBefore = store.counts.bytes
        }
        time.at(countUntil) {
            countsAfter = callCounts()
            bytesAfter = store.counts.bytes
        }
        scheduleNextRequest()
        time.runUntil(start + options.loadTime + 1.minutes)
        return report()
    }

    private fun callCounts() = listOf(store.counts.writes, store.counts.reads, store.counts.conflicts)

    private fun scheduleNextRequest() {
        val gap = 1.seconds * (-ln(1.0 - random.nextDouble()) / case.rate)
        if (time.now + gap >= start + options.loadTime) return
        time.after(gap) {
            sendRequest()
            scheduleNextRequest()
        }
    }

    private fun sendRequest() {
        val isRepeat = keysSent > 0 && random.nextDouble() < case.repeatShare
        val number = if (isRepeat) random.nextInt(keysSent) else keysSent++
        val digest = Digest("%064x".format(number))
        val shard = shardOf(digest, options.shards)
        val owner = endpoints.getValue(requireNotNull(ownerOfShard[shard]))
        val endpoint = if (random.nextDouble() < case.otherEndpointShare) endpoints.values.random(random) else owner
        val arrivedAt = time.now
        val isCounted = arrivedAt >= countFrom && arrivedAt < countUntil
        var callTime = Duration.ZERO
        endpoint.request(
            EndpointRequest(
                shard = shard,
                key = ConfirmationKey(digest, digest),
                deadline = arrivedAt + 10.seconds,
                attempt = AttemptId("%036x".format(random.nextLong())),
                call = { _, ended ->
                    callTime = CALL_TIME
                    time.after(CALL_TIME) { ended(CallResult.Answered(typicalAnswer(256))) }
                },
                reply = { if (isCounted) samples += Sample(outcome(it), time.now - arrivedAt - callTime) },
            ),
        )
    }

    private fun outcome(result: ConfirmationResult): Outcome = callerOutcome(listOf(result.report()))

    private fun report(): ConfirmationLoadReport {
        val (writes, reads, conflicts) = countsAfter.zip(countsBefore) { a, b -> a - b }
        val seconds = (countUntil - countFrom).toDouble(DurationUnit.SECONDS)
        val sorted = samples.map { it.overhead }.sorted()
        return ConfirmationLoadReport(
            name = case.name,
            rate = case.rate,
            requests = samples.size,
            done = samples.count { it.outcome == Outcome.DONE },
            toldUnknown = samples.count { it.outcome == Outcome.UNKNOWN },
            toldNotRun = samples.count { it.outcome == Outcome.NOT_RUN },
            writes = writes,
            reads = reads,
            conflicts = conflicts,
            writesPerSecond = (writes / seconds).toInt(),
            callsPerThousand = if (samples.isEmpty()) 0 else (writes + reads) * 1_000 / samples.size,
            kilobytesPerSecond = ((bytesAfter - bytesBefore) / seconds / 1_000).toInt(),
            medianMillis = sorted.percentile(50),
            p99Millis = sorted.percentile(99),
        )
    }

    private fun List<Duration>.percentile(percent: Int): Int =
        if (isEmpty()) 0 else this[(size - 1) * percent / 100].inWholeMilliseconds.toInt()

    private companion object {
        val service = ServiceId("booking")
        val CALL_TIME = 50.milliseconds
    }
}

/** Returns the cases to measure at [rate] confirmations per second. */
internal fun loadCases(rate: Int): List<LoadCase> {
    val unpaced = LedgerPolicy(writeBurst = 1_000_000)
    return listOf(
        LoadCase("writes combined only while one is in progress", rate, unpaced),
        LoadCase("writes combined and paced (default)", rate),
        LoadCase("default, 10% of requests at another endpoint", rate, otherEndpointShare = 0.1),
        LoadCase("default, 20% repeats, during a store outage", rate, repeatShare = 0.2, isStoreDown = true),
    )
}

/** Returns a record with digests and ids of the usual length and an answer body of [answerBytes] bytes. */
internal fun typicalRecord(
    key: String,
    answerBytes: Int,
    changedAt: Instant,
): ConfirmationRecord =
    ConfirmationRecord(
        key = Digest(key.padEnd(64, '0')),
        body = Digest("0".repeat(64)),
        attempt = AttemptId("0".repeat(36)),
        state = ClaimState.DONE,
        changedAt = changedAt,
        answer = typicalAnswer(answerBytes),
    )

private fun typicalAnswer(bytes: Int) = StoredAnswer(status = 200, body = "A".repeat((bytes + 2) / 3 * 4))
