package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.decisions.ratelimit.namedLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LimitNews
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that all gateways learn of the limits that endpoints name, in virtual time and without sockets. */
@OptIn(ExperimentalCoroutinesApi::class)
class LimitExchangeTest {
    private val endpoint = EndpointId("e1")

    /** Gateways that reach each other, unless they are cut off. */
    private inner class TestFleet(
        private val test: TestScope,
        count: Int,
    ) {
        val cutOff = mutableSetOf<String>()

        /** Messages that were sent, answered or not. */
        var messages = 0
        private val names = List(count) { "g$it" }
        private val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(test.currentTime)
            }
        val gateways = names.associateWith { Gateway(it) }.toMutableMap()

        inner class Gateway(
            private val name: String,
        ) {
            private val scope = CoroutineScope(test.coroutineContext + Job(test.backgroundScope.coroutineContext[Job]))
            private val peers =
                names.map { GatewayPeer(ProcessId(it), NetworkAddress(it, 1), FailureDomainId("a")) }
            private val state =
                MutableStateFlow(FleetState(FleetView(peers = peers), isConfigurationCurrent = true, isKnown = true))
            private val limits = TestLimits(clock)
            val exchange: LimitExchange =
                startLimitExchange(
                    scope,
                    LimitExchangeDependencies(
                        self = ProcessId(name),
                        limits = limits,
                        notices = NoNotices,
                        fleet = StateFleet(state),
                        exchange = { peer, news -> call(name, peer.id.text, news) },
                        metrics = LimitMetrics(PrometheusRegistry()),
                        random = Random(name.hashCode()),
                        clock = clock,
                    ),
                )

            fun answered(limit: NamedLimit) = limits.named(endpoint, limit, clock.now())

            fun limit(): Double? = limits.known.known(endpoint, STARTED_AT)?.perSecond

            fun end() = scope.cancel()
        }

        fun restart(name: String) {
            gateways.getValue(name).end()
            gateways[name] = Gateway(name)
        }

        fun known(): Map<Double?, Int> = gateways.values.groupingBy { it.limit() }.eachCount()

