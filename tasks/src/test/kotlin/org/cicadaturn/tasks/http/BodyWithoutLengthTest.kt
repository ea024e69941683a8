package org.cicadaturn.tasks.http

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.gateway.readHead
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests when the body of an answer without a length and chunks, which its connection ends, is whole. */
class BodyWithoutLengthTest {
    private val runtime = httpRuntime {}
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        server.close()
        runtime.close()
    }

    /** Sends "ok" without a length to a client, runs [end] there, and returns what the client has received then. */
    private fun partsAfter(
        end: (Socket) -> Unit,
        inClient: suspend (HttpLink) -> Unit = {},
        body: ByteArray = ByteArray(0),
    ): Pair<List<HttpPart?>, ConnectionEnd?> {
        thread(isDaemon = true) {
            val socket = server.accept()
            readHead(socket.getInputStream())
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nok".encodeToByteArray())
            Thread.sleep(100)
            end(socket)
        }
        return runBlocking {
            withContext(runtime.dispatcher) {
                withTimeout(5.seconds) {
                    val address = NetworkAddress("127.0.0.1", server.localPort)
                    val link = checkNotNull(httpConnector(runtime).connect(address, 5.seconds))
                    link.sendRequest(RequestHead("POST", "/x", emptyList()), body)
                    val parts = mutableListOf(link.receive(), link.receive())
                    inClient(link)
                    do parts += link.receive() while (parts.last() != null)
                    (parts.drop(2) to link.end).also { link.close() }
                }
            }
        }
    }

    /** Guards against a whole answer that counts as cut. */
    @Test
    fun `a body is whole once the server has closed the connection`() {
        val whole = listOf(HttpPart.EndByClose, null) to ConnectionEnd.CLOSED_BY_ENDPOINT
        assertEquals(whole, partsAfter({ it.close() }))
    }

    /** Guards against a connection that stays open as only one of its directions was closed. */
    @Test
    fun `a body is whole once the server has closed its output and goes on reading`() {
        val whole = listOf(HttpPart.EndByClose, null) to ConnectionEnd.CLOSED_BY_ENDPOINT
        assertEquals(whole, partsAfter({ it.shutdownOutput() }))
    }

    /** Guards against an answer that was cut and counts as whole, as its connection has ended. */
    @Test
    fun `a body is not whole if the server resets the connection`() {
        val reset: (Socket) -> Unit = {
            it.setSoLinger(true, 0)
            it.close()
        }
        assertEquals(listOf(null) to ConnectionEnd.RESET, partsAfter(reset))
    }

    /** Guards against an answer of a silent server that counts as whole once this process gives it up. */
    @Test
    fun `a body is not whole if this process closes the connection`() {
        val closed = partsAfter({}, { it.close() })
        assertEquals(listOf(null) to ConnectionEnd.CLOSED_BY_GATEWAY, closed)
    }

    /** Guards against an answer that counts as whole as the connection was closed after a write that failed. */
    @Test
    fun `a body is not whole if the request cannot be written to its end`() {
        val reset: (Socket) -> Unit = {
            it.setSoLinger(true, 0)
            it.close()
        }
        // Longer than what the buffers of both sockets take, so that a part of it is written after the reset.
        val (parts, end) = partsAfter(reset, { delay(300.milliseconds) }, ByteArray(32 * 1024 * 1024))
        assertEquals(listOf(null), parts)
        assertEquals(true, end == ConnectionEnd.RESET || end == ConnectionEnd.FAILED, "$end")
    }
}
