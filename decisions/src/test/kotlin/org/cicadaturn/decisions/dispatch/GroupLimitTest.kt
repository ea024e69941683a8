package org.cicadaturn.decisions.dispatch

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class GroupLimitTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val engine = EngineProfile(slots = 8, stepTime = 5.milliseconds, stepTimePerRequest = 1.milliseconds)

    /** Guards against processes that each use all slots, so that requests queue at the engine until all are late. */
    @Test
    fun `a process gets the share of the slots that it has of the load`() {
        val limit = groupLimit()
        limit.reported(reported = 6, own = 2.0, start)
        assertEquals(8.0 * 2 / 6, limit.ownPerRank(engine, start), 1e-9)
    }

    /** Guards against a limit from outdated reports that keeps an idle group from being used. */
    @Test
    fun `without recent reports there is no limit`() {
        val limit = groupLimit()
        assertEquals(Double.MAX_VALUE, limit.ownPerRank(engine, start))
        limit.reported(reported = 8, own = 1.0, start)
        assertEquals(Double.MAX_VALUE, limit.ownPerRank(engine, start + 10.seconds))
    }

    /** Guards against a number of requests with which the pauses of all streams exceed their target. */
    @Test
    fun `long pauses lower the limit below the slots`() {
        val limit = groupLimit()
        limit.reported(reported = 8, own = 8.0, start)
        repeat(20) { limit.paced(1.0, start) }
        // Steps of 13 ms take the whole target, so 0.8 of it allows 10.4 ms, which is 5.4 requests.
        assertEquals(5.4, limit.ownPerRank(engine, start), 1e-9)
    }

    /** Guards against refusals that help nobody where even few requests are too slow, as after a shift of demand. */
    @Test
    fun `pauses that fewer requests cannot mend do not lower the limit`() {
        val limit = groupLimit()
        limit.reported(reported = 4, own = 4.0, start)
        repeat(20) { limit.paced(2.0, start) }
        assertEquals(8.0, limit.ownPerRank(engine, start), 1e-9)
    }

    /** Guards against a limit that oscillates or starves: the closed loop settles at the sustainable number. */
    @Test
    fun `the limit settles where pauses meet their target`() {
        val limit = groupLimit()
        val target = 12.0
        var load = 12.0
        var now = start
        repeat(400) {
            val step = 5.0 + minOf(load, 8.0)
            limit.reported(load.toInt(), load, now)
            limit.paced(step / target, now)
            val allowed = limit.ownPerRank(engine, now)
            load = if (load < allowed) minOf(load + 0.5, 12.0) else maxOf(load - 0.5, 0.0)
            now += 50.milliseconds
        }
        assertTrue(load in 3.0..6.5, "settled at $load")
        assertTrue(now - start > Duration.ZERO)
    }
}
