package org.cicadaturn.decisions.gateway

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class GatewayRetryBudgetTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val afterFirstWindow = start + 60.seconds

    /** Guards against retries of all gateways that exceed the bound in some window, also around a restart of all. */
    @Property(tries = 50)
    fun `any window keeps the bound over all gateways`(
        @ForAll @IntRange(min = 1, max = 40) gateways: Int,
        @ForAll seed: Int,
    ) {
        val random = Random(seed)
        // The balancer gives the budgets 0.65 of the slack of 90 retries.
        val slack = 90 * 0.65
        val restart = afterFirstWindow + 12.seconds
        var budgets = List(gateways) { gatewayRetryBudget(0.2, 10.seconds, start) }
        val requests = mutableListOf<Instant>()
        val retries = mutableListOf<Instant>()
        var now = afterFirstWindow
        var isRestarted = false
        while (now < afterFirstWindow + 30.seconds) {
            if (!isRestarted && now >= restart) {
                budgets = List(gateways) { gatewayRetryBudget(0.2, 10.seconds, now) }
                isRestarted = true
            }
            val budget = budgets.random(random)
            if (random.nextInt(4) == 0) budget.request(now).also { requests += now }
            if (budget.tryRetry(now, slack / gateways)) retries += now
            now += random.nextInt(40).milliseconds
        }
        for (last in retries) {
            val from = last - 10.seconds
            val used = retries.count { it > from && it <= last }
            val bound = 0.2 * requests.count { it > from && it <= last } + 90
            assertTrue(used <= bound, "$used retries against $bound at ${last - afterFirstWindow}")
        }
    }

    /** Guards against a budget that grants either the slack or the share of the requests, but not both. */
    @Test
    fun `the slack is added to the share of the requests`() {
        val budget = gatewayRetryBudget(0.2, 10.seconds, start)
        repeat(50) { budget.request(afterFirstWindow) }
        assertEquals(17, (1..100).count { budget.tryRetry(afterFirstWindow, 7.3) })
        assertEquals(7, (1..100).count { budget.tryRetry(afterFirstWindow + 10.1.seconds, 7.3) })
    }
}
