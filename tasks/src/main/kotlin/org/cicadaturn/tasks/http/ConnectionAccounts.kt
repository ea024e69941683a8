package org.cicadaturn.tasks.http

import org.cicadaturn.decisions.connection.ConnectionDecision
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.decisions.connection.ConnectionNumber
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.decisions.connection.connectionBudget

/** Why a connection or a request was refused, or a connection closed. */
public enum class ConnectionLoss {
    /** A new connection was refused, as all connections are in use. */
    REFUSED,

    /** A connection was closed for a new one or for the memory that another one needed. */
    CLOSED,

    /** A request was refused, as the memory that it needs was used up. */
    NO_MEMORY,

    /** A head was not complete in time. */
    SLOW_HEAD,

    /** A body was not complete in time. */
    SLOW_BODY,

    /** A head exceeded the limit on its size. */
    LONG_HEAD,

    /** The client has not read an answer in time. */
    UNREAD_ANSWER,
}

/** Receives each loss of a connection. */
public typealias ConnectionLossHandler = (ConnectionLoss) -> Unit

/**
 * Accounts of the connections of listeners, which share a budget.
 *
 * The event loop owns them, as it owns the connections: memory is asked for within a read of a socket, where a message
 * to another task could not be awaited.
 */
public interface ConnectionAccounts {
    /** Memory that all connections hold, in bytes. */
    public val usedBytes: Long

    /** Number of open connections. */
    public val connections: Int

    /** Returns the account of a new connection, which [close] closes, or null if the connection has to be closed. */
    public fun open(close: () -> Unit): ConnectionAccount?

    /** Records a loss that a connection has noticed itself. */
    public fun lost(loss: ConnectionLoss)
}

/** Account of one connection. */
public interface ConnectionAccount {
    /** What the connection is in use for. */
    public var use: ConnectionUse

    /** Requests to hold [bytes] for input and heads; returns false if there is not enough memory. */
    public fun hold(bytes: Long): Boolean

    /** Requests to hold [bytes] for a body; returns false if there is not enough memory. */
    public fun holdBody(bytes: Long): Boolean

    /** Records that a request of the connection was admitted, after which new connections do not replace it. */
    public fun admitted()

    /** Records a loss that the connection has noticed itself. */
    public fun lost(loss: ConnectionLoss)

    /** Ends the account; the connection is closed. */
    public fun close()
}

/** Returns accounts without connections. */
public fun connectionAccounts(
    limits: ConnectionLimits,
    onLoss: ConnectionLossHandler = {},
): ConnectionAccounts = SharedAccounts(limits, onLoss)

private class SharedAccounts(
    limits: ConnectionLimits,
    private val onLoss: ConnectionLossHandler,
) : ConnectionAccounts {
    private val budget = connectionBudget(limits)
    private val closers = HashMap<ConnectionNumber, () -> Unit>()
    private var opened = 0L
    override val usedBytes: Long get() = budget.usedBytes
    override val connections: Int get() = budget.connections

    override fun open(close: () -> Unit): ConnectionAccount? {
        val number = ConnectionNumber(opened++)
        val decision = budget.open(number)
        carryOut(decision)
        if (!decision.isGranted) {
            onLoss(ConnectionLoss.REFUSED)
            return null
        }
        closers[number] = close
        return Account(number)
    }

    override fun lost(loss: ConnectionLoss) = onLoss(loss)

    private fun carryOut(decision: ConnectionDecision) {
        decision.closed.forEach { number ->
            onLoss(ConnectionLoss.CLOSED)
            closers.remove(number)?.invoke()
        }
    }

    private inner class Account(
        private val number: ConnectionNumber,
    ) : ConnectionAccount {
        private var input = 0L
        private var body = 0L
        override var use: ConnectionUse = ConnectionUse.WAITING
            set(value) {
                field = value
                budget.use(number, value)
            }

        override fun hold(bytes: Long): Boolean = holdAll(bytes, body).also { if (it) input = bytes }

        override fun holdBody(bytes: Long): Boolean = holdAll(input, bytes).also { if (it) body = bytes }

        private fun holdAll(
            input: Long,
            body: Long,
        ): Boolean {
            val decision = budget.hold(number, input + body)
            carryOut(decision)
            return decision.isGranted
        }

        override fun admitted() = budget.admitted(number)

        override fun lost(loss: ConnectionLoss) = onLoss(loss)

        override fun close() {
            closers.remove(number)
            budget.close(number)
        }
    }
}
