package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.command.BAD_SETTINGS
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.io.path.deleteExisting
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Starts gateway processes with settings files as a platform may write them. */
class StartSettingsTest {
    @TempDir
    lateinit var directory: Path

    private val dispatcher = Executors.newCachedThreadPool().asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val store = StoreServer(scope)
    private val gateways = mutableListOf<GatewayProcess>()

    @BeforeEach
    fun startStore() {
        store.start()
        runBlocking {
            store.update {
                it.write(
                    ObjectKey("config", "main"),
                    Json.parseToJsonElement(siteConfiguration(version = 1)),
                )
            }
        }
    }

    @AfterEach
    fun endProcesses() {
        gateways.forEach { it.kill() }
        scope.cancel()
        dispatcher.close()
    }

    private fun newGateways(
        count: Int,
        bounds: Map<String, String> = BOUNDS,
    ): List<GatewayProcess> =
        gatewayAddresses(count).map { addresses ->
            val seeds = "127.0.0.1:${addresses.control}"
            GatewayProcess(addresses, directory, store.address, seeds, bounds).also { gateways += it }
        }

    private fun awaitReady(gateway: GatewayProcess): Boolean =
        await(START_LIMIT) {
            gateway.isReady() ||
                !gateway.isAlive
        }

    private fun await(
        limit: Duration,
        isDone: () -> Boolean,
    ): Boolean {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < limit) {
            if (isDone()) return true
            Thread.sleep(SAMPLE_MILLIS)
        }
        return false
    }

    /** Guards against a process that ends at its start where the platform has no value for an optional setting. */
    @Test
    fun `a gateway starts where the deployment has no bounds`() {
        val gateway = newGateways(1, BOUNDS.mapValues { "" }).single()
        gateway.start()
        assertTrue(awaitReady(gateway), "not ready within $START_LIMIT")
        assertEquals(null, gateway.exitCode, "exit code")
        assertEquals(BOUNDS.size, logLinesWith("no value; the default", directory).size)
    }

    /** Guards against a process that ends at its start as the platform has not yet written its settings file. */
    @Test
    fun `a gateway waits for a settings file that is absent or incomplete at its start`() {
        val whole = newGateways(CUTS).associateWith { it.settings.readText() }
        for ((i, gateway) in whole.keys.withIndex()) cut(gateway.settings, i)
        whole.keys.forEach { it.start() }
        assertTrue(
            await(START_LIMIT) {
                logLinesWith("not complete", directory).size == CUTS ||
                    whole.keys.any { !it.isAlive }
            },
        )
        assertEquals(List(CUTS) { null }, whole.keys.map { it.exitCode }, "exit codes before the files are written")
        whole.forEach { (gateway, text) -> gateway.settings.writeText(text) }
        whole.keys.forEach { assertTrue(awaitReady(it), "not ready within $START_LIMIT") }
        assertEquals(List(CUTS) { null }, whole.keys.map { it.exitCode }, "exit codes")
    }

    /** Leaves of [file] nothing, no content, its beginning, or all but a part of its last line. */
    private fun cut(
        file: Path,
        kind: Int,
    ) = when (kind) {
        0 -> file.deleteExisting()
        1 -> file.writeText("")
        2 -> file.writeText(file.readText().let { it.take(it.length / 2) })
        else -> file.writeText(file.readText().substringBeforeLast(':'))
    }

    /** Guards against a wrong file that an operator learns of only after the wait for a late one. */
    @Test
    fun `a gateway with a wrong setting ends at once`() {
        val gateway = newGateways(1).single()
        gateway.settings.writeText(gateway.settings.readText().replace("cold-slack = 5", "cold-slack = five"))
        gateway.start()
        assertTrue(await(START_LIMIT) { !gateway.isAlive })
        assertEquals(BAD_SETTINGS, gateway.exitCode)
        assertEquals(emptyList<String>(), logLinesWith("not complete", directory))
        assertEquals(1, logLinesWith("cold-slack = five: wrong form", directory).size)
    }

    private companion object {
        const val CUTS = 4
        val START_LIMIT = 60.seconds
        const val SAMPLE_MILLIS = 50L
    }
}
