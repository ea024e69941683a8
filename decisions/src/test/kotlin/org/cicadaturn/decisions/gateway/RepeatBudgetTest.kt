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

class RepeatBudgetTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val settled = start + 60.seconds

    /** Guards against repeats of all gateways that pass the bound in some window, also around a restart of all. */
    @Property(tries = 50)
    fun `any window keeps the bound over all gateways`(
        @ForAll @IntRange(min = 1, max = 40) gateways: Int,
        @ForAll seed: Int,
    ) {
        val random = Random(seed)
        val slack = 90 * 0.65
        val restart = settled + 12.seconds
        var budgets = List(gateways) { repeatBudget(20, 10.seconds, start) }
        val requests = mutableListOf<Instant>()
        val repeats = mutableListOf<Instant>()
        var now = settled
        var isRestarted = false
        while (now < settled + 30.seconds) {
            if (!isRestarted && now >= restart) {
                budgets = List(gateways) { repeatBudget(20, 10.seconds, now) }
                isRestarted = true
            }
            val budget = budgets.random(random)
            if (random.nextInt(4) == 0) budget.request(now).also { requests += now }
            if (budget.tryRepeat(now, slack / gateways)) repeats += now
            now += random.nextInt(40).milliseconds
        }
        for (last in repeats) {
            val from = last - 10.seconds
            val used = repeats.count { it > from && it <= last }
            val bound = 0.2 * requests.count { it > from && it <= last } + 90
            assertTrue(used <= bound, "$used repeats against $bound at ${last - settled}")
        }
    }

    /** Guards against a budget that leaves the slack of the bound unused beside the share of the requests. */
    @Test
    fun `the slack comes on top of the share`() {
        val budget = repeatBudget(20, 10.seconds, start)
        repeat(50) { budget.request(settled) }
        assertEquals(17, (1..100).count { budget.tryRepeat(settled, 7.3) })
        assertEquals(7, (1..100).count { budget.tryRepeat(settled + 10.1.seconds, 7.3) })
    }
}
