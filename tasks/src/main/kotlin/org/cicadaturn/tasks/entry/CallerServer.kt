package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.request.CHAT_PATH
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.decisions.request.authenticate
import org.cicadaturn.decisions.request.routeRequest
import org.cicadaturn.schema.generated.ApiError
import org.cicadaturn.schema.generated.ApiErrorDetail
import org.cicadaturn.schema.generated.EntrySettings
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.ModelEntry
import org.cicadaturn.schema.generated.ModelList
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.tasks.observe.EntryMetrics
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val READ_BUFFER_BYTES = 16 * 1024
private const val MAX_REQUEST_ID_LENGTH = 128

/** Time for the server to write what precedes a cut; far longer than it takes to pass bytes to a socket that has room. */
private val CUT_DELAY: Duration = 200.milliseconds

/** Serves callers over HTTP: reads a request, runs it through [pipeline] and writes the answer. */
internal class CallerServer(
    private val settings: EntrySettings,
    private val inForce: StateFlow<ConfigurationInForce?>,
    private val isRefusing: () -> Boolean,
    private val pipeline: RequestPipeline,
    private val metrics: EntryMetrics,
    private val newRequestId: () -> RequestId,
) {
    /**
     * Adds the routes of the callers' interface to [application].
     *
     * The server's plugin that cancels a call when its connection closes is not installed, because it also cancels
     * calls that ask for `Connection: close`, which then end without an answer. A closed connection is detected by the
     * next write to it.
     */
    fun install(application: Application) {
        application.routing {
            get("/v1/models") { listModels(call) }
            route("{path...}") { handle { serve(call) } }
        }
    }

    private suspend fun listModels(call: ApplicationCall) {
        val id = requestId(call)
        val index = inForce.value?.index
        if (index == null) {
            refuse(call, id, notReady())
            return
        }
        authenticate(index, headersOf(call)).fold(
            { refuse(call, id, it) },
            {
                val models =
                    index.configuration.services.flatMap { s ->
                        s.models.map { m -> ModelEntry(m, "model", s.id.text) }
                    }
                call.respondText(Json.encodeToString(ModelList("list", models)), ContentType.Application.Json)
            },
        )
    }

    private suspend fun serve(call: ApplicationCall) {
        val start = TimeSource.Monotonic.markNow()
        val id = requestId(call)
        val routed =
            read(call, id)
                .fold({ it.left() }, { request ->
                    inForce.value?.let { routeRequest(it.index, request) }
                        ?: notReady().left()
                })
                .fold(
                    {
                        refuse(call, id, it)
                        return
                    },
                    { it },
                )
        val service = routed.service.id.text
        pipeline.run(routed) { result ->
            result.fold(
                {
                    metrics.requests.labelValues(service, it.kind.code).inc()
                    refuse(call, id, it)
                },
                {
                    metrics.firstByte
                        .labelValues(
                            service,
                        ).observe(start.elapsedNow().inWholeMicroseconds / MICROS_PER_SECOND)
                    respondAnswer(call, id, service, it)
                },
            )
        }
        metrics.duration.labelValues(service).observe(start.elapsedNow().inWholeMicroseconds / MICROS_PER_SECOND)
    }

    private suspend fun read(
        call: ApplicationCall,
        id: RequestId,
    ): Either<Refusal, CallerRequest> {
        if (isRefusing()) return Refusal(ErrorKind.STOPPING, "this entry process is stopping", "retry at once").left()
        val headers = headersOf(call)
        val size = headers.entries.sumOf { it.key.length + it.value.length }
        if (size > settings.maxHeader) {
            val remedy = "send at most ${settings.maxHeader} bytes of headers"
            return Refusal(ErrorKind.HEADERS_TOO_LARGE, "$size bytes of headers", remedy).left()
        }
        val body = readBody(call).fold({ return it.left() }, { it })
        val path = call.request.uri
        val method = call.request.httpMethod.value
        if (path.substringBefore('?') != CHAT_PATH) return CallerRequest(id, method, path, headers, body).right()
        if (method != "POST") return Refusal(ErrorKind.INVALID_REQUEST, "$method $CHAT_PATH", "use POST").left()
        return parseChatRequest(body).map { CallerRequest(id, method, path, headers, body, it) }
    }

    private suspend fun readBody(call: ApplicationCall): Either<Refusal, ByteArray> {
        val tooLarge =
            Refusal(
                ErrorKind.BODY_TOO_LARGE,
                "the body is over ${settings.maxBody} bytes",
                "send at most ${settings.maxBody} bytes",
            )
        val announced = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (announced > settings.maxBody) return tooLarge.left()
        // A GET request that offers an upgrade has no body, but the server keeps its channel open.
        if (announced == 0L && call.request.headers[HttpHeaders.TransferEncoding] == null) return ByteArray(0).right()
        val channel = call.receiveChannel()
        val out = ByteArrayOutputStream(announced.toInt())
        val buffer = ByteArray(READ_BUFFER_BYTES)
        while (true) {
            val n = channel.readAvailable(buffer)
            if (n < 0) return out.toByteArray().right()
            out.write(buffer, 0, n)
            if (out.size() > settings.maxBody) return tooLarge.left()
        }
    }

    private suspend fun respondAnswer(
        call: ApplicationCall,
        id: RequestId,
        service: String,
        answer: Answer,
    ) {
        val status = HttpStatusCode.fromValue(answer.status)
        addHeaders(call, id, answer.headers)
        when (answer) {
            is Answer.Buffered -> {
                metrics.requests.labelValues(service, "whole").inc()
                call.respondBytes(answer.body, status = status)
            }

            is Answer.Streamed -> {
                call.respond(StreamedContent(status) { relay(it, id, service, answer) })
            }
        }
    }

    private suspend fun relay(
        channel: ByteWriteChannel,
        id: RequestId,
        service: String,
        answer: Answer.Streamed,
    ) {
        val broken = answer.relay { write(channel, it) }
        metrics.requests.labelValues(service, broken?.kind?.code ?: "whole").inc()
        if (broken == null) return
        // Text within an answer of another form would become a part of it.
        if (answer.isChat) write(channel, "data: ${errorText(id, broken)}\n\n".encodeToByteArray())
        // The server drops what it has not yet written when the exception below ends the answer. Without the head the
        // caller would wait until the server closes the idle connection.
        delay(CUT_DELAY)
        // Without the exception the server would end the answer as if it were complete.
        throw IOException("answer incomplete: ${broken.message}")
    }

    private suspend fun write(
        channel: ByteWriteChannel,
        data: ByteArray,
    ) {
        withTimeoutOrNull(settings.slowReaderTimeout) {
            channel.writeFully(data)
            channel.flush()
        } ?: throw IOException("the caller did not read the answer for ${settings.slowReaderTimeout}")
    }

    private suspend fun refuse(
        call: ApplicationCall,
        id: RequestId,
        refusal: Refusal,
    ) {
        call.response.header("X-Request-Id", id.text)
        refusal.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, maxOf(1, it.inWholeSeconds).toString()) }
        refusal.rateLimit?.let {
            call.response.header("X-RateLimit-Limit-Tokens", it.tokens.toString())
            call.response.header("X-RateLimit-Remaining-Tokens", it.remaining.toString())
        }
        val status = HttpStatusCode.fromValue(refusal.kind.status)
        call.respondText(errorText(id, refusal), ContentType.Application.Json, status)
    }

    private fun requestId(call: ApplicationCall): RequestId {
        val given = call.request.headers["X-Request-Id"]
        val usable = given != null && given.length in 1..MAX_REQUEST_ID_LENGTH && given.all { it in '!'..'~' }
        return if (usable) RequestId(given) else newRequestId()
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}

