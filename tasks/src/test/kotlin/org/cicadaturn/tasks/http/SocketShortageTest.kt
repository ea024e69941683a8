package org.cicadaturn.tasks.http

import io.netty.channel.ChannelException
import kotlinx.coroutines.runBlocking
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.SocketException
import kotlin.time.Duration.Companion.seconds

class SocketShortageTest {
    /** Guards against a task that fails, and a process that ends after seven failures, while descriptors are short. */
    @Test
    fun `a socket that cannot be created is a connection that failed`() {
        val runtime = httpRuntime {}
        try {
            val accounts = connectionAccounts(ConnectionLimits(connections = 1, bytes = 1))
            val connector =
                httpConnector(runtime, accounts) {
                    throw ChannelException("Failed to open a socket.", SocketException("Too many open files"))
                }
            val opening = runBlocking { connector.open(NetworkAddress("127.0.0.1", 1), 1.seconds) }
            assertEquals(Opening.Failed, opening)
        } finally {
            runtime.close()
        }
    }
}
