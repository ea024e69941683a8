package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.pow
import kotlin.random.Random

class PlacementPlanTest {
    private val bounds = PlacementBounds(experts = 72, ranks = 12, places = 8, newPlaces = 3)

    private fun firstMap(): ExpertMap = ExpertMap(listOf(List(12) { r -> (0 until 72).filter { it % 12 == r } }))

    private fun skewedDemand(random: Random): DoubleArray {
        val ranked = (0 until 72).shuffled(random)
        return DoubleArray(72).also { d ->
            ranked.forEachIndexed { i, e -> d[e] = 1000.0 / (i + 1).toDouble().pow(1.1) }
        }
    }

    /** Guards against a search that finds no first move, which left the most loaded rank at three times the mean. */
    @Test
    fun `a skewed demand is spread within one change`() {
        val random = Random(1)
        repeat(20) {
            val plan = planPlacement(firstMap(), listOf(skewedDemand(random)), bounds)
            assertTrue(plan.before > 2.0, "skew ${plan.before} before")
            assertTrue(plan.after < 0.7 * plan.before, "skew ${plan.before} to ${plan.after}")
        }
    }

    /** Guards against maps that ranks refuse: a lost expert, too many places or too many new experts. */
    @Test
    fun `every map keeps the bounds`() {
        val random = Random(2)
        var map = firstMap()
        repeat(40) {
            val plan = planPlacement(map, listOf(skewedDemand(random)), bounds)
            val ranks = plan.map.sets.single()
            assertEquals((0 until 72).toSet(), ranks.flatten().toSet())
            ranks.forEachIndexed { r, held ->
                assertEquals(held.size, held.toSet().size)
                assertTrue(held.size <= bounds.places)
                assertTrue(held.count { it !in map.sets.single()[r] } <= bounds.newPlaces)
            }
            map = plan.map
        }
    }

    /** Guards against a change that one rank delays by copying experts of several sets. */
    @Test
    fun `no rank copies more experts of all sets than allowed`() {
        val random = Random(3)
        var map = ExpertMap(List(4) { firstMap().sets.single() })
        repeat(20) {
            val demand = List(4) { skewedDemand(random) }
            val plan = planPlacement(map, demand, bounds.copy(newInAllSets = 1))
            val new =
                (0 until bounds.ranks).map { r ->
                    map.sets.indices.sumOf { s -> plan.map.sets[s][r].count { it !in map.sets[s][r] } }
                }
            assertTrue(new.max() <= 1, "$new")
            assertEquals(new, plan.newExperts)
            map = plan.map
        }
    }

    /** Guards against copies without a gain. */
    @Test
    fun `an even demand moves no experts`() {
        val plan = planPlacement(firstMap(), listOf(DoubleArray(72) { 10.0 }), bounds)
        assertEquals(0, plan.newExperts.sum())
    }
}
