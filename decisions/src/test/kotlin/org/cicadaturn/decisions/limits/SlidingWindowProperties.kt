package org.cicadaturn.decisions.limits

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SlidingWindowProperties {
    private val start = Instant.fromEpochSeconds(1_000)

    @Provide
    fun steps(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(1, 9_999)
            .list()
            .ofMinSize(1)
            .ofMaxSize(150)

    /** Guards against a charge that is removed too early, or more than one slot too late. */
    @Property(tries = 300, seed = "31")
    fun countsEachChargeForItsWindow(
        @ForAll("steps") steps: List<Int>,
    ) {
        val window = SlidingWindow(1.minutes, 500.milliseconds)
        val charges = ArrayList<Pair<Instant, Long>>()
        var now = start
        for (step in steps) {
            now += step.milliseconds
            window.add(now, step % 97L)
            charges += now to step % 97L
            val least = charges.filter { now - it.first < 1.minutes }.sumOf { it.second }
            val most = charges.filter { now - it.first <= 1.minutes + 500.milliseconds }.sumOf { it.second }
            val total = window.total(now)
            assertTrue(total in least..most, "$total counted, from $least to $most allowed")
        }
    }

    /** Guards against a refund that reduces a younger charge, exceeds its charge or follows its expiry. */
    @Test
    fun refundStaysWithItsCharge() {
        val window = SlidingWindow(1.minutes, 500.milliseconds)
        window.add(start, 100)
        window.add(start + 30.seconds, 50)
        assertEquals(60, window.refund(start + 31.seconds, start + 10.seconds, 60))
        assertEquals(90, window.total(start + 59.seconds))
        assertEquals(50, window.total(start + 61.seconds))
        assertEquals(0, window.refund(start + 61.seconds, start, 80))
        assertEquals(50, window.refund(start + 61.seconds, start + 30.seconds, 80))
        assertEquals(0, window.total(start + 62.seconds))
    }

    /** Guards against a copy in which charges are older than in the original. */
    @Test
    fun copyNeverMakesChargesOlder() {
        val window = SlidingWindow(1.minutes, 500.milliseconds)
        window.add(start, 7)
        val now = start + 12_700.milliseconds
        val copied = SlidingWindow(1.minutes, 500.milliseconds)
        window.byAge(now, COPY_SLOT).forEachIndexed { i, tokens -> copied.add(now - COPY_SLOT * i, tokens) }
        assertEquals(7, copied.total(start + 1.minutes))
        assertEquals(0, copied.total(start + 1.minutes + COPY_SLOT + 500.milliseconds))
    }
}
