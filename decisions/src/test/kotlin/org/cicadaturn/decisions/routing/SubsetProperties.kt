package org.cicadaturn.decisions.routing

import net.jqwik.api.Assume
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SubsetProperties {
    private fun entries(count: Int) = List(count) { ProcessId("entry-$it") }

    private fun endpoints(count: Int) = List(count) { EndpointId("endpoint-$it") }

    private fun subsets(
        entries: List<ProcessId>,
        endpoints: List<EndpointId>,
        size: Int,
    ) = entries.associateWith { endpointSubset(it, entries, endpoints, size).toSet() }

    /** Guards against endpoints that are served by more entries than others. */
    @Property(tries = 60, seed = "11")
    fun everyEndpointHasTheSameNumberOfEntries(
        @ForAll @IntRange(min = 1, max = 40) entryCount: Int,
        @ForAll @IntRange(min = 1, max = 120) endpointCount: Int,
        @ForAll @IntRange(min = 1, max = 60) size: Int,
    ) {
        val subsets = subsets(entries(entryCount), endpoints(endpointCount), size)
        val taken = endpoints(endpointCount).map { endpoint -> subsets.values.count { endpoint in it } }
        assertEquals(setOf(entriesPerEndpoint(entryCount, endpointCount, size)), taken.toSet())
    }

    /** Guards against connections that change although neither of their ends joined or left. */
    @Property(tries = 40, seed = "12")
    fun endpointThatLeavesChangesOnlyItself(
        @ForAll @IntRange(min = 2, max = 40) entryCount: Int,
        @ForAll @IntRange(min = 81, max = 120) endpointCount: Int,
        @ForAll @IntRange(min = 0, max = 80) leaving: Int,
    ) {
        val all = endpoints(endpointCount)
        val rest = all - all[leaving]
        val count = entriesPerEndpoint(entryCount, endpointCount, 20)
        Assume.that(entriesPerEndpoint(entryCount, endpointCount - 1, 20) == count)
        val before = subsets(entries(entryCount), all, 20)
        val after = subsets(entries(entryCount), rest, 20)
        before.forEach { (entry, subset) -> assertEquals(subset - all[leaving], after[entry]) }
    }

    /** Guards against an entry's restart reshuffling the connections of the others. */
    @Property(tries = 40, seed = "13")
    fun entryThatLeavesOnlyAddsToTheOthers(
        @ForAll @IntRange(min = 8, max = 40) entryCount: Int,
        @ForAll @IntRange(min = 0, max = 7) leaving: Int,
    ) {
        val all = entries(entryCount)
        val rest = all - all[leaving]
        Assume.that(entriesPerEndpoint(entryCount, 100, 20) == entriesPerEndpoint(entryCount - 1, 100, 20))
        val before = subsets(all, endpoints(100), 20)
        val after = subsets(rest, endpoints(100), 20)
        rest.forEach { assertTrue(after.getValue(it).containsAll(before.getValue(it)), "entry $it lost endpoints") }
        val gained = rest.sumOf { (after.getValue(it) - before.getValue(it)).size }
        assertEquals(before.getValue(all[leaving]).size, gained)
    }

    /** Guards against two entries that use the same place at a cold endpoint. */
    @Property(tries = 40, seed = "14")
    fun ranksAreAPermutation(
        @ForAll @IntRange(min = 1, max = 40) entryCount: Int,
        @ForAll @IntRange(min = 0, max = 80) endpoint: Int,
    ) {
        val all = entries(entryCount)
        val ranks = all.map { entryRank(it, all, EndpointId("endpoint-$endpoint")) }
        assertEquals((0 until entryCount).toList(), ranks.sorted())
    }

    /** Guards against a subset in small fleets, and against an entry that its own lagging list leaves out. */
    @Test
    fun smallFleetsHaveNoSubset() {
        assertEquals(endpoints(12), endpointSubset(ProcessId("entry-1"), entries(8), endpoints(12), 40))
        assertEquals(endpoints(12), endpointSubset(ProcessId("new"), emptyList(), endpoints(12), 4))
    }

    /** Guards against uneven load at the design scale; the load of an endpoint may be 25 percent above the mean. */
    @Test
    fun designScaleIsBalanced() {
        val balance = subsetBalance(entries(350), endpoints(3_800), 100)
        assertEquals(0, balance.uncovered)
        assertTrue(balance.imbalance <= 1.25, "$balance")
    }
}
