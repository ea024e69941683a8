package org.cicadaturn.daemons.site

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
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

/**
 * State of a group after its last pass.
 *
 * @property isOpen false while the group cannot run, as the machine of a rank is down
 * @property epoch number that rises each time the group opens again
 */
internal data class GroupState(
    val isOpen: Boolean,
    val epoch: Long,
    val loads: List<EngineLoad>,
    val orders: List<RankOrders>,
)

/**
 * Engines whose runs all advance in the same passes; the task of the group owns the runs and the orders.
 *
 * If a machine fails or restarts, all runs are broken off, and the group opens again when all machines are up.
 *
 * @param machines states of the machines of the ranks
 */
internal class EngineGroup(
    private val name: String,
    private val machines: List<StateFlow<EndpointMachine>>,
    private val random: Random,
    private val roughness: Roughness,
    private val record: (SiteEvent) -> Unit = {},
) {
    private sealed interface Message {
        class Submit(
            val run: EngineRun,
        ) : Message

        class Leave(
            val run: EngineRun,
        ) : Message

        class Order(
            val rank: Int,
            val order: JsonObject,
            val status: CompletableDeferred<Int>,
        ) : Message

        /** The state of a machine has changed. */
        data object MachineChanged : Message
    }

    val size = machines.size
    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val running = List(size) { mutableListOf<EngineRun>() }
    private val waiting = List(size) { ArrayDeque<EngineRun>() }
    private val firstOrders = RankOrders(VersionedMap(0, List(SETS) { List(size) { rank -> expertsOf(rank) } }))
    private var orders = List(size) { firstOrders }
    private var formedOf = machines.map { it.value }
    private var isOpen = true
    private var epoch = 1L
    private var step = 0L
    private val published = MutableStateFlow(stateNow())

    val state: StateFlow<GroupState> get() = published

    private fun expertsOf(rank: Int): List<Int> = (0 until EXPERTS).filter { it % size == rank }

    fun start(scope: CoroutineScope) {
        scope.launch { runPasses() }
        for (machine in machines) scope.launch { machine.drop(1).collect { messages.send(Message.MachineChanged) } }
    }

    /** Begins [run], or queues or refuses it; its signals tell which. */
    suspend fun submit(run: EngineRun) = messages.send(Message.Submit(run))

    /** Ends [run], whose connection is gone. */
    fun leave(run: EngineRun) {
        messages.trySend(Message.Leave(run))
    }

    /** Gives the order in [body] to [rank]; returns the status of the answer. */
    suspend fun order(
        rank: Int,
        body: String,
    ): Int {
        val status = CompletableDeferred<Int>()
        messages.send(Message.Order(rank, Json.parseToJsonElement(body).jsonObject, status))
        return status.await()
    }

    private suspend fun runPasses() {
        while (true) {
            if (isIdle()) handle(messages.receive())
            handleAll()
            if (isChanged()) {
                formAgain()
                continue
            }
            if (orders.any { it.held == step + 1 }) {
                handle(messages.receive())
                continue
            }
            for (rank in 0 until size) admit(rank)
            beginPass()
            delay(passTime())
            handleAll()
            running.forEach(::advance)
            publish()
        }
    }

    private fun isIdle(): Boolean = running.all { it.isEmpty() } && waiting.all { it.isEmpty() } && !isChanged()

    private fun isChanged(): Boolean = machines.map { it.value } != formedOf

    private fun handleAll() {
        while (true) handle(messages.tryReceive().getOrNull() ?: break)
    }

    private fun beginPass() {
        step += 1
        orders = orders.map { it.atBegin(step) }
        if (orders.distinctBy { it.map }.size > 1) record(MapsDiffer(name, epoch, step, orders.map { it.map.version }))
    }

    private suspend fun formAgain() {
        delay(STALL)
        isOpen = false
        handleAll()
        for (rank in 0 until size) {
            running[rank].onEach { it.signals.trySend(RunSignal.BrokenOff) }.clear()
            waiting[rank].onEach { it.signals.trySend(RunSignal.Refused) }.clear()
        }
        publish()
        while (machines.any { !it.value.isUp }) handle(messages.receive())
        val before = formedOf
        formedOf = machines.map { it.value }
        delay(FORM)
        handleAll()
        // A rank that has not restarted still knows its versions and tokens.
        orders =
            List(size) { rank ->
                val old = orders[rank].takeIf { before[rank].starts == formedOf[rank].starts } ?: firstOrders
                firstOrders.copy(newestVersion = old.newestVersion, fence = old.fence, sequence = old.sequence)
            }
        epoch += 1
        isOpen = true
        publish()
    }

    private fun publish() {
        published.value = stateNow()
    }

    private fun stateNow() =
        GroupState(isOpen, epoch, List(size) { EngineLoad(running[it].size, waiting[it].size, step) }, orders)

    private fun handle(message: Message) {
        when (message) {
            is Message.Submit -> {
                val queue = waiting[message.run.rank]
                if (isOpen &&
                    queue.size < QUEUE
                ) {
                    queue += message.run
                } else {
                    message.run.signals.trySend(RunSignal.Refused)
                }
            }
            is Message.Leave -> {
                running[message.run.rank] -= message.run
                waiting[message.run.rank] -= message.run
            }
            is Message.Order -> {
                val (next, status) = orders[message.rank].after(message.order, step, epoch)
                orders = orders.toMutableList().also { it[message.rank] = next }
                publish()
                message.status.complete(status)
            }
            Message.MachineChanged -> Unit
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

        /** Time for which ranks wait for one that is gone, stall_ms of the deployments. */
        private val STALL = 1_500.milliseconds

        /** Time that a group takes to open, form_ms of the deployments. */
        private val FORM = 600.milliseconds
    }
}
