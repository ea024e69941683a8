package org.cicadaturn.tasks.http

import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.connection.ConnectionUse
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.seconds

/** Request of the platform, a peer or an operator. */
internal class InternalRequest(
    val head: RequestHead,
    val body: ByteArray,
)

/**
 * Returns the next request of the platform, a peer or an operator; null if there is none, it cannot be read or there is no
 * memory for its body.
 */
internal suspend fun HttpLink.receiveInternalRequest(): InternalRequest? {
    account?.holdBody(0)
    account?.use = ConnectionUse.WAITING
    val part = receiveRequest(IDLE_TIMEOUT, REQUEST_TIMEOUT) as? HttpPart.Request ?: return null
    val body = withTimeoutOrNull(REQUEST_TIMEOUT) { receiveBody() } ?: return null
    // A report of the store is held for seconds until there is something to report.
    account?.use = ConnectionUse.SERVING
    return InternalRequest(part.head, body)
}

/** Sends an answer to a request of the platform, a peer or an operator, or refuses that if there is no memory for [body]. */
internal suspend fun HttpLink.sendInternalAnswer(
    head: ResponseHead,
    body: ByteArray,
): Boolean {
    if (account?.holdBody(body.size.toLong()) != false) return sendResponse(head, body)
    account?.lost(ConnectionLoss.NO_MEMORY)
    return sendResponse(ResponseHead(UNAVAILABLE, emptyList(), closesConnection = true), ByteArray(0))
}

/** Returns the body of a request, or null if it is incomplete or too long. */
private suspend fun HttpLink.receiveBody(): ByteArray? {
    val body = ByteArrayOutputStream()
    while (true) {
        when (val part = receive()) {
            HttpPart.End -> return body.toByteArray()
            is HttpPart.Data -> body.write(part.bytes)
            else -> return null
        }
        if (body.size() > MAX_BODY_BYTES || account?.holdBody(body.size().toLong()) == false) return null
    }
}

private const val UNAVAILABLE = 503

/** Longest body of a request in bytes; news about a crash with 16 prompts of 64 long segments have 70 kB. */
private const val MAX_BODY_BYTES = 256 * 1024

/** Time after which an idle connection is closed; metrics are usually collected each minute. */
private val IDLE_TIMEOUT = 90.seconds

/** Time for the head of a request, and for its body; a peer gives up earlier. */
private val REQUEST_TIMEOUT = 3.seconds
