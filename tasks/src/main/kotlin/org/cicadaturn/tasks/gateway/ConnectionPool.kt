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

/** Task that owns the idle connections to endpoints. */
public interface ConnectionPool {
    /**
     * Removes and returns a connection to [endpoint] that has been idle for at most [maxIdleTime], or returns null if
     * there is none. The caller owns the connection.
     */
    public suspend fun take(
        endpoint: EndpointId,
        maxIdleTime: Duration,
    ): HttpLink?

    /** Adds [link] to the pool, which owns it from now on and keeps it for at most [keepAliveTime]. */
    public fun put(
        endpoint: EndpointId,
        link: HttpLink,
        keepAliveTime: Duration,
    )
}

/**
 * Starts a pool in [scope] that keeps at most [maxIdlePerEndpoint] connections to each endpoint and closes those to
 * endpoints that are no longer in [fleet].
 */
public fun startConnectionPool(
    scope: CoroutineScope,
    fleet: Fleet,
    clock: Clock,
    maxIdlePerEndpoint: Int = 4,
): ConnectionPool {
    val task = PoolTask(clock, maxIdlePerEndpoint)
    scope.launch { task.processMessages() }
    scope.launch { fleet.state.collect { state -> task.retain(state.view.endpoints.mapTo(HashSet()) { it.id }) } }
    return task
}

private sealed interface PoolMessage {
    class Take(
        val endpoint: EndpointId,
        val maxIdleTime: Duration,
        val reply: CompletableDeferred<HttpLink?>,
    ) : PoolMessage

    class Put(
        val endpoint: EndpointId,
        val link: HttpLink,
        val keepAliveTime: Duration,
    ) : PoolMessage

    class Retain(
        val endpoints: Set<EndpointId>,
    ) : PoolMessage
}

private class PoolTask(
    private val clock: Clock,
    private val maxIdlePerEndpoint: Int,
) : ConnectionPool {
    private class IdleLink(
        val link: HttpLink,
        val since: Instant,
        val until: Instant,
    )

    // Unbounded, because a connection must be returned on cancellation too; each request has at most one message here.
    private val messages = Channel<PoolMessage>(Channel.UNLIMITED)
    private val idle = HashMap<EndpointId, ArrayDeque<IdleLink>>()

    suspend fun processMessages() {
        for (message in messages) {
            when (message) {
                is PoolMessage.Take -> take(message)
                is PoolMessage.Put -> put(message)
                is PoolMessage.Retain -> closeOthers(message.endpoints)
            }
        }
    }

    fun retain(endpoints: Set<EndpointId>) {
        messages.trySend(PoolMessage.Retain(endpoints))
    }

    /** Replies with the connection that was used last, so that the others can time out. */
    private fun take(message: PoolMessage.Take) {
        val now = clock.now()
        val list = idle[message.endpoint]
        var found: HttpLink? = null
        while (found == null && !list.isNullOrEmpty()) {
            val last = list.removeLast()
            val isUsable = last.link.isIdle && now < last.until
            if (isUsable && now - last.since > message.maxIdleTime) {
                list.addLast(last)
                break
            }
            if (isUsable) found = last.link else last.link.close()
        }
        if (!message.reply.complete(found)) found?.close()
    }

    private fun put(message: PoolMessage.Put) {
        val list = idle.getOrPut(message.endpoint) { ArrayDeque() }
        val now = clock.now()
        list.addLast(IdleLink(message.link, now, now + message.keepAliveTime))
        // Detects that the endpoint closes the connection or sends bytes that belong to no request.
        message.link.readAhead()
        list.filter { !it.link.isIdle || now >= it.until }.forEach { it.link.close() }
        list.removeAll { !it.link.isIdle || now >= it.until }
        while (list.size > maxIdlePerEndpoint) list.removeFirst().link.close()
    }

    private fun closeOthers(endpoints: Set<EndpointId>) {
        val removed = idle.keys.filter { it !in endpoints }
        removed.forEach { id -> idle.remove(id)?.forEach { it.link.close() } }
    }

    override suspend fun take(
        endpoint: EndpointId,
        maxIdleTime: Duration,
    ): HttpLink? {
        val reply = CompletableDeferred<HttpLink?>()
        messages.trySend(PoolMessage.Take(endpoint, maxIdleTime, reply))
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
        keepAliveTime: Duration,
    ) {
        messages.trySend(PoolMessage.Put(endpoint, link, keepAliveTime))
    }
}
