package org.cicadaturn.decisions.confirmation

import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

class ExplorationTest {
    /**
     * Guards against a second run, a lost answer, a false NOT_RUN, a request without result and a claim that is never
     * settled. Explores every order of events, with a fault possible at every step.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    fun `every rule holds in every reachable state`(
        name: String,
        exploration: Exploration,
    ) {
        val explored = explore(exploration)
        println("exploration, $name: ${explored.states} states, ${explored.endings} endings")
        assertNull(explored.violation)
        assertTrue(explored.endings > 0, "no ending was reached")
    }

    companion object {
        private val first = ScriptedRequest(process = 0)
        private val other = ScriptedRequest(process = 1)
        private val otherBody = ScriptedRequest(process = 1, body = "other body")

        @JvmStatic
        fun cases(): List<Arguments> =
            listOf(
                arguments("two processes, two faults", Exploration(listOf(first, other), faults = 2, ticks = 2)),
                arguments("two processes, no fault, late repeat", Exploration(listOf(first, other), faults = 0)),
                arguments("two processes, one fault, late", Exploration(listOf(first, other), faults = 1, ticks = 3)),
                arguments("one process, two faults", Exploration(listOf(first, first), faults = 2, ticks = 2)),
                arguments("other body, one fault", Exploration(listOf(first, otherBody), faults = 1, ticks = 2)),
                arguments("three requests, one fault", Exploration(listOf(first, other, first), faults = 1, ticks = 2)),
            )
    }
}
