package org.cicadaturn.standins.orders

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrderRuns
import kotlin.time.Duration

/**
 * Settings of a stand-in order service.
 *
 * @property listen address to listen on; with port 0 the operating system chooses a free port
 * @property path path at and below which a POST request runs an order
 */
public data class OrderServiceSettings(
    val listen: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    val path: String = "/orders",
) {
    init {
        require(path.startsWith("/") && !path.endsWith("/")) { "path is $path; it must begin and not end with a slash" }
    }
}

/** Running stand-in for an order service without idempotency of its own. */
public interface OrderService {
    /** Address on which the service listens, with the bound port. */
    public val address: NetworkAddress

    /** Returns the same counts of runs as `GET /runs`. */
    public suspend fun runs(): OrderRuns

    /** Closes all connections and the listener, and ends the service's coroutines. */
    public suspend fun close()
}

/**
 * Starts a stand-in for an order service as a child of the job of [scope].
 *
 * The service runs every order that it receives, without deduplication of repeated ones. [pause] suspends for a
 * duration; all delays, stalls and refusals set by control calls use it.
 */
public suspend fun startOrderService(
    scope: CoroutineScope,
    settings: OrderServiceSettings = OrderServiceSettings(),
    pause: suspend (Duration) -> Unit = ::delay,
): OrderService {
    val job = SupervisorJob(scope.coroutineContext.job)
    val serviceScope = scope + job + Dispatchers.Default
    val inbox = Channel<OrderMessage>(ORDER_INBOX_CAPACITY)
    val refusals = Channel<Refusal>()
    val selector = SelectorManager(Dispatchers.IO)
    val taskHandle = OrderTaskHandle(inbox, refusals, job)
    val bound = CompletableDeferred<NetworkAddress>(job)
    serviceScope.launch { OrderTask(inbox, pause).run(this) }
    val handler = OrderHandler(settings, taskHandle, pause)
    val listener = OrderListener(settings.listen, selector, refusals, pause, handler)
    serviceScope.launch {
        try {
            listener.run(serviceScope, bound)
        } catch (e: IOException) {
            bound.completeExceptionally(e)
        }
    }
    val address = bound.await()
    return object : OrderService {
        override val address = address

        override suspend fun runs(): OrderRuns = taskHandle.ask { OrderMessage.ReadRuns(it) }

        override suspend fun close() {
            job.cancelAndJoin()
            selector.close()
        }
    }
}
