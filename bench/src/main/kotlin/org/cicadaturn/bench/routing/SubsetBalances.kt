package org.cicadaturn.bench.routing

import org.cicadaturn.decisions.routing.endpointSubset
import org.cicadaturn.decisions.routing.subsetBalance
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.SubsetBalance

/**
 * Returns the balance of the subsets at several system sizes, before and after a tenth of the processes have
 * left.
 */
internal fun subsetBalances(): List<SubsetBalance> =
    SYSTEM_SIZES.map { (entries, endpoints) ->
        balanceOf(entries, endpoints)
    }

private fun balanceOf(
    entryCount: Int,
    endpointCount: Int,
): SubsetBalance {
    val entries = List(entryCount) { ProcessId("entry-$it") }
    val endpoints = List(endpointCount) { EndpointId("endpoint-$it") }
    val remainingEntries = entries.filterIndexed { number, _ -> number % 10 != 0 }
    val remainingEndpoints = endpoints.filterIndexed { number, _ -> number % 10 != 0 }
    val balance = subsetBalance(entries, endpoints, SUBSET_SIZE)
    val after = subsetBalance(remainingEntries, remainingEndpoints, SUBSET_SIZE)
    var connections = 0
    var newConnections = 0
    for (entry in remainingEntries) {
        val before = endpointSubset(entry, entries, endpoints, SUBSET_SIZE).toSet()
        val now = endpointSubset(entry, remainingEntries, remainingEndpoints, SUBSET_SIZE)
        connections += now.size
        newConnections += now.count { it !in before }
    }
    return SubsetBalance(
        entries = entryCount,
        endpoints = endpointCount,
        smallest = balance.smallest,
        largest = balance.largest,
        uncovered = balance.uncovered,
        imbalance = balance.imbalance,
        imbalanceWithout = after.imbalance,
        moved = newConnections.toDouble() / connections,
    )
}

private const val SUBSET_SIZE = 100
private val SYSTEM_SIZES = listOf(8 to 12, 35 to 380, 120 to 1_300, 350 to 3_800)
