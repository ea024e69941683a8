package org.cicadaturn.decisions.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.cicadaturn.decisions.configuration.ConfigurationIndex
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.confirmation.ConfirmationRequest
import org.cicadaturn.decisions.confirmation.confirmationKey
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/**
 * Is a caller's request as the front end read it.
 *
 * @property id request identifier, from the caller or made by the front end
 * @property method HTTP method
 * @property path path with query
 * @property headers headers by lower-case name
 * @property body whole body
 * @property chat the body as a chat completion, if the path asks for one
 */
public class CallerRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
    public val chat: ChatRequestInfo? = null,
)

/**
 * Holds what routing needs to know of a chat completion.
 *
 * @property model model name
 * @property promptTokens estimated tokens of the prompt
 * @property maxTokens longest answer in tokens
 * @property stream true if the answer is streamed
 * @property prefix digest of the beginning of the prompt, for prefix-cache affinity
 */
public data class ChatRequestInfo(
    val model: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val stream: Boolean,
    val prefix: String,
)

/**
 * Is a request that was understood and may be sent to an endpoint.
 *
 * @property request request of the caller
 * @property organisation organisation that asks
 * @property service service that is asked
 * @property timeAllowed time from arrival to the caller's deadline
 * @property tokens estimated tokens of prompt and answer; 0 for plain services
 * @property idempotent true if the call may be repeated without harm
 * @property confirmation set if the call must run at most once
 */
public class RoutedRequest(
    public val request: CallerRequest,
    public val organisation: Organisation,
    public val service: Service,
    public val timeAllowed: Duration,
    public val tokens: Int,
    public val idempotent: Boolean,
    public val confirmation: ConfirmationKey?,
)

/** Path of chat completions. */
public const val CHAT_PATH: String = "/v1/chat/completions"

/** Longest deadline that a caller may ask for. */
public val MAX_DEADLINE: Duration = 1.hours

private const val MAX_KEY_LENGTH = 255

/** Below the 8,192 bytes at which the HTTP server drops a request line without an answer. */
private const val MAX_PATH_LENGTH = 8_000
private val safeMethods = setOf("GET", "HEAD", "OPTIONS")
private val methods = safeMethods + setOf("POST", "PUT", "DELETE", "PATCH")

/** Returns the organisation that the request's bearer key selects, or a refusal. */
public fun authenticate(
    index: ConfigurationIndex,
    headers: Map<String, String>,
): Either<Refusal, Organisation> {
    val header =
        headers["authorization"]
            ?: return unauthenticated("no Authorization header").left()
    if (!header.startsWith("Bearer ", ignoreCase = true)) {
        return unauthenticated("Authorization is not a Bearer key").left()
    }
    val key = header.substring("Bearer ".length).trim()
    return index.organisationOf(digestOf(key))?.right() ?: unauthenticated("the key is not known").left()
}

/** Returns what [request] asks for under the configuration in [index], or why it is refused. */
public fun routeRequest(
    index: ConfigurationIndex,
    request: CallerRequest,
): Either<Refusal, RoutedRequest> {
    if (request.method.uppercase(Locale.ROOT) !in methods) {
        return invalid("method ${request.method.take(16)} is not served", "use one of $methods").left()
    }
    if (request.path.length > MAX_PATH_LENGTH) {
        return invalid("the path is longer than $MAX_PATH_LENGTH", "shorten it").left()
    }
    val organisation = authenticate(index, request.headers).fold({ return it.left() }, { it })
    val service = serviceOf(index, request).fold({ return it.left() }, { it })
    val allowed = timeAllowed(request, service).fold({ return it.left() }, { it })
    val idempotent = service.idempotent || request.method.uppercase(Locale.ROOT) in safeMethods
    val confirmation =
        when {
            idempotent -> null
            else -> readConfirmationKey(request, organisation, service.id).fold({ return it.left() }, { it })
        }
    val tokens = request.chat?.let { it.promptTokens + it.maxTokens } ?: 0
    return RoutedRequest(request, organisation, service, allowed, tokens, idempotent, confirmation).right()
}

private fun serviceOf(
    index: ConfigurationIndex,
    request: CallerRequest,
): Either<Refusal, Service> {
    val chat = request.chat
    if (chat != null) {
        val unknown =
            Refusal(ErrorKind.UNKNOWN_MODEL, "no service serves model ${chat.model.take(64)}", "see GET /v1/models")
        return index.serviceOf(chat.model)?.right() ?: unknown.left()
    }
    val name =
        request.path
            .substringBefore('?')
            .trimStart('/')
            .substringBefore('/')
    val service = index.service(ServiceId(name))
    if (service == null || service.kind != ServiceKind.PLAIN) {
        val remedy = "use $CHAT_PATH, /v1/models or the path of a plain service"
        return Refusal(ErrorKind.UNKNOWN_PATH, "no service at /${name.take(64)}", remedy).left()
    }
    return service.right()
}

private fun timeAllowed(
    request: CallerRequest,
    service: Service,
): Either<Refusal, Duration> {
    val text = request.headers["x-deadline-ms"] ?: return service.deadline.right()
    val ms = text.toLongOrNull()
    if (ms == null || ms <= 0 || ms.milliseconds > MAX_DEADLINE) {
        val remedy = "give whole milliseconds from 1 to ${MAX_DEADLINE.inWholeMilliseconds}"
        return invalid("X-Deadline-Ms is ${text.take(32)}", remedy).left()
    }
    return ms.milliseconds.right()
}

private fun readConfirmationKey(
    request: CallerRequest,
    organisation: Organisation,
    service: ServiceId,
): Either<Refusal, ConfirmationKey?> {
    val key = request.headers["idempotency-key"] ?: return null.right()
    if (key.isBlank() || key.length > MAX_KEY_LENGTH) {
        return invalid("Idempotency-Key has ${key.length} characters", "use 1 to $MAX_KEY_LENGTH characters").left()
    }
    val same = ConfirmationRequest(request.method, request.path, request.body)
    return confirmationKey(organisation.id, service, key, same).right()
}

private fun invalid(
    message: String,
    remedy: String,
): Refusal = Refusal(ErrorKind.INVALID_REQUEST, message, remedy)

private fun unauthenticated(message: String): Refusal =
    Refusal(ErrorKind.UNAUTHENTICATED, message, "send Authorization: Bearer KEY with a key of your organisation")
