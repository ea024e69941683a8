package org.cicadaturn.tasks.http

import org.cicadaturn.schema.generated.Header

/**
 * Start of a request.
 *
 * @property target path and query as sent
 * @property closesConnection true if the connection ends after the answer
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
 * Start of an answer.
 *
 * @property closesConnection true if the connection ends after the answer
 */
public data class ResponseHead(
    val status: Int,
    val headers: List<Header>,
    val closesConnection: Boolean = false,
)

/** Returns the first value of header [name], in any case, or null. */
public fun List<Header>.valueOf(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Returns the headers that concern more than one connection, without those that describe the body's framing. */
public fun List<Header>.endToEnd(): List<Header> {
    val named =
        filter { it.name.equals("Connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
    return filter { it.name.lowercase() !in HOP_BY_HOP && it.name.lowercase() !in named }
}

/** What arrives on a connection. */
public sealed interface HttpPart {
    /** Start of a request. */
    public data class Request(
        val head: RequestHead,
    ) : HttpPart

    /** Start of an answer. */
    public data class Response(
        val head: ResponseHead,
    ) : HttpPart

    /** Bytes of a body. */
    public class Data(
        public val bytes: ByteArray,
    ) : HttpPart

    /** End of a message that is complete. */
    public data object End : HttpPart

    /** Bytes that are no message, with the status that answers them; the connection is of no further use. */
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
