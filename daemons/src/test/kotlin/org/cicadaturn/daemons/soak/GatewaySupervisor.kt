package org.cicadaturn.daemons.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import org.cicadaturn.daemons.site.GRACE
import org.cicadaturn.daemons.site.GatewayProcess
import org.cicadaturn.daemons.site.GatewayRun
import org.cicadaturn.daemons.site.MACHINE_DESCRIPTORS
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Starts the processes of [gateway] as the platform does; its task owns which of them the soak has ended.
 *
 * A process that ends by itself is recorded and started again after a short delay.
 */
internal class GatewaySupervisor(
    val gateway: GatewayProcess,
    private val journal: SoakJournal,
    private val scope: CoroutineScope,
) {
    private sealed interface Message {
        data object Kill : Message

        class Release(
            val descriptors: Int,
        ) : Message

        class Terminate(
            val startsSuccessor: Boolean,
        ) : Message

        class Ended(
            val run: GatewayRun,
            val startedAt: Duration,
        ) : Message

        data object Restart : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val running = MutableStateFlow(emptyList<GatewayRun>())

    /** Whole content of the settings file. */
    val settingsText = gateway.settings.readText()
    val node: String get() = gateway.addresses.node

    fun start() {
        scope.launch { own() }
        messages.trySend(Message.Restart)
    }

    /** Kills all processes; no other is started until [release] has been called as often as this. */
    fun kill() {
        messages.trySend(Message.Kill)
    }

    /** Allows a start after [kill], of a process that may open so many [descriptors]. */
    fun release(descriptors: Int = MACHINE_DESCRIPTORS) {
        messages.trySend(Message.Release(descriptors))
    }

    /** Stops the process with SIGTERM; the next one starts at once or, without [startsSuccessor], after its end. */
    fun terminate(startsSuccessor: Boolean) {
        messages.trySend(Message.Terminate(startsSuccessor))
    }

    /** Sends the signal [name] to the process that was started last; returns that process, or null if none runs. */
    fun signal(name: String): Process? =
        running.value
            .lastOrNull()
            ?.process
            ?.also { it.signal(name) }

    /** Kills all processes when nothing else is sent to them any more. */
    fun killNow() = running.value.forEach { it.process.destroyForcibly().waitFor() }

    private suspend fun own() {
        var kills = 0
        var descriptors = MACHINE_DESCRIPTORS
        val ended = mutableSetOf<GatewayRun>()
        for (message in messages) {
            when (message) {
                Message.Kill -> {
                    kills += 1
                    ended += running.value.onEach { it.process.destroyForcibly() }
                }
                is Message.Release -> {
                    kills -= 1
                    descriptors = message.descriptors
                    if (kills == 0 && running.value.isEmpty()) launch(descriptors)
                }
                is Message.Terminate -> {
                    ended += running.value.filter { it !in ended }.onEach { stop(it) }
                    if (message.startsSuccessor && kills == 0) launch(descriptors)
                }
                is Message.Ended -> {
                    running.update { it - message.run }
                    if (!ended.remove(message.run)) {
                        record(message)
                    } else if (kills == 0 && running.value.isEmpty()) {
                        launch(descriptors)
                    }
                }
                Message.Restart -> if (kills == 0 && running.value.all { it in ended }) launch(descriptors)
            }
        }
    }

    private fun launch(descriptors: Int) {
        val startedAt = journal.now()
        val run = gateway.start(descriptors)
        running.update { it + run }
        scope.launch {
            run.process.onExit().await()
            messages.send(Message.Ended(run, startedAt))
        }
        scope.launch {
            while (run.process.isAlive && !gateway.isReady()) delay(READY_POLL)
            journal.record(StartSeen(node, startedAt, journal.now().takeIf { run.process.isAlive }))
        }
    }

    private fun stop(run: GatewayRun) {
        run.process.destroy()
        scope.launch {
            delay(GRACE)
            run.process.destroyForcibly()
        }
    }

    private fun record(end: Message.Ended) {
        val lines =
            end.run.log
                .readLines()
                .takeLast(LOG_LINES)
        journal.record(EndSeen(node, end.startedAt, journal.now(), end.run.process.exitValue(), lines))
        scope.launch {
            delay(RESTART_DELAY)
            messages.send(Message.Restart)
        }
    }

    private companion object {
        val READY_POLL = 200.milliseconds
        val RESTART_DELAY = 300.milliseconds
        const val LOG_LINES = 4
        const val LINE_LENGTH = 320
    }
}

/** Sends the signal [name] to this process unless it has ended. */
internal fun Process.signal(name: String) {
    if (isAlive) ProcessBuilder("kill", "-$name", "${pid()}").start().waitFor()
}
