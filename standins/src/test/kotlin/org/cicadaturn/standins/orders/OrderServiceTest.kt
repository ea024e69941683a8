package org.cicadaturn.standins.orders

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.KeyRuns
import org.cicadaturn.schema.generated.OrderConfirmation
import org.cicadaturn.schema.generated.OrderRuns
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.ConnectException
import kotlin.time.Duration

/** Tests the stand-in order service over HTTP; the timeout only ends a test that hangs. */
@Timeout(60)
class OrderServiceTest {
    /** Guards against deduplication and wrong counts, which would hide that the load balancer repeats a run. */
    @Test
    fun `every call runs and is counted by its key`() =
        withService { client ->
            val numbers =
                listOf("a", "b", "a", null, "a", null)
                    .map { async { client.order("/orders/plates", it) } }
                    .map { it.await().number }
            assertEquals((1L..6L).toList(), numbers.sorted())
            val runs = client.runs()
            assertEquals(6, runs.total)
            assertEquals(2, runs.withoutKey)
            assertEquals(setOf(KeyRuns("a", 3), KeyRuns("b", 1)), runs.keys.toSet())
        }

    /** Guards against a lost answer whose order did not run, or that the caller receives in full. */
    @ParameterizedTest
    @ValueSource(ints = [0, 20, 100_000])
    fun `lost answer closes the connection after the run`(afterBytes: Int) =
        withService { client ->
            client.control("lose", """{"count":1,"afterBytes":$afterBytes}""")
            val failure = runCatching { client.order("/orders", "k") }.exceptionOrNull()
            // The client reports a truncated answer with an exception that is not an IOException.
            val isTruncated = failure?.message.orEmpty().startsWith("Content-Length mismatch")
            assertTrue(failure is IOException || isTruncated, "got $failure")
            client.order("/orders", "k")
            val runs = client.runs()
            assertEquals(listOf(KeyRuns("k", 2)), runs.keys)
            assertEquals(1, runs.lostAnswers)
        }

    /** Guards against an order that runs while connections are refused, and against a service that stays closed. */
    @Test
    fun `refusal closes the listener and idle connections`() {
        val pause = Channel<Unit>()
        withService({ if (it > Duration.ZERO) pause.receive() }) { client ->
            client.order("/orders", "k")
            client.control("refuse", """{"millis":1000}""")
            assertThrows(ConnectException::class.java) { runBlocking { client.order("/orders", "k") } }
            pause.send(Unit)
            val port = client.service.address.port
            while (runCatching { client.runs() }.isFailure) yield()
            assertEquals(port, client.service.address.port)
            assertEquals(listOf(KeyRuns("k", 1)), client.runs().keys)
        }
    }
}

private class OrderClient(
    private val http: HttpClient,
    val service: OrderService,
) {
    suspend fun order(
        path: String,
        key: String?,
    ): OrderConfirmation {
        val response =
            http.post(url(path)) {
                key?.let { header("Idempotency-Key", it) }
                setBody("{}")
            }
        check(response.status.value == 200) { response.bodyAsText() }
        return Json.decodeFromString(response.bodyAsText())
    }

    suspend fun control(
        name: String,
        body: String,
    ) {
        val response = http.post(url("/control/$name")) { setBody(body) }
        check(response.status.value == 200) { response.bodyAsText() }
    }

    suspend fun get(path: String) = http.get(url(path))

    suspend fun runs(): OrderRuns = Json.decodeFromString(get("/runs").bodyAsText())

    private fun url(path: String) = "http://${service.address.ip}:${service.address.port}$path"
}

private fun withService(
    pause: suspend (Duration) -> Unit = {},
    test: suspend CoroutineScope.(OrderClient) -> Unit,
) = runBlocking {
    HttpClient(CIO).use { http ->
        val service = startOrderService(this, pause = pause)
        try {
            coroutineScope { test(OrderClient(http, service)) }
        } finally {
            service.close()
        }
    }
}
