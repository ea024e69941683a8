package org.cicadaturn.daemons.crowd

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.daemons.site.javaCommand
import org.cicadaturn.daemons.system.Backend
import org.cicadaturn.daemons.system.EndpointOptions
import org.cicadaturn.daemons.system.EntryOptions
import org.cicadaturn.daemons.system.Reply
import org.cicadaturn.daemons.system.SystemOptions
import org.cicadaturn.daemons.system.TestSystem
import org.cicadaturn.daemons.system.WIRE_KEY
import org.cicadaturn.daemons.system.expectedDraft
import org.cicadaturn.daemons.system.startSystem
import org.cicadaturn.schema.generated.NetworkAddress
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Entry process of a system whose other processes run within this JVM, with the heap of a gateway. */
internal class CrowdedEntry : CrowdedProcess {
    override val directory = CrowdCheck.emptyDirectory()
    private val ports = directory.resolve("ports")
    private lateinit var system: TestSystem
    private lateinit var process: Process
    private val endOfJvm = Thread { process.destroyForcibly() }
    override val isAlive: Boolean get() = process.isAlive
    override val exitCode: Int? get() = if (process.isAlive) null else process.exitValue()
    override val usage: ProcessUsage by lazy { ProcessUsage(process.pid()) }

    override fun start() {
        val endpoints = listOf(EndpointOptions("drafts-1", "fd-1", Backend.Engine()))
        val options = SystemOptions(endpoints, listOf(EntryOptions("entry-1", "fd-1")))
        system = runBlocking(Dispatchers.Default) { startSystem(options) }
        val settings = directory.resolve("entry.ini")
        settings.writeText(settingsText())
        val classPath = System.getProperty("java.class.path")
        val flags = listOf("-Xmx64m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError", "-cp", classPath)
        process =
            ProcessBuilder(
                listOf(javaCommand()) + flags + listOf("org.cicadaturn.daemons.MainKt", "entry", "$settings"),
            ).redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start()
        Runtime.getRuntime().addShutdownHook(endOfJvm)
        check(awaitAnswer(START_LIMIT)) { "the entry process served no request within $START_LIMIT" }
    }

    private fun settingsText(): String =
        """
        [process]
        id = entry-crowd
        host = host-crowd
        failure-domain = fd-1
        admin-listen = 127.0.0.1:0
        port-file = $ports
        [wire]
        key = $WIRE_KEY
        [store]
        address = ${system.platform.address.ip}:${system.platform.address.port}
        [entry]
        listen = 127.0.0.1:0
        peer-listen = 127.0.0.1:0
        """.trimIndent()

    /** Returns the port of [listener]: listen, peer or admin. */
    fun portOf(listener: String): Int =
        ports
            .readLines()
            .first { it.startsWith("$listener=") }
            .substringAfter('=')
            .substringAfterLast(':')
            .toInt()

    override fun isServed(limit: Duration): Boolean {
        if (!ports.exists()) return false
        val address = NetworkAddress("127.0.0.1", portOf("listen"))
        val reply =
            runCatching {
                runBlocking { withTimeoutOrNull(limit) { system.callers.draft(address, "next", 2, false) } }
            }
        return reply.getOrNull() == Reply(200, expectedDraft("next", 2))
    }

    override fun close() {
        process.destroyForcibly().waitFor()
        Runtime.getRuntime().removeShutdownHook(endOfJvm)
        runBlocking(Dispatchers.Default) { system.close() }
    }

    private companion object {
        val START_LIMIT = 60.seconds
    }
}
