package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.NetworkAddress
import java.io.InputStream
import java.net.Socket

/** Answer as it was read from a socket; the values of its [headers] have one character for each byte. */
internal class RawAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
)

/** Sends [requests] on one connection, each after the answer to the one before; fails if an answer does not arrive. */
internal fun rawAnswers(
    address: NetworkAddress,
    vararg requests: String,
): List<RawAnswer> =
    Socket(address.ip, address.port).use { socket ->
        socket.soTimeout = HANG_TIMEOUT.inWholeMilliseconds.toInt()
        val input = socket.getInputStream().buffered()
        requests.map { request ->
            socket.getOutputStream().write(request.encodeToByteArray())
            readAnswer(input)
        }
    }

/** Returns a request whose head has [headers], as lines without their ends. */
internal fun plainRequest(
    method: String,
    target: String,
    body: String? = null,
    headers: List<String> = emptyList(),
): String {
    val length = body?.let { "Content-Length: ${it.encodeToByteArray().size}" }
    val lines = listOf("$method $target HTTP/1.1", "Host: x") + headers + listOfNotNull(length)
    return lines.joinToString("\r\n", postfix = "\r\n\r\n") + body.orEmpty()
}

private fun readAnswer(input: InputStream): RawAnswer {
    val lines = generateSequence { readLine(input).takeIf { it.isNotEmpty() } }.toList()
    val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(": ") }
    val status = lines.first().split(' ')[1].toInt()
    val length = headers["content-length"]?.toInt() ?: 0
    return RawAnswer(status, headers, input.readNBytes(length).decodeToString())
}

private fun readLine(input: InputStream): String {
    val line = StringBuilder()
    while (!line.endsWith("\r\n")) {
        val next = input.read()
        check(next >= 0) { "the connection ended within the line '$line'" }
        line.append(next.toChar())
    }
    return line.trim().toString()
}
