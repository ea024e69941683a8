package org.cicadaturn.tasks.gateway

import org.cicadaturn.tasks.gateway.LimitedEndpoint.Companion.allowed
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests over sockets that endpoints get no more requests than the limits that they name allow. */
class EndpointLimitTest {
    private val runTime = 11.seconds

    private fun pause(time: Duration) = TimeUnit.MILLISECONDS.sleep(time.inWholeMilliseconds)

    private fun assertKept(
        endpoints: List<LimitedEndpoint>,
        perSecond: Double,
    ) {
        val counts = endpoints.map { it.mostWithinCountedTime() }
        println("limit $perSecond/s: most requests in 4 s $counts, allowed ${allowed(perSecond)}")
        assertTrue(counts.all { it <= allowed(perSecond) }, "$counts in 4 s, allowed ${allowed(perSecond)}")
        assertTrue(endpoints.all { it.namedAt != null }, "an endpoint got no request")
    }

    private fun assertAllServed(site: LimitSite) {
        val failed = site.answers.filter { it.status != 200 }
        val counts = failed.groupingBy { it.status }.eachCount()
        assertEquals(
            0,
            failed.size,
            "of ${site.answers.size} answers: $counts, first after ${failed.firstOrNull()?.after}",
        )
    }

    /** Guards against gateways that each use the whole limit of an endpoint. */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(ints = [2, 4])
    fun `a limit holds over all gateways together`(gateways: Int) {
        val limited = List(3) { LimitedEndpoint(listOf("6.5")) }
        val others = List(2) { LimitedEndpoint() }
        LimitSite(limited + others, gateways).use { site ->
            repeat(gateways) { site.send(it, TOTAL_PER_SECOND / gateways, runTime) }
            pause(runTime + 1.seconds)
            assertKept(limited, 6.5)
            assertAllServed(site)
        }
        (limited + others).forEach { it.close() }
    }

    /** Guards against a bound that holds only where all gateways get the same traffic. */
    @Tag("known-red")
    @Test
    fun `a limit holds if one gateway gets nearly all requests`() {
        val limited = List(2) { LimitedEndpoint(listOf("3")) }
        val other = LimitedEndpoint()
        LimitSite(limited + other, 4).use { site ->
            site.send(0, 200, runTime)
            (1..3).forEach { site.send(it, 3, runTime) }
            pause(runTime + 1.seconds)
            assertKept(limited, 3.0)
            assertAllServed(site)
        }
        (limited + other).forEach { it.close() }
    }

    /** Guards against a gateway that uses the whole limit of an endpoint after its start. */
    @Tag("known-red")
    @Test
    fun `a limit holds while a gateway is restarted`() {
        val limited = List(2) { LimitedEndpoint(listOf("2.5")) }
        val other = LimitedEndpoint()
        LimitSite(limited + other, 3).use { site ->
            repeat(3) { site.send(it, 60, runTime) }
            pause(4.seconds)
            site.killGateway(1)
            pause(1.seconds)
            site.startGateway(1)
            pause(runTime - 4.seconds)
            assertKept(limited, 2.5)
            assertAllServed(site)
        }
        (limited + other).forEach { it.close() }
    }

    private companion object {
        const val TOTAL_PER_SECOND = 240
    }
}
