package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.RefusalCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class SampledChooserTest {
    private val chooser = sampledChooser(Random(1))

    private fun chosen(input: RoutingInput) = List(200) { chooser(input).endpoint() }.toSet()

    private fun remote(
        number: Int,
        running: Int,
    ) = warm(number, running).copy(network = 2.milliseconds)

    /** Guards against a remote endpoint being chosen without a gain, and against a local one that is full. */
    @Test
    fun localIsPreferredUnlessItIsSlower() {
        assertEquals(setOf(id(0)), chosen(input(listOf(warm(0, 12)), listOf(remote(1, 12)))))
        assertEquals(setOf(id(0)), chosen(input(listOf(warm(0, 13)), listOf(remote(1, 12)))))
        assertEquals(setOf(id(1)), chosen(input(listOf(warm(0, 31)), listOf(remote(1, 12)))))
    }

    /** Guards against a second attempt at the endpoint that has just refused, and against unusable endpoints. */
    @Test
    fun unusableEndpointsAreNotChosen() {
        val notAccepting = Candidate(id(1), report(1, 0).copy(accepting = false))
        val unreachable = Candidate(id(2), report(2, 0, engine = EngineState.UNREACHABLE))
        val onProbation = warm(3, 0).copy(own = Work(1, 500), ownLimit = 1)
        val candidates = listOf(warm(0, 0), notAccepting, unreachable, onProbation, warm(4, 30))
        assertEquals(setOf(id(4)), chosen(input(candidates).copy(tried = setOf(id(0)))))
    }

    /** Guards against a refusal although one of many endpoints is free. */
    @Test
    fun theOnlyUsableEndpointIsFound() {
        val candidates = List(1_000) { if (it == 777) warm(it, 5) else cold(it, 2, bound = 2) }
        assertEquals(setOf(id(777)), chosen(input(candidates)))
    }

    /** Guards against an endpoint that has just refused for overload being chosen by an earlier report. */
    @Test
    fun refusingEndpointCountsAsFull() {
        val refusing = warm(0, 2).copy(isFull = true)
        assertEquals(setOf(id(1)), chosen(input(listOf(refusing, warm(1, 30)))))
        assertEquals(setOf(id(0)), chosen(input(listOf(refusing))))
        val coldRefusing = cold(0, 0, bound = 4).copy(isFull = true)
        assertEquals(setOf(null), chosen(input(listOf(coldRefusing))))
    }

    /** Guards against a choice without a candidate, or after the deadline, and against a wrong reason for it. */
    @Test
    fun refusalsNameTheReason() {
        assertEquals(RefusalCode.UNREACHABLE, (chooser(input(emptyList())) as Choice.None).code)
        val full = input(listOf(cold(0, 2, bound = 2)))
        assertEquals(RefusalCode.OVERLOADED, (chooser(full) as Choice.None).code)
        val late = input(listOf(warm(0, 0))).copy(deadline = start)
        assertEquals(RefusalCode.DEADLINE, (chooser(late) as Choice.None).code)
        val tooFar = input(emptyList(), listOf(remote(0, 0))).copy(deadline = start + 1.milliseconds)
        assertEquals(null, chooser(tooFar).endpoint())
    }

    /** Guards against cached prefixes that are ignored, or that overload the endpoint that has them. */
    @ParameterizedTest
    @ValueSource(ints = [8, 16, 20, 26, 30])
    fun cachedPrefixCountsUpToItsLoadLimit(running: Int) {
        val candidates = List(8) { warm(it, if (it == 0) running else 14) }
        val result = chosen(input(candidates).copy(cached = listOf(CachedPrefix(0, 2_000))))
        if (running <= 20) assertEquals(setOf(id(0)), result) else assertTrue(id(0) !in result, "$result")
    }

    /** Guards against choices that depend on anything but the input and the seed. */
    @Test
    fun sameSeedGivesTheSameChoices() {
        val candidates = input(List(30) { warm(it, it) })
        val first = sampledChooser(Random(7)).let { c -> List(100) { c(candidates) } }
        val second = sampledChooser(Random(7)).let { c -> List(100) { c(candidates) } }
        assertEquals(first, second)
        assertTrue(first.toSet().size > 10, "few endpoints are chosen: ${first.toSet()}")
    }

    /** Guards against baselines that leave out or prefer endpoints, which would bias the comparison. */
    @Test
    fun baselinesFollowTheirRules() {
        val candidates = List(4) { warm(it, 0).copy(own = Work(it % 2, 0)) }
        val roundRobin = roundRobinChooser()
        assertEquals(candidates.map { it.endpoint }, List(4) { roundRobin(input(candidates)).endpoint() })
        val least = leastInFlightChooser()
        assertEquals(setOf(id(0), id(2)), List(4) { least(input(candidates)).endpoint() }.toSet())
    }
}
