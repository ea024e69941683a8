package org.cicadaturn.daemons

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.future.asDeferred
import kotlinx.coroutines.runBlocking
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.platform.platformDialect
import org.cicadaturn.platform.platformRankClient
import org.cicadaturn.platform.platformStore
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.tasks.gateway.GatewayDependencies
import org.cicadaturn.tasks.gateway.gatewayNode
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.http.httpRuntime
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Runs a gateway process until [signals] ask it to stop; returns the exit code. */
internal fun runGateway(
    file: GatewayFile,
    signals: ProcessSignals,
): Int {
    val runtime = httpRuntime(endOnFatalErrors())
    val clock = monotonicClock()
    val stop = signals.takeOver()
    val failure = CompletableDeferred<Unit>()
    val dependencies =
        GatewayDependencies(
            runtime = runtime,
            store = platformStore(httpConnector(runtime), file.store.address, file.store.timeout),
            rankClient = ::platformRankClient,
            dialect = platformDialect,
            clock = clock,
            suspendAwareClock = suspendAwareClock(),
            wallClock = Clock.System,
            random = Random(SecureRandom().nextLong()),
            requestStop = { failure.complete(Unit) },
            stopRequestedAt = { stop.getNow(null)?.let { clock.now() - (System.nanoTime() - it).nanoseconds } },
        )
    return runBlocking {
        val node = gatewayNode(file, dependencies)
        runUntilStopped(node, file.process, stop.asDeferred(), failure)
        if (failure.isCompleted) FAILED_RUN else SUCCESS
    }
}

/** Returns a monotonic clock with an arbitrary origin; only differences between its times are meaningful. */
private fun monotonicClock(): Clock {
    val start = TimeSource.Monotonic.markNow()
    val origin = Instant.fromEpochSeconds(0)
    return object : Clock {
        override fun now(): Instant = origin + start.elapsedNow()
    }
}

/**
 * Returns a clock that advances, between two readings, by the larger advance of the monotonic clock and the wall clock.
 *
 * The monotonic clock stops while the machine is suspended, and the wall clock may be set back.
 */
private fun suspendAwareClock(): Clock =
    object : Clock {
        private val monotonic = monotonicClock()
        private var lastMonotonic = monotonic.now()
        private var lastWall = Clock.System.now()
        private var now = Instant.fromEpochSeconds(0)

        override fun now(): Instant {
            val monotonicNow = monotonic.now()
            val wallNow = Clock.System.now()
            now += maxOf(monotonicNow - lastMonotonic, wallNow - lastWall)
            lastMonotonic = monotonicNow
            lastWall = wallNow
            return now
        }
    }
