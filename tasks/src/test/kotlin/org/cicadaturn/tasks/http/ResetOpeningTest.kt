package org.cicadaturn.tasks.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Tests what opening a connection tells of a server that resets connections. */
class ResetOpeningTest {
    /** Guards against a server that seems to be silent as its reset arrives before the connection is reported. */
    @Test
    fun `a connection that is reset as it is made is told from one without an answer`() {
        val runtime = httpRuntime {}
        val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    server.accept().use { it.setSoLinger(true, 0) }
                }
            }
        }
        val connector = httpConnector(runtime)
        val openings =
            runBlocking {
                withContext(runtime.dispatcher) {
                    List(CONNECTIONS) { connector.open(NetworkAddress("127.0.0.1", server.localPort), 5.seconds) }
                }
            }
        assertEquals(0, openings.count { it == Opening.Failed })
        openings.filterIsInstance<Opening.Opened>().forEach { it.link.close() }
        server.close()
        runtime.close()
    }

    private companion object {
        /** The reset is early in some of them only. */
        const val CONNECTIONS = 1_000
    }
}
