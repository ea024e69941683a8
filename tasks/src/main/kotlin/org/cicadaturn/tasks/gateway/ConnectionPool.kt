package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.applyLatest
import org.cicadaturn.tasks.completedValueOrNull
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.sendAndAwait
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Connection to an endpoint.
 *
 * An endpoint may send a surplus answer long after the answer that it repeats. Only the request identifier that it
 * echoes tells the two apart, so a connection must not serve two requests with the same identifier, and after a surplus
 * answer that was cut nothing on the connection can be told apart.
 *
 * @property requestIds identifiers of the requests that were sent on the connection
 */
public data class EndpointConnection(
    val link: HttpLink,
    val requestIds: Set<String> = emptySet(),
)

/** Task that owns the idle connections to endpoints. */
public interface ConnectionPool {
    /**
     * Removes and returns a connection to [endpoint] that has been idle for at most [maxIdleTime] and has carried no
     * request with the identifier [requestId], or returns null if there is none. The caller owns the connection. A null
     * [requestId] allows any connection; it is for calls whose answers are verified otherwise.
     */
    public suspend fun take(
        endpoint: EndpointId,
        maxIdleTime: Duration,
        requestId: String?,
    ): EndpointConnection?

    /** Adds [connection] to the pool, which owns it from now on and keeps it for at most [keepAliveTime]. */
    public fun put(
        endpoint: EndpointId,
        connection: EndpointConnection,
        keepAliveTime: Duration,
    )

    /**
     * Records that [endpoint] has sent bytes that belong to no request. Its connections are then used for one request
     * each for a while, as more such bytes may follow where an answer is due.
     */
    public fun surplusReceived(endpoint: EndpointId)
}

/**
 * Starts a pool in [scope] that keeps at most [maxIdlePerEndpoint] connections to each endpoint and closes those to
 * endpoints that are no longer in [fleet]. Calls [onSurplus] each time that an endpoint has sent bytes that belong to no
 * request.
 */
public fun startConnectionPool(
    scope: CoroutineScope,
    fleet: Fleet,
    clock: Clock,
    maxIdlePerEndpoint: Int = 4,
    supervisor: Supervisor = Supervisor(clock),
    onSurplus: (EndpointId) -> Unit,
): ConnectionPool {
    val task = PoolTask(clock, maxIdlePerEndpoint, supervisor, onSurplus)
    supervisor.start(scope, POOL_TASK, isVital = true) {
        launch {
            fleet.state.applyLatest { state ->
                val listed = state.view.endpoints.mapTo(HashSet()) { it.id }
                sendAndAwait { task.retain(listed, it) }
            }
        }
        task.processMessages()
    }
    return task
}

private sealed interface PoolMessage {
    class Take(
        val endpoint: EndpointId,
        val maxIdleTime: Duration,
        val requestId: String?,
        val reply: CompletableDeferred<EndpointConnection?>,
    ) : PoolMessage

    class Put(
        val endpoint: EndpointId,
        val connection: EndpointConnection,
        val keepAliveTime: Duration,
    ) : PoolMessage

    class Surplus(
        val endpoint: EndpointId,
    ) : PoolMessage

    class Retain(
        val endpoints: Set<EndpointId>,
        val isApplied: CompletableDeferred<Boolean>,
    ) : PoolMessage
}

