package org.cicadaturn.tasks.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.listen.Listener
import java.security.SecureRandom
import kotlin.time.Duration.Companion.milliseconds

private val ACCEPT_RETRY_DELAY = 100.milliseconds

/**
 * Opens and accepts links between processes.
 *
 * @property selector selector shared by all sockets of the process
 * @property identity identity of this process
 * @property times timeouts and intervals of each connection
 * @property onError called for each connection that ended, was refused or was not established, for logs and metrics
 */
public class Wire(
    private val selector: SelectorManager,
    private val identity: WireIdentity,
    private val times: WireTimes,
    private val onError: (WireError) -> Unit,
) {
    private val random = SecureRandom()

    /**
     * Connects to the process at [address], which must have [role], and runs [use] with the link.
     *
     * Returns the reason why the link ended or was not established.
     */
    public suspend fun connect(
        address: NetworkAddress,
        role: Role,
        use: suspend (FrameLink) -> Unit,
    ): WireError {
        val socket = open(address).fold({ return it }, { it })
        return runAndReport(socket, setOf(role), use)
    }

    /** Listens on [address] and runs [use] in [scope] with each link from a process that has one of [roles]; links outlive the listener. */
    public suspend fun listen(
        address: NetworkAddress,
        roles: Set<Role>,
        scope: CoroutineScope,
        use: suspend (FrameLink) -> Unit,
    ): Listener {
        val server = aSocket(selector).tcp().bind(address.ip, address.port) { reuseAddress = true }
        scope.launch { accept(server, roles, use) }
        return SocketListener(server)
    }

    private suspend fun accept(
        server: ServerSocket,
        roles: Set<Role>,
        use: suspend (FrameLink) -> Unit,
    ) {
        supervisorScope {
            while (!server.isClosed) {
                val socket = acceptOne(server) ?: continue
                launch { runAndReport(socket, roles, use) }
            }
        }
    }

    private suspend fun acceptOne(server: ServerSocket): Socket? =
        try {
            server.accept()
        } catch (e: IOException) {
            if (!server.isClosed) {
                onError(WireError.ConnectFailed("accept ${detailOf(e)}"))
                // The delay prevents a tight loop, as accept fails at once while no file descriptors are available.
                delay(ACCEPT_RETRY_DELAY)
            }
            null
        }

    private suspend fun open(address: NetworkAddress): Either<WireError, Socket> =
        try {
            withTimeoutOrNull(times.connectTimeout) {
                aSocket(selector).tcp().connect(address.ip, address.port) { noDelay = true }.right()
            } ?: WireError.ConnectFailed("no answer from ${address.ip}:${address.port}").left()
        } catch (e: IOException) {
            WireError.ConnectFailed("${address.ip}:${address.port} ${detailOf(e)}").left()
        }

    private suspend fun runAndReport(
        socket: Socket,
        roles: Set<Role>,
        use: suspend (FrameLink) -> Unit,
    ): WireError {
        val reason = runLink(socket, roles, use)
        onError(reason)
        return reason
    }

    private suspend fun runLink(
        socket: Socket,
        roles: Set<Role>,
        use: suspend (FrameLink) -> Unit,
    ): WireError {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        val peer =
            try {
                withTimeoutOrNull(times.connectTimeout) { handshake(input, output, identity, random) }
                    ?: WireError.ConnectFailed("no handshake within ${times.connectTimeout}").left()
            } catch (e: IOException) {
                WireError.ConnectionLost(detailOf(e)).left()
            }
        val hello =
            peer.fold(
                {
                    socket.close()
                    return it
                },
                { it },
            )
        if (hello.role !in roles) {
            socket.close()
            return WireError.WrongRole(hello.role)
        }
        val link = SocketLink(hello, socket, input, output, times)
        link.run(use)
        return link.ended.await()
    }
}

private class SocketListener(
    private val server: ServerSocket,
) : Listener {
    override val address: NetworkAddress
        get() = (server.localAddress as InetSocketAddress).let { NetworkAddress(it.hostname, it.port) }

    override suspend fun close() {
        server.close()
    }
}
