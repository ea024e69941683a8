package org.cicadaturn.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.ApiError
import org.cicadaturn.schema.generated.CallKind
import org.cicadaturn.schema.generated.ChatChunk
import org.cicadaturn.schema.generated.ChatMessage
import org.cicadaturn.schema.generated.ChatRequest
import org.cicadaturn.schema.generated.OrderConfirmation
import org.cicadaturn.standins.engine.answerTokens
import org.cicadaturn.standins.engine.promptOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val EVENT_PREFIX = "data: "
private const val LAST_EVENT = "[DONE]"
private const val MAX_CONNECTIONS = 4096
private const val FIRST_ERROR_STATUS = 400

/** Time after which a caller stops retrying an order that is not confirmed. */
private val ORDER_TIMEOUT: Duration = 30.seconds

/** Time between retries of an order; people press the button again after about this time. */
private val RETRY_DELAY: Duration = 200.milliseconds

private val json = Json { ignoreUnknownKeys = true }

/** Client that sends drafts and orders to the entry processes; closing it ends the calls in progress. */
public class TrafficClient : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout)
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
            }
        }

    override fun close() {
        client.close()
    }

    /** Requests draft number [i] and compares the answer with the expected answer to its prompt. */
    public suspend fun draft(
        options: TrafficOptions,
        i: Int,
    ): CallResult {
        val messages = listOf(ChatMessage("user", "Draft ${options.seed}/$i: summarise the visits of the day."))
        val request = ChatRequest(options.model, messages, stream = true, maxTokens = options.draftTokens)
        val expected = answerTokens(promptOf(messages), 0, options.draftTokens)
        val end =
            try {
                client
                    .preparePost {
                        configureCall(options, i, "/v1/chat/completions")
                        setBody(json.encodeToString(request))
                    }.execute { readDraft(it, expected) }
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                // Any failure of the connection leaves the caller without a complete answer.
                DraftEnd(CallEnd.TRUNCATED, null)
            }
        return CallResult(CallKind.DRAFT, "", end.end, Duration.ZERO, repeats = 0, outcome = end.outcome)
    }

    /** Posts order number [i] until it is confirmed, always with the same key and each time to the next entry. */
    public suspend fun order(
        options: TrafficOptions,
        i: Int,
    ): CallResult {
        val key = "order-${options.seed}-$i"
        val start = TimeSource.Monotonic.markNow()
        var repeats = 0
        var outcome: String? = null
        while (start.elapsedNow() < ORDER_TIMEOUT) {
            val reply = postOrder(options, i + repeats, key, i)
            outcome = reply.outcome
            if (reply.end != null) return CallResult(CallKind.ORDER, key, reply.end, Duration.ZERO, repeats, outcome)
            repeats++
            delay(RETRY_DELAY)
        }
        return CallResult(CallKind.ORDER, key, CallEnd.REFUSED, Duration.ZERO, repeats, outcome)
    }

    private suspend fun postOrder(
        options: TrafficOptions,
        entryIndex: Int,
        key: String,
        i: Int,
    ): OrderReply =
        try {
            client
                .preparePost {
                    configureCall(options, entryIndex, options.orderPath)
                    header("Idempotency-Key", key)
                    setBody("""{"plaque":$i}""")
                }.execute { readOrder(it, key) }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            OrderReply(null, null)
        }

    private fun HttpRequestBuilder.configureCall(
        options: TrafficOptions,
        entryIndex: Int,
        path: String,
    ) {
        val entry = options.entries[entryIndex % options.entries.size]
        url("http://${entry.ip}:${entry.port}$path")
        header("Authorization", "Bearer ${options.bearerKey}")
        header("X-Deadline-Ms", options.deadline.inWholeMilliseconds)
        contentType(ContentType.Application.Json)
        timeout { requestTimeoutMillis = (options.deadline * 2).inWholeMilliseconds }
    }
}

private class DraftEnd(
    val end: CallEnd,
    val outcome: String?,
)

/** Reply to one POST request; the caller retries if [end] is null. */
private class OrderReply(
    val end: CallEnd?,
    val outcome: String?,
)

private suspend fun readDraft(
    response: HttpResponse,
    expected: List<String>,
): DraftEnd {
    if (response.status.value >= FIRST_ERROR_STATUS) return DraftEnd(CallEnd.REFUSED, outcomeOf(response.bodyAsText()))
    val body = response.bodyAsChannel()
    val tokens = ArrayList<String>()
    while (true) {
        val line = body.readLine() ?: return DraftEnd(CallEnd.TRUNCATED, null)
        if (!line.startsWith(EVENT_PREFIX)) continue
        val event = line.removePrefix(EVENT_PREFIX)
        if (event == LAST_EVENT) break
        if (event.startsWith("{\"error\"")) return DraftEnd(CallEnd.TRUNCATED, outcomeOf(event))
        val chunk = json.decodeFromString(ChatChunk.serializer(), event)
        chunk.choices
            .first()
            .delta.content
            ?.takeIf { it.isNotEmpty() }
            ?.let { tokens += it }
    }
    return DraftEnd(if (tokens == expected) CallEnd.COMPLETE else CallEnd.WRONG, null)
}

private suspend fun readOrder(
    response: HttpResponse,
    key: String,
): OrderReply {
    val text = response.bodyAsText()
    if (response.status.value >= FIRST_ERROR_STATUS) return OrderReply(null, outcomeOf(text))
    val confirmation = json.decodeFromString(OrderConfirmation.serializer(), text)
    return OrderReply(if (confirmation.key == key) CallEnd.COMPLETE else CallEnd.WRONG, "done")
}

private fun outcomeOf(text: String): String? =
    try {
        json.decodeFromString(ApiError.serializer(), text).error.outcome
    } catch (_: IllegalArgumentException) {
        null
    }
