package org.cicadaturn.daemons.start

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Path
import kotlin.io.path.exists

/** Starts processes of all roles whose ports cannot be opened yet, or never. */
class HeldPortTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against a process that ends at its start because a socket of another process holds a port for a while. */
    @ParameterizedTest
    @MethodSource("listeners")
    internal fun `a process waits for a held port and then serves`(
        role: TestRole,
        held: String,
    ) {
        val ports = freePorts(role)
        val holder = holdPort(ports.getValue(held))
        StartedProcess(role, directory, ports).use { process ->
            process.awaitLine("${ports.getValue(held)} is tried again: another socket holds the port")
            assertFalse(process.portFile.exists(), "listeners are announced before all are open")
            holder.close()
            process.awaitListening()
            process.awaitLine("${ports.getValue(held)} is open after")
            process.signal("TERM")
            assertEquals(0, process.awaitEnd(), "${process.lines()}")
        }
    }

    /** Guards against callers without service, or a process that says it is ready, while another listener waits. */
    @Test
    fun `callers are served while the admin port is held`() {
        val ports = freePorts(TestRole.GATEWAY)
        holdPort(ports.getValue("admin")).use {
            StartedProcess(TestRole.GATEWAY, directory, ports).use { process ->
                // Without a store the gateway has no routes; its answer shows that it reads requests.
                process.awaitAlive("an answer to a caller") { process.statusOf("listen", "/x") != null }
                process.awaitAlive("an answer about readiness") { process.statusOf("ready", "/ready") == UNAVAILABLE }
                assertFalse(process.portFile.exists())
            }
        }
    }

    /** Guards against a stop that waits for a port, or leaves an exit code of a crash. */
    @ParameterizedTest
    @MethodSource("listeners")
    internal fun `SIGTERM ends a process that waits for a port`(
        role: TestRole,
        held: String,
    ) {
        val ports = freePorts(role)
        holdPort(ports.getValue(held)).use {
            StartedProcess(role, directory, ports).use { process ->
                process.awaitLine("${ports.getValue(held)} is tried again")
                process.signal("TERM")
                assertEquals(0, process.awaitEnd(), "${process.lines()}")
            }
        }
    }

    /** Guards against a restart that ends at once because the gateway before it is still on its way out. */
    @Test
    fun `a gateway takes over from the one before it that is still stopping`() {
        val ports = freePorts(TestRole.GATEWAY)
        StartedProcess(TestRole.GATEWAY, directory, ports, "first").use { first ->
            first.awaitListening()
            first.signal("TERM")
            first.awaitLine("gateway: stopping")
            StartedProcess(TestRole.GATEWAY, directory, ports, "second").use { second ->
                assertEquals(0, first.awaitEnd(), "${first.lines()}")
                second.awaitListening()
                second.awaitAlive("an answer to a caller") { second.statusOf("listen", "/x") != null }
                second.signal("TERM")
                assertEquals(0, second.awaitEnd(), "${second.lines()}")
            }
        }
    }

    /** Guards against a start that ends because an outgoing connection of another process has got the port. */
    @Test
    fun `a gateway waits for a port that an outgoing connection holds`() {
        val ports = freePorts(TestRole.GATEWAY)
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val connection = Socket()
            connection.bind(InetSocketAddress("127.0.0.1", ports.getValue("listen")))
            connection.connect(server.localSocketAddress)
            StartedProcess(TestRole.GATEWAY, directory, ports).use { process ->
                process.awaitLine("is tried again: another socket holds the port")
                // Without this, the side that closes first would hold the port for a minute.
                connection.setSoLinger(true, 0)
                connection.close()
                process.awaitListening()
            }
        }
    }

    /** Guards against a start that ends because the network of the machine is not up yet. */
    @Test
    fun `a gateway waits for an address that the machine does not have yet`() {
        StartedProcess(TestRole.GATEWAY, directory, ip = { if (it == "listen") "192.0.2.1" else "127.0.0.1" })
            .use { process ->
                process.awaitLine("is tried again: the machine does not have this address")
                process.signal("TERM")
                assertEquals(0, process.awaitEnd(), "${process.lines()}")
            }
    }

    /** Guards against a process that waits for a setting that never becomes right. */
    @Test
    fun `a port that cannot exist is refused at once`() {
        val ports = freePorts(TestRole.GATEWAY) + ("ready" to 70_000)
        StartedProcess(TestRole.GATEWAY, directory, ports).use { process ->
            assertEquals(BAD_SETTINGS, process.awaitEnd(), "${process.lines()}")
            assertTrue(process.lines().any { "70000" in it }, "${process.lines()}")
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val BAD_SETTINGS = 3

        @JvmStatic
        fun listeners(): List<Arguments> =
            TestRole.entries.flatMap { role ->
                role.listeners.map { arguments(role, it) }
            }
    }
}
