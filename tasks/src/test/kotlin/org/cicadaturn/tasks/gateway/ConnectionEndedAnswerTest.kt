package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private typealias Script = (RawRequest, OutputStream) -> Boolean

/** Tests answers that have neither a length nor chunks, whose connection is all that ends them. */
class ConnectionEndedAnswerTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()

    /** Ways in which an endpoint closes a connection after a whole answer. */
    private val closes: Map<String, Script> =
        mapOf(
            "closed with the last bytes" to { _, _ -> false },
            "closed after 100 ms" to { _, out -> false.also { flushAndPause(out, 100) } },
            "output closed" to { _, out ->
                out.flush()
                throw CloseOutput()
            },
        )

    private val resets: Script = { _, out ->
        flushAndPause(out, 50)
        throw ResetConnection()
    }

    private fun flushAndPause(
        out: OutputStream,
        millis: Long,
    ) {
        out.flush()
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private fun after(
        text: (RawRequest) -> String,
        end: Script,
    ): Script =
        { r, out ->
            out.text(text(r))
            end(r, out)
        }

    private fun twoEvents(request: RawRequest) = streamHead(request, "s") + event(1) + event(2)

    private fun body(request: RawRequest) = okHead(request, "Content-Type: text/plain") + "ok"

    /** Sends the rest of a stream of three events, or a body. */
    private val answersWhole: Script = { r, out ->
        val from = r.header("Last-Event-Id")?.toInt() ?: 0
        if ("stream" in r.head.lineSequence().first()) {
            out.text(streamAnswer(r, "t", (from + 1..3).joinToString("") { event(it) }))
        } else {
            answerOk(r, out)
        }
    }

    /** Runs [check] with a gateway in front of an endpoint with [first], which is chosen first, and a sound one. */
    private fun <T> beside(
        first: Script,
        check: (TestGateway, ScriptedEndpoint, ScriptedEndpoint) -> T,
    ): T =
        ScriptedEndpoint(first).use { one ->
            ScriptedEndpoint(answersWhole).use { other ->
                TestGateway(listOf(one, other), retrySlack = 10_000.0, journal = { lines += it }).use { gateway ->
                    check(gateway, one, other)
                }
            }
        }

    /** Asserts that the answer of the only endpoint that was asked is passed on as whole, with [body]. */
    private fun assertPassedOn(
        script: Script,
        path: String,
        body: String,
        headers: String = "",
    ) = beside(script) { gateway, one, other ->
        val answer = exchange(gateway.port, request(path, headers))
        assertEquals(200 to body, answer.status to answer.body, "$lines")
        assertTrue(answer.isComplete, "$lines")
        assertEquals(1 to 0, one.requests.size to other.requests.size, "$lines")
    }

    /** Guards against a whole stream that is cut, or asked for again, as only its connection ends it. */
    @TestFactory
    fun `a stream whose endpoint closes the connection after whole events is complete`(): List<DynamicTest> =
        listOf("/stream/x", "/stream-once/x").flatMap { path ->
            closes.map { (name, end) ->
                dynamicTest("$path, $name") {
                    assertPassedOn(after(::twoEvents, end), path, event(1) + event(2))
                }
            }
        }

    /** Guards against a whole body that is cut, or asked for again, as only its connection ends it. */
    @TestFactory
    fun `a body whose endpoint closes the connection is complete`(): List<DynamicTest> =
        listOf("/patient-safe/x", "/once/x").flatMap { path ->
            closes.map { (name, end) -> dynamicTest("$path, $name") { assertPassedOn(after(::body, end), path, "ok") } }
        }

    /** Guards against a whole answer that is cut as its endpoint has too many connections to take another one. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/stream-once/x", "/safe/x", "/once/x"])
    fun `an answer without a length whose endpoint resets further connections is complete`(path: String) {
        val script = after(if ("stream" in path) ::twoEvents else ::body) { _, _ -> false }
        beside(script) { gateway, one, other ->
            one.maxConnections = 1
            val answer = exchange(gateway.port, request(path))
            val expected = if ("stream" in path) event(1) + event(2) else "ok"
            assertEquals(200 to expected, answer.status to answer.body, "$lines")
            assertTrue(answer.isComplete, "$lines")
            assertEquals(0, other.requests.size, "$lines")
        }
    }

    /** Guards against an answer that looks complete although its connection was reset. */
    @TestFactory
    fun `an answer without a length whose connection is reset is not complete`() =
        assertIncomplete(after(::twoEvents, resets), after(::body, resets))

    /** Guards against an answer that looks complete although its endpoint has crashed, as its system closes sockets. */
    @TestFactory
    fun `an answer without a length whose endpoint has crashed is not complete`(): List<DynamicTest> {
        val crashes: (ScriptedEndpoint?) -> Unit = { checkNotNull(it).close() }
        return listOf("/stream/x", "/stream-once/x", "/safe/x", "/once/x").map { path ->
            dynamicTest(path) {
                var self: ScriptedEndpoint? = null
                val script: Script = { r, out ->
                    out.text(if ("stream" in path) twoEvents(r) else body(r))
                    flushAndPause(out, 50)
                    crashes(self)
                    false
                }
                beside(script) { gateway, one, other ->
                    self = one
                    assertIncomplete(path, gateway, other)
                }
            }
        }
    }

    /**
     * Guards against an answer that looks complete although its endpoint has crashed, as the next start of the endpoint
     * accepts connections when this process, which was paused, reads the end.
     */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/stream-once/x", "/patient-safe/x", "/once/x"])
    fun `an answer without a length whose end is read late is not complete`(path: String) {
        var gateway: TestGateway? = null
        val script: Script = { r, out ->
            out.text(if ("stream" in path) twoEvents(r) else body(r))
            flushAndPause(out, 50)
            checkNotNull(gateway).runtime.dispatcher.dispatch(EmptyCoroutineContext) { Thread.sleep(PAUSE_MILLIS) }
            flushAndPause(out, 100)
            false
        }
        beside(script) { paused, _, other ->
            gateway = paused
            assertIncomplete(path, paused, other)
        }
    }

    /** Guards against a whole stream that is cut, or asked for again, as this process was paused before its last part. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/stream-once/x"])
    fun `a stream that goes on after a pause is complete`(path: String) {
        var gateway: TestGateway? = null
        val script: Script = { r, out ->
            out.text(streamHead(r, "s") + event(1))
            flushAndPause(out, 50)
            checkNotNull(gateway).runtime.dispatcher.dispatch(EmptyCoroutineContext) { Thread.sleep(PAUSE_MILLIS) }
            flushAndPause(out, PAUSE_MILLIS + 200)
            out.text(event(2))
            flushAndPause(out, 300)
            false
        }
        beside(script) { paused, _, other ->
            gateway = paused
            val answer = exchange(paused.port, request(path))
            assertEquals(event(1) + event(2), answer.body, "$lines")
            assertTrue(answer.isComplete, "$lines")
            assertEquals(0, other.requests.size, "$lines")
        }
    }

    /** Guards against a whole stream that is cut as the answer which confirms its end follows the same pause. */
    @Test
    fun `a stream whose end is read late is confirmed by an answer without a length`() {
        var gateway: TestGateway? = null
        val late: Script = { r, out ->
            out.text(twoEvents(r))
            flushAndPause(out, 50)
            checkNotNull(gateway).runtime.dispatcher.dispatch(EmptyCoroutineContext) { Thread.sleep(PAUSE_MILLIS) }
            flushAndPause(out, 100)
            false
        }
        val confirms: Script = { r, out -> !out.text(streamHead(r, "t")) }
        ScriptedEndpoint(late).use { one ->
            ScriptedEndpoint(confirms).use { other ->
                TestGateway(listOf(one, other), retrySlack = 10_000.0, journal = { lines += it }).use {
                    gateway = it
                    val answer = exchange(it.port, request("/stream/x"))
                    assertEquals(event(1) + event(2), answer.body, "$lines")
                    assertTrue(answer.isComplete, "$lines")
                    assertEquals(listOf("2"), other.requests.map { r -> r.header("Last-Event-Id") }, "$lines")
                }
            }
        }
    }

    /** Guards against a cut of a whole stream whose endpoint ends before this process knows that it leaves. */
    @Test
    fun `a whole stream of an endpoint that refuses connections is verified by another one`() {
        var self: ScriptedEndpoint? = null
        val ends: Script = { r, out ->
            out.text(twoEvents(r) + event(3))
            flushAndPause(out, 50)
            checkNotNull(self).close()
            false
        }
        beside(ends) { gateway, one, other ->
            self = one
            val answer = exchange(gateway.port, request("/stream/x"))
            assertEquals(200 to event(1) + event(2) + event(3), answer.status to answer.body, "$lines")
            assertTrue(answer.isComplete, "$lines")
            assertEquals(listOf("3"), other.requests.map { it.header("Last-Event-Id") }, "$lines")
        }
    }

    private fun assertIncomplete(
        stream: Script,
        body: Script,
    ): List<DynamicTest> =
        listOf("/stream/x" to stream, "/stream-once/x" to stream, "/safe/x" to body, "/once/x" to body).map {
            dynamicTest(it.first) {
                beside(it.second) { gateway, _, other -> assertIncomplete(it.first, gateway, other) }
            }
        }

    /** Asserts that the other endpoint answers where it may, and that the caller gets no whole answer otherwise. */
    private fun assertIncomplete(
        path: String,
        gateway: TestGateway,
        other: ScriptedEndpoint,
    ) {
        val answer = exchange(gateway.port, request(path))
        val known = event(1) + event(2)
        val expected =
            when (path) {
                "/stream/x" -> listOf(200, known + event(3), true, 1)
                "/stream-once/x" -> listOf(200, known, false, 0)
                "/safe/x", "/patient-safe/x" -> listOf(200, "ok", true, 1)
                else -> listOf(502, answer.body, true, 0)
            }
        assertEquals(expected, listOf(answer.status, answer.body, answer.isComplete, other.requests.size), "$lines")
    }

    private fun leaving(
        path: String,
        end: Script,
    ): Script =
        after({
            (
                if ("stream" in
                    path
                ) {
                    twoEvents(it)
                } else {
                    body(it)
                }
            ).replaceFirst("\r\n", "\r\nX-Leaving: 1\r\n")
        }, end)

    /** Guards against a whole answer that is cut or asked for again as its endpoint leaves. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/stream-once/x", "/patient-safe/x", "/once/x"])
    fun `an answer without a length of an endpoint that leaves is complete`(path: String) {
        val expected = if ("stream" in path) event(1) + event(2) else "ok"
        assertPassedOn(leaving(path) { _, _ -> false }, path, expected)
    }

    /** Guards against the first part of an answer that counts as whole, as the endpoint was gone soon after its notice. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/stream-once/x", "/safe/x", "/once/x"])
    fun `an answer without a length whose endpoint leaves and is gone is not complete`(path: String) {
        var self: ScriptedEndpoint? = null
        val script =
            leaving(path) { _, out ->
                flushAndPause(out, 50)
                checkNotNull(self).close()
                false
            }
        beside(script) { gateway, one, other ->
            self = one
            assertIncomplete(path, gateway, other)
        }
    }

    /** Guards against a stream that looks complete although a part of an event is missing. */
    @TestFactory
    fun `a stream without a length that ends within an event is not complete`() =
        closes.flatMap { (name, end) ->
            listOf("/stream/x", "/stream-once/x").map { path ->
                dynamicTest("$path, $name") {
                    beside(after({ twoEvents(it) + "id: 3\nda" }, end)) { gateway, _, other ->
                        assertIncomplete(path, gateway, other)
                    }
                }
            }
        }

    /** Guards against an answer that looks complete as it has ended at the deadline, in the silence of its endpoint. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream-once/x", "/once/x"])
    fun `an answer without a length whose endpoint falls silent is not complete`(path: String) {
        val silent: Script = { _, out -> true.also { flushAndPause(out, 3_000) } }
        beside(after(if ("stream" in path) ::twoEvents else ::body, silent)) { gateway, _, _ ->
            val answer = exchange(gateway.port, request(path, "X-Deadline: 600\r\n"))
            assertTrue(answer.status in setOf(502, 504) || !answer.isComplete, "${answer.status} $lines")
        }
    }

    /** Guards against answers of HTTP/1.0, which has no chunks, that are cut or whose connection is waited for. */
    @TestFactory
    fun `an answer in HTTP 1_0 is complete`(): List<DynamicTest> {
        val headers = listOf("Connection: keep-alive", "Connection: close", "Server: x")
        val streams =
            headers.map { it to { r: RawRequest -> twoEvents(r).replaceFirst("\r\n", "\r\n$it\r\n") } }
        val bodies = headers.map { it to { r: RawRequest -> body(r).replaceFirst("\r\n", "\r\n$it\r\n") } }
        return (streams + bodies).mapIndexed { i, (header, text) ->
            val path = if (i < streams.size) "/stream/x" else "/once/x"
            dynamicTest("$path, $header") {
                val expected = if (i < streams.size) event(1) + event(2) else "ok"
                assertPassedOn(after({ text(it).replace("HTTP/1.1", "HTTP/1.0") }) { _, _ -> false }, path, expected)
            }
        }
    }

    /** Guards against an answer without a body that waits for the end of a connection, or counts as cut at it. */
    @TestFactory
    fun `an answer without a body does not depend on the end of its connection`(): List<DynamicTest> {
        val statuses = listOf("204 No Content" to "POST", "304 Not Modified" to "GET", "200 OK" to "HEAD")
        val ends: Map<String, Script> =
            closes + mapOf("left open" to { _, out -> true.also { flushAndPause(out, 2_000) } }, "reset" to resets)
        return statuses.flatMap { (status, method) ->
            ends.map { (name, end) ->
                dynamicTest("$status, $method, $name") {
                    val text = { r: RawRequest -> body(r).replace("200 OK", status).substringBefore("ok") }
                    beside(after(text, end)) { gateway, one, other ->
                        val start = TimeSource.Monotonic.markNow()
                        val sent = request("/once/x").replaceFirst("POST", method).removeSuffix("hi")
                        val bytes = if (method == "POST") "${sent}hi" else sent.replace("Content-Length: 2\r\n", "")
                        val answer = exchange(gateway.port, bytes)
                        assertEquals(status.take(3).toInt(), answer.status, "$lines")
                        assertTrue(start.elapsedNow() < 1_000.milliseconds, "${start.elapsedNow()} $lines")
                        assertEquals(1 to 0, one.requests.size to other.requests.size, "$lines")
                    }
                }
            }
        }
    }

    /** Guards against a whole answer that counts as cut as its connection ends with it. */
    @TestFactory
    fun `an answer with an end of its own beside Connection close is complete`(): List<DynamicTest> {
        val chunked = "Connection: close\r\nTransfer-Encoding: chunked"
        val bodies =
            mapOf(
                "length" to { r: RawRequest -> okHead(r, "Connection: close\r\nContent-Length: 2") + "ok" },
                "chunks" to { r: RawRequest -> okHead(r, chunked) + "2\r\nok\r\n0\r\n\r\n" },
            )
        return bodies.flatMap { (form, text) ->
            (closes + mapOf("reset" to resets)).map { (name, end) ->
                dynamicTest("$form, $name") { assertPassedOn(after(text, end), "/once/x", "ok") }
            }
        }
    }

    /** Guards against a stream that is asked for again past its end, as its last part has no length. */
    @Test
    fun `a stream is complete if its second part has no length`() {
        val breaks: Script = after(::twoEvents, resets)
        val ends: Script = { r, out -> !out.text(streamHead(r, "t") + event(3)) }
        ScriptedEndpoint(breaks).use { one ->
            ScriptedEndpoint(ends).use { other ->
                TestGateway(listOf(one, other), retrySlack = 10_000.0, journal = { lines += it }).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(event(1) + event(2) + event(3), answer.body, "$lines")
                    assertTrue(answer.isComplete, "$lines")
                    assertEquals(1 to 1, one.requests.size to other.requests.size, "$lines")
                }
            }
        }
    }

    /** Guards against an endpoint that gets no requests, or prompts that are held back, as its answers end so. */
    @Test
    fun `an endpoint whose answers have no length is used as any other`() =
        beside({ r, out -> after(if ("stream" in r.head) ::twoEvents else ::body) { _, _ -> false }(r, out) }) {
            gateway,
            one,
            other,
            ->
            repeat(CASES) { i ->
                val path = listOf("/stream/x", "/stream-once/x", "/patient-safe/x", "/once/x")[i % 4]
                val answer = exchange(gateway.port, request(path, "X-Prompt: shared own$i\r\n", id = "c$i"))
                assertTrue(answer.isComplete && answer.status == 200, "${answer.status} $lines")
            }
            assertEquals(CASES to 0, one.requests.size to other.requests.size, "$lines")
            // The line of a request is written after its answer.
            val start = TimeSource.Monotonic.markNow()
            while (lines.size < CASES &&
                start.elapsedNow() < 2.seconds
            ) {
                CountDownLatch(1).await(10, TimeUnit.MILLISECONDS)
            }
            assertEquals(List(CASES) { "end" }, lines.map { it.event }, "$lines")
            // The connection that verifies the end of an answer serves the next request.
            assertTrue(one.connections <= CASES + 1, "${one.connections} connections")
        }

    /** Guards against a planned stop that cuts a stream as only its connection ends it, and knows no time of it. */
    @Test
    fun `a stop waits for a stream without a length`() {
        val slow: Script = { r, out ->
            out.text(streamHead(r, "s") + event(1))
            flushAndPause(out, if (r.id == "first") 0 else 1_000)
            !out.text(event(2))
        }
        ScriptedEndpoint(slow).use { endpoint ->
            TestGateway(listOf(endpoint), 5.seconds, journal = { lines += it }).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    assertTrue(exchange(gateway.port, request("/stream-once/x", id = "first")).isComplete, "$lines")
                    val answer = async { exchange(gateway.port, request("/stream-once/x", id = "second")) }
                    while (endpoint.requests.size < 2) delay(10.milliseconds)
                    delay(100.milliseconds)
                    gateway.stop()
                    assertEquals(event(1) + event(2), answer.await().body, "$lines")
                    assertTrue(answer.await().isComplete, "$lines")
                }
            }
        }
        assertNotNull(lines.first { it.event == "stop" }.knownMeanMs, "$lines")
    }

    /** Guards against a caller that cannot tell a whole stream from one that this process has cut. */
    @Test
    fun `a caller gets a stream without a length in chunks`() =
        beside(after(::twoEvents) { _, _ -> false }) { gateway, _, _ ->
            val answer = exchange(gateway.port, request("/stream/x"))
            assertEquals("chunked", headerIn(answer.head, "Transfer-Encoding"))
            assertNull(headerIn(answer.head, "Content-Length"))
        }

    private companion object {
        const val CASES = 24

        /** Longer than an endpoint takes to start again, and shorter than the silence after which another one stands by. */
        const val PAUSE_MILLIS = 900L
    }
}
