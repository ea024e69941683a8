package org.cicadaturn.tasks.endpoint

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.io.IOException
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import org.cicadaturn.decisions.answer.BodyEnd
import org.cicadaturn.decisions.answer.bodyEndOf
import org.cicadaturn.decisions.answer.contentCodingsIn
import org.cicadaturn.decisions.answer.isFinalStatus
import org.cicadaturn.decisions.answer.isJson
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.wire.detailOf
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Maximum size of the part of a body that one chunk carries. */
internal const val CHUNK_BYTES: Int = 64 * 1024

private const val MAX_CONCURRENT_CALLS = 4096
private const val OK = 200
private val CONNECT_TIMEOUT: Duration = 1.seconds

/** Receives the answer of a back end while it arrives. */
internal interface AnswerSink {
    /** Receives the status and the headers; called once, before any call of [chunk]. */
    suspend fun head(
        status: Int,
        headers: List<Header>,
    )

    /** Receives the next part of the body. */
    suspend fun chunk(data: ByteArray)
}

/** Result of a call to a back end. */
internal sealed interface BackendResult {
    /** The complete answer was passed to the sink; its framing or its content shows that it is whole. */
    data object Complete : BackendResult

    /**
     * An answer that only the end of its connection ends was passed to the sink. The connection ended in order, and the
     * back end still accepts connections. By HTTP the answer is whole, but nothing in it proves that.
     */
    data object Closed : BackendResult

    /** The back end accepted no connection, so the call has not run. */
    data class NotRun(
        val detail: String,
    ) : BackendResult

    /** The call may have run; the sink may have received a part of the answer. */
    data class Unknown(
        val detail: String,
    ) : BackendResult
}

/** Sends a request to the back end and passes the answer to a sink. */
internal fun interface BackendCall {
    suspend fun run(
        open: Frame.Open,
        sink: AnswerSink,
    ): BackendResult
}

/**
 * Returns the HTTP client that an endpoint process uses for its back end, with a connection for each call.
 *
 * The client is OkHttp for two reasons. The CIO engine reports a chunked answer as complete if the connection closes
 * between two chunks. The JDK's client keeps the connection of a cancelled call open, so that the back end continues to
 * work on it.
 */
internal fun backendClient(): HttpClient =
    HttpClient(OkHttp) {
        expectSuccess = false
        followRedirects = false
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT.inWholeMilliseconds }
        engine {
            config {
                // A repeated call could run twice, and a repeated connect would hide that the back end is unavailable.
                retryOnConnectionFailure(false)
                // The deadline of the call bounds the wait for bytes; the client's own limit is 10 s without one.
                readTimeout(0, TimeUnit.SECONDS)
                // Answers do not name their call, so on a kept connection a second copy of an answer, whole or cut,
                // would be taken for the answer to the next call or become a part of it.
                connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
                dispatcher(
                    Dispatcher().apply {
                        maxRequests = MAX_CONCURRENT_CALLS
                        maxRequestsPerHost = MAX_CONCURRENT_CALLS
                    },
                )
            }
        }
    }

/**
 * Returns a [BackendCall] that uses HTTP to call the back end at [address].
 *
 * [isAccepting] tells whether the back end still accepts connections, after the end of a connection that could also be
 * that of its process.
 */
internal fun httpBackend(
    client: HttpClient,
    address: NetworkAddress,
    isAccepting: suspend (NetworkAddress) -> Boolean = ::acceptsConnections,
): BackendCall =
    BackendCall { open, sink ->
        try {
            client
                .prepareRequest { setUpRequest(address, open) }
                .execute { response -> relay(response, open, sink) { isAccepting(address) } }
        } catch (e: ConnectException) {
            BackendResult.NotRun(detailOf(e))
        } catch (e: ConnectTimeoutException) {
            BackendResult.NotRun(detailOf(e))
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            BackendResult.Unknown(detailOf(e))
        } catch (e: IllegalStateException) {
            // The client reports a connection that closes within an answer by exceptions of several types.
            BackendResult.Unknown(detailOf(e))
        }
    }