        private suspend fun call(
            from: String,
            to: String,
            news: LimitNews,
        ): LimitNews? {
            messages += 1
            delay(2)
            if (from in cutOff || to in cutOff) {
                delay(400)
                return null
            }
            return gateways.getValue(to).exchange.receive(news)
        }
    }

    private class TestLimits(
        private val clock: Clock,
    ) : EndpointLimits {
        val known = namedLimits()
        override val changes = Channel<Unit>(Channel.CONFLATED)

        override fun named(
            endpoint: EndpointId,
            limit: NamedLimit,
            sentAt: Instant,
        ) {
            known.named(endpoint, STARTED_AT, limit, sentAt)
            signal()
        }

        override fun reported(reports: List<EndpointLimitReport>) {
            reports.forEach { known.reported(it, clock.now()) }
            signal()
        }

        private fun signal() {
            if (known.hasNews) changes.trySend(Unit)
        }

        override suspend fun takeNews(): List<EndpointLimitReport> = known.takeNews(clock.now())

        override suspend fun reports(disputed: Set<EndpointId>): List<EndpointLimitReport> =
            known.reports(clock.now(), disputed)

        override suspend fun status(): List<EndpointLimitStatus> = emptyList()
    }

    private fun TestFleet.gateway(name: String): TestFleet.Gateway = gateways.getValue(name)

    /** Guards against gateways that use an endpoint without knowing its limit until each has had an answer from it. */
    @Test
    fun `all gateways learn of a limit, its change and its end within half a second`() =
        runTest {
            for (count in listOf(2, 8, 350)) {
                val fleet = TestFleet(this, count)
                testScheduler.advanceTimeBy(1_000)
                for (limit in listOf(2.0, 3.5, null)) {
                    val before = fleet.messages
                    fleet.gateway("g1").answered(limit?.let { NamedLimit.Rate(it) } ?: NamedLimit.None)
                    testScheduler.advanceTimeBy(500)
                    assertEquals(mapOf(limit to count), fleet.known(), "of $count gateways")
                    // Each relays the change to 12 others, and refreshes begin.
                    val messages = fleet.messages - before
                    assertTrue(messages <= count * 13, "$messages messages for one change")
                }
                fleet.gateways.values.forEach { it.end() }
            }
        }

    /** Guards against messages on a day on which no endpoint names a limit. */
    @Test
    fun `nothing is sent while no endpoint names a limit`() =
        runTest {
            val fleet = TestFleet(this, 8)
            testScheduler.advanceTimeBy(1_000)
            val atStart = fleet.messages
            repeat(100) {
                fleet.gateways.values.forEach { it.answered(NamedLimit.None) }
                testScheduler.advanceTimeBy(100)
            }
            assertEquals(atStart, fleet.messages)
            assertTrue(atStart <= 8 * 3, "$atStart messages at the start")
        }

    /** Guards against a message for each answer if an endpoint names another limit each time. */
    @Test
    fun `limits that change all the time cause a bounded number of messages`() =
        runTest {
            val fleet = TestFleet(this, 20)
            testScheduler.advanceTimeBy(1_000)
            val before = fleet.messages
            repeat(1_000) { i ->
                fleet.gateway("g${i % 20}").answered(NamedLimit.Rate(i.toDouble()))
                testScheduler.advanceTimeBy(10)
            }
            val perSecond = (fleet.messages - before) / 10
            assertTrue(perSecond <= 20 * (4 * 12 + 1), "$perSecond messages a second")
            testScheduler.advanceTimeBy(500)
            assertEquals(mapOf<Double?, Int>(999.0 to 20), fleet.known())
        }

    /** Guards against a gateway that has lost its knowledge with its process and uses the whole limit. */
    @Test
    fun `a gateway that is restarted knows the limits at once`() =
        runTest {
            val fleet = TestFleet(this, 4)
            testScheduler.advanceTimeBy(1_000)
            fleet.gateway("g1").answered(NamedLimit.Rate(2.0))
            testScheduler.advanceTimeBy(10_000)
            fleet.restart("g2")
            testScheduler.advanceTimeBy(10)
            assertEquals(2.0, fleet.gateway("g2").limit())
        }

    /** Guards against a gateway that missed a change while it was cut off and never hears of it. */
    @Test
    fun `a gateway that was cut off learns of changes afterwards`() =
        runTest {
            for (limit in listOf(3.0, null)) {
                val fleet = TestFleet(this, 4)
                testScheduler.advanceTimeBy(1_000)
                fleet.gateway("g1").answered(NamedLimit.Rate(2.0))
                testScheduler.advanceTimeBy(1_000)
                fleet.cutOff += "g3"
                fleet.gateway("g1").answered(limit?.let { NamedLimit.Rate(it) } ?: NamedLimit.None)
                testScheduler.advanceTimeBy(5_000)
                assertEquals(2.0, fleet.gateway("g3").limit())
                fleet.cutOff -= "g3"
                testScheduler.advanceTimeBy(6_000)
                assertEquals(mapOf(limit to 4), fleet.known())
                fleet.gateways.values.forEach { it.end() }
            }
        }

    /** Guards against processes that have ended and delay what the others are told. */
    @Test
    fun `peers that do not answer delay no others`() =
        runTest {
            val fleet = TestFleet(this, 8)
            testScheduler.advanceTimeBy(1_000)
            fleet.cutOff += listOf("g4", "g5", "g6", "g7")
            repeat(20) { i ->
                fleet.gateway("g0").answered(NamedLimit.Rate(1.0 + i))
                testScheduler.advanceTimeBy(300)
                val limits = (0..3).map { fleet.gateway("g$it").limit() }
                assertEquals(List(4) { 1.0 + i }, limits)
            }
        }

    /** Guards against memory that the messages of many peers take. */
    @Test
    fun `messages beyond the bound get an empty answer and their content is known after a refresh`() =
        runTest {
            val fleet = TestFleet(this, 2)
            testScheduler.advanceTimeBy(1_000)
            fleet.gateway("g0").answered(NamedLimit.Rate(2.0))
            repeat(1_000) { i ->
                val report = EndpointLimitReport(EndpointId("other$i"), STARTED_AT, 1.0, 0.seconds)
                launch { fleet.gateway("g1").exchange.receive(LimitNews(listOf(report))) }
            }
            testScheduler.advanceTimeBy(3_000)
            assertEquals(mapOf<Double?, Int>(2.0 to 2), fleet.known())
        }

    /** Guards against a limit that has ended long ago and stays in force at a gateway that was cut off meanwhile. */
    @Test
    fun `a gateway that was cut off from its peers for two minutes learns that a limit ended`() =
        runTest {
            val fleet = TestFleet(this, count = 8)
            delay(1.seconds)
            fleet.gateways.getValue("g0").answered(NamedLimit.Rate(2.0))
            delay(5.seconds)
            assertEquals(mapOf<Double?, Int>(2.0 to 8), fleet.known())
            fleet.cutOff += "g7"
            delay(1.seconds)
            fleet.gateways.getValue("g0").answered(NamedLimit.None)
            repeat(120) {
                delay(1.seconds)
                fleet.gateways.getValue("g0").answered(NamedLimit.None)
            }
            fleet.cutOff.clear()
            delay(60.seconds)
            assertEquals(mapOf<Double?, Int>(null to 8), fleet.known())
            fleet.restart("g6")
            delay(10.seconds)
            assertEquals(mapOf<Double?, Int>(null to 8), fleet.known())
        }

    /** Guards against a limit that has ended long ago and is brought back by a gateway that was cut off meanwhile. */
    @Test
    fun `a gateway that starts takes no ended limit from one that was cut off`() =
        runTest {
            val fleet = TestFleet(this, count = 3)
            delay(1.seconds)
            fleet.gateways.getValue("g0").answered(NamedLimit.Rate(2.0))
            delay(5.seconds)
            fleet.cutOff += "g2"
            repeat(120) {
                delay(1.seconds)
                fleet.gateways.getValue("g0").answered(NamedLimit.None)
            }
            fleet.cutOff.clear()
            fleet.restart("g1")
            delay(30.seconds)
            assertEquals(null, fleet.gateways.getValue("g1").limit())
        }

    private companion object {
        const val STARTED_AT = 1L
    }
}
