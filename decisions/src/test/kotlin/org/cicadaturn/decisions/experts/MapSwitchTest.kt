package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MapSwitchTest {
    /** Guards against any order of lost, late and refused orders, a restart and a second leader that splits the maps. */
    @Test
    fun `no pass begins with two maps`() {
        val (broken, seen) = explore(SwitchRules())
        assertNull(broken)
        assertTrue(seen > 10_000, "only $seen states were reached")
    }

    /** Guards against an exploration that could not find the fault: release before every rank is armed. */
    @Test
    fun `a release after the first armed rank is found`() {
        val hasty =
            SwitchRules(after = { phase, rank, order, answer ->
                val next = phase.after(rank, order, answer)
                if (next is SwitchPhase.Arming && phase is SwitchPhase.Arming && next != phase) {
                    SwitchPhase.Releasing(next.step, next.holder)
                } else {
                    next
                }
            })
        assertNotNull(explore(hasty).first)
    }

    /** Guards against the same for a second leader that lets the group go while arms may be under way. */
    @Test
    fun `a second leader that only releases is found`() {
        val careless =
            SwitchRules(takeUp = { states ->
                states.entries.firstOrNull { it.value.held != null }?.let {
                    SwitchPhase.Releasing(
                        it.value.held!!,
                        it.key,
                    )
                }
            })
        assertNotNull(explore(careless).first)
    }

    /** Guards against the same for a switch without a hold, where the pass begins while arms are under way. */
    @Test
    fun `a switch without a hold is found`() {
        assertNotNull(explore(SwitchRules(holds = false)).first)
    }

    /** Guards against a refused hold that is taken for one that holds. */
    @Test
    fun `a refused hold arms nobody`() {
        val holding = SwitchPhase.Holding(1, 5, 0, setOf(0, 1))
        assertEquals(SwitchPhase.Done, holding.after(0, RankOrder.Hold(5), OrderAnswer.REFUSED))
        assertEquals(holding, holding.after(0, RankOrder.Hold(5), OrderAnswer.LOST))
        assertEquals(SwitchPhase.Abandoned, holding.after(0, RankOrder.Hold(5), OrderAnswer.FENCED))
    }

    /** Returns the first broken state that is reached, or null, and the number of states. */
    private fun explore(rules: SwitchRules): Pair<SwitchWorld?, Int> {
        val seen = HashSet<SwitchWorld>()
        val open = ArrayDeque(listOf(SwitchWorld()))
        while (open.isNotEmpty() && seen.size < MOST_STATES) {
            val world = open.removeFirst()
            if (!seen.add(world)) continue
            if (world.isBroken) return world to seen.size
            world.next(rules).filterTo(open) { it !in seen }
        }
        return null to seen.size
    }

    private companion object {
        const val MOST_STATES = 400_000
    }
}