/** Headers that apply to one connection only or that the HTTP client sets itself. */
private val connectionHeaders =
    setOf("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host")

/** Returns [headers] without those that apply to one connection only. */
internal fun endToEnd(headers: List<Header>): List<Header> =
    headers.filter { it.name.lowercase() !in connectionHeaders }

private fun HttpRequestBuilder.setUpRequest(
    address: NetworkAddress,
    open: Frame.Open,
) {
    method = HttpMethod.parse(open.method)
    url("http://${address.ip}:${address.port}${open.path}")
    endToEnd(open.headers).forEach { headers.append(it.name, it.value) }
    // Without the header the client asks for gzip and hides the length of what it then decodes.
    if (HttpHeaders.AcceptEncoding !in headers) headers[HttpHeaders.AcceptEncoding] = "identity"
    headers["X-Attempt-Id"] = open.attempt.text
    headers["X-Request-Id"] = open.request.text
    if (open.body.isNotEmpty()) setBody(open.body)
}

private suspend fun relay(
    response: HttpResponse,
    open: Frame.Open,
    sink: AnswerSink,
    isAccepting: suspend () -> Boolean,
): BackendResult {
    val status = response.status.value
    if (!isFinalStatus(status)) return BackendResult.Unknown("status $status, which does not exist")
    val headers = response.headers.entries().flatMap { (name, values) -> values.map { Header(name, it) } }
    val end =
        bodyEndOf(open.method, status, headers)
            ?: return BackendResult.Unknown("the headers of the answer do not tell where its body ends")
    sink.head(status, endToEnd(headers))
    if (end == BodyEnd.NO_BODY) return BackendResult.Complete
    val json = if (end == BodyEnd.CONNECTION && isJson(headers)) JsonBody(contentCodingsIn(headers)) else null
    val receivedBytes =
        relayBody(response.bodyAsChannel()) {
            json?.append(it)
            sink.chunk(it)
        }
    // The client ends the body of a call that was cancelled in the same way as one that is whole.
    currentCoroutineContext().ensureActive()
    response.coroutineContext.ensureActive()
    if (end == BodyEnd.CONNECTION) return resultAtClose(json, open.hasEndMark && status == OK, isAccepting)
    val expectedBytes = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
    if (expectedBytes != null && receivedBytes != expectedBytes) {
        return BackendResult.Unknown("$receivedBytes of $expectedBytes bytes came")
    }
    return BackendResult.Complete
}

/** Passes [body] to [chunk] and returns its length in bytes; throws the failure that ended it before its end. */
private suspend fun relayBody(
    body: ByteReadChannel,
    chunk: suspend (ByteArray) -> Unit,
): Long {
    val buffer = ByteArray(CHUNK_BYTES)
    var receivedBytes = 0L
    while (true) {
        val count = body.readAvailable(buffer)
        if (count < 0) break
        if (count == 0) continue
        chunk(buffer.copyOf(count))
        receivedBytes += count
    }
    body.closedCause?.let { throw IOException("the body ended with a failure", it) }
    return receivedBytes
}

/**
 * Returns the result of a call whose connection ended in order behind a body that has no other end.
 *
 * Also the connections of a process that crashed end in order, so the content has to show that the answer is whole, or
 * the back end has to live on.
 */
private suspend fun resultAtClose(
    json: JsonBody?,
    hasEndMark: Boolean,
    isAccepting: suspend () -> Boolean,
): BackendResult {
    val isWhole = if (hasEndMark) true else json?.isWhole()
    return when {
        isWhole == true -> BackendResult.Complete
        isWhole == false -> BackendResult.Unknown("the connection ended within the JSON body of the answer")
        isAccepting() -> BackendResult.Closed
        else -> BackendResult.Unknown("the connection ended the answer, and the back end accepts no other one")
    }
}
