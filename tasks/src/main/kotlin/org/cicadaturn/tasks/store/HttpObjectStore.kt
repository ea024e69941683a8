package org.cicadaturn.tasks.store

import arrow.core.Either
import arrow.core.left
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.URLProtocol
import io.ktor.http.content.TextContent
import io.ktor.http.path
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.encodeToString
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StorePut
import org.cicadaturn.schema.generated.StoreWritten
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import kotlin.time.Duration

/** [ObjectStore] with its own connections; closing it ends the calls in progress. */
public interface HttpObjectStore :
    ObjectStore,
    AutoCloseable

/**
 * Returns a client of the platform's object API at [address].
 *
 * A call other than a watch ends within [timeout], a watch within its wait plus [timeout]; a connection must be
 * established within [connectTimeout]. The client names [failureDomain] in each call. An answer longer than
 * [answerLimit] bytes fails with [StoreError.Rejected]. The client never repeats a call and never follows a
 * redirection. Timeouts follow the clock of the calling coroutine's dispatcher.
 */
public fun httpObjectStore(
    address: NetworkAddress,
    timeout: Duration,
    failureDomain: FailureDomainId,
    connectTimeout: Duration = timeout / 2,
    answerLimit: Int = MAX_ANSWER_BYTES,
): HttpObjectStore {
    require(timeout > Duration.ZERO) { "timeout is $timeout; give a positive duration" }
    require(connectTimeout > Duration.ZERO) { "connectTimeout is $connectTimeout; give a positive duration" }
    require(answerLimit > 0) { "answerLimit is $answerLimit; give a positive number of bytes" }
    return CioObjectStore(address, timeout, failureDomain, cioClient(connectTimeout), answerLimit)
}

private fun cioClient(connectTimeout: Duration): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            // The timeout of the engine would end long polls; exchange() limits the time of each call.
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                this.connectTimeout = connectTimeout.inWholeMilliseconds.coerceAtLeast(1)
                connectAttempts = 1
                maxConnectionsPerRoute = MAX_CONNECTIONS
            }
        }
    }

private class CioObjectStore(
    private val address: NetworkAddress,
    private val timeout: Duration,
    private val failureDomain: FailureDomainId,
    private val http: HttpClient,
    private val answerLimit: Int,
) : HttpObjectStore {
    override suspend fun get(key: String): Either<StoreError, StoredObject> =
        validated(key) {
            exchange(HttpMethod.Get, STORE_OBJECT_PATH, timeout, { parameter(STORE_KEY, key) }) { answer ->
                readAnswer<StoredObject>(answer, key) { it.key == key && it.version > NO_VERSION }
            }
        }

    override suspend fun list(prefix: String): Either<StoreError, StoreList> =
        validated(prefix) {
            exchange(HttpMethod.Get, STORE_LIST_PATH, timeout, { parameter(STORE_PREFIX, prefix) }) { answer ->
                readAnswer<StoreList>(answer, prefix) { it.isOf(prefix) }
            }
        }

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> =
        validated(key, value) {
            val body = storeJson.encodeToString(StorePut(value, expected))
            val fill: HttpRequestBuilder.() -> Unit = {
                parameter(STORE_KEY, key)
                setBody(TextContent(body, ContentType.Application.Json))
            }
            exchange(HttpMethod.Put, STORE_OBJECT_PATH, timeout, fill) { answer ->
                readAnswer<StoreWritten>(answer, key) { it.version > (expected ?: NO_VERSION) }
            }.map { it.version }
        }

    override suspend fun delete(
        key: String,
        expected: Version,
    ): Either<StoreError, Unit> =
        validated(key) {
            val fill: HttpRequestBuilder.() -> Unit = {
                parameter(STORE_KEY, key)
                parameter(STORE_EXPECTED, expected.number)
            }
            exchange(HttpMethod.Delete, STORE_OBJECT_PATH, timeout, fill) { answer ->
                readAnswer<StoreWritten>(answer, key) { it.version > expected }
            }.map { }
        }

    override suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ): Either<StoreError, StoreEvents> =
        validated(prefix) {
            val fill: HttpRequestBuilder.() -> Unit = {
                parameter(STORE_PREFIX, prefix)
                parameter(STORE_FROM, from.number)
                parameter(STORE_WAIT, wait.inWholeMilliseconds)
            }
            exchange(HttpMethod.Get, STORE_WATCH_PATH, wait.coerceAtLeast(Duration.ZERO) + timeout, fill) { answer ->
                readAnswer<StoreEvents>(answer, prefix) { it.continues(prefix, from) }
            }
        }

    override fun close() {
        http.close()
    }

    private suspend fun <T> exchange(
        method: HttpMethod,
        path: String,
        limit: Duration,
        fill: HttpRequestBuilder.() -> Unit,
        read: (RawAnswer) -> Either<StoreError, T>,
    ): Either<StoreError, T> =
        withTimeoutOrNull(limit) {
            try {
                val request = http.prepareRequest { configure(method, path, fill) }
                read(request.execute { rawAnswer(it) })
            } catch (e: Exception) {
                // A cancelled caller receives the cancellation, not a store error.
                currentCoroutineContext().ensureActive()
                storeErrorOf(e).left()
            }
        } ?: StoreError.Unanswered("no answer within $limit").left()

    private fun HttpRequestBuilder.configure(
        method: HttpMethod,
        path: String,
        fill: HttpRequestBuilder.() -> Unit,
    ) {
        this.method = method
        url {
            protocol = URLProtocol.HTTP
            host = if (':' in address.ip) "[${address.ip}]" else address.ip
            port = address.port
            path(path)
        }
        header(STORE_DOMAIN_HEADER, failureDomain.text)
        fill()
    }

    private suspend fun rawAnswer(response: HttpResponse): RawAnswer {
        val bytes = response.bodyAsChannel().readRemaining(answerLimit + 1L).readByteArray()
        val body = if (bytes.size > answerLimit) null else bytes.decodeToString()
        return RawAnswer(response.status.value, body, answerLimit)
    }
}

private fun StoreList.isOf(prefix: String): Boolean =
    objects.all { it.key.startsWith(prefix) && it.version > NO_VERSION && it.version <= version }

private fun StoreEvents.continues(
    prefix: String,
    from: Version,
): Boolean = version >= from && events.all { it.key.startsWith(prefix) && it.version > from && it.version <= version }

/** Rejects text that cannot be encoded as UTF-8, as the encoder would silently replace parts of it. */
private inline fun <T> validated(
    vararg texts: String,
    call: () -> Either<StoreError, T>,
): Either<StoreError, T> {
    if (texts.all(::isUnicodeText)) return call()
    return StoreError.Rejected(INVALID_STATUS, "key or value has an unpaired surrogate").left()
}

private fun isUnicodeText(text: String): Boolean =
    try {
        text.encodeToByteArray(throwOnInvalidSequence = true)
        true
    } catch (e: CharacterCodingException) {
        false
    }

private const val INVALID_STATUS = 400

/** Below the version of any object. */
private val NO_VERSION = Version(0)

/** Default limit of an answer in bytes, which allows a list of 16 objects of the largest size. */
private const val MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Limit of concurrent connections; a call waits for a free one no longer than for a new one. */
private const val MAX_CONNECTIONS = 256
