package org.cicadaturn.standins.engine

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Routing
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.ChatChoice
import org.cicadaturn.schema.generated.ChatChunk
import org.cicadaturn.schema.generated.ChatChunkChoice
import org.cicadaturn.schema.generated.ChatCompletion
import org.cicadaturn.schema.generated.ChatDelta
import org.cicadaturn.schema.generated.ChatMessage
import org.cicadaturn.schema.generated.ChatRequest
import org.cicadaturn.schema.generated.ChatUsage
import kotlin.time.Clock

private const val ROLE = "assistant"

/** Validated chat request, with the values that its answer needs. */
private class ParsedChat(
    val request: ChatRequest,
    val prompt: String,
    val parameters: ChatParameters,
    val created: Long,
) {
    val seed = seedOf(prompt)
    val finishReason = if (request.maxTokens == null) "stop" else "length"
}

internal fun Routing.chatRoutes(
    settings: EngineSettings,
    handle: EngineTaskHandle,
    clock: Clock,
) {
    post("/v1/chat/completions") {
        val request = call.receiveJson<ChatRequest>() ?: return@post
        val problem = problemOf(request, call)
        if (problem != null) {
            call.respondError(400, "bad_request", problem)
            return@post
        }
        answer(call, chatOf(request, call, settings, clock), handle)
    }
    post("/cancel/{id}") {
        val attempt = call.parameters["id"].orEmpty()
        if (handle.ask { EngineMessage.Cancel(attempt, it) }) {
            call.respondJson(mapOf("cancelled" to attempt))
        } else {
            call.respondError(404, "not_found", "no request with attempt $attempt runs or waits")
        }
    }
}

private fun problemOf(
    request: ChatRequest,
    call: ApplicationCall,
): String? {
    val priority = call.request.headers["X-Priority"]
    val from = call.request.headers["X-Resume-From"]
    return when {
        request.messages.isEmpty() -> "messages is empty; give at least one"
        (request.maxTokens ?: 1) < 1 -> "max_tokens is ${request.maxTokens}; it must be at least 1"
        priority != null && priority.toIntOrNull() == null -> "X-Priority is $priority; it must be a whole number"
        from != null && (from.toIntOrNull() ?: -1) < 0 -> "X-Resume-From is $from; it must be a token number from 0"
        else -> null
    }
}

private fun chatOf(
    request: ChatRequest,
    call: ApplicationCall,
    settings: EngineSettings,
    clock: Clock,
): ParsedChat {
    val headers = call.request.headers
    val prompt = promptOf(request.messages)
    val parameters =
        ChatParameters(
            attempt = headers["X-Attempt-Id"],
            model = request.model,
            priority = headers["X-Priority"]?.toInt() ?: 0,
            promptTokens = promptTokenCount(prompt),
            blocks = blockDigests(prompt, settings.batch.blockTokens),
            firstToken = headers["X-Resume-From"]?.toInt() ?: 0,
            answerTokens = minOf(request.maxTokens ?: settings.defaultAnswerTokens, settings.maxAnswerTokens),
        )
    return ParsedChat(request, prompt, parameters, clock.now().epochSeconds)
}

private suspend fun answer(
    call: ApplicationCall,
    chat: ParsedChat,
    handle: EngineTaskHandle,
) {
    val parameters = chat.parameters
    if (parameters.firstToken >= parameters.answerTokens) {
        val message = "X-Resume-From is ${parameters.firstToken}; the answer has ${parameters.answerTokens} tokens"
        call.respondError(416, "nothing_left", message)
        return
    }
    handle.submit(parameters) { result ->
        when (result) {
            is SubmitResult.Refused -> call.respondError(result.status, result.type, result.message)
            is SubmitResult.Accepted -> {
                parameters.blocks
                    .lastOrNull()
                    ?.let { call.response.header("X-Cache-Digest", it.text) }
                if (chat.request.stream) streamAnswer(call, chat, result) else sendCompletion(call, chat, result)
            }
        }
    }
}

/** Sends all tokens of an answer in one JSON object. */
private suspend fun sendCompletion(
    call: ApplicationCall,
    chat: ParsedChat,
    accepted: SubmitResult.Accepted,
) {
    val text = StringBuilder()
    var complete = false
    for (token in accepted.tokens) {
        text.append(tokenAt(chat.seed, token.position))
        complete = token.last
    }
    if (!complete) {
        call.respondDropped()
        return
    }
    val generated = chat.parameters.answerTokens - chat.parameters.firstToken
    call.respondJson(
        ChatCompletion(
            id = answerId(accepted),
            objectKind = "chat.completion",
            created = chat.created,
            model = chat.request.model,
            choices = listOf(ChatChoice(0, ChatMessage(ROLE, text.toString()), chat.finishReason)),
            usage = ChatUsage(chat.parameters.promptTokens, generated, chat.parameters.promptTokens + generated),
        ),
    )
}

/**
 * Streams the tokens of an answer.
 *
 * The response head is sent with the first token, so that a failure before it can still be reported by a status code.
 */
private suspend fun streamAnswer(
    call: ApplicationCall,
    chat: ParsedChat,
    accepted: SubmitResult.Accepted,
) {
    val first = accepted.tokens.receiveCatching().getOrNull()
    if (first == null) {
        call.respondDropped()
        return
    }
    call.response.header("Cache-Control", "no-cache")
    call.respondBytesWriter(ContentType.Text.EventStream) {
        val events = EventWriter(this, chat, answerId(accepted))
        if (first.position == 0) events.write(ChatDelta(role = ROLE, content = ""), null)
        events.writeTokens(first, accepted.tokens)
        events.write(ChatDelta(), chat.finishReason)
        writeStringUtf8("data: [DONE]\n\n")
        flush()
    }
}

/** Writes the events of one streamed answer to [output]. */
private class EventWriter(
    private val output: ByteWriteChannel,
    private val chat: ParsedChat,
    private val id: String,
) {
    suspend fun writeTokens(
        first: TokenEvent,
        rest: ReceiveChannel<TokenEvent>,
    ) {
        write(ChatDelta(content = tokenAt(chat.seed, first.position)), null)
        var complete = first.last
        for (token in rest) {
            write(ChatDelta(content = tokenAt(chat.seed, token.position)), null)
            complete = token.last
        }
        // The exception leaves the chunked body unterminated, so that the caller detects an incomplete answer.
        if (!complete) throw IOException("engine: request $id was dropped")
    }

    suspend fun write(
        delta: ChatDelta,
        finishReason: String?,
    ) {
        val choices = listOf(ChatChunkChoice(0, delta, finishReason))
        val chunk = ChatChunk(id, "chat.completion.chunk", chat.created, chat.request.model, choices)
        output.writeStringUtf8("data: ${engineJson.encodeToString(chunk)}\n\n")
        output.flush()
    }
}

private suspend fun ApplicationCall.respondDropped() =
    respondError(503, "dropped", "the engine dropped the request before it was complete; send it again")

private fun answerId(accepted: SubmitResult.Accepted): String = "chatcmpl-${accepted.run}-${accepted.id}"
