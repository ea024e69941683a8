package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.StateFlow
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.request.CHAT_PATH
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.decisions.request.authenticate
import org.cicadaturn.decisions.request.routeRequest
import org.cicadaturn.schema.generated.EntrySettings
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.ModelEntry
import org.cicadaturn.schema.generated.ModelList
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.tasks.gateway.BodyMemory
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.valueOf
import org.cicadaturn.tasks.observe.EntryMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Serves callers over HTTP: reads a request, runs it through [pipeline] and writes the answer. */
internal class CallerServer(
    private val settings: EntrySettings,
    private val inForce: StateFlow<ConfigurationInForce?>,
    private val isRefusing: () -> Boolean,
    private val pipeline: RequestPipeline,
    private val memory: BodyMemory,
    private val metrics: EntryMetrics,
    private val newRequestId: () -> RequestId,
) {
    /**
     * Answers the request with [head] on [link]; returns true if the connection can be used for another one.
     *
     * A closed connection is detected by the next write to it.
     */
    suspend fun serve(
        link: HttpLink,
        head: RequestHead,
    ): Boolean {
        val exchange = CallerExchange(link, head, requestId(head))
        return try {
            memory.reservation().use { serve(exchange, it) }
        } catch (_: IOException) {
            // The caller has left, or it gets a cut answer as the rest of the answer was lost.
            false
        }
    }

    /** Answers a request whose head cannot be read with [status]. */
    suspend fun refuse(
        link: HttpLink,
        status: Int,
    ) {
        val head = RequestHead("GET", "/", emptyList(), closesConnection = true)
        CallerExchange(link, head, newRequestId()).refuse(unreadable(status))
    }

    private suspend fun serve(
        exchange: CallerExchange,
        reservation: BodyMemory.Reservation,
    ): Boolean {
        if (!exchange.hasBody) exchange.endRequest()
        val head = exchange.head
        if (head.method == "GET" && head.path == "/v1/models") return listModels(exchange)
        val start = TimeSource.Monotonic.markNow()
        val request =
            when (val read = read(exchange, reservation)) {
                is RequestRead.Complete -> read.request
                is RequestRead.Refused -> {
                    // The rest of a body may be awaited for seconds without being kept.
                    reservation.close()
                    return exchange.refuse(read.refusal)
                }
                RequestRead.Cut -> return false
            }
        val index = inForce.value?.index ?: return exchange.refuse(notReady())
        val routed = routeRequest(index, request).fold({ return exchange.refuse(it) }, { it })
        exchange.link.account?.admitted()
        exchange.link.account?.use = ConnectionUse.SERVING
        val service = routed.service.id.text
        var keepsConnection = false
        pipeline.run(routed) { result ->
            keepsConnection =
                result.fold(
                    {
                        metrics.requests.labelValues(service, it.kind.code).inc()
                        exchange.refuse(it)
                    },
                    {
                        metrics.firstByte.labelValues(service).observe(secondsSince(start))
                        respond(exchange, service, it)
                    },
                )
        }
        metrics.duration.labelValues(service).observe(secondsSince(start))
        return keepsConnection
    }

    private suspend fun listModels(exchange: CallerExchange): Boolean {
        val index = inForce.value?.index ?: return exchange.refuse(notReady())
        authenticate(index, headersOf(exchange.head)).onLeft { return exchange.refuse(it) }
        val models =
            index.configuration.services.flatMap { s ->
                s.models.map { m -> ModelEntry(m, "model", s.id.text) }
            }
        val json = Json.encodeToString(ModelList("list", models))
        return exchange.send(OK, listOf(Header("Content-Type", JSON)), json.encodeToByteArray())
    }

    private sealed interface RequestRead {
        class Complete(
            val request: CallerRequest,
        ) : RequestRead

        class Refused(
            val refusal: Refusal,
        ) : RequestRead

        /** The connection has ended, or the body did not arrive in time. */
        data object Cut : RequestRead
    }

    private suspend fun read(
        exchange: CallerExchange,
        reservation: BodyMemory.Reservation,
    ): RequestRead {
        refusalOfHead(exchange.head)?.let { return RequestRead.Refused(it) }
        val body =
            when (val received = exchange.receiveBody(settings.maxBody, bodyTimeout(), reservation)) {
                is CallerBody.Complete -> received.bytes
                is CallerBody.Refused -> return RequestRead.Refused(received.refusal)
                CallerBody.Cut -> return RequestRead.Cut
            }
        return requestOf(exchange, body).fold({ RequestRead.Refused(it) }, { RequestRead.Complete(it) })
    }

    private fun refusalOfHead(head: RequestHead): Refusal? {
        if (isRefusing()) return Refusal(ErrorKind.STOPPING, "this entry process is stopping", "retry at once")
        val size = headersOf(head).entries.sumOf { it.key.length + it.value.length }
        if (size <= settings.maxHeader) return null
        val remedy = "send at most ${settings.maxHeader} bytes of headers"
        return Refusal(ErrorKind.HEADERS_TOO_LARGE, "$size bytes of headers", remedy)
    }

    private fun requestOf(
        exchange: CallerExchange,
        body: ByteArray,
    ): Either<Refusal, CallerRequest> {
        val method = exchange.head.method
        val target = decodedText(exchange.head.target)
        val headers = headersOf(exchange.head)
        if (exchange.head.path != CHAT_PATH) {
            return CallerRequest(exchange.id, method, target, headers, body).right()
        }
        if (method != "POST") return Refusal(ErrorKind.INVALID_REQUEST, "$method $CHAT_PATH", "use POST").left()
        return parseChatRequest(body).map { CallerRequest(exchange.id, method, target, headers, body, it) }
    }

    /** A body that takes longer than any service may take to answer is not awaited, as it holds memory meanwhile. */
    private fun bodyTimeout(): Duration {
        val services =
            inForce.value
                ?.index
                ?.configuration
                ?.services
                .orEmpty()
        return maxOf(MIN_BODY_TIMEOUT, services.maxOfOrNull { it.deadline } ?: Duration.ZERO)
    }

    private suspend fun respond(
        exchange: CallerExchange,
        service: String,
        answer: Answer,
    ): Boolean =
        when (answer) {
            is Answer.Buffered -> {
                metrics.requests.labelValues(service, "whole").inc()
                exchange.send(answer.status, answer.headers, answer.body)
            }

            is Answer.Streamed -> {
                relay(exchange, service, answer)
            }
        }

    private suspend fun relay(
        exchange: CallerExchange,
        service: String,
        answer: Answer.Streamed,
    ): Boolean {
        exchange.begin(answer.status, answer.headers)
        val broken = answer.relay { exchange.write(it) }
        metrics.requests.labelValues(service, broken?.kind?.code ?: "whole").inc()
        if (broken == null) return exchange.end()
        // Text within an answer of another form would become a part of it. An empty part sends the head at least.
        val text = if (answer.isChat) "data: ${errorText(exchange.id, broken)}\n\n" else ""
        exchange.write(text.encodeToByteArray())
        // Without the end of the chunks, the caller does not take the answer for a complete one.
        throw IOException("answer incomplete: ${broken.message}")
    }

    private fun requestId(head: RequestHead): RequestId {
        val given = head.headers.valueOf("X-Request-Id")
        val usable = given != null && given.length in 1..MAX_REQUEST_ID_LENGTH && given.all { it in '!'..'~' }
        return if (usable) RequestId(given) else newRequestId()
    }

    private companion object {
        const val OK = 200
        const val MAX_REQUEST_ID_LENGTH = 128
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Lets the longest body arrive at 16 kB/s. */
        val MIN_BODY_TIMEOUT = 60.seconds

        fun secondsSince(start: TimeSource.Monotonic.ValueTimeMark): Double =
            start.elapsedNow().inWholeMicroseconds / MICROS_PER_SECOND
    }
}

private fun headersOf(head: RequestHead): Map<String, String> =
    head.headers
        .groupBy({ it.name.lowercase() }, { decodedText(it.value) })
        .mapValues { it.value.joinToString(",") }

private fun unreadable(status: Int): Refusal =
    when (status) {
        ErrorKind.HEADERS_TOO_LARGE.status ->
            Refusal(ErrorKind.HEADERS_TOO_LARGE, "the head of the request is too long", "send fewer or shorter headers")
        ErrorKind.OVERLOADED.status ->
            Refusal(
                ErrorKind.OVERLOADED,
                "the memory for connections is used up",
                "retry later",
                retryAfter = 1.seconds,
            )
        else -> Refusal(ErrorKind.INVALID_REQUEST, "the request cannot be read", "send a valid HTTP/1.1 request")
    }

private fun notReady(): Refusal =
    Refusal(ErrorKind.STOPPING, "this entry process has no configuration yet", "retry at another entry host")
