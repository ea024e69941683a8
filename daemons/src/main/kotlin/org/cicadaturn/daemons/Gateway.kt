package org.cicadaturn.daemons

import kotlinx.coroutines.runBlocking
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.platform.platformDialect
import org.cicadaturn.platform.platformRankClient
import org.cicadaturn.platform.platformStore
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.tasks.gateway.GatewayParts
import org.cicadaturn.tasks.gateway.gatewayNode
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.http.httpRuntime
import sun.misc.Signal
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Runs a gateway process until it is told to stop; returns the exit code. */
internal fun runGateway(file: GatewayFile): Int {
    // A changed settings file takes effect at the next start; the signal must not end the process.
    Signal.handle(Signal("HUP")) { }
    val runtime = httpRuntime()
    val parts =
        GatewayParts(
            runtime = runtime,
            store = platformStore(httpConnector(runtime), file.store.address, file.store.timeout),
            rankClient = ::platformRankClient,
            dialect = platformDialect,
            clock = steadyClock(),
            suspendAwareClock = suspendAwareClock(),
            random = Random(SecureRandom().nextLong()),
        )
    return runBlocking {
        val stop = stopSignal()
        val node = gatewayNode(file, parts)
        file.process.portFile?.let { writePorts(Path.of(it), node.listeners) }
        stop.await()
        node.stop()
        SUCCESS
    }
}

/** Returns a clock that neither jumps nor is set; only differences of its times mean anything. */
private fun steadyClock(): Clock {
    val start = TimeSource.Monotonic.markNow()
    val origin = Instant.fromEpochSeconds(0)
    return object : Clock {
        override fun now(): Instant = origin + start.elapsedNow()
    }
}

/**
 * Returns a clock that advances by the larger of steady clock and time of day between two readings.
 *
 * The steady clock stands still while the machine is suspended; the time of day may be set back.
 */
private fun suspendAwareClock(): Clock =
    object : Clock {
        private val steady = steadyClock()
        private var lastSteady = steady.now()
        private var lastWall = Clock.System.now()
        private var now = Instant.fromEpochSeconds(0)

        override fun now(): Instant {
            val steadyNow = steady.now()
            val wallNow = Clock.System.now()
            now += maxOf(steadyNow - lastSteady, wallNow - lastWall)
            lastSteady = steadyNow
            lastWall = wallNow
            return now
        }
    }
