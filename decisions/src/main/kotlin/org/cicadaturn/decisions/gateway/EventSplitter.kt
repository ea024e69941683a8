package org.cicadaturn.decisions.gateway

/**
 * Event of a stream.
 *
 * @property bytes event, including the blank line that ends it
 * @property lines its lines without their ends, blank ones left out; null if the event is not encoded in UTF-8
 */
public class StreamEvent(
    public val bytes: ByteArray,
    public val lines: List<String>?,
) {
    /** Number of the event; null unless it has exactly one id, which is a number as a decimal without leading zeros. */
    public val id: Long? = lines?.let(::idIn)
}

/**
 * Splits the bytes of an event stream into whole events, as the standard for event streams does.
 *
 * A line ends with LF, CR or both, and an event with a blank line. Has one owner and is not safe for concurrent use.
 */
public interface EventSplitter {
    /** True while the last event is incomplete. */
    public val isInsideEvent: Boolean

    /** Number of bytes of the incomplete event. */
    public val pendingBytes: Int

    /** Returns the events that [bytes] complete, in order; takes linear time in the pending and the new bytes. */
    public fun add(bytes: ByteArray): List<StreamEvent>
}

/** Returns a splitter at the start of a stream. */
public fun eventSplitter(): EventSplitter = BlankLineSplitter()

private class BlankLineSplitter : EventSplitter {
    private var pending = ByteArray(0)

    /** Number of pending bytes that were scanned. */
    private var scanned = 0
    private var lineStart = 0
    private var hasLine = false

    /** True if the last byte was a CR, so that an LF behind it belongs to the same line end. */
    private var isAfterReturn = false

    /** True if the last line ended with CR and LF. */
    private var endedWithBoth = false

    override val isInsideEvent: Boolean get() = hasLine
    override val pendingBytes: Int get() = pending.size

    override fun add(bytes: ByteArray): List<StreamEvent> {
        val all = if (pending.isEmpty()) bytes else pending + bytes
        val events = mutableListOf<StreamEvent>()
        var start = 0
        var i = scanned
        while (i < all.size && !isHalfOfBlankLine(all, i)) {
            val isSecondHalf = isAfterReturn && all[i] == LINE_FEED
            val isBlank = i == lineStart && !isSecondHalf
            val size = lineEndSize(all, i, isSecondHalf)
            if (size > 0) {
                i += size
                lineStart = i
                if (isBlank && hasLine) {
                    events += eventOf(all.copyOfRange(start, i))
                    start = i
                    hasLine = false
                }
            } else {
                hasLine = true
                i += 1
            }
        }
        pending = all.copyOfRange(start, all.size)
        lineStart -= start
        scanned = i - start
        return events
    }

    /** Returns true if the last of [all] is the CR of a blank line whose LF is still to come, as in the line before. */
    private fun isHalfOfBlankLine(
        all: ByteArray,
        i: Int,
    ): Boolean = i == all.size - 1 && i == lineStart && all[i] == CARRIAGE_RETURN && endedWithBoth

    /** Returns the number of bytes of the line end at [i], or 0 if there is none. */
    private fun lineEndSize(
        all: ByteArray,
        i: Int,
        isSecondHalf: Boolean,
    ): Int {
        isAfterReturn = false
        if (all[i] == LINE_FEED) {
            endedWithBoth = isSecondHalf
            return 1
        }
        if (all[i] != CARRIAGE_RETURN) return 0
        endedWithBoth = all.getOrNull(i + 1) == LINE_FEED
        isAfterReturn = !endedWithBoth
        return if (endedWithBoth) 2 else 1
    }
}

private fun eventOf(bytes: ByteArray): StreamEvent {
    val text =
        try {
            bytes.decodeToString(throwOnInvalidSequence = true)
        } catch (_: CharacterCodingException) {
            return StreamEvent(bytes, lines = null)
        }
    return StreamEvent(bytes, text.lineSequence().filter { it.isNotEmpty() }.toList())
}

private fun idIn(lines: List<String>): Long? {
    val id = lines.singleOrNull { it == "id" || it.startsWith(ID_PREFIX) }?.removePrefix(ID_PREFIX) ?: return null
    val digits = id.removePrefix(" ")
    return digits.takeIf { it == "0" || DECIMAL.matches(it) }?.toLongOrNull()
}

private const val ID_PREFIX = "id:"
private val DECIMAL = Regex("[1-9][0-9]*")
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
