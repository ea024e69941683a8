package org.cicadaturn.tasks.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.retry.fullJitterBackoff
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.configuration.ConfigurationTask
import org.cicadaturn.tasks.limits.LimitsTask
import org.cicadaturn.tasks.wire.Wire
import org.cicadaturn.tasks.wire.WireIdentity
import org.cicadaturn.tasks.wire.WireTimes
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val LIMIT = 1_000_000_000L
private const val TOKENS = 1_000L

/** Timeout for a test that hangs; it is above the time for which a request waits for budget. */
private val HANG_TIMEOUT = 10.seconds
private val survey = OrganisationId("survey")

/** Tests on loopback of the limits that two entry processes share. */
class PeerNetworkTest {
    private val times = WireTimes(5.seconds, keepaliveInterval = 200.milliseconds, keepaliveTimeout = 30.seconds)

    /** Clock that fails once when it is told to. */
    private class FailingClock : Clock {
        private val isDue = AtomicBoolean()

        val hasFailed: Boolean get() = !isDue.get()

        fun failNext() = isDue.set(true)

        override fun now(): Instant {
            check(!isDue.compareAndSet(true, false)) { "planted failure" }
            return Clock.System.now()
        }
    }

    private inner class Entry(
        id: String,
        selector: SelectorManager,
    ) {
        val clock = FailingClock()
        val limits = LimitsTask(ProcessId(id), members = 2, clock, Random(1))
        private val identity =
            WireIdentity(Role.ENTRY, ProcessId(id), Incarnation(1), FailureDomainId("a"), "k".repeat(32))
        private val network =
            PeerNetwork(
                Wire(selector, identity, times) {},
                ConfigurationTask(1.seconds),
                limits,
                Supervisor(Clock.System),
            )

        suspend fun start(
            scope: CoroutineScope,
            peers: List<NetworkAddress>,
        ): NetworkAddress {
            network.start(scope, peers) { fullJitterBackoff(10.milliseconds, 100.milliseconds, Random(1)) }
            val listener = network.listen(scope, NetworkAddress("127.0.0.1", 0))
            val organisation = Organisation(survey, emptyList(), 10_000, LIMIT)
            val accepted = Instant.fromEpochSeconds(0)
            limits.configure(Configuration(Revision(1), accepted, "operator", organisations = listOf(organisation)))
            return listener.address
        }

        suspend fun admit(): LimitDecision = limits.admit(survey, TOKENS, Clock.System.now() + 30.seconds)

        fun close() = network.close()
    }

    /** Guards against requests that are refused as the messages about budget wait behind the work for requests. */
    @Test
    fun `budget is granted while all threads for requests are busy`() =
        runBlocking {
            val scope = CoroutineScope(Dispatchers.Default + Job())
            val release = CountDownLatch(1)
            SelectorManager(Dispatchers.IO).use { selector ->
                val entries = listOf("a", "b").map { Entry(it, selector) }
                val address = entries[0].start(scope, emptyList())
                entries[1].start(scope, listOf(address))
                // Each process is admitted once, so that the links are up.
                entries.forEach { withTimeout(HANG_TIMEOUT) { while (it.admit() !is LimitDecision.Admitted) delay(1) } }
                // The common pool has at least two threads.
                repeat(maxOf(2, Runtime.getRuntime().availableProcessors())) { scope.launch { release.await() } }
                val decisions = entries.map { withTimeoutOrNull(HANG_TIMEOUT) { it.admit() } }
                release.countDown()
                scope.cancel()
                entries.forEach { it.close() }
                decisions.forEach { assertInstanceOf(LimitDecision.Admitted::class.java, it) }
            }
        }

    /** Guards against an entry process that admits no request any more after one failure of its limits. */
    @Test
    fun `requests are admitted after a failure of the limits`() =
        runBlocking {
            val handler = CoroutineExceptionHandler { _, cause -> println("a task ended: $cause") }
            val scope = CoroutineScope(Dispatchers.Default + SupervisorJob() + handler)
            SelectorManager(Dispatchers.IO).use { selector ->
                val entries = listOf("a", "b").map { Entry(it, selector) }
                val address = entries[0].start(scope, emptyList())
                entries[1].start(scope, listOf(address))
                entries.forEach { withTimeout(HANG_TIMEOUT) { while (it.admit() !is LimitDecision.Admitted) delay(1) } }
                val decisions =
                    entries.map { entry ->
                        entry.clock.failNext()
                        scope.launch { entry.admit() }
                        withTimeout(HANG_TIMEOUT) { while (!entry.clock.hasFailed) delay(1) }
                        withTimeoutOrNull(HANG_TIMEOUT) { entry.admit() }
                    }
                scope.cancel()
                entries.forEach { it.close() }
                decisions.forEach { assertInstanceOf(LimitDecision.Admitted::class.java, it) }
            }
        }
}
