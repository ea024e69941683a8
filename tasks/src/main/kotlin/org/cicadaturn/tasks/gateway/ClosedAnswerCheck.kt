package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.decisions.gateway.EndpointAccess
import org.cicadaturn.decisions.gateway.EndpointExit
import org.cicadaturn.decisions.gateway.defectOfClosedAnswer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.Opening
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Verifies that an endpoint which has closed the connection of an answer has not ended with it.
 *
 * The connection that is made for it replaces the closed one and goes into [pool], so no request pays for it. It is closed
 * if the endpoint leaves, as that gets no further request.
 *
 * @param exitOf returns what is known of the end of an endpoint
 */
internal class ClosedAnswerCheck(
    private val connector: HttpConnector,
    private val pool: ConnectionPool,
    private val exitOf: suspend (LiveEndpoint) -> EndpointExit,
) {
    /**
     * Returns why an answer of [endpoint] whose connection has ended with [end] is not complete, or null if it is. Takes
     * at most [timeLeft], as the answer would be late after it.
     *
     * @param window time in which the end has arrived
     */
    suspend fun defectOf(
        end: ConnectionEnd,
        endpoint: LiveEndpoint,
        window: Duration,
        timeLeft: Duration,
    ): String? {
        val exit = exitOf(endpoint)
        val limit = minOf(CONNECT_LIMIT, timeLeft / 2 - CLOSING_TIME)
        val readDelay = connector.stallWithin(window)
        defectOfClosedAnswer(end, exit, EndpointAccess.ACCEPTS, readDelay)?.let { return it }
        val pool = pool.takeUnless { exit.isPlanned }
        val access = withTimeoutOrNull(timeLeft / 2) { accessTo(endpoint, limit, pool) } ?: EndpointAccess.UNKNOWN
        return defectOfClosedAnswer(end, exit, access, maxOf(readDelay, connector.stallWithin(window)))
    }

    /**
     * Asks again after a reset, by which an endpoint turns a connection down while it is busy, and the system of one that
     * has crashed a connection that it had taken before; and after a silence, in which a packet may have been lost.
     */
    private suspend fun accessTo(
        endpoint: LiveEndpoint,
        limit: Duration,
        pool: ConnectionPool?,
    ): EndpointAccess {
        if (!limit.isPositive()) return EndpointAccess.UNKNOWN
        var access = connect(endpoint, limit, pool)
        var asked = 1
        while ((access == EndpointAccess.RESETS || access == EndpointAccess.UNKNOWN) && asked < MAX_CONNECTIONS) {
            delay(PAUSE)
            access = connect(endpoint, limit, pool)
            asked += 1
        }
        return access
    }

    /** Returns whether [endpoint] accepts a connection. */
    private suspend fun connect(
        endpoint: LiveEndpoint,
        limit: Duration,
        pool: ConnectionPool?,
    ): EndpointAccess =
        when (val opening = connector.open(endpoint.address, limit)) {
            is Opening.Opened ->
                if (keep(endpoint, opening.link, pool)) EndpointAccess.ACCEPTS else EndpointAccess.RESETS
            Opening.Refused -> EndpointAccess.REFUSES
            Opening.Reset -> EndpointAccess.RESETS
            Opening.Failed -> EndpointAccess.UNKNOWN
        }

    /** Puts [link] into [pool], unless it is reset within [CLOSING_TIME]; returns false then. */
    private suspend fun keep(
        endpoint: LiveEndpoint,
        link: HttpLink,
        pool: ConnectionPool?,
    ): Boolean {
        var isKept = false
        try {
            link.readAhead()
            withTimeoutOrNull(CLOSING_TIME) { link.closed.await() }
            val isAccepted = link.end != ConnectionEnd.RESET
            isKept = isAccepted && pool != null
            if (isKept) pool?.put(endpoint.id, EndpointConnection(link), DEFAULT_KEEP_ALIVE)
            return isAccepted
        } finally {
            if (!isKept) link.close()
        }
    }

    private companion object {
        /** Above the round trip between two failure domains. */
        val CONNECT_LIMIT = 100.milliseconds

        /**
         * Longest time in which a system closes all sockets of a process that has ended. A connection made within it
         * may have been taken by a socket that is closed next, which resets it; one made later is refused.
         */
        val CLOSING_TIME = 5.milliseconds

        /** A multiple of [CLOSING_TIME], as the system may be short of processor time. */
        val PAUSE = 20.milliseconds

        /** Connections that are reset before an endpoint counts as one that runs, or get no answer before it is given up. */
        const val MAX_CONNECTIONS = 3
    }
}
