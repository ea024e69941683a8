package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.Level
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what the last line of a request and the metrics tell about how it ended. */
class RequestEndTest {
    private val lines = CopyOnWriteArrayList<RequestLine>()

    private val breaksOff: (RawRequest, OutputStream) -> Boolean = { r, out ->
        !out.text(streamHead(r, "s").replace("\r\n\r\n", "\r\nContent-Length: 999\r\n\r\n") + event(1))
    }
    private val pausesInStream: (RawRequest, OutputStream) -> Boolean = { r, out ->
        out.text(streamHead(r, "s") + event(1) + event(2))
        out.flush()
        CountDownLatch(1).await(10, TimeUnit.SECONDS)
    }

    private val goesOnInStream: (RawRequest, OutputStream) -> Boolean = { r, out ->
        out.text(streamHead(r, "s"))
        (1..1_000).all { i -> out.text(event(i)) }
    }

    private fun endOf(id: String): RequestLine {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (System.nanoTime() < until) {
            lines.firstOrNull { it.event == "end" && it.request == id }?.let { return it }
            Thread.sleep(20)
        }
        error("no end line of $id")
    }

    private fun metrics(gateway: TestGateway): String =
        exchange(gateway.adminPort, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").body

    /** Guards against a line and a count that blame the caller for a stream that the gateway has cut. */
    @Test
    fun `a stream that the gateway cuts does not count as left by its caller`() {
        ScriptedEndpoint(breaksOff).use { endpoint ->
            TestGateway(listOf(endpoint), journal = { lines += it }).use { gateway ->
                repeat(CASES) { assertFalse(exchange(gateway.port, request("/stream/x", id = "c$it")).isComplete) }
                val ends = List(CASES) { endOf("c$it") }
                assertEquals(List(CASES) { "CUT" }, ends.map { it.end })
                assertEquals(setOf(200 to 1), ends.map { it.status to it.sentEvents }.toSet())
                val text = metrics(gateway)
                assertTrue(
                    """cicadaturn_gateway_requests_total{end="cut",service="s",status="200"} $CASES.0""" in text,
                    text,
                )
                assertFalse("""status="0"""" in text, text)
            }
        }
    }

    /** Guards against a caller that leaves during a pause of a stream and counts as cut. */
    @Test
    fun `a caller that leaves within a pause counts as such`() = assertCountsAsLeft(pausesInStream, cases = 1)

    /** Guards against a caller that counts under the status of its answer, as a write failed before a read did. */
    @Test
    fun `a caller that leaves while events arrive counts as such`() = assertCountsAsLeft(goesOnInStream, CASES)

    private fun assertCountsAsLeft(
        script: (RawRequest, OutputStream) -> Boolean,
        cases: Int,
    ) {
        ScriptedEndpoint(script).use { endpoint ->
            TestGateway(listOf(endpoint), journal = { lines += it }).use { gateway ->
                repeat(cases) { i ->
                    Socket("127.0.0.1", gateway.port).use {
                        it.getOutputStream().write(request("/stream/x", id = "c$i").encodeToByteArray())
                        it.getInputStream().read()
                    }
                }
                val ends = List(cases) { endOf("c$it") }
                assertEquals(setOf(listOf("LEFT", 0, "s")), ends.map { listOf(it.end, it.status, it.service) }.toSet())
                assertTrue("""{end="left",service="s",status="0"} $cases.0""" in metrics(gateway))
            }
        }
    }

    /** Guards against requests that end with their process and leave no line, or a line without the state of the stop. */
    @Test
    fun `requests that are open at the end of a stop have a last line with the state of the stop`() {
        ScriptedEndpoint(pausesInStream).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout = 5.seconds, journal = { lines += it }).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val stream =
                        async { exchange(gateway.port, request("/stream-once/x", "X-Deadline: 60000\r\n", "stream")) }
                    val incomplete = Socket("127.0.0.1", gateway.port)
                    val bytes = request("/patient/x", id = "incomplete").encodeToByteArray()
                    incomplete.getOutputStream().write(bytes, 0, bytes.size - 1)
                    delay(2_500.milliseconds)
                    gateway.stop()
                    assertFalse(stream.await().isComplete)
                    incomplete.close()
                }
                val cut = endOf("stream")
                assertEquals(listOf("CUT", 200, 2), listOf(cut.end, cut.status, cut.sentEvents))
                assertNotNull(cut.stoppingMs)
                assertNotNull(cut.stopLeftMs)
                val open = endOf("incomplete")
                assertEquals(listOf("CUT", null), listOf(open.end, open.status))
                assertTrue(checkNotNull(open.stoppingMs) >= 4_300, "$open")
            }
        }
    }

    /** Guards against a request that is in progress in a stop and leaves no line if its process is killed. */
    @Test
    fun `requests in progress in a stop have a line when it begins or when they arrive`() {
        ScriptedEndpoint(pausesInStream).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout = 5.seconds, journal = { lines += it }).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val before = async { exchange(gateway.port, request("/stream-once/x", id = "before")) }
                    delay(500.milliseconds)
                    val stop = async { gateway.stop() }
                    delay(500.milliseconds)
                    val within = async { exchange(gateway.port, request("/stream-once/x", id = "within")) }
                    stop.await()
                    before.await()
                    within.await()
                }
                val inStop = lines.filter { it.event == "stop" }
                assertEquals(listOf("before", "within"), inStop.map { it.request })
                assertEquals(listOf(2, null), inStop.map { it.sentEvents })
                assertTrue(checkNotNull(inStop.first().ms) >= 400, "$inStop")
            }
        }
    }

    /** Guards against the line of a request that was cut and is dropped by the limit of the log. */
    @Test
    fun `the end of a request that was cut is a warning`() {
        val levels = RequestOutcome.entries.associateWith { levelOf(RequestLine(event = "end", end = it.name)) }
        assertEquals(
            mapOf(
                RequestOutcome.ANSWERED to Level.INFO,
                RequestOutcome.CUT to Level.WARN,
                RequestOutcome.LEFT to Level.INFO,
            ),
            levels,
        )
    }

    private companion object {
        const val CASES = 20
    }
}
