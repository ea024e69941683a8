package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Kind of request and how often it is sent. */
internal data class Demand(
    val route: String,
    val perSecond: Double,
    val deadline: Duration,
    val timeout: Duration,
    val isStream: Boolean,
    val method: String = "POST",
) {
    val prefix: String get() = "/$route/"
}

/** Request of a caller, of which each attempt has an identifier of its own. */
internal data class Demanded(
    val demand: Demand,
    val number: Int,
    val events: Int,
    val usesNewConnection: Boolean,
    val madeAt: Duration,
)

/** Connection of a caller to [gateway], used by one request at a time. */
internal class CallerLink(
    val gateway: GatewayAddresses,
    val socket: Socket,
) : AutoCloseable {
    val input = socket.getInputStream().buffered()
    var requests = 0
    var idleSince = Duration.ZERO
    var idleTime: Duration = 12.seconds

    /** Returns false if the gateway has closed this idle connection. */
    fun isOpen(): Boolean =
        try {
            socket.soTimeout = 1
            input.mark(1)
            input.read() >= 0
        } catch (e: SocketTimeoutException) {
            true
        } catch (e: IOException) {
            false
        }

    override fun close() = socket.close()
}

/** Caller with up to two kept connections, on which its requests are sent one after the other. */
internal class SiteCaller(
    private val number: Int,
    private val zone: String,
    private val ingress: Ingress,
    private val journal: SiteJournal,
    private val random: Random,
    private val scope: CoroutineScope,
) {
    private sealed interface Message {
        class Send(
            val demanded: Demanded,
        ) : Message

        class Returned(
            val link: CallerLink?,
        ) : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val exchange = CallerExchange(journal)

    fun start() = scope.launch { own() }

    fun send(demanded: Demanded) {
        messages.trySend(Message.Send(demanded))
    }

    private suspend fun own() {
        val idle = ArrayDeque<CallerLink>()
        val queue = ArrayDeque<Demanded>()
        var inUse = 0
        try {
            for (message in messages) {
                when (message) {
                    is Message.Send -> if (!launchAlone(message.demanded)) queue += message.demanded
                    is Message.Returned -> {
                        inUse -= 1
                        message.link?.let { idle.addLast(it) }
                    }
                }
                while (queue.isNotEmpty() && inUse < MAX_LINKS) {
                    inUse += 1
                    val next = queue.removeFirst()
                    val link = idle.removeLastOrNull()
                    scope.launch { messages.send(Message.Returned(serve(next, link))) }
                }
            }
        } finally {
            idle.forEach { it.close() }
        }
    }

    /** Sends the request on a connection of its own if it is to use one; returns false if not. */
    private fun launchAlone(demanded: Demanded): Boolean {
        if (demanded.usesNewConnection) scope.launch { serve(demanded, null)?.close() }
        return demanded.usesNewConnection
    }

    /** Sends the request on [kept] or on a new connection; returns a connection for the next one, or null. */
    private suspend fun serve(
        demanded: Demanded,
        kept: CallerLink?,
    ): CallerLink? {
        var link = kept?.takeIf { isUsable(it) }
        if (link == null) kept?.close()
        var last: GatewayAddresses? = null
        var lastEvent = 0
        var attempt = 0
        while (true) {
            val left = demanded.madeAt + demanded.demand.deadline - journal.now()
            if (left <= MIN_TIME) return link
            val used = link ?: connect(last) ?: return null
            val result = exchange.run(used, demanded, "$number-${demanded.number}-$attempt", left, lastEvent)
            val next = used.takeIf { result.isReusable }?.also { it.idleSince = journal.now() }
            if (next == null) used.close()
            // A request on a connection that was closed before it was read is sent again without being counted.
            val isUnread = result.end == AttemptEnd.NOT_SENT
            if (result.end == AttemptEnd.WHOLE && !result.isRefused) return next
            if (result.end == AttemptEnd.LEFT || attempt >= RETRIES + (if (isUnread) 1 else 0)) return next
            if (!result.isRefused && !isUnread && !mayRepeat(demanded.demand)) return next
            if (next != null) next.close()
            delay(minOf(result.retryAfter, left / 3))
            lastEvent = result.lastEvent
            last = used.gateway
            link = null
            attempt += 1
        }
    }

    private fun mayRepeat(demand: Demand): Boolean = demand.isStream || demand.method == "GET"

    private fun isUsable(link: CallerLink): Boolean = journal.now() - link.idleSince < link.idleTime && link.isOpen()

    private fun connect(last: GatewayAddresses?): CallerLink? {
        repeat(CONNECT_ATTEMPTS) {
            val gateway = ingress.gatewayFor(zone, number + random.nextInt(HASHES), last)
            val socket = Socket()
            try {
                socket.tcpNoDelay = true
                socket.connect(InetSocketAddress("127.0.0.1", gateway.front), CONNECT_TIMEOUT_MILLIS)
                return CallerLink(gateway, socket)
            } catch (e: IOException) {
                socket.close()
            }
        }
        return null
    }

    private companion object {
        const val MAX_LINKS = 2
        const val RETRIES = 1
        const val CONNECT_ATTEMPTS = 3
        const val CONNECT_TIMEOUT_MILLIS = 1_000

        /** Connections of a caller, which the ingress tells apart. */
        const val HASHES = 4
        val MIN_TIME = 50.milliseconds
    }
}
