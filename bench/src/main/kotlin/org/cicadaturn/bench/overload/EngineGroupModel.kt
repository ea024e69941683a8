package org.cicadaturn.bench.overload

import org.cicadaturn.bench.VirtualTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Constants of the engine model, close to those of the users' engines. */
internal object EngineModel {
    const val SLOTS = 8

    /** Requests that wait at a rank before it refuses others. */
    const val QUEUE = 16
    const val STEPS_PER_PASS = 4
    val STEP_TIME = 4.55.milliseconds
    val STEP_TIME_PER_REQUEST = 1.36.milliseconds

    /** Time for which a pass is longer if a request begins in it, as its prompt has to be read. */
    val PROMPT_TIME = 18.milliseconds

    /** Load of the most loaded rank relative to the mean, with a fitting expert map. */
    const val SKEW = 1.4
    val STALL_TIME = 1_500.milliseconds

    /** Delay with which a rank's report reflects its state. */
    val REPORT_LAG = 200.milliseconds
}

/**
 * Request at an engine.
 *
 * @property onEvent called for each event; the first one also stands for the head of the answer
 * @property onEnd called at the end with true if all events were sent
 */
internal class EngineRequest(
    var events: Int,
    val onEvent: () -> Unit,
    val onEnd: (isComplete: Boolean) -> Unit,
) {
    var hasBegun = false
    var isCancelled = false
}

/** Answer of a rank to a new request. */
internal enum class RankAnswer {
    ACCEPTED,
    FULL,
    BROKEN,
}

/** Group of ranks that run every pass together, in virtual time. */
internal class EngineGroupModel(
    private val time: VirtualTime,
    ranks: Int,
) {
    private class Rank {
        val running = mutableListOf<EngineRequest>()
        val waiting = ArrayDeque<EngineRequest>()
    }

    private val ranks = List(ranks) { Rank() }
    private var isPassScheduled = false

    /** Factor on the duration of passes. */
    var slowness = 1.0

    /** Number that rises each time the group forms again. */
    var epoch = 1L
        private set
    var isOpen = true
        private set

    fun running(rank: Int): Int = ranks[rank].running.size

    fun waiting(rank: Int): Int = ranks[rank].waiting.size

    fun submit(
        rank: Int,
        request: EngineRequest,
    ): RankAnswer {
        val target = ranks[rank]
        if (!isOpen) return RankAnswer.BROKEN
        if (target.running.size >= EngineModel.SLOTS && target.waiting.size >= EngineModel.QUEUE) return RankAnswer.FULL
        target.waiting += request
        schedulePass()
        return RankAnswer.ACCEPTED
    }

    /** Takes the group down; requests in it stall and are then cut off. */
    fun fail() {
        isOpen = false
        val cut = ranks.flatMap { it.running + it.waiting }
        ranks.forEach {
            it.running.clear()
            it.waiting.clear()
        }
        time.after(EngineModel.STALL_TIME) { cut.forEach { if (!it.isCancelled) it.onEnd(false) } }
    }

    fun recover() {
        isOpen = true
        epoch += 1
    }

    private fun schedulePass() {
        if (isPassScheduled) return
        isPassScheduled = true
        var begins = false
        for (rank in ranks) {
            rank.running.removeAll { it.isCancelled }
            rank.waiting.removeAll { it.isCancelled }
            while (rank.running.size < EngineModel.SLOTS) rank.running += rank.waiting.removeFirstOrNull() ?: break
            begins = begins || rank.running.any { !it.hasBegun }
        }
        val most = ranks.maxOf { it.running.size }
        val steps = (EngineModel.STEP_TIME + EngineModel.STEP_TIME_PER_REQUEST * most) * EngineModel.STEPS_PER_PASS
        val prompts = if (begins) EngineModel.PROMPT_TIME else Duration.ZERO
        time.after((steps + prompts) * EngineModel.SKEW * slowness) { endPass() }
    }

    private fun endPass() {
        isPassScheduled = false
        if (!isOpen) return
        for (rank in ranks) {
            for (request in rank.running.toList()) {
                if (request.isCancelled) continue
                request.hasBegun = true
                request.events -= 1
                request.onEvent()
                if (request.events > 0) continue
                rank.running -= request
                request.onEnd(true)
            }
        }
        if (ranks.any { it.running.isNotEmpty() || it.waiting.isNotEmpty() }) schedulePass()
    }
}
