package org.cicadaturn.tasks.gateway

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.util.concurrent.TimeUnit

/** Tests which answers of an endpoint say that it takes no further requests, as dump and metrics of a gateway show it. */
class NoticedAnswersTest {
    private fun get(
        gateway: TestGateway,
        path: String,
    ): String {
        // The messages of the last answer may not have been handled yet.
        TimeUnit.MILLISECONDS.sleep(50)
        return exchange(gateway.adminPort, "GET $path HTTP/1.1\r\nHost: x\r\n\r\n").body
    }

    /** Returns the reasons for which endpoints get no requests and the time that is left, as the state dump tells. */
    private fun withheld(gateway: TestGateway): List<Pair<String, Long?>> =
        Json
            .parseToJsonElement(get(gateway, "/dump"))
            .jsonObject
            .getValue("withheld")
            .jsonArray
            .map { it.jsonObject }
            .map { it.getValue("reason").jsonPrimitive.content to it.getValue("remainingMs").jsonPrimitive.longOrNull }

    private fun withGateway(
        script: (RawRequest, OutputStream) -> Boolean,
        check: (TestGateway) -> Unit,
    ) = ScriptedEndpoint(script).use { endpoint -> TestGateway(listOf(endpoint)).use(check) }

    private fun send(
        gateway: TestGateway,
        id: String = "r1",
    ): RawAnswer = exchange(gateway.port, request("/once/x", id = id))

    private fun withheldAfter(head: (RawRequest) -> String): List<Pair<String, Long?>> {
        var found = emptyList<Pair<String, Long?>>()
        withGateway({ r, out -> out.text("HTTP/1.1 ${head(r)}\r\nContent-Length: 0\r\n\r\n") }) {
            send(it)
            found = withheld(it)
        }
        return found
    }

    /** Guards against an operator who cannot see why an endpoint gets nothing, or until when. */
    @Test
    fun `dump and metrics tell why an endpoint gets no requests`() {
        val refusal = "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Executed: 1\r\nX-Pause: 9\r\nContent-Length: 0\r\n\r\n"
        withGateway({ _, out -> out.text(refusal) }) { gateway ->
            assertEquals(503, send(gateway).status)
            val (reason, remaining) = withheld(gateway).single()
            assertEquals("it asked for a pause, or returns from one", reason)
            assertTrue(remaining in 7_000L..9_000L, "$remaining ms")
            assertEquals(503, send(gateway).status)
            val metrics = get(gateway, "/metrics")
            val expected =
                listOf(
                    "cicadaturn_gateway_endpoints_withheld{reason=\"paused\"} 1.0",
                    "cicadaturn_gateway_endpoints_withheld{reason=\"leaving\"} 0.0",
                    "cicadaturn_gateway_endpoint_notices_total{kind=\"pause\"} 1.0",
                    "cicadaturn_gateway_withheld_requests_total{action=\"refused\",cause=\"paused\",service=\"s\"} 1.0",
                )
            expected.forEach { assertTrue(it in metrics, "$it is missing in $metrics") }
        }
    }

    /** Guards against an announcement in a success, a refusal or a failure that is not noticed. */
    @Test
    fun `a success, a refusal and a failure announce the end of their endpoint`() {
        val statuses =
            listOf(
                "200 OK\r\nX-Signature: s",
                "503 Full\r\nX-Not-Executed: 1",
                "429 Later\r\nX-Not-Executed: 1",
                "500 Bad",
            )
        statuses.forEach { status ->
            assertEquals(
                listOf("it leaves" to null),
                withheldAfter { "$status\r\nX-Id: ${it.id}\r\nX-Leaving: 1" },
                status,
            )
        }
    }

    /** Guards against an endpoint that gets nothing because of an answer that is not its own or not sound. */
    @Test
    fun `an answer that is not believed says nothing`() {
        val answers =
            mapOf<String, (RawRequest) -> String>(
                "another request" to { "200 OK\r\nX-Signature: s\r\nX-Id: other" },
                "no signature" to { "200 OK\r\nX-Id: ${it.id}" },
                "another endpoint" to { "421 Misdirected\r\nX-Not-Executed: 1\r\nX-Id: ${it.id}" },
                "a refusal of another request" to { "503 Full\r\nX-Not-Executed: 1\r\nX-Id: other" },
            )
        answers.forEach { (name, head) ->
            assertEquals(emptyList<Any>(), withheldAfter { head(it) + "\r\nX-Leaving: 1\r\nX-Pause: 9" }, name)
        }
    }

    /** Guards against a pause that is taken from another status, or lost as the refusal does not deny the request. */
    @Test
    fun `a pause is asked for with 503 only`() {
        assertEquals(
            emptyList<Any>(),
            withheldAfter { "429 Later\r\nX-Not-Executed: 1\r\nX-Id: ${it.id}\r\nX-Pause: 9" },
        )
        assertEquals(emptyList<Any>(), withheldAfter { "200 OK\r\nX-Signature: s\r\nX-Id: ${it.id}\r\nX-Pause: 9" })
        assertEquals(1, withheldAfter { "503 Full\r\nX-Id: ${it.id}\r\nX-Pause: 9" }.size)
    }

    /** Guards against a request on a connection that was kept from before the answer. */
    @Test
    fun `a kept connection is not used for an endpoint that leaves`() {
        val received = mutableListOf<String?>()
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            received += r.id
            out.text(okHead(r, "${if (r.id == "r2") "X-Leaving: 1\r\n" else ""}Content-Length: 2") + "ok")
        }
        withGateway(script) { gateway ->
            val statuses = (1..4).map { send(gateway, "r$it").status }
            assertEquals(listOf(200, 200, 503, 503), statuses)
            assertEquals(listOf<String?>("r1", "r2"), received.toList())
        }
    }

    /** Guards against a value that cannot be read and that keeps requests from its endpoint, or loses a request. */
    @Test
    fun `a value that cannot be read changes nothing and is counted`() {
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            out.text(okHead(r, "X-Leaving: maybe\r\nContent-Length: 2") + "ok")
        }
        withGateway(script) { gateway ->
            assertEquals(listOf(200, 200), listOf("r1", "r2").map { send(gateway, it).status })
            assertEquals(emptyList<Any>(), withheld(gateway))
            assertTrue("endpoint_notices_total{kind=\"unreadable\"} 2.0" in get(gateway, "/metrics"))
        }
    }
}
