package org.cicadaturn.daemons.start

import org.cicadaturn.daemons.site.gatewayAddresses
import org.cicadaturn.daemons.site.javaCommand
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.deleteIfExists
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Process that a test starts, and the names and addresses of its listeners. */
internal enum class TestRole(
    val listeners: List<String>,
) {
    GATEWAY(listOf("listen", "ready", "peers", "admin")),
    ENTRY(listOf("listen", "peer", "admin")),
    ENDPOINT(listOf("listen", "admin")),
    PLATFORM(listOf("listen")),
    ENGINE(listOf("listen")),
    ORDERS(listOf("listen")),
}

/** Real process of [role] with files in [directory]; [address] returns the address of a listener. */
internal class StartedProcess(
    private val role: TestRole,
    private val directory: Path,
    private val ports: Map<String, Int> = freePorts(role),
    private val name: String = "process",
    private val ip: (String) -> String = { "127.0.0.1" },
    portDirectory: Path = directory,
    private val store: String = "127.0.0.1:1",
) : AutoCloseable {
    private val log = directory.resolve("$name.log")
    private val classLog = directory.resolve("$name.classes")
    val portFile: Path = portDirectory.resolve("$name.ports")

    private val process: Process =
        run {
            portFile.deleteIfExists()
            val classPath = System.getProperty("java.class.path")
            // The log of loaded classes tells how far the start has come.
            val flags = listOf("-Xmx64m", "-XX:TieredStopAtLevel=1", "-Xlog:class+load:file=$classLog")
            ProcessBuilder(listOf(javaCommand()) + flags + listOf("-cp", classPath, MAIN_CLASS) + arguments())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start()
        }

    val isAlive: Boolean get() = process.isAlive

    fun port(listener: String): Int = ports.getValue(listener)

    fun lines(): List<String> = log.readLines()

    /** Waits until [condition] holds and fails if the process ends before. */
    fun awaitAlive(
        what: String,
        condition: () -> Boolean,
    ) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS)
        while (!condition()) {
            check(process.isAlive) { "ended with code ${process.exitValue()} before $what: ${lines().takeLast(12)}" }
            check(System.nanoTime() < until) { "$what was awaited in vain: ${lines().takeLast(12)}" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    fun awaitLine(text: String) = awaitAlive("line '$text'") { lines().any { text in it } }

    fun awaitListening() = awaitAlive("port file") { portFile.exists() }

    /** Waits until the class [simpleName] of the product is loaded. */
    fun awaitClass(simpleName: String) =
        awaitAlive("class $simpleName") { classLog.exists() && ".$simpleName source:" in classLog.readText() }

    /** Returns the status of the answer to GET [path] on [listener], or null if there is no connection. */
    fun statusOf(
        listener: String,
        path: String,
    ): Int? =
        try {
            val call = URI("http://127.0.0.1:${port(listener)}$path").toURL().openConnection() as HttpURLConnection
            call.connectTimeout = CALL_MILLIS
            call.readTimeout = CALL_MILLIS
            call.setRequestProperty("Connection", "close")
            call.responseCode
        } catch (e: IOException) {
            null
        }

    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", "${process.pid()}").start().waitFor()
    }

    /** Waits for the end of the process and returns its exit code. */
    fun awaitEnd(): Int {
        check(process.waitFor(HANG_SECONDS, TimeUnit.SECONDS)) { "did not end: ${lines().takeLast(12)}" }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private fun address(listener: String) = "${ip(listener)}:${ports.getValue(listener)}"

    private fun arguments(): List<String> {
        val standin = listOf("standin", role.name.lowercase(), "--port-file", "$portFile")
        return when (role) {
            TestRole.PLATFORM, TestRole.ENGINE, TestRole.ORDERS -> standin + listOf("--listen", address("listen"))
            else -> listOf(role.name.lowercase(), "${settingsFile()}")
        }
    }

    private fun settingsFile(): Path {
        val own =
            when (role) {
                TestRole.GATEWAY -> gatewaySettings()
                TestRole.ENTRY -> "[entry]\nlisten = ${address("listen")}\npeer-listen = ${address("peer")}\npeers =\n"
                else -> ENDPOINT_SETTINGS + "listen = ${address("listen")}\n"
            }
        val wire = if (role == TestRole.GATEWAY) "" else "[wire]\nkey = a-key-of-this-test-with-32-bytes\n"
        val common =
            """
            [process]
            id = p1
            host = h1
            failure-domain = a
            admin-listen = ${address("admin")}
            stop-timeout = 5s
            port-file = $portFile
            [store]
            address = $store
            timeout = 1s
            watch-wait = 10s
            max-silence = 3s
            """.trimIndent()
        return directory.resolve("$name.ini").also { it.writeText("$common\n$wire$own") }
    }

    private fun gatewaySettings(): String =
        """
        [gateway]
        listen = ${address("listen")}
        ready-listen = ${address("ready")}
        peer-listen = ${address("peers")}
        seeds =
        cold-factor = 1.5
        cold-slack = 5
        retry-ratio = 0.2
        retry-slack = 10
        retry-window = 10s
        """.trimIndent()

    private companion object {
        const val MAIN_CLASS = "org.cicadaturn.daemons.MainKt"
        const val ENDPOINT_SETTINGS = "[endpoint]\nid = e1\nservice = orders\nbackend = 127.0.0.1:1\nkind = plain\n"

        /** Bound for a test that hangs; no assertion depends on it. */
        const val HANG_SECONDS = 30L
        const val POLL_MILLIS = 20L
        const val CALL_MILLIS = 5_000
    }
}

/** Returns ports for the listeners of [role] that no outgoing connection gets. */
internal fun freePorts(role: TestRole): Map<String, Int> {
    val free = gatewayAddresses(1).single().let { listOf(it.front, it.ready, it.control, it.admin) }
    return role.listeners.zip(free).toMap()
}

/** Holds [port] until it is closed. */
internal fun holdPort(port: Int): ServerSocket = ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))
