package org.cicadaturn.decisions.gateway

/**
 * One event of a stream.
 *
 * @property bytes the event with the blank line that ends it
 * @property id its identifier; null if it has none or it is no number
 */
public class StreamEvent(
    public val bytes: ByteArray,
    public val id: Long?,
)

/**
 * Splits the bytes of an event stream into whole events.
 *
 * An event ends with a blank line. Has one owner.
 */
public interface EventSplitter {
    /** True if bytes of an event that has not ended are held. */
    public val isInsideEvent: Boolean

    /** Returns the events that [bytes] complete, in order. */
    public fun add(bytes: ByteArray): List<StreamEvent>
}

/** Returns a splitter that holds no bytes. */
public fun eventSplitter(): EventSplitter = BlankLineSplitter()

private class BlankLineSplitter : EventSplitter {
    private var held = ByteArray(0)

    override val isInsideEvent: Boolean get() = held.isNotEmpty()

    override fun add(bytes: ByteArray): List<StreamEvent> {
        val all = if (held.isEmpty()) bytes else held + bytes
        val events = mutableListOf<StreamEvent>()
        var start = 0
        var lineStart = 0
        var i = 0
        while (i < all.size) {
            if (all[i] == LINE_FEED) {
                val isBlank = i == lineStart || (i == lineStart + 1 && all[lineStart] == CARRIAGE_RETURN)
                if (isBlank) {
                    val event = all.copyOfRange(start, i + 1)
                    // A blank line with nothing before it belongs to the next event.
                    if (event.any { it != LINE_FEED && it != CARRIAGE_RETURN }) {
                        events += StreamEvent(event, idOf(event))
                        start = i + 1
                    }
                }
                lineStart = i + 1
            }
            i += 1
        }
        held = all.copyOfRange(start, all.size)
        return events
    }
}

private fun idOf(event: ByteArray): Long? =
    event
        .decodeToString()
        .lineSequence()
        .firstOrNull { it.startsWith("id:") }
        ?.substring("id:".length)
        ?.trim()
        ?.toLongOrNull()

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
