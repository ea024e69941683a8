package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Probabilities of faults.
 *
 * @property breaks share of the runs at engines that are broken off
 * @property pauses share of the runs at engines that pause once, as if their memory had been taken
 * @property stalls probability that a pass of a group lasts for more than a second
 * @property resets share of the answers of other endpoints after which the connection is reset
 */
internal data class Roughness(
    val breaks: Double,
    val pauses: Double,
    val stalls: Double,
    val resets: Double,
) {
    companion object {
        /** Returns the usual faults, [factor] times as often. */
        fun of(factor: Double) = Roughness(0.01 * factor, 0.03 * factor, 0.003 * factor, 0.02 * factor)
    }
}

/** What an engine tells the connection of a run. */
internal sealed interface RunSignal {
    data object Refused : RunSignal

    data class Event(
        val number: Int,
    ) : RunSignal

    data object BrokenOff : RunSignal
}

/** Events [next] to [last] of a stream at the engine [rank]. */
internal class EngineRun(
    val rank: Int,
    var next: Int,
    val last: Int,
) {
    val signals = Channel<RunSignal>(Channel.UNLIMITED)

    /** Passes in which the run makes no event. */
    var pausedPasses = 0
}

/** Requests at one engine, and the last pass of its group. */
internal data class EngineLoad(
    val running: Int = 0,
    val waiting: Int = 0,
    val step: Long = 0,
)

/** Engines whose runs all advance in the same passes; the task of the group owns the runs. */
internal class EngineGroup(
    val size: Int,
    private val random: Random,
    private val roughness: Roughness,
) {
    private sealed interface Message {
        class Submit(
            val run: EngineRun,
        ) : Message

        class Leave(
            val run: EngineRun,
        ) : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val published = MutableStateFlow(List(size) { EngineLoad() })
    private val running = List(size) { mutableListOf<EngineRun>() }
    private val waiting = List(size) { ArrayDeque<EngineRun>() }

    /** Load of each engine as of the last pass. */
    val loads: StateFlow<List<EngineLoad>> get() = published

    fun start(scope: CoroutineScope) = scope.launch { runPasses() }

    /** Begins [run], or queues or refuses it; its signals tell which. */
    suspend fun submit(run: EngineRun) = messages.send(Message.Submit(run))

    /** Ends [run], whose connection is gone. */
    fun leave(run: EngineRun) {
        messages.trySend(Message.Leave(run))
    }

    private suspend fun runPasses() {
        var step = 0L
        while (true) {
            if (running.all { it.isEmpty() } && waiting.all { it.isEmpty() }) handle(messages.receive())
            while (true) handle(messages.tryReceive().getOrNull() ?: break)
            for (rank in 0 until size) admit(rank)
            delay(passTime())
            while (true) handle(messages.tryReceive().getOrNull() ?: break)
            running.forEach(::advance)
            step += 1
            published.value = List(size) { EngineLoad(running[it].size, waiting[it].size, step) }
        }
    }

    private fun handle(message: Message) {
        when (message) {
            is Message.Submit -> {
                val queue = waiting[message.run.rank]
                if (queue.size < QUEUE) queue += message.run else message.run.signals.trySend(RunSignal.Refused)
            }
            is Message.Leave -> {
                running[message.run.rank] -= message.run
                waiting[message.run.rank] -= message.run
            }
        }
    }

    private fun admit(rank: Int) {
        while (running[rank].size < SLOTS) running[rank] += waiting[rank].removeFirstOrNull() ?: break
    }

    private fun passTime(): Duration {
        if (random.nextDouble() < roughness.stalls) return 1.seconds + random.nextInt(1_000).milliseconds
        val load = running.sumOf { it.size }.toDouble() / (size * SLOTS)
        val extra = if (random.nextInt(10) == 0) random.nextInt(30) else 0
        return (SHORTEST_PASS_MILLIS + 30 * load + extra).toInt().milliseconds
    }

    private fun advance(runs: MutableList<EngineRun>) {
        // A share of a run's faults falls to each of its events, of which a mean run has 24.
        val perEvent = 1.0 / MEAN_EVENTS
        for (run in runs) {
            if (run.pausedPasses > 0) {
                run.pausedPasses -= 1
                continue
            }
            if (random.nextDouble() < roughness.breaks * perEvent) run.signals.trySend(RunSignal.BrokenOff)
            if (random.nextDouble() < roughness.pauses * perEvent) run.pausedPasses = 10 + random.nextInt(14)
            if (run.next <= run.last) run.signals.trySend(RunSignal.Event(run.next))
            run.next += 1
        }
        runs.removeAll { it.next > it.last }
    }

    companion object {
        const val SLOTS = 8

        /** Requests that wait for a slot of an engine. */
        const val QUEUE = 4
        const val MEAN_EVENTS = 24
        private const val SHORTEST_PASS_MILLIS = 60
    }
}
