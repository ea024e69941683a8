package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.Executors
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

    private fun newGateway(bounds: Map<String, String> = BOUNDS): GatewayProcess {
        val addresses = gatewayAddresses(1).single()
        val seeds = "127.0.0.1:${addresses.control}"
        return GatewayProcess(addresses, directory, store.address, seeds, bounds).also { gateways += it }
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
        val gateway = newGateway(BOUNDS.mapValues { "" })
        gateway.start()
        assertTrue(awaitReady(gateway), "not ready within $START_LIMIT")
        assertEquals(null, gateway.exitCode, "exit code")
        assertEquals(BOUNDS.size, logLinesWith("no value; the default", directory).size)
    }

    private companion object {
        val START_LIMIT = 60.seconds
        const val SAMPLE_MILLIS = 50L
    }
}
