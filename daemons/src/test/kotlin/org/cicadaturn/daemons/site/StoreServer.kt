package org.cicadaturn.daemons.site

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

/** Stand-in of the metadata store of the platform, which is served over HTTP at [address] and changed by [update]. */
internal class StoreServer(
    private val scope: CoroutineScope,
) {
    private sealed interface Message {
        class Update(
            val change: (StoreContent) -> StoreResult,
            val reply: CompletableDeferred<StoreResult>,
        ) : Message

        class Watch(
            val kind: String,
            val from: Long,
            val reply: CompletableDeferred<Pair<StoreContent, List<StoreEvent>?>>,
        ) : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val isAway = MutableStateFlow(false)
    private val server = LoopbackServer(scope, ::serve)
    val address: String get() = server.address

    fun start() {
        scope.launch { own() }
        server.start()
    }

    /** Changes the content without a call over HTTP, as the operator and the endpoints do. */
    suspend fun update(change: (StoreContent) -> StoreResult): StoreResult {
        val reply = CompletableDeferred<StoreResult>()
        messages.send(Message.Update(change, reply))
        return reply.await()
    }

    /** Returns the present content, to which the store can be restored. */
    suspend fun copy(): StoreContent = update { StoreResult(it, OK) }.content

    /** Continues with the earlier content [copy] in a new era. */
    suspend fun restore(copy: StoreContent): StoreContent =
        update { StoreResult(it.restoredFrom(copy), OK) }.content.also { server.cutAll() }

    /** Closes all connections, and each new one, while [away] is true. */
    fun setAway(away: Boolean) {
        isAway.value = away
        if (away) server.cutAll()
    }

    private suspend fun own() {
        var content = StoreContent()
        val waiting = mutableListOf<Message.Watch>()
        for (message in messages) {
            when (message) {
                is Message.Update -> {
                    val result = message.change(content)
                    content = result.content
                    message.reply.complete(result)
                }
                is Message.Watch -> waiting += message
            }
            waiting.removeAll { watch ->
                val events = content.eventsAfter(watch.kind, watch.from)
                val isAnswered = events == null || events.isNotEmpty()
                if (isAnswered) watch.reply.complete(content to events)
                isAnswered || watch.reply.isCancelled
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        while (!isAway.value) {
            val request = input.readRequest() ?: return
            val (status, era, document) = answer(request)
            val headers = mapOf("Content-Type" to "application/json", "Store-Era" to "$era")
            if (isAway.value) return
            socket.getOutputStream().write(messageOf("HTTP/1.1 $status X", headers, document.toString()))
        }
    }

    private data class Answer(
        val status: Int,
        val era: Long,
        val document: JsonElement,
    )

    private suspend fun answer(request: TextRequest): Answer {
        val path = request.path.removePrefix("/objects/").split('/')
        val from = request.query["watch"]?.toLongOrNull()
        return try {
            when {
                !request.path.startsWith("/objects/") -> copy().let { Answer(NOT_FOUND, it.era, JsonNull) }
                request.method != "GET" -> write(request, path)
                path.size > 1 -> copy().let { read(it, ObjectKey(path[0], path[1])) }
                from != null -> watch(path[0], from, request.query["wait_ms"]?.toLongOrNull() ?: 0)
                else -> copy().let { Answer(OK, it.era, pageOf(it, path[0], request.query["after"])) }
            }
        } catch (e: SerializationException) {
            Answer(BAD_REQUEST, copy().era, JsonNull)
        } catch (e: IllegalArgumentException) {
            Answer(BAD_REQUEST, copy().era, JsonNull)
        }
    }

    private fun read(
        content: StoreContent,
        key: ObjectKey,
    ): Answer {
        val item = content.objects[key]
        return Answer(if (item == null) NOT_FOUND else OK, content.era, item?.toJson() ?: JsonNull)
    }

    private suspend fun watch(
        kind: String,
        from: Long,
        waitMillis: Long,
    ): Answer {
        val reply = CompletableDeferred<Pair<StoreContent, List<StoreEvent>?>>()
        messages.send(Message.Watch(kind, from, reply))
        val changed = withTimeoutOrNull(waitMillis.coerceAtMost(MAX_WAIT_MILLIS).milliseconds) { reply.await() }
        reply.cancel()
        val (content, events) = changed ?: copy().let { it to it.eventsAfter(kind, from) }
        if (events == null) return Answer(GONE, content.era, JsonNull)
        val document =
            buildJsonObject {
                put("events", JsonArray(events.map(::eventOf)))
                put("at", content.revision)
            }
        return Answer(OK, content.era, document)
    }

    private fun eventOf(event: StoreEvent): JsonObject =
        buildJsonObject {
            put("object", event.item.toJson())
            put("removed", event.isRemoved)
        }

    private fun pageOf(
        content: StoreContent,
        kind: String,
        after: String?,
    ): JsonObject {
        val rest =
            content.objects.values
                .filter { it.key.kind == kind && (after == null || it.key.name > after) }
                .sortedBy { it.key.name }
        return buildJsonObject {
            put("items", JsonArray(rest.take(PAGE_SIZE).map { it.toJson() }))
            put("truncated", rest.size > PAGE_SIZE)
            put("at", content.revision)
        }
    }

    private suspend fun write(
        request: TextRequest,
        path: List<String>,
    ): Answer {
        val document = Json.parseToJsonElement(request.body.ifEmpty { "{}" }).jsonObject
        val metadata = document["metadata"]?.jsonObject ?: JsonObject(emptyMap())
        val expected = metadata["revision"]?.jsonPrimitive?.longOrNull ?: request.query["revision"]?.toLongOrNull()
        val finalizers = metadata["finalizers"]?.jsonArray?.mapNotNull { it.jsonPrimitive.contentOrNull }
        val spec = document["spec"] ?: JsonNull
        val name = path.getOrNull(1) ?: requireNotNull(metadata["name"]?.jsonPrimitive?.contentOrNull) { "no name" }
        val key = ObjectKey(path[0], name)
        val result =
            update {
                when {
                    request.method == "POST" -> it.create(key, spec, finalizers.orEmpty())
                    request.method == "DELETE" -> it.remove(key, expected)
                    path.getOrNull(2) == "status" -> it.replaceStatus(key, document["status"] ?: JsonNull, expected)
                    else -> it.replace(key, spec, finalizers, expected)
                }
            }
        return Answer(result.status, result.content.era, result.item?.toJson() ?: JsonNull)
    }

    private companion object {
        const val BAD_REQUEST = 400

        /** Longest list in one answer. */
        const val PAGE_SIZE = 500
        const val MAX_WAIT_MILLIS = 30_000L
    }
}
