package org.cicadaturn.tasks.entry

import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.schema.generated.ApiError
import org.cicadaturn.schema.generated.ApiErrorDetail
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.tasks.gateway.BodyMemory
import org.cicadaturn.tasks.http.ConnectionLoss
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.endToEnd
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Body of a caller's request, as far as it was received. */
internal sealed interface CallerBody {
    class Complete(
        val bytes: ByteArray,
    ) : CallerBody

    class Refused(
        val refusal: Refusal,
    ) : CallerBody

    /** The connection has ended, or the body did not arrive in time. */
    data object Cut : CallerBody
}

/** One request of a caller on [link] and its answer. */
internal class CallerExchange(
    val link: HttpLink,
    val head: RequestHead,
    val id: RequestId,
) {
    private val encoding = head.headers.valueOf("Transfer-Encoding")
    private val announced = head.headers.valueOf("Content-Length")?.toLongOrNull() ?: 0

    /** True if a body follows the head. */
    val hasBody: Boolean = announced > 0 || encoding != null
    private var isReceived = false

    /** Takes the end of a request without a body. */
    suspend fun endRequest() {
        isReceived = link.receive() is HttpPart.End
    }

    /** Receives a body of at most [maxBytes] within [limit], in memory of [reservation]. */
    suspend fun receiveBody(
        maxBytes: Int,
        limit: Duration,
        reservation: BodyMemory.Reservation,
    ): CallerBody {
        if (!hasBody) return if (isReceived) CallerBody.Complete(ByteArray(0)) else CallerBody.Cut
        if (announced > maxBytes) return tooLarge(maxBytes)
        if (encoding != null && !encoding.equals("chunked", ignoreCase = true)) {
            val message = "Transfer-Encoding $encoding"
            return CallerBody.Refused(Refusal(ErrorKind.INVALID_REQUEST, message, "send the body in chunks"))
        }
        if (head.headers.valueOf("Expect") != null && !link.sendContinue()) return CallerBody.Cut
        if (!reservation.growTo(announced.toInt(), MEMORY_WAIT)) return noMemory()
        val body = withTimeoutOrNull(limit) { receiveParts(maxBytes, reservation) }
        if (body == null) link.account?.lost(ConnectionLoss.SLOW_BODY)
        return body ?: CallerBody.Cut
    }

    private suspend fun receiveParts(
        maxBytes: Int,
        reservation: BodyMemory.Reservation,
    ): CallerBody {
        val body = ByteArrayOutputStream(announced.toInt())
        while (body.size() <= maxBytes) {
            when (val part = link.receive()) {
                is HttpPart.Data -> {
                    if (!reservation.tryGrowTo(body.size() + part.bytes.size)) return noMemory()
                    body.write(part.bytes)
                }
                HttpPart.End -> {
                    isReceived = true
                    return CallerBody.Complete(body.toByteArray())
                }
                is HttpPart.Malformed -> {
                    val message = "the body cannot be read"
                    return CallerBody.Refused(Refusal(ErrorKind.INVALID_REQUEST, message, "send valid chunks"))
                }
                else -> return CallerBody.Cut
            }
        }
        return tooLarge(maxBytes)
    }

    private fun tooLarge(maxBytes: Int): CallerBody {
        val message = "the body is over $maxBytes bytes"
        return CallerBody.Refused(Refusal(ErrorKind.BODY_TOO_LARGE, message, "send at most $maxBytes bytes"))
    }

    private fun noMemory(): CallerBody {
        link.account?.lost(ConnectionLoss.NO_MEMORY)
        val message = "the memory for bodies is used up"
        return CallerBody.Refused(Refusal(ErrorKind.OVERLOADED, message, "retry later", retryAfter = 1.seconds))
    }

    /**
     * Sends [refusal] and returns true if the connection can be used for another request.
     *
     * Input that was not received is read without being decoded, as a connection that is closed with unread input may
     * take the answer with it.
     */
    suspend fun refuse(refusal: Refusal): Boolean {
        if (!isReceived) link.discardInput()
        val retryAfter = refusal.retryAfter?.let { Header("Retry-After", maxOf(1, it.inWholeSeconds).toString()) }
        val rateLimit =
            refusal.rateLimit?.let {
                listOf(
                    Header("X-RateLimit-Limit-Tokens", it.tokens.toString()),
                    Header("X-RateLimit-Remaining-Tokens", it.remaining.toString()),
                )
            }
        val headers = listOfNotNull(retryAfter) + rateLimit.orEmpty() + Header("Content-Type", JSON)
        send(refusal.kind.status, headers, errorText(id, refusal).encodeToByteArray())
        if (!isReceived) withTimeoutOrNull(DISCARD_TIME) { link.closed.await() }
        return isReceived && !head.closesConnection
    }

    /** Sends a complete answer and returns true if the connection can be used for another request. */
    suspend fun send(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
    ): Boolean {
        if (!link.sendResponse(responseHead(status, headers), body)) throw callerLeft()
        return isReceived && !head.closesConnection
    }

    /** Sends the head of an answer whose body follows in parts. */
    suspend fun begin(
        status: Int,
        headers: List<Header>,
    ) {
        if (!link.sendHead(responseHead(status, headers))) throw callerLeft()
    }

    /** Sends a part of the body. */
    suspend fun write(data: ByteArray) {
        if (!link.sendData(data)) throw callerLeft()
    }

    /** Sends the end of the body and returns true if the connection can be used for another request. */
    suspend fun end(): Boolean {
        if (!link.sendEnd()) throw callerLeft()
        return isReceived && !head.closesConnection
    }

    private fun responseHead(
        status: Int,
        headers: List<Header>,
    ): ResponseHead {
        val passed = headers.endToEnd().filter { it.name.lowercase() !in serverHeaders }
        passed
            .firstOrNull {
                !isSendable(
                    it,
                )
            }?.let { throw IOException("header '${it.name}' of the answer is not valid") }
        val closes = head.closesConnection || !isReceived
        return ResponseHead(
            status,
            listOf(Header("X-Request-Id", id.text)) + passed.map { Header(it.name, encodedText(it.value)) },
            closes,
        )
    }

    private fun callerLeft(): IOException = IOException("the caller has left or does not read the answer")

    private companion object {
        /** Time for which a request waits for memory for its body. */
        val MEMORY_WAIT = 500.milliseconds

        /** Time for a caller whose body is not read to take the answer and close the connection. */
        val DISCARD_TIME = 10.seconds

        /** Headers of a back end that describe its own connection. */
        val serverHeaders = setOf("date", "server")
    }
}

internal const val JSON: String = "application/json"

/** Returns the document that describes [refusal] to the caller. */
internal fun errorText(
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
