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

/** How the store behaves for a while. */
internal data class StoreCondition(
    /** Added to each way of a call. */
    val slowness: Duration = Duration.ZERO,
    /** Share of calls that are proven not to reach the store. */
    val refused: Double = 0.0,
    /** Share of calls that are lost before their effect; a part of the writes takes effect late. */
    val lost: Double = 0.0,
    /** Share of calls whose answer is lost after their effect. */
    val unanswered: Double = 0.0,
)

/** Counts the calls of a store. */
internal class StoreCounts {
    var writes = 0
    var reads = 0
    var conflicts = 0
    var bytes = 0L
}

/** Keeps shards under versions with conditional writes, with a latency and faults in virtual time. */
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

    fun preset(
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
        if (random.nextDouble() < condition.refused) return answerLater(WAY) { reply(ReadAnswer.Failed) }
        if (random.nextDouble() < condition.lost + condition.unanswered) {
            onFault("store read lost")
            return answerLater(TIMEOUT) { reply(ReadAnswer.Failed) }
        }
        if (condition.slowness + condition.slowness > TIMEOUT) {
            return answerLater(TIMEOUT) { reply(ReadAnswer.Failed) }
        }
        time.after(way()) {
            val stored = shards[shard]
            val answer = ReadAnswer.Value(stored?.let { Version(it.version) }, stored?.records.orEmpty())
            answerLater(way()) { reply(answer) }
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
                answerLater(WAY) { reply(WriteAnswer.NoEffect) }
            }

            isLost -> {
                onFault("store write lost or late")
                if (random.nextBoolean()) time.after(TIMEOUT * random.nextDouble(LATEST)) { apply(shard, action) }
                answerLater(TIMEOUT) { reply(WriteAnswer.Unanswered) }
            }

            isUnanswered || condition.slowness + condition.slowness > TIMEOUT -> {
                onFault("store write answer lost")
                time.after(way()) { apply(shard, action) }
                answerLater(TIMEOUT) { reply(WriteAnswer.Unanswered) }
            }

            else -> {
                time.after(way()) {
                    val answer = apply(shard, action)
                    answerLater(way()) { reply(answer) }
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

    private fun way(): Duration = WAY * random.nextDouble(SHORTEST_WAY, LONGEST_WAY) + condition.slowness

    private fun answerLater(
        wait: Duration,
        answer: () -> Unit,
    ) = time.after(wait, answer)

    private companion object {
        /** Mean time of one way of a call; the platform's store answers in milliseconds. */
        val WAY = 2.milliseconds
        const val SHORTEST_WAY = 0.5
        const val LONGEST_WAY = 1.5

        /** Default of the setting store.timeout. */
        val TIMEOUT = 2.seconds

        /** A lost write takes effect up to this many timeouts after it was sent. */
        const val LATEST = 6.0
    }
}