private class PoolTask(
    private val clock: Clock,
    private val maxIdlePerEndpoint: Int,
    private val supervisor: Supervisor,
    private val onSurplus: (EndpointId) -> Unit,
) : ConnectionPool {
    private class IdleConnection(
        val connection: EndpointConnection,
        val since: Instant,
        val until: Instant,
    ) {
        fun isUsable(now: Instant): Boolean = connection.link.isIdle && now < until

        fun isNewTo(requestId: String?): Boolean = requestId == null || requestId !in connection.requestIds
    }

    // Unbounded, because a connection must be returned on cancellation too; each request has at most one message here.
    private val messages = Channel<PoolMessage>(Channel.UNLIMITED)
    private val idle = HashMap<EndpointId, ArrayDeque<IdleConnection>>()
    private val notReusedUntil = HashMap<EndpointId, Instant>()

    suspend fun processMessages() {
        for (message in messages) supervisor.attempt(POOL_TASK, message) { handle(message) } ?: reject(message)
    }

    private fun handle(message: PoolMessage) {
        when (message) {
            is PoolMessage.Take -> take(message)
            is PoolMessage.Put -> put(message)
            is PoolMessage.Surplus -> stopReuse(message.endpoint)
            is PoolMessage.Retain -> {
                closeOthers(message.endpoints)
                message.isApplied.complete(true)
            }
        }
    }

    /** Answers a message that could not be handled; a request then opens a connection. */
    private fun reject(message: PoolMessage) {
        when (message) {
            is PoolMessage.Take -> message.reply.complete(null)
            is PoolMessage.Put -> message.connection.link.close()
            // The connections are closed before anything that may fail.
            is PoolMessage.Surplus -> Unit
            is PoolMessage.Retain -> message.isApplied.complete(false)
        }
    }

    fun retain(
        endpoints: Set<EndpointId>,
        isApplied: CompletableDeferred<Boolean>,
    ) {
        messages.trySend(PoolMessage.Retain(endpoints, isApplied))
    }

    /** Replies with the connection that was used last, so that the others can time out. */
    private fun take(message: PoolMessage.Take) {
        val now = clock.now()
        idle[message.endpoint]?.let { closeUnusable(message.endpoint, it, now) }
        val list = idle[message.endpoint]
        val found =
            list?.lastOrNull {
                now - it.since <= message.maxIdleTime && it.isNewTo(message.requestId)
            }
        if (found != null) list.remove(found)
        if (!message.reply.complete(found?.connection)) found?.let { list.addLast(it) }
    }

    private fun put(message: PoolMessage.Put) {
        val now = clock.now()
        val notReusedUntil = notReusedUntil[message.endpoint]
        if (notReusedUntil != null && now < notReusedUntil) return message.connection.link.close()
        val list = idle.getOrPut(message.endpoint) { ArrayDeque() }
        list.addLast(IdleConnection(message.connection, now, now + message.keepAliveTime))
        // Detects that the endpoint closes the connection or sends bytes that belong to no request.
        message.connection.link.readAhead()
        closeUnusable(message.endpoint, list, now)
        while (list.size > maxIdlePerEndpoint) {
            list
                .removeFirst()
                .connection.link
                .close()
        }
    }

    private fun closeUnusable(
        endpoint: EndpointId,
        list: ArrayDeque<IdleConnection>,
        now: Instant,
    ) {
        if (list.any { it.connection.link.hasSurplus }) return stopReuse(endpoint)
        val unusable = list.filter { !it.isUsable(now) }
        unusable.forEach { it.connection.link.close() }
        list.removeAll(unusable)
    }

    private fun stopReuse(endpoint: EndpointId) {
        val now = clock.now()
        val until = notReusedUntil.put(endpoint, now + NO_REUSE_TIME)
        if (until == null || until <= now) {
            logger.warn("connections: {} sent bytes that belong to no request; each serves one request", endpoint.text)
        }
        closeAll(endpoint)
        onSurplus(endpoint)
    }

    private fun closeOthers(endpoints: Set<EndpointId>) {
        notReusedUntil.keys.retainAll(endpoints)
        idle.keys.filter { it !in endpoints }.forEach(::closeAll)
    }

    /** Closes the connections to [endpoint]; those after one whose closing fails stay in the pool, to be closed later. */
    private fun closeAll(endpoint: EndpointId) {
        val list = idle[endpoint] ?: return
        while (list.isNotEmpty()) {
            list
                .removeFirst()
                .connection.link
                .close()
        }
        idle.remove(endpoint)
    }

    override suspend fun take(
        endpoint: EndpointId,
        maxIdleTime: Duration,
        requestId: String?,
    ): EndpointConnection? {
        val reply = CompletableDeferred<EndpointConnection?>()
        messages.trySend(PoolMessage.Take(endpoint, maxIdleTime, requestId, reply))
        try {
            return reply.await()
        } catch (e: CancellationException) {
            reply.cancel()
            // The task may have replied just before the cancellation.
            reply.completedValueOrNull()?.link?.close()
            throw e
        }
    }

    override fun put(
        endpoint: EndpointId,
        connection: EndpointConnection,
        keepAliveTime: Duration,
    ) {
        messages.trySend(PoolMessage.Put(endpoint, connection, keepAliveTime))
    }

    override fun surplusReceived(endpoint: EndpointId) {
        messages.trySend(PoolMessage.Surplus(endpoint))
    }

    private companion object {
        val logger = LogManager.getLogger(ConnectionPool::class.java)

        /** Time for which the connections of an endpoint that sent bytes that belong to no request are not reused. */
        val NO_REUSE_TIME = 60.seconds
    }
}

private const val POOL_TASK = "connections"
