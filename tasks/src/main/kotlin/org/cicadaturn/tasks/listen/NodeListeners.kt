package org.cicadaturn.tasks.listen

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.merge
import org.cicadaturn.schema.generated.NetworkAddress

/**
 * Listener that a process needs.
 *
 * @property address address from the settings
 * @property bind listens on [address], or throws what the system reports
 */
internal class ListenTarget(
    val address: NetworkAddress,
    val bind: suspend () -> Listener,
)

/**
 * Listeners of a process by their names in its port file.
 *
 * A task in [scope] opens each of them, so that a port that is held by another process delays no other listener.
 */
internal class NodeListeners(
    scope: CoroutineScope,
    targets: Map<String, ListenTarget>,
) {
    private val opened: Map<String, Deferred<Either<ListenFailure, Listener>>> =
        targets.mapValues { (name, target) ->
            scope.async {
                retryListen(target.address, bind = target.bind).mapLeft { ListenFailure(name, target.address, it) }
            }
        }

    /** True if all listeners are open. */
    val areOpen: Boolean get() = opened.values.all { openIn(it) != null }

    /** Addresses of the listeners that are open. */
    val addresses: Map<String, NetworkAddress>
        get() = opened.entries.mapNotNull { (name, listener) -> openIn(listener)?.let { name to it.address } }.toMap()

    /** Waits until all listeners are open, and returns the first failure that does not pass. */
    suspend fun await(): Either<ListenFailure, Unit> {
        val results = opened.values.map { flow { emit(it.await()) } }.merge()
        return results.firstOrNull { it.isLeft() }?.map {} ?: Unit.right()
    }

    /** Closes the listener [name] if it is open, and does not open it any more. */
    suspend fun close(name: String) {
        val listener = opened.getValue(name)
        listener.cancel()
        openIn(listener)?.close()
    }

    /** Closes all listeners. */
    suspend fun close() {
        opened.keys.forEach { close(it) }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun openIn(listener: Deferred<Either<ListenFailure, Listener>>): Listener? {
        val hasResult = listener.isCompleted && listener.getCompletionExceptionOrNull() == null
        return if (hasResult) listener.getCompleted().getOrNull() else null
    }
}

/**
 * Listener that a process needs and that it cannot open with its settings and rights.
 *
 * @property name name of the listener in the port file
 */
public data class ListenFailure(
    val name: String,
    val address: NetworkAddress,
    val error: ListenError,
) {
    /** Listener, cause and remedy, for logs. */
    val message: String get() = "cannot listen on ${address.ip}:${address.port} ($name): ${error.message}"
}
