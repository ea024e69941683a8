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
 * Splits the bytes of an event stream into whole events.
 *
 * A line ends with LF or CR LF, and an event with a blank line. The standard for event streams also knows lines that
 * end with CR, but many readers do not, so they would find other events in the same bytes. Has one owner and is not safe
 * for concurrent use.
 */
public interface EventSplitter {
    /** True while the last event is incomplete. */
    public val isInsideEvent: Boolean

    /** Number of bytes of the incomplete event. */
    public val pendingBytes: Int

    /** True once a line has ended with CR alone; nothing from its event on can be trusted. */
    public val hasLoneReturn: Boolean

    /** Returns the events that [bytes] complete, in order; takes time proportional to the number of bytes. */
    public fun add(bytes: ByteArray): List<StreamEvent>
}

/** Returns a splitter at the start of a stream. */
public fun eventSplitter(): EventSplitter = BlankLineSplitter()

private class BlankLineSplitter : EventSplitter {
    /** The first [pendingBytes] of it are those of the incomplete event. */
    private var buffer = ByteArray(0)
    private var lineStart = 0

    /** True if the incomplete event has a whole line. */
    private var hasLine = false

    override val isInsideEvent: Boolean get() = hasLine || pendingBytes > lineStart
    override var pendingBytes = 0
        private set
    override var hasLoneReturn = false
        private set

    override fun add(bytes: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        val scanned = pendingBytes
        append(bytes)
        var start = 0
        for (i in scanned..<pendingBytes) {
            if (i > start && buffer[i - 1] == CARRIAGE_RETURN && buffer[i] != LINE_FEED) {
                hasLoneReturn = true
                break
            }
            if (buffer[i] != LINE_FEED) continue
            val isBlank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == CARRIAGE_RETURN)
            if (!isBlank) hasLine = true
            // A blank line without an event before it belongs to the next event.
            if (isBlank && hasLine) {
                events += eventOf(buffer.copyOfRange(start, i + 1))
                start = i + 1
                hasLine = false
            }
            lineStart = i + 1
        }
        drop(start)
        return events
    }

    private fun append(bytes: ByteArray) {
        val size = pendingBytes + bytes.size
        // Doubling the buffer keeps the time for an event in many small pieces proportional to its length.
        if (size > buffer.size) buffer = buffer.copyOf(maxOf(size, 2 * pendingBytes))
        bytes.copyInto(buffer, pendingBytes)
        pendingBytes = size
    }

    private fun drop(count: Int) {
        if (count == 0) return
        buffer = buffer.copyOfRange(count, pendingBytes)
        pendingBytes -= count
        lineStart -= count
    }
}

private fun eventOf(bytes: ByteArray): StreamEvent {
    val text =
        try {
            bytes.decodeToString(throwOnInvalidSequence = true)
        } catch (_: CharacterCodingException) {
            return StreamEvent(bytes, lines = null)
        }
    return StreamEvent(bytes, text.split('\n').map { it.removeSuffix("\r") }.filter { it.isNotEmpty() })
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
