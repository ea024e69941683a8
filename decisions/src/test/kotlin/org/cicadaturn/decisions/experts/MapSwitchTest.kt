package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MapSwitchTest {
    /** Guards against lost, late or refused orders, a restart or a second leader that lead to a pass with two maps. */
    @Test
    fun `no pass begins with two maps`() {
        val (broken, seen) = explore(SwitchRules())
        assertNull(broken)
        assertTrue(seen > 10_000, "only $seen states were reached")
    }

    /** Guards against an exploration that misses this fault: a release before every rank is armed. */
    @Test
    fun `a release after the first armed rank is found`() {
        val earlyRelease =
            SwitchRules(after = { phase, rank, order, answer ->
                val next = phase.after(rank, order, answer)
                if (next is SwitchPhase.Arming && phase is SwitchPhase.Arming && next != phase) {
                    SwitchPhase.Releasing(next.step, next.holder)
                } else {
                    next
                }
            })
        assertNotNull(explore(earlyRelease).first)
    }

    /** Guards against an exploration that misses this fault: a second leader releases a group that is being armed. */
    @Test
    fun `a second leader that only releases is found`() {
        val releaseOnly =
            SwitchRules(resume = { states ->
                states.entries.firstOrNull { it.value.held != null }?.let {
                    SwitchPhase.Releasing(
                        it.value.held!!,
                        it.key,
                    )
                }
            })
        assertNotNull(explore(releaseOnly).first)
    }

    /** Guards against an exploration that misses this fault: without a hold, a pass begins while ranks are armed. */
    @Test
    fun `a switch without a hold is found`() {
        assertNotNull(explore(SwitchRules(holds = false)).first)
    }

    /** Guards against a refused hold that is treated as an accepted one. */
    @Test
    fun `a refused hold arms no rank`() {
        val holding = SwitchPhase.Holding(1, 5, 0, setOf(0, 1))
        assertEquals(SwitchPhase.Done, holding.after(0, RankOrder.Hold(5), OrderAnswer.REFUSED))
        assertEquals(holding, holding.after(0, RankOrder.Hold(5), OrderAnswer.LOST))
        assertEquals(SwitchPhase.Abandoned, holding.after(0, RankOrder.Hold(5), OrderAnswer.FENCED))
    }

    /** Returns the first broken state that is reached, or null, and the number of states that were visited. */
    private fun explore(rules: SwitchRules): Pair<SwitchModel?, Int> {
        val seen = HashSet<SwitchModel>()
        val open = ArrayDeque(listOf(SwitchModel()))
        while (open.isNotEmpty() && seen.size < MAX_STATES) {
            val state = open.removeFirst()
            if (!seen.add(state)) continue
            if (state.isBroken) return state to seen.size
            state.next(rules).filterTo(open) { it !in seen }
        }
        return null to seen.size
    }

    private companion object {
        const val MAX_STATES = 400_000
    }
}
