package org.cicadaturn.standins.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.cicadaturn.schema.generated.ChatMessage
import org.cicadaturn.schema.generated.ChatRequest
import org.cicadaturn.schema.generated.EngineCounters
import kotlin.time.Duration

/** Data of the event that ends a complete stream. */
internal const val DONE = "[DONE]"

internal fun chat(
    text: String,
    tokens: Int,
    stream: Boolean = false,
): ChatRequest = ChatRequest("draft", listOf(ChatMessage("user", text)), stream, tokens)

internal fun expectedText(
    request: ChatRequest,
    from: Int = 0,
): String = answerTokens(promptOf(request.messages), from, request.maxTokens ?: 0).joinToString("")

/** Pause function of an engine whose pauses end only when a test calls [end]. */
internal class ManualPause {
    private val permits = Channel<Unit>(Channel.UNLIMITED)

    suspend fun pause(
        @Suppress("UNUSED_PARAMETER") length: Duration,
    ) = permits.receive()

    fun end(count: Int = 1) = repeat(count) { permits.trySend(Unit) }
}

/** HTTP client of a stand-in engine. */
internal class EngineClient(
    private val http: HttpClient,
    val engine: ModelEngine,
) {
    suspend fun post(
        path: String,
        body: String,
    ): HttpResponse = http.post(url(path)) { setBody(body) }

    suspend fun put(
        path: String,
        body: String,
    ): HttpResponse = http.put(url(path)) { setBody(body) }

    suspend fun get(path: String): HttpResponse = http.get(url(path))

    suspend fun prepareChat(
        request: ChatRequest,
        vararg headers: Pair<String, String>,
    ): HttpStatement =
        http.preparePost(url("/v1/chat/completions")) {
            headers.forEach { (name, value) -> header(name, value) }
            setBody(engineJson.encodeToString(request))
        }

    suspend fun chat(
        request: ChatRequest,
        vararg headers: Pair<String, String>,
    ): HttpResponse = prepareChat(request, *headers).execute().also { it.bodyAsText() }

    /** Returns the data of the events of a streamed answer, in the order of arrival. */
    fun events(
        request: ChatRequest,
        vararg headers: Pair<String, String>,
    ): Flow<String> =
        flow {
            prepareChat(request, *headers).execute { response ->
                check(response.status.value == 200) { response.bodyAsText() }
                val body = response.bodyAsChannel()
                while (true) {
                    val line = body.readLine() ?: break
                    if (line.startsWith("data: ")) emit(line.removePrefix("data: "))
                }
            }
        }

    /** Suspends until the counters satisfy [condition], and returns them. */
    suspend fun awaitCounters(condition: (EngineCounters) -> Boolean): EngineCounters {
        while (true) {
            val counters = engine.counters()
            if (condition(counters)) return counters
            yield()
        }
    }

    private fun url(path: String) = "http://${engine.address.ip}:${engine.address.port}$path"
}

/** Runs [test] with a client of the engine that [start] returns, and closes both afterwards. */
internal fun withEngine(
    start: suspend CoroutineScope.() -> ModelEngine,
    test: suspend CoroutineScope.(EngineClient) -> Unit,
) = runBlocking {
    HttpClient(OkHttp) { engine { config { retryOnConnectionFailure(false) } } }.use { http ->
        val engine = start()
        try {
            coroutineScope { test(EngineClient(http, engine)) }
        } finally {
            engine.close()
        }
    }
}
