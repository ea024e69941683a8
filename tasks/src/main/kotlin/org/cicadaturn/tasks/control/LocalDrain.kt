package org.cicadaturn.tasks.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.flow.receiveAsFlow
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.schema.generated.Revision

/** Number of messages that may wait for the task; a full queue suspends the sender. */
private const val MESSAGE_QUEUE = 16

/**
 * Makes this process refuse new work, for use while no newer configuration can reach it.
 *
 * A local drain can only remove a process from service; it cannot return a drained endpoint to service. It is held in
 * memory only. It ends by command or when a revision comes into force that is newer than the one at its start.
 */
public interface LocalDrain {
    /** True while the process refuses new work. */
    public val isActive: StateFlow<Boolean>

    /** Starts or ends the local drain and returns when the change has taken effect. */
    public suspend fun set(on: Boolean)
}

private sealed interface DrainMessage {
    class SetActive(
        val on: Boolean,
        val done: CompletableDeferred<Unit>,
    ) : DrainMessage

    class Configured(
        val revision: Revision,
    ) : DrainMessage
}

/** Owns the local drain of one process; only the coroutine that runs [run] changes it. */
internal class LocalDrainTask(
    private val inForce: StateFlow<ConfigurationInForce?>,
) : LocalDrain {
    private val log = LogManager.getLogger("control")
    private val messages = Channel<DrainMessage>(MESSAGE_QUEUE)
    private val state = MutableStateFlow(false)
    private var revisionAtStart: Revision? = null

    override val isActive: StateFlow<Boolean> = state.asStateFlow()

    override suspend fun set(on: Boolean) {
        val done = CompletableDeferred<Unit>()
        messages.send(DrainMessage.SetActive(on, done))
        done.await()
    }

    /** Handles commands and new revisions until it is cancelled. */
    suspend fun run() {
        val revisions = inForce.filterNotNull().map { DrainMessage.Configured(it.revision) }
        merge(messages.receiveAsFlow(), revisions).collect { handle(it) }
    }

    private fun handle(message: DrainMessage) {
        when (message) {
            is DrainMessage.SetActive -> {
                revisionAtStart = inForce.value?.revision
                change(message.on)
                message.done.complete(Unit)
            }

            is DrainMessage.Configured -> {
                // The first configuration may be older than the drain, so it does not end the drain.
                val atStart = revisionAtStart
                if (atStart == null) revisionAtStart = message.revision
                if (atStart != null && message.revision > atStart) change(false)
            }
        }
    }

    private fun change(on: Boolean) {
        if (state.value == on) return
        state.value = on
        log.info("control: local drain {}", if (on) "begins" else "ends")
    }
}
