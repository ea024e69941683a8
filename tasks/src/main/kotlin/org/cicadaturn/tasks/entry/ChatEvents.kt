package org.cicadaturn.tasks.entry

import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.ChatChunk
import java.io.ByteArrayOutputStream

private const val EVENT_PREFIX = "data: "
private const val NEW_LINE = '\n'.code.toByte()
private val json = Json { ignoreUnknownKeys = true }

/**
 * Splits a streamed chat completion into complete events and counts the tokens in them.
 *
 * Engines send one token in each event. An answer that broke off is resumed after the tokens counted so far. Not safe
 * for use by several coroutines.
 */
internal class ChatEvents {
    private val partial = ByteArrayOutputStream()

    /** Number of tokens in the events returned so far. */
    var tokens = 0
        private set

    /**
     * Adds the next part of the stream and returns the events that it completes.
     *
     * Takes time linear in the length of [data] and of the incomplete event before it.
     */
    fun accept(data: ByteArray): ByteArray {
        partial.write(data)
        val all = partial.toByteArray()
        val end = endOfLastEvent(all)
        if (end == 0) return ByteArray(0)
        partial.reset()
        partial.write(all, end, all.size - end)
        val complete = all.copyOf(end)
        tokens += complete.decodeToString().lineSequence().count { hasToken(it) }
        return complete
    }

    /** Drops the incomplete event before the answer is resumed from another endpoint. */
    fun dropPartial() {
        partial.reset()
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (i in bytes.size - 1 downTo 1) {
            if (bytes[i] == NEW_LINE && bytes[i - 1] == NEW_LINE) return i + 1
        }
        return 0
    }

    private fun hasToken(line: String): Boolean {
        if (!line.startsWith("$EVENT_PREFIX{")) return false
        return try {
            val chunk = json.decodeFromString(ChatChunk.serializer(), line.removePrefix(EVENT_PREFIX))
            chunk.choices.any { !it.delta.content.isNullOrEmpty() }
        } catch (_: IllegalArgumentException) {
            false
        }
    }
}
