package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StreamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
private const val WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
private const val JSON = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
private const val CANCELLED_CALLS = 100

/** Checks of a back end that resets connections; in some the reset comes before the connection is reported. */
private const val RESET_CHECKS = 300

class BackendTest {
    /** Guards against an incomplete answer that is reported as complete. */
    @TestFactory
    fun `an incomplete answer has an unknown outcome`(): List<DynamicTest> =
        listOf(
            "no answer" to "",
            "incomplete head" to "HTTP/1.1 200 OK\r\nContent-Le",
            "chunked without any chunk" to CHUNKED,
            "chunked without its end" to "${CHUNKED}5\r\nhello\r\n",
            "within a chunk" to "${CHUNKED}5\r\nhel",
            "within the size of a chunk" to "${CHUNKED}5\r\nhello\r\n1",
            "shorter than its Content-Length" to "${WITH_LENGTH}hello",
            "no body in spite of a Content-Length" to WITH_LENGTH,
            "JSON that ends with its connection" to "$JSON{\"number\":1,",
            "JSON without any byte" to JSON,
            "unknown transfer coding" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello",
        ).map { (name, answer) ->
            DynamicTest.dynamicTest(name) {
                assertInstanceOf(BackendResult.Unknown::class.java, run(answer).first)
            }
        }

    /** Guards against complete answers that are reported as incomplete. */
    @TestFactory
    fun `a complete answer is reported as complete`(): List<DynamicTest> =
        listOf(
            "chunked" to "${CHUNKED}5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n",
            "with Content-Length" to "${WITH_LENGTH}helloworld",
        ).map { (name, answer) ->
            DynamicTest.dynamicTest(name) { assertEquals(BackendResult.Complete to "helloworld", run(answer)) }
        }

