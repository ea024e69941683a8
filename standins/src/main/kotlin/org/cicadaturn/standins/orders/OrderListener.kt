package org.cicadaturn.standins.orders

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.listen.ListenRetry
import org.cicadaturn.tasks.listen.listenOrThrow
import kotlin.time.Duration

/**
 * Owns the listening socket.
 *
 * The service reads its connections itself instead of using the embedded server, because the simulated faults need the
 * sockets: to close the listener for some time, and to close a connection in place of an answer.
 */
internal class OrderListener(
    private val listen: NetworkAddress,
    private val selector: SelectorManager,
    private val refusals: ReceiveChannel<Refusal>,
    private val pause: suspend (Duration) -> Unit,
    private val handler: OrderHandler,
) {
    /** Listens until cancelled, except during refusals; completes [bound] with the address of the first bind. */
    suspend fun run(
        scope: CoroutineScope,
        bound: CompletableDeferred<NetworkAddress>,
    ) {
        var port = listen.port
        while (true) {
            val socket = bind(port)
            port = (socket.localAddress as InetSocketAddress).port
            bound.complete(NetworkAddress(listen.ip, port))
            // Completes when the listener closes, which ends idle connections.
            val listening = Job(scope.coroutineContext.job)
            val accepting = scope.launch { accept(socket, listening, scope) }
            val refusal =
                try {
                    refusals.receive()
                } finally {
                    socket.close()
                }
            accepting.cancelAndJoin()
            listening.complete()
            refusal.reply.complete(Unit)
            pause(refusal.length)
        }
    }

    private suspend fun bind(port: Int): ServerSocket =
        listenOrThrow(NetworkAddress(listen.ip, port), ListenRetry(pause = pause)) {
            aSocket(selector).tcp().bind(listen.ip, port) { reuseAddress = true }
        }

    private suspend fun accept(
        socket: ServerSocket,
        listening: Job,
        scope: CoroutineScope,
    ) {
        while (true) {
            val connection =
                try {
                    socket.accept()
                } catch (failure: IOException) {
                    return
                }
            scope.launch { connection.use { serve(it, listening) } }
        }
    }

    /** Answers requests until either side closes the connection, or [listening] completes while it is idle. */
    private suspend fun serve(
        socket: Socket,
        listening: Job,
    ) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        try {
            while (listening.isActive) {
                val call = nextCall(input, listening) ?: break
                val answer = handler.handle(call)
                output.writeFully(answer.bytes)
                output.flush()
                if (answer.close) break
            }
            output.flushAndClose()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: IOException) {
            // The connection failed; a run that has begun is already counted.
            return
        }
    }
}
