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

/** Orders that wait for the task; a full queue suspends the call that sends one. */
private const val ORDER_QUEUE = 16

/**
 * Makes this process refuse new work where no newer configuration can reach it.
 *
 * It only ever restricts: it cannot bring a drained endpoint back. It is kept in memory and ends by command or
 * with a later revision than the one in force when it began.
 */
public interface LocalDrain {
    /** True while the process refuses new work. */
    public val isActive: StateFlow<Boolean>

    /** Begins or ends the local drain; returns when it is in force. */
    public suspend fun set(on: Boolean)
}

private sealed interface DrainMessage {
    class Order(
        val on: Boolean,
        val done: CompletableDeferred<Unit>,
    ) : DrainMessage

    class Configured(
        val revision: Revision,
    ) : DrainMessage
}

/** Owns the local drain of one process; [run] is the only coroutine that changes it. */
internal class LocalDrainTask(
    private val inForce: StateFlow<ConfigurationInForce?>,
) : LocalDrain {
    private val log = LogManager.getLogger("control")
    private val orders = Channel<DrainMessage>(ORDER_QUEUE)
    private val state = MutableStateFlow(false)
    private var since: Revision? = null

    override val isActive: StateFlow<Boolean> = state.asStateFlow()

    override suspend fun set(on: Boolean) {
        val done = CompletableDeferred<Unit>()
        orders.send(DrainMessage.Order(on, done))
        done.await()
    }

    /** Follows orders and revisions until it is cancelled. */
    suspend fun run() {
        val revisions = inForce.filterNotNull().map { DrainMessage.Configured(it.revision) }
        merge(orders.receiveAsFlow(), revisions).collect { handle(it) }
    }

    private fun handle(message: DrainMessage) {
        when (message) {
            is DrainMessage.Order -> {
                since = inForce.value?.revision
                change(message.on)
                message.done.complete(Unit)
            }

            is DrainMessage.Configured -> {
                // A first configuration may be older than the drain, so it does not end it.
                val begin = since
                if (begin == null) since = message.revision
                if (begin != null && message.revision > begin) change(false)
            }
        }
    }

    private fun change(on: Boolean) {
        if (state.value == on) return
        state.value = on
        log.info("control: local drain {}", if (on) "begins" else "ends")
    }
}
