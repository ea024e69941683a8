package org.cicadaturn.daemons.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.TextContent
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.command.ControlConnection
import org.cicadaturn.schema.generated.ControlFailure

/** Format of the admin interface; ignores fields that only newer processes send. */
internal val adminJson = Json { ignoreUnknownKeys = true }

/** Reason why a call to an admin listener failed. */
internal sealed interface AdminError {
    /** No answer was received. */
    data class NoAnswer(
        val detail: String,
    ) : AdminError

    /** The system refused the call or does not know its result. */
    data class Refused(
        val failure: ControlFailure,
    ) : AdminError

    /** The answer does not have the form of an admin listener's answer. */
    data class Unexpected(
        val status: Int,
        val detail: String,
    ) : AdminError
}

/** Calls the admin listener of [connection] and returns the body of the answer. */
internal suspend fun callAdmin(
    connection: ControlConnection,
    method: HttpMethod,
    path: String,
    body: String? = null,
): Either<AdminError, String> =
    adminClient().use { client ->
        withTimeoutOrNull(connection.timeout) {
            try {
                val response =
                    client.request(urlOf(connection) + path) {
                        this.method = method
                        connection.key?.let { header(HttpHeaders.Authorization, "Bearer ${it.text}") }
                        body?.let { setBody(TextContent(it, ContentType.Application.Json)) }
                    }
                answerOf(response.status.value, response.bodyAsText())
            } catch (e: Exception) {
                // Rethrows the cancellation of the caller, which must not be reported as a connection error.
                currentCoroutineContext().ensureActive()
                AdminError.NoAnswer(e.message ?: e::class.simpleName.orEmpty()).left()
            }
        } ?: AdminError.NoAnswer("no answer within ${connection.timeout}").left()
    }

private fun adminClient(): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            // The timeout of the ControlConnection limits each call instead.
            requestTimeout = 0
        }
    }

private fun urlOf(connection: ControlConnection): String {
    val ip = connection.admin.ip
    val host = if (':' in ip) "[$ip]" else ip
    return "http://$host:${connection.admin.port}"
}

private fun answerOf(
    status: Int,
    body: String,
): Either<AdminError, String> {
    if (status in SUCCESS_STATUSES) return body.right()
    return try {
        AdminError.Refused(adminJson.decodeFromString(ControlFailure.serializer(), body)).left()
    } catch (e: IllegalArgumentException) {
        AdminError.Unexpected(status, body.take(MAX_DETAIL_LENGTH)).left()
    }
}

private val SUCCESS_STATUSES = 200..299
private const val MAX_DETAIL_LENGTH = 200
