package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.request.ChatRequestInfo
import org.cicadaturn.schema.generated.ChatRequest

private val json = Json { ignoreUnknownKeys = true }

/** Average number of characters in a token, for the estimate of the prompt. */
private const val CHARACTERS_PER_TOKEN = 4

/** Value of `max_tokens` for a request without it. */
private const val DEFAULT_MAX_TOKENS = 256

private const val MAX_ANSWER_TOKENS = 1_000_000

/** Length of the part of the prompt that decides on prefix-cache affinity, in characters. */
private const val PREFIX_CHARACTERS = 1024

/** Returns what routing needs to know of the chat completion request in [body], or why it is refused. */
internal fun parseChatRequest(body: ByteArray): Either<Refusal, ChatRequestInfo> {
    val chat =
        try {
            json.decodeFromString(ChatRequest.serializer(), body.decodeToString(throwOnInvalidSequence = true))
        } catch (e: IllegalArgumentException) {
            return invalid(
                "the body is not a chat completion: ${e.message.orEmpty().lineSequence().first().take(160)}",
            ).left()
        } catch (_: CharacterCodingException) {
            return invalid("the body is not UTF-8 text").left()
        }
    val maxTokens = chat.maxTokens ?: DEFAULT_MAX_TOKENS
    if (maxTokens !in 1..MAX_ANSWER_TOKENS) {
        return invalid("max_tokens is $maxTokens; allowed are 1 to $MAX_ANSWER_TOKENS").left()
    }
    if (chat.messages.isEmpty()) return invalid("messages is empty").left()
    val prompt = chat.messages.joinToString("\n") { "${it.role}: ${it.content}" }
    return ChatRequestInfo(
        model = chat.model,
        promptTokens = prompt.length / CHARACTERS_PER_TOKEN + 1,
        maxTokens = maxTokens,
        stream = chat.stream,
        prefix = digestOf(prompt.take(PREFIX_CHARACTERS)).text,
    ).right()
}

private fun invalid(message: String): Refusal =
    Refusal(ErrorKind.INVALID_REQUEST, message, "send a JSON object with model and messages, as for OpenAI")
