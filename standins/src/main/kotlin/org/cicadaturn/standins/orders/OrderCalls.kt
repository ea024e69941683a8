package org.cicadaturn.standins.orders

import io.ktor.http.cio.ParserException
import io.ktor.http.cio.Request
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.io.IOException
import kotlinx.io.readByteArray

private const val MAX_BODY_BYTES = 1L shl 20

/** Request to the order service; [problem] is the answer to send if its body can't be read. */
internal class OrderCall(
    val method: String,
    val path: String,
    val key: String?,
    val close: Boolean,
    val body: String = "",
    val problem: OrderAnswer? = null,
)

/** Encoded answer; [close] is true if the connection is closed after it. */
internal class OrderAnswer(
    val bytes: ByteArray,
    val close: Boolean,
)

/** Returns the next request, or null if the caller closes the connection or [listening] completes before it arrives. */
internal suspend fun nextCall(
    input: ByteReadChannel,
    listening: Job,
): OrderCall? =
    coroutineScope {
        val reading = async { readCall(input) }
        select {
            reading.onAwait { it }
            listening.onJoin {
                reading.cancel()
                null
            }
        }
    }

private suspend fun readCall(input: ByteReadChannel): OrderCall? {
    val request =
        try {
            parseRequest(input) ?: return null
        } catch (failure: ParserException) {
            throw IOException("request is not HTTP: ${failure.message}", failure)
        }
    return try {
        callOf(request, input)
    } finally {
        request.release()
    }
}

private suspend fun callOf(
    request: Request,
    input: ByteReadChannel,
): OrderCall {
    val length = request.headers["Content-Length"]?.toString()?.toLongOrNull() ?: 0
    val problem =
        when {
            request.headers["Transfer-Encoding"] != null -> errorAnswer(411, "send a Content-Length")
            length !in 0..MAX_BODY_BYTES -> errorAnswer(413, "body has $length bytes; at most $MAX_BODY_BYTES are read")
            else -> null
        }
    return OrderCall(
        method = request.method.value,
        path = request.uri.toString().substringBefore('?'),
        key = request.headers["Idempotency-Key"]?.toString(),
        close = request.headers["Connection"].toString().equals("close", ignoreCase = true),
        body = if (problem == null) input.readByteArray(length.toInt()).decodeToString() else "",
        problem = problem,
    )
}

/** Returns an answer with the JSON text [json]. */
internal fun jsonAnswer(
    status: Int,
    json: String,
    close: Boolean = false,
): OrderAnswer {
    val body = json.encodeToByteArray()
    val head = RequestResponseBuilder()
    head.responseLine("HTTP/1.1", status, reasonPhrases[status] ?: "Status")
    head.headerLine("Content-Type", "application/json")
    head.headerLine("Content-Length", body.size.toString())
    if (close) head.headerLine("Connection", "close")
    head.emptyLine()
    return OrderAnswer(head.build().readByteArray() + body, close)
}

private val reasonPhrases =
    mapOf(
        200 to "OK",
        400 to "Bad Request",
        404 to "Not Found",
        405 to "Method Not Allowed",
        411 to "Length Required",
        413 to "Content Too Large",
    )
