package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runInterruptible
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.http.isReset
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.zip.GZIPInputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Maximum length of a body whose content is verified; the same as for answers that are buffered before their head. */
private const val MAX_VERIFIED_BYTES = 1 shl 20

private val CONNECT_TIMEOUT: Duration = 1.seconds

/**
 * Time for which a new connection has to stay open. A process that ends closes its sockets one after the other, and its
 * listening socket may be the later one; connections that it has not accepted are then reset.
 */
private val OPEN_TIME: Duration = 20.milliseconds

private val GZIP_CODINGS = setOf("gzip", "x-gzip")

private const val UTF8_BYTE_ORDER_MARK = "\uFEFF"

/** First bytes of a text in UTF-16, which RFC 8259 does not allow between systems; it is passed on without being read. */
private val UTF16_BYTE_ORDER_MARKS = setOf(listOf<Byte>(-2, -1), listOf<Byte>(-1, -2))

/** Collects a JSON body that only the end of its connection ends and to which [codings] were applied. */
internal class JsonBody(
    private val codings: List<String> = emptyList(),
) {
    private val bytes = ByteArrayOutputStream()
    private var isTooLong = false

    /** Adds the next part of the body. */
    fun append(data: ByteArray) {
        if (bytes.size() + data.size > MAX_VERIFIED_BYTES) isTooLong = true
        if (!isTooLong) bytes.write(data)
    }

    /**
     * Returns true if the content shows that the body is whole, and false if it shows that it is not.
     *
     * No part of an object or an array is itself one. Returns null for a number or another scalar, parts of which are
     * valid, for a body of over 1 MiB, and for one in another coding than gzip or in UTF-16, which are not verified.
     */
    fun isWhole(): Boolean? {
        if (isTooLong) return null
        return try {
            decoded()?.let(::isWholeJson)
        } catch (_: SerializationException) {
            false
        } catch (_: IOException) {
            // Also thrown for a text in UTF-8 and for data in gzip that end too early.
            false
        }
    }

    /** Returns the body without its coding; null if the coding is not known or the content too long. */
    private fun decoded(): ByteArray? =
        when {
            codings.isEmpty() -> bytes.toByteArray()
            codings.size == 1 && codings.single() in GZIP_CODINGS ->
                GZIPInputStream(bytes.toByteArray().inputStream())
                    .use { it.readNBytes(MAX_VERIFIED_BYTES + 1) }
                    .takeIf { it.size <= MAX_VERIFIED_BYTES }
            else -> null
        }

    private fun isWholeJson(content: ByteArray): Boolean? {
        if (content.take(2) in UTF16_BYTE_ORDER_MARKS) return null
        // A reader of JSON may ignore the mark (RFC 8259, section 8.1); this parser does not.
        val text = content.decodeToString(throwOnInvalidSequence = true).removePrefix(UTF8_BYTE_ORDER_MARK)
        val value = Json.parseToJsonElement(text)
        return if (value is JsonObject || value is JsonArray) true else null
    }
}

/**
 * Returns true if [address] accepts a connection and keeps it open for [OPEN_TIME], or accepts another one after it has
 * ended the first: a back end with too many connections resets further ones, but goes on to accept them.
 */
internal suspend fun acceptsConnections(address: NetworkAddress): Boolean =
    runInterruptible(Dispatchers.IO) {
        val isKeptOpen = Socket().use { it.connectTo(address) && failureOf { it.awaitEnd() } is SocketTimeoutException }
        isKeptOpen || Socket().use { it.connectTo(address) }
    }

/** Connects to [address] and returns true if that succeeds, also if the connection is reset at once. */
private fun Socket.connectTo(address: NetworkAddress): Boolean {
    val timeout = CONNECT_TIMEOUT.inWholeMilliseconds.toInt()
    val failure = failureOf { connect(InetSocketAddress(address.ip, address.port), timeout) }
    return failure == null || isReset(failure)
}

/** Waits until the peer ends the connection; throws a [SocketTimeoutException] if it stays open. */
private fun Socket.awaitEnd() {
    soTimeout = OPEN_TIME.inWholeMilliseconds.toInt()
    getInputStream().read()
}

/** Returns the failure of [action], or null if it succeeds. */
private fun failureOf(action: () -> Unit): IOException? =
    try {
        action()
        null
    } catch (e: IOException) {
        e
    }
