package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.http.ConnectionAccounts
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpRuntime
import org.cicadaturn.tasks.http.ListenerBounds
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.listen
import org.cicadaturn.tasks.http.receiveInternalRequest
import org.cicadaturn.tasks.listen.ListenTarget
import org.cicadaturn.tasks.listen.NodeListeners
import kotlin.time.Duration.Companion.seconds

/**
 * What a gateway serves on its listeners.
 *
 * @property otherAccounts accounts of the connections of the platform, peers and operators
 */
internal class GatewayServices(
    val callers: suspend (HttpLink) -> Unit,
    val callerBounds: ListenerBounds,
    val isReady: () -> Boolean,
    val peers: PeerService,
    val admin: GatewayAdmin,
    val otherAccounts: ConnectionAccounts,
)

/** Starts the tasks that open the listeners of a gateway, each as soon as its port is free. */
internal fun startGatewayListeners(
    runtime: HttpRuntime,
    scope: CoroutineScope,
    file: GatewayFile,
    services: GatewayServices,
): NodeListeners {
    val settings = file.gateway
    val forOthers = ListenerBounds({ HEAD_BYTES }, { OTHER_TIMEOUT }, services.otherAccounts)

    fun target(
        address: NetworkAddress,
        bounds: ListenerBounds,
        serve: suspend (HttpLink) -> Unit,
    ) = ListenTarget(address) { listen(runtime, scope, address, bounds, serve) }
    return NodeListeners(
        scope,
        mapOf(
            CALLER_LISTENER to target(settings.listen, services.callerBounds, services.callers),
            "ready" to target(settings.readyListen, forOthers) { serveReady(it, services.isReady) },
            "peers" to target(settings.peerListen, forOthers) { servePeer(it, services.peers) },
            "admin" to target(file.process.adminListen, forOthers) { services.admin.serve(it) },
        ),
    )
}

private suspend fun serveReady(
    link: HttpLink,
    isReady: () -> Boolean,
) {
    while (true) {
        val request = link.receiveInternalRequest()?.head ?: return
        val status = if (isReady()) OK else UNAVAILABLE
        val head = ResponseHead(status, emptyList(), request.closesConnection)
        if (!link.sendResponse(head, ByteArray(0)) || request.closesConnection) return
    }
}

/** Name of the listener for callers. */
internal const val CALLER_LISTENER = "listen"

/** Maximum size of the head of a request on the listeners that callers do not use. */
private const val HEAD_BYTES = 16_384

/** Longest time for which a client of those listeners may read nothing of an answer. */
private val OTHER_TIMEOUT = 10.seconds
private const val OK = 200
private const val UNAVAILABLE = 503
