package org.cicadaturn.tasks.http

import org.cicadaturn.decisions.gateway.BodyFraming
import org.cicadaturn.schema.generated.Header

/**
 * Request line and headers of a request.
 *
 * @property target path and query as sent
 * @property closesConnection true if the connection is closed after the answer
 */
public data class RequestHead(
    val method: String,
    val target: String,
    val headers: List<Header>,
    val closesConnection: Boolean = false,
) {
    /** Path without the query. */
    val path: String get() = target.substringBefore('?')
}

/**
 * Status and headers of an answer.
 *
 * @property closesConnection true if the connection is closed after the answer
 */
public data class ResponseHead(
    val status: Int,
    val headers: List<Header>,
    val closesConnection: Boolean = false,
) {
    /** What marks the end of the body, if the message has one. */
    val framing: BodyFraming
        get() {
            val encodings = headers.filter { it.name.equals("Transfer-Encoding", ignoreCase = true) }
            return when {
                encodings.singleOrNull()?.value.equals("chunked", ignoreCase = true) -> BodyFraming.CHUNKED
                encodings.isNotEmpty() -> BodyFraming.UNKNOWN
                headers.valueOf("Content-Length") != null -> BodyFraming.LENGTH
                else -> BodyFraming.CONNECTION
            }
        }
}

/** Returns the first value of the header [name], whose case is ignored, or null. */
public fun List<Header>.valueOf(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Returns the end-to-end headers: those that are neither hop-by-hop nor describe the framing of the body. */
public fun List<Header>.endToEnd(): List<Header> {
    val listed =
        filter { it.name.equals("Connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
    return filter { it.name.lowercase() !in HOP_BY_HOP && it.name.lowercase() !in listed }
}

/** Part of a message received on a connection. */
public sealed interface HttpPart {
    /** Head of a request. */
    public data class Request(
        val head: RequestHead,
    ) : HttpPart

    /** Head of an answer. */
    public data class Response(
        val head: ResponseHead,
    ) : HttpPart

    /** Bytes of a body. */
    public class Data(
        public val bytes: ByteArray,
    ) : HttpPart

    /** End of a complete message. */
    public data object End : HttpPart

    /** End of an answer that has neither a length nor chunks, as the server has closed the connection after it. */
    public data object EndByClose : HttpPart

    /** Input that is not a valid message, with the status to answer; the connection cannot be used any further. */
    public data class Malformed(
        val detail: String,
        val status: Int,
    ) : HttpPart
}

private val HOP_BY_HOP =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
