package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.Dispatchers
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
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
private const val WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"

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
            "neither chunks nor a Content-Length" to "HTTP/1.1 200 OK\r\n\r\nhello",
            "HTTP/1.0 without a Content-Length" to "HTTP/1.0 200 OK\r\n\r\nhello",
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

    /** Guards against the result "unknown" although the back end cannot have received the call. */
    @Test
    fun `a call whose connection is refused has not run`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val result = runBlocking { backendClient().use { call(it, port, ByteArrayOutputStream()) } }
        assertInstanceOf(BackendResult.NotRun::class.java, result)
    }

    private fun run(answer: String): Pair<BackendResult, String> =
        runBlocking(Dispatchers.Default) {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                launch(Dispatchers.IO) { answerOnce(server, answer) }
                val body = ByteArrayOutputStream()
                val result = backendClient().use { call(it, server.localPort, body) }
                result to body.toString()
            }
        }

    /** Reads one request up to the end of its body, sends [answer] and closes the connection. */
    private fun answerOnce(
        server: ServerSocket,
        answer: String,
    ) {
        server.accept().use { socket ->
            val request = StringBuilder()
            val buffer = ByteArray(4096)
            while (!request.endsWith("order")) {
                val n = socket.getInputStream().read(buffer)
                if (n < 0) return
                request.append(String(buffer, 0, n))
            }
            socket.getOutputStream().write(answer.encodeToByteArray())
            socket.getOutputStream().flush()
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
                timeLeft = 10.seconds,
                credit = 1,
            )
        return httpBackend(client, NetworkAddress("127.0.0.1", port)).run(open, sink)
    }
}
