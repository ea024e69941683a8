package org.cicadaturn.daemons

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/** Tests the end of a gateway that runs as a process of its own, without a store. */
class StoppedGatewayTest {
    @TempDir
    lateinit var directory: Path

    private fun start(): Process {
        val settings = directory.resolve("gateway.ini")
        settings.writeText(
            """
            [process]
            id = g1
            host = h1
            failure-domain = a
            admin-listen = 127.0.0.1:0
            log-format = json
            stop-timeout = 5s
            port-file = ${directory.resolve("ports")}
            [store]
            address = 127.0.0.1:1
            timeout = 1s
            watch-wait = 10s
            max-silence = 3s
            [gateway]
            listen = 127.0.0.1:0
            ready-listen = 127.0.0.1:0
            peer-listen = 127.0.0.1:0
            seeds =
            cold-factor = 1.5
            cold-slack = 5
            retry-ratio = 0.2
            retry-slack = 10
            retry-window = 10s
            """.trimIndent(),
        )
        val java =
            ProcessHandle
                .current()
                .info()
                .command()
                .get()
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-Xmx64m", "-cp", classPath, MAIN_CLASS, "gateway", settings.toString())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .redirectOutput(directory.resolve("log").toFile())
            .start()
    }

    private fun awaitPort(): Int {
        val ports = directory.resolve("ports")
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (!ports.exists()) {
            check(System.nanoTime() < until) { "the gateway did not start: ${directory.resolve("log").readLines()}" }
            Thread.sleep(50)
        }
        return ports
            .readLines()
            .first { it.startsWith("listen=") }
            .substringAfter('=')
            .toInt()
    }

    /** Guards against last lines that wait in the queue of the log when the process ends. */
    @Test
    fun `the last lines of a stop reach standard output`() {
        val process = start()
        try {
            Socket("127.0.0.1", awaitPort()).use { socket ->
                val head = "POST /x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\n"
                socket.getOutputStream().write("${head}h".encodeToByteArray())
                Thread.sleep(500)
                process.destroy()
                assertTrue(process.waitFor(10, TimeUnit.SECONDS))
            }
            val log = directory.resolve("log").readLines()
            assertEquals(0, process.exitValue(), "$log")
            assertTrue(log.any { "gateway: ends with 1 requests unfinished and 1 cut" in it }, "$log")
            assertTrue(log.any { "the process ended before the answer" in it }, "$log")
        } finally {
            process.destroyForcibly()
        }
    }

    /** Guards against a second SIGTERM, or a SIGHUP, that cuts the requests in progress of a process that is stopping. */
    @Test
    fun `further signals do not shorten a stop`() {
        val process = start()
        try {
            awaitPort()
            val begin = System.nanoTime()
            process.destroy()
            Thread.sleep(500)
            signal(process, "HUP")
            process.destroy()
            assertTrue(process.waitFor(10, TimeUnit.SECONDS))
            val seconds = (System.nanoTime() - begin) / 1e9
            assertEquals(0, process.exitValue(), "${directory.resolve("log").readLines()}")
            // Readiness checks need 2 s to fail, and connections that were opened before need another.
            assertTrue(seconds >= 3, "ended after $seconds s")
        } finally {
            process.destroyForcibly()
        }
    }

    private fun signal(
        process: Process,
        name: String,
    ) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    private companion object {
        const val MAIN_CLASS = "org.cicadaturn.daemons.MainKt"
    }
}
