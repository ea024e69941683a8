package org.cicadaturn.decisions.confirmation

import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ServiceId

/**
 * Number of shards of a service's key space.
 *
 * The number is part of the stored layout: a process that uses another number heldViews for a key in another
 * object and could run it again. It is therefore a constant and not a setting.
 */
public const val CONFIRMATION_SHARDS: Int = 64

private val hasher = Hashing.komihash5_0()

/** Returns the shard of [key], from 0 until [shards]. */
public fun shardOf(
    key: Digest,
    shards: Int = CONFIRMATION_SHARDS,
): Int {
    require(shards > 0) { "a service has at least one shard, not $shards" }
    return Math.floorMod(hasher.hashCharsToLong(key.text), shards)
}

/** Returns the store key of the object that holds [shard] of [service]. */
public fun shardObjectKey(
    service: ServiceId,
    shard: Int,
): String = "confirmations/${service.text}/$shard"

/**
 * Returns the endpoint of [live] that requests for [shard] of [service] go to, or null if none is live.
 *
 * Rendezvous hashing: when an endpoint leaves, only its shards move. The choice affects only the number of
 * conflicts in the store; two processes that use one shard at once are safe.
 */
public fun preferredEndpoint(
    service: ServiceId,
    shard: Int,
    live: Collection<EndpointId>,
): EndpointId? {
    val place = hasher.hashCharsToLong("${service.text}/$shard")
    val byWeight = compareBy<EndpointId> { hasher.hashLongLongToLong(place, hasher.hashCharsToLong(it.text)) }
    return live.maxWithOrNull(byWeight.thenBy { it.text })
}
