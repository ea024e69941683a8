package org.cicadaturn.bench.confirmations

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.decisions.confirmation.recordBytes
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Version
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Latency and faults of the store during a period. */
internal data class StoreCondition(
    /** Additional one-way latency. */
    val addedLatency: Duration = Duration.ZERO,
    /** Share of calls that are known not to reach the store. */
    val refused: Double = 0.0,
    /** Share of calls that get no answer; some of the writes among them take effect late. */
    val lost: Double = 0.0,
    /** Share of calls that take effect but whose answer is lost. */
    val unanswered: Double = 0.0,
)

/** Counts of the calls to a store. */
internal class StoreCounts {
    var writes = 0
    var reads = 0
    var conflicts = 0
    var bytes = 0L
}

/** Store of versioned shards with conditional writes, with latency and faults in virtual time. */
internal class SimulatedStore(
    private val time: VirtualTime,
    private val random: Random,
    private val isConditional: Boolean = true,
    private val onFault: (String) -> Unit = {},
) {
    private class Shard(
        val version: Long,
        val records: List<ConfirmationRecord>,
    )

    private val shards = mutableMapOf<Int, Shard>()
    private var lastVersion = 0L
    val counts = StoreCounts()
    var condition = StoreCondition()

    fun setRecords(
        shard: Int,
        records: List<ConfirmationRecord>,
    ) {
        shards[shard] = Shard(++lastVersion, records)
    }

    fun read(
        shard: Int,
        reply: (ReadAnswer) -> Unit,
    ) {
        counts.reads++
        if (random.nextDouble() < condition.refused) return answerLater(MEAN_LATENCY) { reply(ReadAnswer.Failed) }
        if (random.nextDouble() < condition.lost + condition.unanswered) {
            onFault("store read lost")
            return answerLater(TIMEOUT) { reply(ReadAnswer.Failed) }
        }
        if (condition.addedLatency + condition.addedLatency > TIMEOUT) {
            return answerLater(TIMEOUT) { reply(ReadAnswer.Failed) }
        }
        time.after(randomLatency()) {
            val stored = shards[shard]
            val answer = ReadAnswer.Value(stored?.let { Version(it.version) }, stored?.records.orEmpty())
            answerLater(randomLatency()) { reply(answer) }
        }
    }

    fun write(
        shard: Int,
        action: LedgerAction.Write,
        reply: (WriteAnswer) -> Unit,
    ) {
        counts.writes++
        counts.bytes += action.records.sumOf { recordBytes(it) }
        val isLost = random.nextDouble() < condition.lost
        val isUnanswered = random.nextDouble() < condition.unanswered
        when {
            random.nextDouble() < condition.refused -> {
                answerLater(MEAN_LATENCY) { reply(WriteAnswer.NoEffect) }
            }

            isLost -> {
                onFault("store write lost or late")
                if (random.nextBoolean()) {
                    val delay = TIMEOUT * random.nextDouble(MAX_LATE_TIMEOUTS)
                    time.after(delay) { apply(shard, action) }
                }
                answerLater(TIMEOUT) { reply(WriteAnswer.Unanswered) }
            }

            isUnanswered || condition.addedLatency + condition.addedLatency > TIMEOUT -> {
                onFault("store write answer lost")
                time.after(randomLatency()) { apply(shard, action) }
                answerLater(TIMEOUT) { reply(WriteAnswer.Unanswered) }
            }

            else -> {
                time.after(randomLatency()) {
                    val answer = apply(shard, action)
                    answerLater(randomLatency()) { reply(answer) }
                }
            }
        }
    }

    private fun apply(
        shard: Int,
        action: LedgerAction.Write,
    ): WriteAnswer {
        val current = shards[shard]?.version
        if (isConditional && current != action.expected?.number) {
            counts.conflicts++
            return WriteAnswer.Conflict
        }
        shards[shard] = Shard(++lastVersion, action.records)
        return WriteAnswer.Written(Version(lastVersion))
    }

    private fun randomLatency(): Duration =
        MEAN_LATENCY * random.nextDouble(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR) + condition.addedLatency

    private fun answerLater(
        wait: Duration,
        answer: () -> Unit,
    ) = time.after(wait, answer)

    private companion object {
        /** Mean one-way latency of a call; the store of the platform answers within milliseconds. */
        val MEAN_LATENCY = 2.milliseconds
        const val MIN_LATENCY_FACTOR = 0.5
        const val MAX_LATENCY_FACTOR = 1.5

        /** Timeout of a call; the same as the default of the setting store.timeout. */
        val TIMEOUT = 2.seconds

        /** Latest time at which a lost write takes effect after it was sent, in multiples of [TIMEOUT]. */
        const val MAX_LATE_TIMEOUTS = 6.0
    }
}
