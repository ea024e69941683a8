package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what callers get during a planned stop, whose requests end 4.3 s after its start here. */
class PlannedStopTest {
    private val stopTimeout = 5.seconds

    private val answersAfterTwoSeconds: (RawRequest, OutputStream) -> Boolean = { r, out ->
        CountDownLatch(1).await(2, TimeUnit.SECONDS)
        answerOk(r, out)
    }

    /** Guards against a request that is passed on late in a stop and cut without an answer at its end. */
    @Test
    fun `a request that cannot end before the process is refused as not run`() {
        ScriptedEndpoint(answersAfterTwoSeconds).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val stop = async { gateway.stop() }
                    delay(1.seconds)
                    Socket("127.0.0.1", gateway.port).use { socket ->
                        socket.soTimeout = 10_000
                        val bytes = request("/patient/x").encodeToByteArray()
                        socket.getOutputStream().write(bytes, 0, bytes.size - 1)
                        delay(2.seconds)
                        socket.getOutputStream().write(bytes, bytes.size - 1, 1)
                        val answer = readAnswer(socket)
                        assertEquals(503, answer.status)
                        assertTrue(answer.head.contains("Retry-After", ignoreCase = true))
                        assertEquals(0, endpoint.requests.size)
                    }
                    stop.await()
                }
            }
        }
    }

    /** Guards against a stop that refuses requests which can still be served. */
    @Test
    fun `a request that can end before the process is served`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    assertEquals(200, exchange(gateway.port, request("/patient/x")).status)
                    val stop = async { gateway.stop() }
                    delay(2_500.milliseconds)
                    assertEquals(200, exchange(gateway.port, request("/patient/x", id = "r2")).status)
                    stop.await()
                }
            }
        }
    }

    /** Guards against a connection that is closed without an answer because its endpoint takes longer than expected. */
    @Test
    fun `a request in progress at the end of the process gets an answer that promises nothing`() {
        val slowsDown: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "r2") CountDownLatch(1).await(5, TimeUnit.SECONDS)
            answerOk(r, out)
        }
        ScriptedEndpoint(slowsDown).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    assertEquals(200, exchange(gateway.port, request("/patient/x")).status)
                    val stop = async { gateway.stop() }
                    delay(2_500.milliseconds)
                    val answer = exchange(gateway.port, request("/patient/x", id = "r2"))
                    assertTrue(answer.isComplete && answer.status in setOf(502, 504), "status ${answer.status}")
                    stop.await()
                }
            }
        }
    }

    /** Guards against a slow run that is given up late in a stop, although a second one could only end later. */
    @Test
    fun `a repeatable request whose endpoint is silent late in a stop waits for its answer`() {
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            CountDownLatch(1).await(2, TimeUnit.SECONDS)
            answerOk(r, out)
        }
        ScriptedEndpoint(slow).use { first ->
            ScriptedEndpoint(slow).use { second ->
                TestGateway(listOf(first, second), stopTimeout, retrySlack = 10_000.0).use { gateway ->
                    runBlocking(Dispatchers.IO) {
                        val earlier = List(4) { async { exchange(gateway.port, request("/safe/x", id = "a$it")) } }
                        assertEquals(List(4) { 200 }, earlier.awaitAll().map { it.status })
                        val stop = async { gateway.stop() }
                        delay(1_400.milliseconds)
                        val answers = List(4) { async { exchange(gateway.port, request("/safe/x", id = "c$it")) } }
                        assertEquals(List(4) { 200 }, answers.awaitAll().map { it.status })
                        stop.await()
                    }
                }
            }
        }
    }

    /** Guards against a slow repeatable request that is sent late in a stop and gets no answer of its endpoint. */
    @Test
    fun `a repeatable request that may outlast the process is refused as not run`() {
        val oftenFast: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "slow") CountDownLatch(1).await(1_500, TimeUnit.MILLISECONDS)
            if (r.id?.startsWith("slower") == true) CountDownLatch(1).await(2_500, TimeUnit.MILLISECONDS)
            out.text(streamAnswer(r, "s", event(1)))
        }
        ScriptedEndpoint(oftenFast).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout, retrySlack = 10_000.0).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val earlier = listOf("slow") + List(20) { "a$it" }
                    assertTrue(earlier.all { exchange(gateway.port, request("/long-stream/x", id = it)).isComplete })
                    val stop = async { gateway.stop() }
                    delay(2_300.milliseconds)
                    val answers =
                        List(
                            4,
                        ) { async { exchange(gateway.port, request("/long-stream/x", id = "slower$it")) } }.awaitAll()
                    assertEquals(List(4) { 503 }, answers.map { it.status })
                    assertTrue(answers.all { "Retry-After" in it.head && "close" in it.head })
                    stop.await()
                }
            }
        }
    }

    /** Guards against a process that refuses short requests in a stop because it has just started. */
    @Test
    fun `a process that knows a few short times serves short requests in a stop`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint), stopTimeout).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    repeat(10) { exchange(gateway.port, request("/patient/x", id = "a$it")) }
                    val stop = async { gateway.stop() }
                    delay(2_500.milliseconds)
                    assertEquals(200, exchange(gateway.port, request("/patient/x", id = "b")).status)
                    stop.await()
                }
            }
        }
    }

    /** Guards against a repeatable request that fails because its endpoint is silent although no other one is left. */
    @Test
    fun `a repeatable request whose only endpoint is silent for a while is answered`() {
        val slow: (RawRequest, OutputStream) -> Boolean = { r, out ->
            CountDownLatch(1).await(900, TimeUnit.MILLISECONDS)
            answerOk(r, out)
        }
        ScriptedEndpoint(slow).use { endpoint ->
            TestGateway(listOf(endpoint), 15.seconds).use { gateway ->
                runBlocking(Dispatchers.IO) {
                    val answers = List(4) { async { exchange(gateway.port, request("/safe/x", id = "c$it")).status } }
                    while (endpoint.requests.size < 4) delay(10.milliseconds)
                    gateway.stop()
                    assertEquals(List(4) { 200 }, answers.awaitAll())
                }
            }
        }
    }
}
