package org.cicadaturn.tasks.entry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.cicadaturn.decisions.answer.ChatEvent
import org.cicadaturn.decisions.answer.chatSequence
import org.cicadaturn.schema.generated.ChatChunk

private const val END_MARK = "[DONE]"
private const val CHUNK_OBJECT = "chat.completion.chunk"
private const val COMPLETION_OBJECT = "chat.completion"
private const val MAX_DETAIL_CHARACTERS = 80
private val json = Json { ignoreUnknownKeys = true }

/**
 * Events of a chat completion that have arrived together.
 *
 * @property sound encoded events, as far as they can be passed on
 * @property defect why the answer is broken behind them; null if it is not
 */
internal class ChatBatch(
    val sound: ByteArray,
    val defect: String? = null,
)

/**
 * Verifies the events of a streamed chat completion and counts the tokens in them.
 *
 * Verified events are encoded again, so that a caller reads exactly what was verified. Engines send one token in each
 * event. An answer that broke off is resumed after the tokens counted so far, which are the [earlierTokens] of the next
 * one. Not safe for use by several coroutines.
 */
internal class ChatEvents(
    earlierTokens: Int = 0,
) {
    private var reader = EventReader()
    private var sequence = chatSequence()
    private var hasEvent = false

    /** Number of tokens in the events returned so far and in earlier answers. */
    var tokens = earlierTokens
        private set

    /** True once the current answer is whole. */
    val isEnded: Boolean get() = sequence.isEnded

    /** Drops the incomplete event of a broken answer and begins with another answer. */
    fun beginAnswer() {
        reader = EventReader()
        sequence = chatSequence()
        hasEvent = false
    }

    /**
     * Returns the events that [bytes] complete, up to the end mark, and the comments behind the first one; takes linear
     * time.
     */
    fun accept(bytes: ByteArray): ChatBatch {
        val sound = StringBuilder()
        for (item in reader.accept(bytes)) {
            if (isEnded) break
            val defect =
                when (item) {
                    is StreamItem.Event -> defectOf(item)
                    is StreamItem.Defect -> item.detail
                    StreamItem.Comment -> null
                }
            if (defect != null) return ChatBatch(sound.toString().encodeToByteArray(), defect)
            if (item is StreamItem.Event) hasEvent = true
            // Something that is passed on commits the request to this answer, and a comment says nothing of it.
            if (hasEvent) sound.append(encode(item))
        }
        return ChatBatch(sound.toString().encodeToByteArray())
    }

    private fun defectOf(event: StreamItem.Event): String? {
        val chatEvent = parse(event.data) ?: return "event that is no chunk: ${event.data.take(MAX_DETAIL_CHARACTERS)}"
        val defect = sequence.accept(chatEvent)
        if (defect == null && chatEvent is ChatEvent.Part && chatEvent.hasToken) tokens++
        return defect
    }

    private fun encode(item: StreamItem): String =
        when (item) {
            is StreamItem.Event -> item.data.lineSequence().joinToString("") { "data: $it\n" } + "\n"
            else -> ":\n\n"
        }

    private fun parse(data: String): ChatEvent? {
        if (data.trim() == END_MARK) return ChatEvent.End
        val chunk =
            try {
                json.decodeFromString(ChatChunk.serializer(), data)
            } catch (_: IllegalArgumentException) {
                return null
            }
        if (chunk.objectKind != CHUNK_OBJECT) return null
        return ChatEvent.Part(
            completion = chunk.id,
            hasToken = chunk.choices.any { !it.delta.content.isNullOrEmpty() },
            isLast = chunk.choices.any { it.finishReason != null },
        )
    }
}

/** Returns true if [body] is one JSON object with a chat completion. */
internal fun isChatCompletion(body: ByteArray): Boolean =
    try {
        val completion = json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        val choices = completion?.get("choices") as? JsonArray
        (completion?.get("object") as? JsonPrimitive)?.content == COMPLETION_OBJECT && !choices.isNullOrEmpty()
    } catch (_: IllegalArgumentException) {
        false
    } catch (_: CharacterCodingException) {
        false
    }
