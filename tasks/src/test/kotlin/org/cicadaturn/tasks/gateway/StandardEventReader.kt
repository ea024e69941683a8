package org.cicadaturn.tasks.gateway

/**
 * Event that a caller gets from a stream.
 *
 * @property lastEventId last identifier that the stream had sent when the event ended
 * @property ownId identifier that stands within the event; null if none does
 */
internal data class ReadEvent(
    val lastEventId: String,
    val data: String,
    val ownId: String?,
)

/** Reads an event stream by the rules of the WHATWG standard for server-sent events, once. */
internal class StandardEventReader {
    private val events = mutableListOf<ReadEvent>()
    private val data = StringBuilder()
    private var lastEventId = ""
    private var ownId: String? = null

    /** Returns the events that [bytes], all that was received, contain; an event without its blank line is none. */
    fun read(bytes: ByteArray): List<ReadEvent> {
        val text = bytes.toString(Charsets.UTF_8).removePrefix("\uFEFF")
        var start = 0
        var i = 0
        while (i < text.length) {
            val c = text[i]
            i += 1
            if (c != '\n' && c != '\r') continue
            endLine(text.substring(start, i - 1))
            if (c == '\r' && i < text.length && text[i] == '\n') i += 1
            start = i
        }
        return events
    }

    private fun endLine(line: String) {
        if (line.isEmpty()) return dispatch()
        if (line.startsWith(':')) return
        val value = line.substringAfter(':', "").removePrefix(" ")
        when (line.substringBefore(':')) {
            "data" -> data.append(value).append('\n')
            "id" ->
                if ('\u0000' !in value) {
                    lastEventId = value
                    ownId = value
                }
        }
    }

    private fun dispatch() {
        if (data.isNotEmpty()) events += ReadEvent(lastEventId, data.dropLast(1).toString(), ownId)
        data.clear()
        ownId = null
    }
}
