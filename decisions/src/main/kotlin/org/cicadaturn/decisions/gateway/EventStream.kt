package org.cicadaturn.decisions.gateway

/** Verifies the events of one answer while its bytes arrive. Has one owner and is not safe for concurrent use. */
public interface EventStream {
    /** Number of bytes of the incomplete event. */
    public val pendingBytes: Int

    /** Returns which of the events that [bytes] complete can be passed on; takes linear time. */
    public fun accept(bytes: ByteArray): EventBatch

    /** Returns why the stream, whose body has ended here, is not complete, or null if it is. */
    public fun defectAtEnd(): String?
}

/** Returns the stream of an answer whose events must be as [expected]. */
public fun eventStream(expected: ExpectedEvents): EventStream = VerifiedEventStream(expected)

private class VerifiedEventStream(
    private val expected: ExpectedEvents,
) : EventStream {
    private val splitter = eventSplitter()
    private val sequence = eventSequence(expected)
    private var hasEvents = false

    override val pendingBytes: Int get() = splitter.pendingBytes

    override fun accept(bytes: ByteArray): EventBatch {
        val batch = sequence.accept(splitter.add(bytes))
        if (batch.sound.isNotEmpty()) hasEvents = true
        if (batch.defect != null || !splitter.hasLoneReturn) return batch
        return batch.copy(defect = "line that ends with CR alone")
    }

    override fun defectAtEnd(): String? =
        when {
            splitter.isInsideEvent -> "stream ended inside an event"
            !hasEvents && expected.after == null -> "stream ended without an event"
            else -> null
        }
}
