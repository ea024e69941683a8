package org.cicadaturn.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.ColdOrder
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EngineOrder
import org.cicadaturn.schema.generated.ModelEntry
import org.cicadaturn.schema.generated.ModelList
import org.cicadaturn.schema.generated.PromptCache
import org.cicadaturn.schema.generated.StallOrder
import org.cicadaturn.schema.generated.StandinError
import org.cicadaturn.schema.generated.StandinErrorDetail
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** JSON format that ignores unknown fields, because callers may send any field of the OpenAI-compatible API. */
internal val engineJson = Json { ignoreUnknownKeys = true }

/** Installs the HTTP interface of the engine. */
internal fun Application.engineModule(
    settings: EngineSettings,
    handle: EngineTaskHandle,
    clock: Clock,
) {
    install(HttpRequestLifecycle) { cancelCallOnClose = true }
    routing {
        chatRoutes(settings, handle, clock)
        reportRoutes(handle)
        cacheRoutes(settings, handle)
        controlRoutes(settings, handle)
    }
}

private fun Routing.reportRoutes(handle: EngineTaskHandle) {
    get("/v1/models") {
        val models = handle.ask { EngineMessage.ReadCounters(it) }.assignment.models
        call.respondJson(ModelList("list", models.map { ModelEntry(it.name, "model", "standin") }))
    }
    get("/load") { call.respondJson(handle.ask { EngineMessage.ReadLoad(it) }) }
    get("/counters") { call.respondJson(handle.ask { EngineMessage.ReadCounters(it) }) }
}

private fun Routing.cacheRoutes(
    settings: EngineSettings,
    handle: EngineTaskHandle,
) {
    get("/cache/{digest}") {
        val digest = Digest(call.parameters["digest"].orEmpty())
        val cache = handle.ask { EngineMessage.ExportCache(digest, it) }
        if (cache == null) {
            call.respondError(404, "not_cached", "the prefix of block $digest is not cached in full")
        } else {
            call.respondJson(cache)
        }
    }
    put("/cache/{digest}") {
        val cache = call.receiveJson<PromptCache>() ?: return@put
        val problem = problemOf(cache, Digest(call.parameters["digest"].orEmpty()), settings)
        if (problem != null) {
            call.respondError(400, "bad_cache", problem)
            return@put
        }
        handle.ask { EngineMessage.ImportCache(cache, it) }
        call.respondText("", status = HttpStatusCode.NoContent)
    }
}

private fun problemOf(
    cache: PromptCache,
    digest: Digest,
    settings: EngineSettings,
): String? =
    when {
        cache.blockTokens != settings.batch.blockTokens ->
            "blocks have ${cache.blockTokens} tokens; this engine uses ${settings.batch.blockTokens}"
        cache.blocks.lastOrNull() != digest -> "the last block is not $digest"
        cache.blocks.toSet().size != cache.blocks.size -> "a block occurs twice"
        else -> null
    }

private fun Routing.controlRoutes(
    settings: EngineSettings,
    handle: EngineTaskHandle,
) {
    post("/orders") {
        val order = call.receiveJson<EngineOrder>() ?: return@post
        val answer = handle.ask { EngineMessage.Order(order, it) }
        call.respondJson(answer, if (answer.applied) HttpStatusCode.OK else HttpStatusCode.Conflict)
    }
    post("/control/cold") {
        val cold = call.receiveJson<ColdOrder>() ?: return@post
        handle.ask { EngineMessage.ResetToCold(cold.restart, it) }
        call.respondText("", status = HttpStatusCode.NoContent)
    }
    post("/control/stall") {
        val stall = call.receiveJson<StallOrder>() ?: return@post
        // The request gives the length in real time; the engine task uses model time.
        handle.ask { EngineMessage.Stall(stall.millis.milliseconds / settings.timeScale, it) }
        call.respondText("", status = HttpStatusCode.NoContent)
    }
}

/** Returns the body decoded as [T], or answers 400 and returns null; an empty body counts as an empty object. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T? {
    val text = receiveText().ifBlank { "{}" }
    return try {
        engineJson.decodeFromString<T>(text)
    } catch (failure: SerializationException) {
        respondError(400, "bad_request", "body is not valid: ${failure.message}")
        null
    }
}

internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(engineJson.encodeToString(value), ContentType.Application.Json, status)

internal suspend fun ApplicationCall.respondError(
    status: Int,
    type: String,
    message: String,
) = respondJson(StandinError(StandinErrorDetail(type, message)), HttpStatusCode.fromValue(status))
