package org.cicadaturn.tasks.entry

import java.io.ByteArrayOutputStream

/** Maximum length of one event; without a bound, bytes that never end an event would fill the memory. */
internal const val MAX_EVENT_BYTES: Int = 1 shl 20

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val BYTE_ORDER_MARK = "\uFEFF"
private const val MAX_DETAIL_CHARACTERS = 40
private val fieldNames = setOf("data", "event", "id", "retry")

/** What [EventReader] finds in a stream. */
internal sealed interface StreamItem {
    /** Event with [data]. */
    data class Event(
        val data: String,
    ) : StreamItem

    /** Comment, which keeps a connection alive. */
    data object Comment : StreamItem

    /** Bytes that belong to no event stream; nothing behind them can be read. */
    data class Defect(
        val detail: String,
    ) : StreamItem
}

/**
 * Reads an event stream as its standard says: lines end with LF, CRLF or CR, and an event ends with a blank line.
 *
 * The standard ignores lines with an unknown field. Here they are a defect, because surplus bytes before a line would
 * otherwise remove a part of the stream. Has one owner and is not safe for concurrent use.
 */
internal class EventReader {
    private val line = ByteArrayOutputStream()
    private val data = mutableListOf<String>()
    private var eventBytes = 0
    private var isFirstLine = true
    private var isBehindReturn = false
    private var hasDefect = false

    /** Returns what [bytes] complete, in order; takes linear time. Returns nothing behind a defect. */
    fun accept(bytes: ByteArray): List<StreamItem> {
        val items = mutableListOf<StreamItem>()
        for (byte in bytes) {
            if (hasDefect) break
            val isEndOfReturn = isBehindReturn && byte == LINE_FEED
            isBehindReturn = byte == CARRIAGE_RETURN
            if (isEndOfReturn) continue
            val item = if (byte == LINE_FEED || byte == CARRIAGE_RETURN) endLine() else add(byte)
            if (item != null) items += item
        }
        return items
    }

    private fun add(byte: Byte): StreamItem? {
        line.write(byte.toInt())
        eventBytes++
        return if (eventBytes > MAX_EVENT_BYTES) defect("event of more than $MAX_EVENT_BYTES bytes") else null
    }

    private fun endLine(): StreamItem? {
        val decoded =
            try {
                line.toByteArray().decodeToString(throwOnInvalidSequence = true)
            } catch (_: CharacterCodingException) {
                return defect("line that is not UTF-8 text")
            }
        line.reset()
        val text = if (isFirstLine) decoded.removePrefix(BYTE_ORDER_MARK) else decoded
        isFirstLine = false
        if (text.isEmpty()) return endEvent()
        if (text.startsWith(':')) return StreamItem.Comment
        val field = text.substringBefore(':')
        if (field !in fieldNames) return defect("line without a field: ${text.take(MAX_DETAIL_CHARACTERS)}")
        if (field == "data") data += text.substringAfter(':', "").removePrefix(" ")
        return null
    }

    private fun endEvent(): StreamItem? {
        eventBytes = 0
        if (data.isEmpty()) return null
        return StreamItem.Event(data.joinToString("\n")).also { data.clear() }
    }

    private fun defect(detail: String): StreamItem {
        hasDefect = true
        return StreamItem.Defect(detail)
    }
}
