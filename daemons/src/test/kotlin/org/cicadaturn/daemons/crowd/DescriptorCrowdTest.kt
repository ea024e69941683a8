package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.logLinesWith
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests that callers who only open connections leave descriptors to the work for others. */
class DescriptorCrowdTest {
    /** Guards against a process without descriptors for connections to endpoints while callers hold theirs. */
    @Test
    fun `callers are served while others hold all the connections that they can get`() {
        CrowdedGateway(descriptors = DESCRIPTORS).use { gateway ->
            gateway.start()
            Socket().use { kept ->
                kept.connect(InetSocketAddress("127.0.0.1", gateway.addresses.front))
                kept.soTimeout = READ_TIMEOUT_MILLIS
                assertTrue(gateway.isServedOn(kept), "request before the crowd")
                Crowd(
                    gateway.addresses.front,
                    CrowdScript("connections without bytes", CROWD, ByteArray(0)),
                ).start().use {
                    awaitPlateau(gateway.usage)
                    assertTrue((1..ATTEMPTS).any { isServedOn(kept, gateway) }, "request on an open connection")
                    assertTrue(gateway.awaitAnswer(NEW_CONNECTION_LIMIT), "request on a new connection")
                    assertTrue(gateway.usage.descriptors() < DESCRIPTORS)
                }
            }
            assertTrue(gateway.isAlive)
        }
    }

    /** Guards against a process that is deaf, and whose tasks fail, where it may open fewer descriptors than expected. */
    @Test
    fun `a process with few descriptors is ready and its tasks go on while callers hold connections`() {
        CrowdedGateway(descriptors = FEW_DESCRIPTORS).use { gateway ->
            gateway.start()
            val script = CrowdScript("connections without bytes", CROWD, ByteArray(0))
            Crowd(gateway.addresses.front, script).start().use {
                awaitPlateau(gateway.usage)
                val descriptors = gateway.usage.descriptors()
                assertTrue((1..ATTEMPTS).any { gateway.isReady() }, "not ready with $descriptors descriptors")
            }
            assertEquals(emptyList<String>(), logLinesWith("supervisor: task", gateway.directory))
            assertTrue(gateway.isAlive)
        }
    }

    private fun isServedOn(
        socket: Socket,
        gateway: CrowdedGateway,
    ): Boolean =
        try {
            gateway.isServedOn(socket)
        } catch (_: IOException) {
            false
        }

    /** Waits until the connections to endpoints that were open before the crowd have been idle for too long. */
    private fun awaitPlateau(usage: ProcessUsage) {
        val start = TimeSource.Monotonic.markNow()
        var last = -1
        while (start.elapsedNow() < POOL_TIME || usage.descriptors() > last) {
            last = usage.descriptors()
            Thread.sleep(SAMPLE_MILLIS)
        }
    }

    private companion object {
        const val DESCRIPTORS = 400
        const val FEW_DESCRIPTORS = 256
        const val CROWD = 600
        const val ATTEMPTS = 3
        const val READ_TIMEOUT_MILLIS = 10_000
        const val SAMPLE_MILLIS = 200L

        /** Endpoints close a connection that has been idle for 4 s. */
        val POOL_TIME = 6.seconds
        val NEW_CONNECTION_LIMIT = 60.seconds
    }
}
