package org.cicadaturn.daemons.system

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.Socket

/** Sends requests to the admin listeners of an entry and an endpoint process, without a client library. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class AdminInterfaceTest {
    private lateinit var system: TestSystem

    @BeforeAll
    fun start() = runBlocking(Dispatchers.Default) { system = startSystem() }

    @AfterAll
    fun stop() = runBlocking(Dispatchers.Default) { system.close() }

    private class RawAnswer(
        val status: Int,
        val headers: Map<String, String>,
        val body: String,
    )

    private fun addressOf(process: String): NetworkAddress =
        (system.entries[process] ?: system.endpoints.getValue(process)).address("admin")

    /** Sends [requests] on one connection and returns the answers; fails if one does not arrive. */
    private fun answersTo(
        process: String,
        vararg requests: String,
    ): List<RawAnswer> {
        val address = addressOf(process)
        return Socket(address.ip, address.port).use { socket ->
            socket.soTimeout = HANG_TIMEOUT.inWholeMilliseconds.toInt()
            val input = socket.getInputStream().buffered()
            requests.map { request ->
                socket.getOutputStream().write(request.encodeToByteArray())
                val lines =
                    generateSequence {
                        val line = StringBuilder()
                        while (!line.endsWith("\r\n")) {
                            val next = input.read()
                            check(next >= 0) { "the connection ended within the head: $line" }
                            line.append(next.toChar())
                        }
                        line.toString().trim().takeIf { it.isNotEmpty() }
                    }.toList()
                val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(": ") }
                val body = input.readNBytes(headers.getValue("content-length").toInt()).decodeToString()
                RawAnswer(lines.first().split(' ')[1].toInt(), headers, body)
            }
        }
    }

    private fun request(
        method: String,
        target: String,
        body: String? = null,
    ): String {
        val length = body?.let { "Content-Length: ${it.length}\r\n" }.orEmpty()
        return "$method $target HTTP/1.1\r\nHost: x\r\n$length\r\n${body.orEmpty()}"
    }

    /** Guards against an answer that probes and collectors of metrics do not understand. */
    @ParameterizedTest
    @ValueSource(strings = ["entry-1", "drafts-1"])
    fun `one connection serves health, readiness, metrics and the dump`(process: String) {
        val paths = listOf("/healthz", "/readyz", "/metrics", "/dump", "/healthz?verbose=1")
        val answers = answersTo(process, *paths.map { request("GET", it) }.toTypedArray())
        assertEquals(List(paths.size) { 200 }, answers.map { it.status })
        assertEquals(listOf("ok\n", "ready\n"), answers.take(2).map { it.body })
        assertEquals(
            listOf("text/plain; charset=utf-8", "text/plain; version=0.0.4; charset=utf-8", "application/json"),
            listOf(0, 2, 3).map { answers[it].headers.getValue("content-type").lowercase() },
        )
    }

    /** Guards against a request that is served though it is not understood, or ends the connection without an answer. */
    @ParameterizedTest
    @ValueSource(strings = ["entry-1", "drafts-1"])
    fun `a request that is not served gets its status`(process: String) {
        val answers =
            answersTo(
                process,
                request("GET", "/nowhere"),
                request("GET", "/healthz/"),
                request("POST", "/healthz", "x"),
                request("GET", "/admin/local-drain"),
                request("POST", "/admin/local-drain", "{\"on\":true}"),
            )
        assertEquals(listOf(404, 404, 405, 405, 401), answers.map { it.status })
        assertEquals(listOf(400), answersTo(process, "nonsense\r\n\r\n").map { it.status })
    }
}
