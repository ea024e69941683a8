package org.cicadaturn.decisions.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ProcessId

/**
 * Returns the [endpoints] that [entry] sends to, about [size] of them.
 *
 * Rendezvous hashing assigns each endpoint the same number of entries: those with the highest hash of entry and
 * endpoint. Therefore every endpoint is covered equally, an entry that joins or leaves affects only the endpoints that
 * it sends to, and an endpoint that joins or leaves affects only its own assignment. The number of endpoints of an
 * entry varies around [size]. All endpoints are returned if there are too few entries to cover them otherwise. If
 * [entry] is missing from [entries], because the list lags, it is added.
 */
public fun endpointSubset(
    entry: ProcessId,
    entries: Collection<ProcessId>,
    endpoints: Collection<EndpointId>,
    size: Int,
): List<EndpointId> {
    val others = hashed((entries.toSet() - entry).map { it.text })
    val count = entriesPerEndpoint(others.size + 1, endpoints.size, size)
    val self = hash(entry.text)
    return endpoints.filter { endpoint ->
        val own = score(self, hash(endpoint.text))
        rank(own, others, hash(endpoint.text), count) < count
    }
}

/**
 * Returns the position of [entry] among the [entries] that send to [endpoint], from 0.
 *
 * The positions at one endpoint are a permutation that is independent of those at the other endpoints.
 */
public fun entryRank(
    entry: ProcessId,
    entries: Collection<ProcessId>,
    endpoint: EndpointId,
): Int = entryRank(entry, entries, endpoint.text)

/** Returns the position of [entry] among the [entries] that share what has the name [target], from 0. */
public fun entryRank(
    entry: ProcessId,
    entries: Collection<ProcessId>,
    target: String,
): Int {
    val others = hashed((entries.toSet() - entry).map { it.text })
    val hashed = hash(target)
    return rank(score(hash(entry.text), hashed), others, hashed, others.size + 1)
}

/** Returns the number of entries to assign to each endpoint so that an entry gets about [size] endpoints. */
public fun entriesPerEndpoint(
    entries: Int,
    endpoints: Int,
    size: Int,
): Int {
    require(size >= 1) { "subset size $size must be at least 1" }
    if (endpoints <= size) return entries
    val count = (size.toLong() * entries + endpoints - 1) / endpoints
    return count.toInt().coerceIn(minOf(MIN_ENTRIES_PER_ENDPOINT, entries), entries)
}

/**
 * Measures of how evenly subsets spread load.
 *
 * @property smallest smallest number of endpoints of an entry
 * @property largest largest number of endpoints of an entry
 * @property uncovered number of endpoints that no entry sends to
 * @property imbalance load of the most loaded endpoint relative to the mean, if each entry spreads the same load evenly
 * over its subset; 1 is even
 */
public data class SubsetBalance(
    val smallest: Int,
    val largest: Int,
    val uncovered: Int,
    val imbalance: Double,
)

/** Returns the balance of the subsets of all [entries]. */
public fun subsetBalance(
    entries: Collection<ProcessId>,
    endpoints: Collection<EndpointId>,
    size: Int,
): SubsetBalance {
    require(entries.isNotEmpty() && endpoints.isNotEmpty()) { "balance needs at least one entry and one endpoint" }
    val load = endpoints.associateWithTo(HashMap()) { 0.0 }
    val sizes =
        entries.map { entry ->
            val subset = endpointSubset(entry, entries, endpoints, size)
            subset.forEach { load.merge(it, 1.0 / subset.size, Double::plus) }
            subset.size
        }
    val mean = load.values.sum() / load.size
    return SubsetBalance(sizes.min(), sizes.max(), load.values.count { it == 0.0 }, load.values.max() / mean)
}

private fun hashed(texts: List<String>): LongArray = LongArray(texts.size) { hash(texts[it]) }

private fun hash(text: String): Long = hasher.hashCharsToLong(text)

private fun score(
    entry: Long,
    endpoint: Long,
): Long = hasher.hashLongLongToLong(entry, endpoint)

/** Returns how many of [entries] score above [own], counting up to [limit]. */
private fun rank(
    own: Long,
    entries: LongArray,
    endpoint: Long,
    limit: Int,
): Int {
    var above = 0
    for (entry in entries) {
        if (score(entry, endpoint) > own) above += 1
        if (above >= limit) break
    }
    return above
}

private val hasher = Hashing.wyhashFinal4()

// With a single entry, an endpoint would be unused while that entry restarts.
private const val MIN_ENTRIES_PER_ENDPOINT = 3
