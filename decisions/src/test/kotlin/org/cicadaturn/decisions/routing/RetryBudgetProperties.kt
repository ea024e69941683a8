package org.cicadaturn.decisions.routing

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RetryBudgetProperties {
    /** Random numbers, each of which determines one request or retry and the time before it. */
    @Provide
    fun steps(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(0, 999)
            .withDistribution(RandomDistribution.uniform())
            .list()
            .ofMinSize(1)
            .ofMaxSize(400)

    /** Guards against retries above the share, in the trailing window of each retry and over the whole run. */
    @Property(tries = 300, seed = "21")
    fun retriesStayWithinTheShare(
        @ForAll("steps") steps: List<Int>,
        @ForAll @IntRange(min = 0, max = 5) minRetries: Int,
    ) {
        val budget = retryBudget(percent = 10, minRetries = minRetries, window = 10.seconds)
        val requests = mutableListOf<Instant>()
        val retries = mutableListOf<Instant>()
        var now = start
        for (step in steps) {
            now += (step % 250).milliseconds
            if (step < 500) {
                budget.request(now)
                requests += now
            } else if (budget.tryRetry(now)) {
                retries += now
                val inWindow = retries.count { now - it < 10.seconds }
                val allowed = maxOf(requests.count { now - it < 10.seconds } * 0.1, minRetries.toDouble())
                assertTrue(inWindow <= allowed, "$inWindow retries in the window, $allowed allowed")
                assertTrue(
                    retries.size <= maxOf(requests.size * 0.1, minRetries.toDouble()),
                    "${retries.size} retries in all",
                )
            }
        }
    }

    /** Guards against a budget that never grants a retry, or that grants the minimum again in each window. */
    @Test
    fun minimumIsGrantedOnce() {
        val budget = retryBudget(percent = 10, minRetries = 3)
        val granted = (0 until 40).count { budget.tryRetry(start + (it * 2).seconds) }
        assertEquals(3, granted)
        repeat(50) { budget.request(start + 100.seconds) }
        assertEquals(listOf(true, true, false), List(3) { budget.tryRetry(start + 100.seconds) })
    }

    /** Guards against requests of long ago that allow a burst of retries. */
    @Test
    fun requestsOutsideTheWindowDoNotCount() {
        val budget = retryBudget(percent = 10, minRetries = 1)
        repeat(1_000) { budget.request(start) }
        assertEquals(RetryBudgetState(requests = 0, retries = 0), budget.state(start + 12.seconds))
        assertEquals(listOf(true, false), List(2) { budget.tryRetry(start + 12.seconds) })
    }
}