    /** Guards against answers without a length and chunks, as HTTP allows them, that do not reach their callers. */
    @TestFactory
    fun `the orderly end of the connection ends an answer that has no other end`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1" to "HTTP/1.1 200 OK\r\n\r\nhelloworld",
            "HTTP/1.1 with Connection: close" to "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhelloworld",
            "HTTP/1.0" to "HTTP/1.0 200 OK\r\n\r\nhelloworld",
            "an error" to "HTTP/1.1 500 Failed\r\n\r\nhelloworld",
            "an event stream" to "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nhelloworld",
        ).flatMap { (name, answer) ->
            listOf(
                DynamicTest.dynamicTest("$name, end with the last bytes") {
                    assertEquals(BackendResult.Closed to "helloworld", run(answer))
                },
                DynamicTest.dynamicTest("$name, end 100 ms later") {
                    assertEquals(BackendResult.Closed to "helloworld", run(answer, pause = 100.milliseconds))
                },
            )
        }

    /** Guards against a whole JSON object that counts as unproven, as a confirmation that is unproven is not kept. */
    @Test
    fun `a JSON object shows that an answer without another end is whole`() {
        val body = "{\"number\":[1,2]}\n"
        assertEquals(BackendResult.Complete to body, run(JSON + body))
        assertEquals(BackendResult.Complete to body, run(JSON.replace("json", "problem+json") + body))
        assertEquals(BackendResult.Closed to "17", run(JSON + "17"))
    }

    private fun encodedJson(
        body: ByteArray,
        encoding: String = "gzip",
    ): ByteArray = JSON.replace("\r\n\r\n", "\r\nContent-Encoding: $encoding\r\n\r\n").encodeToByteArray() + body

    private fun gzip(text: String): ByteArray =
        ByteArrayOutputStream()
            .also { bytes ->
                GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
            }.toByteArray()

    /** Guards against a whole JSON body that counts as cut as it is not read as its headers declare it. */
    @Test
    fun `an encoded JSON body shows that an answer without another end is whole`() {
        val whole = gzip("{\"number\":[1,2]}")
        assertEquals(BackendResult.Complete, run(encodedJson(whole), Ending.CRASH).first)
        assertEquals(BackendResult.Complete, run(encodedJson(whole, "X-GZip"), Ending.CRASH).first)
        val marked = "\uFEFF{\"number\":1}"
        assertEquals(BackendResult.Complete to marked, run(JSON + marked, Ending.CRASH))
        assertEquals(BackendResult.Closed, run(encodedJson(byteArrayOf(1, 2, 3), "br")).first)
        val utf16 = JSON.encodeToByteArray() + "{\"number\":1}".toByteArray(Charsets.UTF_16)
        assertEquals(BackendResult.Closed, run(utf16).first)
    }

    /** Guards against a part of an encoded JSON body that counts as whole. */
    @TestFactory
    fun `a part of an encoded JSON body has an unknown outcome`(): List<DynamicTest> {
        val whole = gzip("{\"number\":[1,2]}")
        return listOf(
            "gzip without its last byte" to encodedJson(whole.copyOf(whole.size - 1)),
            "half of the gzip" to encodedJson(whole.copyOf(whole.size / 2)),
            "nothing" to encodedJson(ByteArray(0)),
            "gzip of a part" to encodedJson(gzip("{\"number\":")),
            "byte order mark only" to (JSON + "\uFEFF").encodeToByteArray(),
            "byte order mark and a part" to (JSON + "\uFEFF{\"number\":").encodeToByteArray(),
        ).map { (name, answer) ->
            DynamicTest.dynamicTest(name) { assertInstanceOf(BackendResult.Unknown::class.java, run(answer).first) }
        }
    }

    /** Guards against a part of an answer that counts as whole as the back end reset its connection. */
    @TestFactory
    fun `a reset is no end of an answer`(): List<DynamicTest> =
        listOf(
            "text" to "HTTP/1.1 200 OK\r\n\r\nhelloworld",
            "HTTP/1.0" to "HTTP/1.0 200 OK\r\n\r\nhelloworld",
            "JSON" to "$JSON{\"number\":1}",
            "event stream" to "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: one\n\n",
            "only a head" to "HTTP/1.1 200 OK\r\n\r\n",
        ).flatMap { (name, answer) ->
            listOf(Duration.ZERO, 100.milliseconds).map { pause ->
                DynamicTest.dynamicTest("$name, $pause after the last bytes") {
                    val result = run(answer, Ending.RESET, pause).first
                    assertInstanceOf(BackendResult.Unknown::class.java, result)
                }
            }
        }

    /** Guards against a part of an answer that counts as whole as the system ended the connections of a crashed process. */
    @Test
    fun `the end of the connection is no end of an answer if the back end accepts no other one`() {
        val result = run("HTTP/1.1 200 OK\r\n\r\nhello", Ending.CRASH).first
        assertInstanceOf(BackendResult.Unknown::class.java, result)
        val whole = run("$JSON{\"number\":1}", Ending.CRASH)
        assertEquals(BackendResult.Complete to "{\"number\":1}", whole)
    }

    /** Guards against a back end that seems to accept connections while its sockets are closed one after the other. */
    @Test
    fun `a connection that is ended at once is not accepted`() =
        runBlocking(Dispatchers.Default) {
            val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            val address = NetworkAddress("127.0.0.1", server.localPort)
            assertTrue(acceptsConnections(address))
            val closing =
                launch(Dispatchers.IO) {
                    delay(5.milliseconds)
                    server.close()
                }
            assertFalse(acceptsConnections(address))
            closing.join()
        }

    /** Guards against a whole answer that counts as cut as its back end has too many connections to keep another one. */
    @Test
    fun `a back end that resets further connections accepts them`() =
        runBlocking(Dispatchers.Default) {
            ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { server ->
                val resetting =
                    launch(Dispatchers.IO) {
                        repeat(2 * RESET_CHECKS) {
                            val socket = server.accept()
                            socket.setSoLinger(true, 0)
                            socket.close()
                        }
                    }
                val address = NetworkAddress("127.0.0.1", server.localPort)
                val accepted = (1..RESET_CHECKS).count { acceptsConnections(address) }
                resetting.join()
                assertEquals(RESET_CHECKS, accepted)
            }
        }

    /** Guards against a part of an answer that counts as whole as the call was cancelled within it. */
    @Test
    fun `a call that is cancelled has no result`() {
        val results =
            (1..CANCELLED_CALLS).mapNotNull { n ->
                runBlocking(Dispatchers.Default) {
                    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                        val sending = launch(Dispatchers.IO) { drip(server) }
                        var result: BackendResult? = null
                        backendClient().use { client ->
                            val calling =
                                launch { result = call(client, server.localPort, ByteArrayOutputStream()) }
                            delay((20 + n % 10).milliseconds)
                            calling.cancelAndJoin()
                        }
                        server.close()
                        sending.join()
                        result
                    }
                }
            }
        assertEquals(emptyList<BackendResult>(), results)
    }

    /** Sends single bytes of a body that only the end of the connection ends, until the connection has ended. */
    private fun drip(server: ServerSocket) {
        try {
            server.accept().use { socket ->
                val output = socket.getOutputStream()
                output.write("HTTP/1.1 200 OK\r\n\r\n".encodeToByteArray())
                while (true) {
                    output.write('x'.code)
                    Thread.sleep(0, 100_000)
                }
            }
        } catch (_: IOException) {
            // The call was cancelled.
        }
    }

    /** Guards against an answer that is given up within the time of its caller. */
    @Test
    fun `an answer may pause for over ten seconds`() {
        assertEquals(
            BackendResult.Closed to "helloworld",
            run("HTTP/1.1 200 OK\r\n\r\nhelloworld", pause = 10_500.milliseconds),
        )
    }

    /** Guards against the result "unknown" although the back end cannot have received the call. */
    @Test
    fun `a call whose connection is refused has not run`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val result = runBlocking { backendClient().use { call(it, port, ByteArrayOutputStream()) } }
        assertInstanceOf(BackendResult.NotRun::class.java, result)
    }

    /** How the back end ends the connection. */
    private enum class Ending { IN_ORDER, RESET, CRASH }

    private fun run(
        answer: String,
        ending: Ending = Ending.IN_ORDER,
        pause: Duration = Duration.ZERO,
    ): Pair<BackendResult, String> = run(answer.encodeToByteArray(), ending, pause)

    private fun run(
        answer: ByteArray,
        ending: Ending = Ending.IN_ORDER,
        pause: Duration = Duration.ZERO,
    ): Pair<BackendResult, String> =
        runBlocking(Dispatchers.Default) {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                launch(Dispatchers.IO) { answerOnce(server, answer, ending, pause) }
                val body = ByteArrayOutputStream()
                val result = backendClient().use { call(it, server.localPort, body) }
                result to body.toString()
            }
        }

    /** Reads one request up to the end of its body, sends [answer] and ends the connection after [pause]. */
    private fun answerOnce(
        server: ServerSocket,
        answer: ByteArray,
        ending: Ending,
        pause: Duration,
    ) {
        server.accept().use { socket ->
            val request = StringBuilder()
            val buffer = ByteArray(4096)
            while (!request.endsWith("order")) {
                val n = socket.getInputStream().read(buffer)
                if (n < 0) return
                request.append(String(buffer, 0, n))
            }
            socket.getOutputStream().write(answer)
            socket.getOutputStream().flush()
            Thread.sleep(pause.inWholeMilliseconds)
            if (ending == Ending.RESET) socket.setSoLinger(true, 0)
            if (ending == Ending.CRASH) server.close()
        }
    }

    private suspend fun call(
        client: io.ktor.client.HttpClient,
        port: Int,
        body: ByteArrayOutputStream,
    ): BackendResult {
        val sink =
            object : AnswerSink {
                override suspend fun head(
                    status: Int,
                    headers: List<Header>,
                ) = Unit

                override suspend fun chunk(data: ByteArray) {
                    body.write(data)
                }
            }
        val open =
            Frame.Open(
                stream = StreamId(1),
                attempt = AttemptId("a"),
                request = RequestId("r"),
                service = ServiceId("orders"),
                organisation = OrganisationId("o"),
                method = "POST",
                path = "/orders",
                body = "order".encodeToByteArray(),
                timeLeft = 30.seconds,
                credit = 1,
            )
        return httpBackend(client, NetworkAddress("127.0.0.1", port)).run(open, sink)
    }
}
