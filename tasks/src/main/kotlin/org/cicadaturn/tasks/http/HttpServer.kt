package org.cicadaturn.tasks.http

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.fatalErrorIn
import org.cicadaturn.tasks.listen.Listener
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds on the connections of a server.
 *
 * @property idleTimeout time after which a connection is closed on which no request begins
 * @property headTimeout time for the head of a request from its first byte on
 */
internal class ServerBounds(
    val listener: ListenerBounds,
    val idleTimeout: Duration,
    val headTimeout: Duration,
)

/**
 * Handler of the requests of a server, which runs on the event loop.
 *
 * @property serve receives the body of a request and answers it; returns true if the connection can be used for another
 * request
 * @property refuse answers a head that cannot be read with the given status, after which the connection is closed
 */
internal class ServerHandler(
    val serve: suspend (HttpLink, RequestHead) -> Boolean,
    val refuse: suspend (HttpLink, Int) -> Unit,
)

/**
 * Starts a server on [address] that passes the requests on all connections within [bounds] to [handler].
 *
 * Closing it cuts requests that are in progress after a short grace period.
 */
internal suspend fun HttpRuntime.startServer(
    address: NetworkAddress,
    bounds: ServerBounds,
    handler: ServerHandler,
): Listener {
    val server = LinkServer(this, bounds, handler)
    withContext(dispatcher) { server.start(address) }
    return server
}

private class LinkServer(
    private val runtime: HttpRuntime,
    private val bounds: ServerBounds,
    private val handler: ServerHandler,
) : Listener {
    private val exceptionHandler =
        CoroutineExceptionHandler { _, cause ->
            fatalErrorIn(cause)?.let(runtime.onFatalError) ?: logger.error("http: a connection failed", cause)
        }
    private val scope = CoroutineScope(runtime.dispatcher + SupervisorJob() + exceptionHandler)
    private val inProgress = MutableStateFlow(0)
    private lateinit var listener: Listener

    override val address: NetworkAddress get() = listener.address

    suspend fun start(address: NetworkAddress) {
        listener = listen(runtime, scope, address, bounds.listener, ::serveAll)
    }

    private suspend fun serveAll(link: HttpLink) {
        while (true) {
            link.account?.holdBody(0)
            link.account?.use = ConnectionUse.WAITING
            val part = link.receiveRequest(bounds.idleTimeout, bounds.headTimeout) ?: return
            inProgress.update { it + 1 }
            try {
                when (part) {
                    is HttpPart.Request -> if (!handler.serve(link, part.head)) return
                    is HttpPart.Malformed -> return handler.refuse(link, part.status)
                    else -> return
                }
            } finally {
                inProgress.update { it - 1 }
            }
        }
    }

    override suspend fun close() {
        withContext(runtime.dispatcher) {
            listener.close()
            withTimeoutOrNull(STOP_GRACE) { inProgress.first { it == 0 } }
            withTimeoutOrNull(MAX_CANCEL_TIME) { scope.coroutineContext.job.cancelAndJoin() }
        }
    }

    private companion object {
        val logger = LogManager.getLogger("http")

        /** Time for answers in progress; a stop has waited for requests in flight before. */
        val STOP_GRACE = 0.1.seconds

        /** Longest wait for the end of requests that were cut. */
        val MAX_CANCEL_TIME = 1.seconds
    }
}
