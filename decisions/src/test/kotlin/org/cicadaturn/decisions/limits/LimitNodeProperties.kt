package org.cicadaturn.decisions.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val TICKS_A_SECOND = 20
private const val LIMIT = 60_000L

/** Share of the limit by which the use in a minute may exceed it. */
private const val TOLERANCE = 0.02

class LimitNodeProperties {
    /** Runs the network for [seconds] with requests at the first [spread] processes. */
    private fun LimitNetwork.run(
        seconds: Int,
        random: Random,
        spread: Int,
    ) {
        repeat(seconds * TICKS_A_SECOND) {
            // The mean demand of 150 tokens per tick is three times the limit of 60 000 per minute, or 50 per tick.
            if (random.nextInt(4) == 0) request(ids[random.nextInt(spread)], random.nextLong(200, 1_000))
            tick()
        }
    }

    private fun assertBound(network: LimitNetwork) {
        val worst = network.worstMinute()
        assertTrue(worst <= LIMIT * (1 + TOLERANCE), "$worst tokens in a minute, the limit is $LIMIT")
    }

    /** Guards against use above the limit in a minute when messages are lost and duplicated and a process fails. */
    @Property(tries = 40, seed = "41")
    fun noMinuteExceedsTheLimit(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
        @ForAll @IntRange(min = 1, max = 8) spread: Int,
        @ForAll @IntRange(min = 0, max = 20) lossPercent: Int,
    ) {
        val random = Random(seed)
        val network = LimitNetwork(8, OrganisationLimit(LIMIT, 1_000), random, lossPercent / 100.0)
        network.run(90, random, spread)
        network.kill(network.allocator())
        network.run(3, random, 8)
        network.updateViews()
        network.run(90, random, 8)
        assertBound(network)
    }

    /** Guards against a disconnected process that uses its part while the others use it too. */
    @Property(tries = 20, seed = "42")
    fun disconnectedProcessStaysWithinTheTolerance(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
        @ForAll @IntRange(min = 0, max = 9) victim: Int,
    ) {
        val random = Random(seed)
        val network = LimitNetwork(10, OrganisationLimit(LIMIT, 1_000), random, 0.01)
        network.run(70, random, 10)
        network.disconnect(network.ids[victim])
        network.run(3, random, 10)
        network.updateViews()
        network.run(90, random, 10)
        assertBound(network)
    }

    /** Guards against a disconnected process that gets new demand and uses budget that others have already used. */
    @Property(tries = 20, seed = "43")
    fun newDemandAtADisconnectedProcessStaysWithinTheTolerance(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = Random(seed)
        val network = LimitNetwork(10, OrganisationLimit(LIMIT, 1_000), random, 0.01, leastUse = 1.0)
        // With the burst bound, the limit is used up after 40 s; no charge leaves the window before 60 s.
        network.run(45, random, 9)
        network.disconnect(network.ids[9])
        network.run(3, random, 9)
        network.updateViews()
        repeat(90 * TICKS_A_SECOND) {
            if (random.nextInt(4) == 0) network.request(network.ids[9], random.nextLong(200, 1_000))
            if (random.nextInt(4) == 0) network.request(network.ids[random.nextInt(9)], random.nextLong(200, 1_000))
            network.tick()
        }
        assertBound(network)
    }

    /** Guards against a takeover that blocks an organisation, or that grants the budget of the last minute again. */
    @Test
    fun newAllocatorContinuesWithTheKnownUse() {
        val random = Random(7)
        val network = LimitNetwork(8, OrganisationLimit(LIMIT, 1_000), random, 0.0, leastUse = 1.0)
        network.run(150, random, 8)
        network.kill(network.allocator())
        network.run(3, random, 8)
        network.updateViews()
        val from = network.now
        network.run(300, random, 8)
        assertBound(network)
        val after = network.admittedIn(from + 60.seconds, 4.minutes)
        // One of eight processes has failed and its part stays reserved; 95% of the rest must be usable.
        assertTrue(after >= LIMIT * 7 / 8 * 4 * 0.95, "$after tokens in four minutes after the takeover")
    }

    /** Guards against more requests in flight than the limit when no process fails and no message is lost. */
    @Test
    fun requestsInFlightStayWithinTheLimit() {
        val random = Random(9)
        val network = LimitNetwork(8, OrganisationLimit(10_000_000, 12), random, 0.0)
        network.run(120, random, 8)
        assertTrue(network.mostInFlight in 9..12, "${network.mostInFlight} requests in flight, the limit is 12")
    }
}
