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

/** Sends requests to the admin listeners of an entry and an endpoint process, without a client library. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class AdminInterfaceTest {
    private lateinit var system: TestSystem

    @BeforeAll
    fun start() = runBlocking(Dispatchers.Default) { system = startSystem() }

    @AfterAll
    fun stop() = runBlocking(Dispatchers.Default) { system.close() }

    private fun addressOf(process: String): NetworkAddress =
        (system.entries[process] ?: system.endpoints.getValue(process)).address("admin")

    /** Guards against an answer that probes and collectors of metrics do not understand. */
    @ParameterizedTest
    @ValueSource(strings = ["entry-1", "drafts-1"])
    fun `one connection serves health, readiness, metrics and the dump`(process: String) {
        val paths = listOf("/healthz", "/readyz", "/metrics", "/dump", "/healthz?verbose=1")
        val answers = rawAnswers(addressOf(process), *paths.map { plainRequest("GET", it) }.toTypedArray())
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
            rawAnswers(
                addressOf(process),
                plainRequest("GET", "/nowhere"),
                plainRequest("GET", "/healthz/"),
                plainRequest("POST", "/healthz", "x"),
                plainRequest("GET", "/admin/local-drain"),
                plainRequest("POST", "/admin/local-drain", "{\"on\":true}"),
            )
        assertEquals(listOf(404, 404, 405, 405, 401), answers.map { it.status })
        assertEquals(listOf(400), rawAnswers(addressOf(process), "nonsense\r\n\r\n").map { it.status })
    }
}