private class StreamedContent(
    override val status: HttpStatusCode,
    private val writeBody: suspend (ByteWriteChannel) -> Unit,
) : OutgoingContent.WriteChannelContent() {
    override suspend fun writeTo(channel: ByteWriteChannel) {
        writeBody(channel)
    }
}

private fun headersOf(call: ApplicationCall): Map<String, String> =
    call.request.headers.let { headers ->
        headers.names().associate { it.lowercase() to headers.getAll(it).orEmpty().joinToString(",") }
    }

/** Headers that the HTTP server sets itself. The type is passed on as it came, which a parsed one is not in each case. */
private val serverHeaders = setOf("content-length", "transfer-encoding", "date", "server")

private fun addHeaders(
    call: ApplicationCall,
    id: RequestId,
    headers: List<Header>,
) {
    call.response.header("X-Request-Id", id.text)
    headers
        .filter { it.name.lowercase() !in serverHeaders }
        .forEach { call.response.headers.append(it.name, it.value, safeOnly = false) }
}

private fun errorText(
    id: RequestId,
    refusal: Refusal,
): String {
    val outcome =
        when (refusal.outcome) {
            Outcome.DONE -> "done"
            Outcome.NOT_RUN -> "not_run"
            Outcome.UNKNOWN -> "unknown"
        }
    return Json.encodeToString(
        ApiError(ApiErrorDetail(refusal.kind.code, refusal.message, refusal.remedy, outcome, id.text)),
    )
}

private fun notReady(): Refusal =
    Refusal(ErrorKind.STOPPING, "this entry process has no configuration yet", "retry at another entry host")
