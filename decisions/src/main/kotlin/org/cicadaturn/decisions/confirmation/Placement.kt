package org.cicadaturn.decisions.confirmation

import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ServiceId

/**
 * Number of shards into which the idempotency keys of a service are divided.
 *
 * It is a constant and not a setting because it is part of the stored layout: a process with another number would
 * look for a key in another object and could run its call again.
 */
public const val CONFIRMATION_SHARDS: Int = 64

private val hasher = Hashing.komihash5_0()

/** Returns the shard of [key], from 0 to [shards] - 1. */
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
 * Returns the endpoint of [live] to which requests for [shard] of [service] are sent, or null if [live] is empty.
 *
 * Uses rendezvous hashing, so that only the shards of an endpoint that leaves are reassigned. The choice affects
 * only the number of write conflicts in the store; two processes can safely use the same shard at once.
 */
public fun preferredEndpoint(
    service: ServiceId,
    shard: Int,
    live: Collection<EndpointId>,
): EndpointId? {
    val shardHash = hasher.hashCharsToLong("${service.text}/$shard")
    val byWeight = compareBy<EndpointId> { hasher.hashLongLongToLong(shardHash, hasher.hashCharsToLong(it.text)) }
    return live.maxWithOrNull(byWeight.thenBy { it.text })
}
