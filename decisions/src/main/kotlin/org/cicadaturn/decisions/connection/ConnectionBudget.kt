package org.cicadaturn.decisions.connection

/** Number of a connection; connections that were opened later have higher ones. */
@JvmInline
public value class ConnectionNumber(
    public val value: Long,
)

/**
 * Limits on what the connections of clients hold together.
 *
 * @property connections number of open connections
 * @property bytes memory for the connections themselves, input that is not decoded yet, heads and small bodies of
 * requests
 */
public data class ConnectionLimits(
    val connections: Int,
    val bytes: Long,
)

/** What a connection is in use for. */
public enum class ConnectionUse {
    /** It waits for a request or receives one. */
    WAITING,

    /** A request of it is being worked on, which closing it would cut. */
    SERVING,

    /** An answer waits for the client to read. */
    STALLED,
}

/**
 * Decision about memory or a place for a connection.
 *
 * @property closed other connections that have to be closed for it
 */
public data class ConnectionDecision(
    val isGranted: Boolean,
    val closed: List<ConnectionNumber> = emptyList(),
)

/**
 * Budget of the connections of clients. Has one owner and is not safe for concurrent use.
 *
 * If memory runs short, the connection that holds most is closed first. If the connection that asks for memory would
 * itself hold most, it is refused, but a request of usual size gets the memory of connections without an admitted request
 * so far, the oldest first. Those are also closed if connections run short. A connection that serves a request is not
 * closed.
 */
public interface ConnectionBudget {
    /** Memory that all connections hold, in bytes. */
    public val usedBytes: Long

    /** Number of open connections. */
    public val connections: Int

    /** Decides whether a new connection, [number], may stay open. */
    public fun open(number: ConnectionNumber): ConnectionDecision

    /** Decides whether the connection [number] may hold [bytes] beside itself, in place of what it holds now. */
    public fun hold(
        number: ConnectionNumber,
        bytes: Long,
    ): ConnectionDecision

    /** Records what the connection [number] is in use for. */
    public fun use(
        number: ConnectionNumber,
        use: ConnectionUse,
    )

    /** Records that a request of the connection [number] was admitted. */
    public fun admitted(number: ConnectionNumber)

    /** Records that the connection [number] is closed. */
    public fun close(number: ConnectionNumber)
}

/** Returns a budget without connections. */
public fun connectionBudget(limits: ConnectionLimits): ConnectionBudget = SharedBudget(limits)

/** Memory of an open connection without input: its socket, handlers and coroutine. */
public const val CONNECTION_BYTES: Long = 6_144

private class SharedBudget(
    private val limits: ConnectionLimits,
) : ConnectionBudget {
    private class Holder(
        val number: ConnectionNumber,
    ) {
        var bytes = CONNECTION_BYTES
        var use = ConnectionUse.WAITING
        var isAdmitted = false
        val mayClose: Boolean get() = use != ConnectionUse.SERVING
    }

    // In the order of opening.
    private val holders = LinkedHashMap<ConnectionNumber, Holder>()
    override var usedBytes = 0L
        private set
    override val connections: Int get() = holders.size

    override fun open(number: ConnectionNumber): ConnectionDecision {
        val closed = mutableListOf<ConnectionNumber>()
        while (holders.size >= limits.connections || usedBytes + CONNECTION_BYTES > limits.bytes) {
            val next = nextForPlace() ?: return ConnectionDecision(false, closed)
            close(next.number)
            closed += next.number
        }
        holders[number] = Holder(number)
        usedBytes += CONNECTION_BYTES
        return ConnectionDecision(true, closed)
    }

    private fun nextForPlace(): Holder? {
        if (holders.size < limits.connections) largestAbove(CONNECTION_BYTES)?.let { return it }
        return oldestUnknown(apartFrom = null)
    }

    override fun hold(
        number: ConnectionNumber,
        bytes: Long,
    ): ConnectionDecision {
        val holder = holders[number] ?: return ConnectionDecision(false)
        val wanted = CONNECTION_BYTES + bytes
        val limit = if (wanted > LARGE_BYTES) limits.bytes - limits.bytes / RESERVED_PART else limits.bytes
        val closed = mutableListOf<ConnectionNumber>()
        while (wanted > holder.bytes && usedBytes - holder.bytes + wanted > limit) {
            val next = nextForMemory(holder, wanted) ?: return ConnectionDecision(false, closed)
            close(next.number)
            closed += next.number
        }
        usedBytes += wanted - holder.bytes
        holder.bytes = wanted
        return ConnectionDecision(true, closed)
    }

    private fun nextForMemory(
        holder: Holder,
        wanted: Long,
    ): Holder? = largestAbove(wanted) ?: if (wanted <= LARGE_BYTES) oldestUnknown(holder) else null

    private fun oldestUnknown(apartFrom: Holder?): Holder? =
        holders.values.firstOrNull { it.mayClose && !it.isAdmitted && it !== apartFrom }

    private fun largestAbove(bytes: Long): Holder? =
        holders.values.filter { it.mayClose && it.bytes > bytes }.maxByOrNull { it.bytes }

    override fun use(
        number: ConnectionNumber,
        use: ConnectionUse,
    ) {
        holders[number]?.use = use
    }

    override fun admitted(number: ConnectionNumber) {
        holders[number]?.isAdmitted = true
    }

    override fun close(number: ConnectionNumber) {
        holders.remove(number)?.let { usedBytes -= it.bytes }
    }

    private companion object {
        /** A connection that holds more leaves [RESERVED_PART] of the memory to others, whose requests are of usual size. */
        const val LARGE_BYTES = 65_536L
        const val RESERVED_PART = 4
    }
}
