package org.cicadaturn.standins

import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.schema.generated.NetworkAddress
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.coroutines.CoroutineContext

/**
 * Starts the server that [newServer] returns, which listens on [address]; throws what the system reports if it cannot.
 *
 * A server of the library reports a failed bind only to the exception handler of its context and may wait for its port
 * without end. [newServer] therefore puts the given handler into the context of the server.
 */
internal suspend fun <T : EmbeddedServer<*, *>> startEngine(
    address: NetworkAddress,
    newServer: (CoroutineContext) -> T,
): T {
    checkPort(address)
    val failure = CompletableDeferred<Throwable>()
    val server = newServer(CoroutineExceptionHandler { _, cause -> failure.complete(cause) })
    return coroutineScope {
        val started = async { runCatching { server.startSuspend(wait = false).also { portOf(server) } } }
        val cause =
            select {
                failure.onAwait { it }
                started.onAwait { it.exceptionOrNull() }
            }
        started.cancel()
        currentCoroutineContext().ensureActive()
        // The start of the server is cancelled by the failure that the handler gets.
        if (cause != null) throw if (cause is CancellationException) failure.await() else cause
        server
    }
}

/** Returns the port on which [server] listens, and waits until it does. */
internal suspend fun portOf(server: EmbeddedServer<*, *>): Int =
    server.engine
        .resolvedConnectors()
        .first()
        .port

/**
 * Throws what the system reports if the port of [address] is held.
 *
 * Each server that is started leaves a shutdown hook, so none is started for a port that is known to be held. The socket
 * is bound but does not listen, so no caller can reach it.
 */
private suspend fun checkPort(address: NetworkAddress) {
    if (address.port == 0) return
    withContext(Dispatchers.IO) {
        Socket().use {
            it.reuseAddress = true
            it.bind(InetSocketAddress(address.ip, address.port))
        }
    }
}
