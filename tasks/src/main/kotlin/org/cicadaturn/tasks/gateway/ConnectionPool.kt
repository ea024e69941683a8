package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.tasks.http.HttpLink
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** The task that owns idle connections to endpoints. */
public interface ConnectionPool {
    /** Returns an idle connection to [endpoint] that was used within [idleFor], or null; the caller owns it then. */
    public suspend fun take(
        endpoint: EndpointId,
        idleFor: Duration,
    ): HttpLink?

    /** Gives [link] back, to be kept for [keepFor]; the pool owns it then. */
    public fun put(
        endpoint: EndpointId,
        link: HttpLink,
        keepFor: Duration,
    )
}

/** Starts a pool in [scope] that keeps at most [mostIdle] connections to one endpoint and follows [fleet]. */
public fun startConnectionPool(
    scope: CoroutineScope,
    fleet: Fleet,
    clock: Clock,
    mostIdle: Int = 4,
): ConnectionPool {
    val task = PoolTask(clock, mostIdle)
    scope.launch { task.own() }
    scope.launch { fleet.state.collect { state -> task.retain(state.view.endpoints.mapTo(HashSet()) { it.id }) } }
    return task
}

private sealed interface PoolMessage {
    class Take(
        val endpoint: EndpointId,
        val idleFor: Duration,
        val reply: CompletableDeferred<HttpLink?>,
    ) : PoolMessage

    class Put(
        val endpoint: EndpointId,
        val link: HttpLink,
        val keepFor: Duration,
    ) : PoolMessage

    class Retain(
        val endpoints: Set<EndpointId>,
    ) : PoolMessage
}

private class PoolTask(
    private val clock: Clock,
    private val mostIdle: Int,
) : ConnectionPool {
    private class Idle(
        val link: HttpLink,
        val since: Instant,
        val until: Instant,
    )

    // Unbounded, as a connection must be given back also on cancellation; each request has at most one message here.
    private val messages = Channel<PoolMessage>(Channel.UNLIMITED)
    private val idle = HashMap<EndpointId, ArrayDeque<Idle>>()

    suspend fun own() {
        for (message in messages) {
            when (message) {
                is PoolMessage.Take -> answer(message)
                is PoolMessage.Put -> keep(message)
                is PoolMessage.Retain -> drop(message.endpoints)
            }
        }
    }

    fun retain(endpoints: Set<EndpointId>) {
        messages.trySend(PoolMessage.Retain(endpoints))
    }

    /** Prefers the connection that was used last, so that the others can time out. */
    private fun answer(message: PoolMessage.Take) {
        val now = clock.now()
        val list = idle[message.endpoint]
        var found: HttpLink? = null
        while (found == null && !list.isNullOrEmpty()) {
            val last = list.removeLast()
            val isUsable = last.link.isIdle && now < last.until
            if (isUsable && now - last.since > message.idleFor) {
                list.addLast(last)
                break
            }
            if (isUsable) found = last.link else last.link.close()
        }
        if (!message.reply.complete(found)) found?.close()
    }

    private fun keep(message: PoolMessage.Put) {
        val list = idle.getOrPut(message.endpoint) { ArrayDeque() }
        val now = clock.now()
        list.addLast(Idle(message.link, now, now + message.keepFor))
        // Notices when the endpoint closes the connection or sends bytes that belong to no request.
        message.link.readAhead()
        list.filter { !it.link.isIdle || now >= it.until }.forEach { it.link.close() }
        list.removeAll { !it.link.isIdle || now >= it.until }
        while (list.size > mostIdle) list.removeFirst().link.close()
    }

    private fun drop(endpoints: Set<EndpointId>) {
        val gone = idle.keys.filter { it !in endpoints }
        gone.forEach { id -> idle.remove(id)?.forEach { it.link.close() } }
    }

    override suspend fun take(
        endpoint: EndpointId,
        idleFor: Duration,
    ): HttpLink? {
        val reply = CompletableDeferred<HttpLink?>()
        messages.trySend(PoolMessage.Take(endpoint, idleFor, reply))
        try {
            return reply.await()
        } catch (e: kotlinx.coroutines.CancellationException) {
            reply.cancel()
            throw e
        }
    }

    override fun put(
        endpoint: EndpointId,
        link: HttpLink,
        keepFor: Duration,
    ) {
        messages.trySend(PoolMessage.Put(endpoint, link, keepFor))
    }
}
