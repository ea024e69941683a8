package org.cicadaturn.daemons.system

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.utils.io.readLine
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.ApiError
import org.cicadaturn.schema.generated.ApiErrorDetail
import org.cicadaturn.schema.generated.ChatChunk
import org.cicadaturn.schema.generated.ChatCompletion
import org.cicadaturn.schema.generated.ChatMessage
import org.cicadaturn.schema.generated.ChatRequest
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrderConfirmation
import org.cicadaturn.standins.engine.answerTokens
import org.cicadaturn.standins.engine.promptOf
import java.net.Socket

internal val testJson = Json { ignoreUnknownKeys = true }

internal inline fun <reified T> decode(text: String): T = testJson.decodeFromString<T>(text)

internal fun NetworkAddress.url(path: String): String = "http://$ip:$port$path"

/** Maximum time that a read from a raw socket may block before the test fails. */
internal const val SOCKET_TIMEOUT_MILLIS = 30_000

/** Answer of an entry process; [cut] is true if the connection ended within the answer. */
internal data class Reply(
    val status: Int,
    val body: String,
    val cut: Boolean = false,
) {
    val error: ApiErrorDetail get() = decode<ApiError>(body).error

    /** Type and outcome of an error, or the status of any other answer. */
    val result: String get() = if (status < 400 || cut) "$status" else "${error.type}/${error.outcome}"

    val confirmation: OrderConfirmation get() = decode(body)
}

/** Client that sends requests as callers do. */
internal class TestCallers : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = 1024
                endpoint { maxConnectionsPerRoute = 1024 }
            }
        }

    override fun close() = client.close()

    /** Sends a request with the organisation's key and returns the complete answer. */
    suspend fun call(
        entry: NetworkAddress,
        method: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
        body: String? = null,
        read: suspend (HttpResponse) -> String = { it.bodyAsText() },
    ): Reply =
        client
            .prepareRequest {
                this.method = HttpMethod.parse(method)
                url(entry.url(path))
                header("Authorization", "Bearer $BEARER_KEY")
                headers.forEach { (name, value) -> header(name, value) }
                if (body != null) setBody(body)
            }.execute { response ->
                val text =
                    try {
                        read(response)
                    } catch (_: IOException) {
                        return@execute Reply(response.status.value, "", cut = true)
                    }
                Reply(response.status.value, text)
            }

    /** Posts an order with [key] and a body derived from it, or without a key. */
    suspend fun order(
        entry: NetworkAddress,
        key: String?,
        headers: Map<String, String> = emptyMap(),
    ): Reply {
        val keyed = if (key == null) headers else headers + ("Idempotency-Key" to key)
        return call(entry, "POST", "/$ORDERS", keyed, """{"plaque":"${key.orEmpty()}"}""")
    }

    /** Requests a draft; the reply body is the answer text. [onToken] is called with the number of tokens read. */
    suspend fun draft(
        entry: NetworkAddress,
        prompt: String,
        tokens: Int,
        stream: Boolean,
        onToken: suspend (Int) -> Unit = {},
    ): Reply =
        call(entry, "POST", CHAT, body = chatBody(prompt, tokens, stream)) { response ->
            when {
                response.status.value >= 400 -> response.bodyAsText()
                stream -> readStream(response, onToken)
                else ->
                    decode<ChatCompletion>(response.bodyAsText())
                        .choices
                        .single()
                        .message.content
            }
        }

    private suspend fun readStream(
        response: HttpResponse,
        onToken: suspend (Int) -> Unit,
    ): String {
        val body = response.bodyAsChannel()
        val text = StringBuilder()
        var tokens = 0
        while (true) {
            val line = body.readLine() ?: throw IOException("the stream ended without its last event")
            if (!line.startsWith("data: ")) continue
            val event = line.removePrefix("data: ")
            if (event == "[DONE]") return text.toString()
            if (event.startsWith("{\"error\"")) throw IOException(event)
            val content =
                decode<ChatChunk>(event)
                    .choices
                    .single()
                    .delta.content
            if (content.isNullOrEmpty()) continue
            text.append(content)
            onToken(++tokens)
        }
    }
}

internal const val CHAT = "/v1/chat/completions"

internal fun chatBody(
    prompt: String,
    tokens: Int,
    stream: Boolean,
): String = testJson.encodeToString(ChatRequest(MODEL, listOf(ChatMessage("user", prompt)), stream, tokens))

/** Returns the answer of the engine stand-in to [prompt]. */
internal fun expectedDraft(
    prompt: String,
    tokens: Int,
): String = answerTokens(promptOf(listOf(ChatMessage("user", prompt))), 0, tokens).joinToString("")

/** Sends the bytes of [request] over a new connection and returns the answer. */
internal suspend fun rawCall(
    entry: NetworkAddress,
    request: ByteArray,
): Reply =
    withContext(Dispatchers.IO) {
        Socket(entry.ip, entry.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MILLIS
            socket.getOutputStream().write(request)
            socket.getOutputStream().flush()
            val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
            val status =
                input
                    .readLine()
                    ?.split(' ')
                    ?.get(1)
                    ?.toInt() ?: return@use Reply(0, "", cut = true)
            val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
            val length = headers.firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
            val size = length?.substringAfter(':')?.trim()?.toInt() ?: 0
            val body = CharArray(size)
            var filled = 0
            while (filled < size) {
                val n = input.read(body, filled, size - filled)
                if (n < 0) break
                filled += n
            }
            Reply(status, String(body, 0, filled), cut = filled < size)
        }
    }

/** Returns an encoded HTTP request. */
internal fun rawRequest(
    method: String,
    path: String,
    headers: List<String>,
    body: ByteArray = ByteArray(0),
): ByteArray {
    val lines = listOf("$method $path HTTP/1.1", "Host: entry", "Connection: close") + headers
    return lines.joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray() + body
}
