package org.cicadaturn.daemons.system

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.cicadaturn.schema.generated.NetworkAddress
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Status of a call whose connection ended without an answer. */
internal const val NO_ANSWER = 0

/**
 * Answer as a caller received it.
 *
 * @property isWhole false if the connection ended within the body; [body] is then what had arrived
 */
internal data class ReceivedAnswer(
    val status: Int,
    val body: String,
    val isWhole: Boolean,
    val contentType: String? = null,
)

/** Caller that notices a chunked body without its end and keeps what came before it, unlike [TestCallers]. */
internal class StandardCaller {
    private val client = HttpClient.newHttpClient()

    suspend fun call(
        entry: NetworkAddress,
        method: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
        body: String = "",
    ): ReceivedAnswer =
        withContext(Dispatchers.IO) {
            val request = HttpRequest.newBuilder(URI(entry.url(path)))
            request.header("Authorization", "Bearer $BEARER_KEY")
            headers.forEach { (name, value) -> request.header(name, value) }
            val publisher =
                if (body.isEmpty()) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body)
            val response =
                try {
                    client.send(request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofInputStream())
                } catch (_: IOException) {
                    return@withContext ReceivedAnswer(NO_ANSWER, "", isWhole = false)
                }
            val type = response.headers().firstValue("Content-Type").orElse(null)
            val received = ByteArrayOutputStream()
            val isWhole = response.body().use { copy(it, received) }
            ReceivedAnswer(response.statusCode(), received.toString(), isWhole, type)
        }

    private fun copy(
        from: InputStream,
        to: ByteArrayOutputStream,
    ): Boolean =
        try {
            from.transferTo(to)
            true
        } catch (_: IOException) {
            false
        }
}

/**
 * Returns the data of the events in [stream], read as the standard for event streams says: a line ends with LF, CRLF
 * or CR, an event ends with a blank line, and an event without data or without its end does not exist.
 */
internal fun standardEventData(stream: String): List<String> {
    val events = mutableListOf<String>()
    val data = mutableListOf<String>()
    for (line in stream.removePrefix("\uFEFF").split("\r\n", "\n", "\r").dropLast(1)) {
        if (line.isEmpty()) {
            if (data.isNotEmpty()) events += data.joinToString("\n")
            data.clear()
        }
        val field = line.substringBefore(':')
        if (field == "data") data += line.substringAfter(':', "").removePrefix(" ")
    }
    return events
}
