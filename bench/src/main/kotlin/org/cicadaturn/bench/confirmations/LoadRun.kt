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

/** Is what one load run varies. */
internal data class LoadCase(
    val name: String,
    val rate: Int,
    val policy: LedgerPolicy = LedgerPolicy(),
    /** Share of requests that go to an endpoint that does not own the shard. */
    val strayShare: Double = 0.0,
    /** Share of requests that repeat an earlier key. */
    val repeatShare: Double = 0.0,
    /** True to count only what happens in the middle third, in which the store is down. */
    val isStoreDown: Boolean = false,
)

/** Offers confirmations at a steady mean rate with random gaps, and counts store calls and times. */
internal class LoadRun(
    private val options: ConfirmationsBenchOptions,
    private val case: LoadCase,
) {
    private class Sample(
        val told: Outcome,
        val overhead: Duration,
    )

    private val random = Random(options.seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(1_800_000_000))
    private val start = time.now
    private val store = SimulatedStore(time, random)
    private val ids = List(options.endpoints) { EndpointId("endpoint-$it") }
    private val endpoints = ids.associateWith { SimulatedEndpoint(time, store, case.policy, ::step) }
    private val owners = (0 until options.shards).map { preferredEndpoint(service, it, ids) }
    private val samples = mutableListOf<Sample>()
    private var offered = 0
    private val third = options.loadTime / 3
    private val countFrom: Instant = if (case.isStoreDown) start + third else start
    private val countUntil: Instant = if (case.isStoreDown) start + third * 2 else start + options.loadTime
    private var before = listOf(0, 0, 0)
    private var bytesBefore = 0L
    private var after = listOf(0, 0, 0)
    private var bytesAfter = 0L

    fun run(): ConfirmationLoadReport {
        val stored = (0 until options.storedRecords).map { typicalRecord("stored $it", 256, start) }
        for (shard in 0 until options.shards) store.preset(shard, stored)
        if (case.isStoreDown) {
            time.at(countFrom) { store.condition = StoreCondition(refused = 1.0) }
            time.at(countUntil) { store.condition = StoreCondition() }
        }
        time.at(countFrom) {
            before = calls()
            bytesBefore = store.counts.bytes
        }
        time.at(countUntil) {
            after = calls()
            bytesAfter = store.counts.bytes
        }
        offerNext()
        time.runUntil(start + options.loadTime + 1.minutes)
        return report()
    }

    private fun calls() = listOf(store.counts.writes, store.counts.reads, store.counts.conflicts)

    private fun offerNext() {
        val gap = 1.seconds * (-ln(1.0 - random.nextDouble()) / case.rate)
        if (time.now + gap >= start + options.loadTime) return
        time.after(gap) {
            offer()
            offerNext()
        }
    }

    private fun offer() {
        val isRepeat = offered > 0 && random.nextDouble() < case.repeatShare
        val number = if (isRepeat) random.nextInt(offered) else offered++
        val digest = Digest("%064x".format(number))
        val shard = shardOf(digest, options.shards)
        val owner = endpoints.getValue(requireNotNull(owners[shard]))
        val endpoint = if (random.nextDouble() < case.strayShare) endpoints.values.random(random) else owner
        val arrivedAt = time.now
        val isCounted = arrivedAt >= countFrom && arrivedAt < countUntil
        var ranFor = Duration.ZERO
        endpoint.request(
            EndpointRequest(
                shard = shard,
                key = ConfirmationKey(digest, digest),
                deadline = arrivedAt + 10.seconds,
                attempt = AttemptId("%036x".format(random.nextLong())),
                call = { _, ended ->
                    ranFor = CALL_TIME
                    time.after(CALL_TIME) { ended(CallResult.Answered(typicalAnswer(256))) }
                },
                reply = { if (isCounted) samples += Sample(told(it), time.now - arrivedAt - ranFor) },
            ),
        )
    }

    private fun told(result: ConfirmationResult): Outcome = callerOutcome(listOf(result.report()))

    private fun report(): ConfirmationLoadReport {
        val (writes, reads, conflicts) = after.zip(before) { a, b -> a - b }
        val seconds = (countUntil - countFrom).toDouble(DurationUnit.SECONDS)
        val sorted = samples.map { it.overhead }.sorted()
        return ConfirmationLoadReport(
            name = case.name,
            rate = case.rate,
            requests = samples.size,
            done = samples.count { it.told == Outcome.DONE },
            toldUnknown = samples.count { it.told == Outcome.UNKNOWN },
            toldNotRun = samples.count { it.told == Outcome.NOT_RUN },
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

/** Returns the cases that are measured at each rate. */
internal fun loadCases(rate: Int): List<LoadCase> {
    val unpaced = LedgerPolicy(writeBurst = 1_000_000)
    return listOf(
        LoadCase("writes combined only while one is in progress", rate, unpaced),
        LoadCase("writes combined and paced (default)", rate),
        LoadCase("default, 10% of requests at another endpoint", rate, strayShare = 0.1),
        LoadCase("default, 20% repeats, during a store outage", rate, repeatShare = 0.2, isStoreDown = true),
    )
}

/** Returns a record with digests and ids of their real length and an answer body of [answerBytes]. */
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
