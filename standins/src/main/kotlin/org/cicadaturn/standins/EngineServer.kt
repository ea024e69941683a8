package org.cicadaturn.standins

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.listen.Listener

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1000L

/**
 * Starts an HTTP server on [address] with the application that [module] configures.
 *
 * Closing it cuts calls that are in progress after a short grace period.
 */
internal suspend fun startServer(
    address: NetworkAddress,
    module: Application.() -> Unit,
): Listener {
    val server =
        startEngine(address) { onFailure ->
            CoroutineScope(onFailure)
                .embeddedServer(CIO, address.port, address.ip, parentCoroutineContext = onFailure, module = module)
        }
    return EngineServer(server, NetworkAddress(address.ip, portOf(server)))
}

private class EngineServer(
    private val server: EmbeddedServer<*, *>,
    override val address: NetworkAddress,
) : Listener {
    override suspend fun close() {
        server.stopSuspend(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
    }
}
