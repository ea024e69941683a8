package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Event in which an engine reports changes of its prefix cache.
 *
 * @property endpoint endpoint of the engine
 * @property sequence number that grows by one with each event of the endpoint; a gap means that events were lost
 * @property stored prefixes that were added to the cache
 * @property evicted prefixes that were removed from the cache
 */
public data class CacheEvent(
    val endpoint: EndpointId,
    val sequence: Long,
    val stored: List<Long> = emptyList(),
    val evicted: List<Long> = emptyList(),
)

/**
 * Tracks which endpoints may have a prefix of a prompt in their cache.
 *
 * A prompt is given as the hashes of its prefixes of one, two, three... blocks. The results are estimates: an event may
 * be late or lost, and a cache may evict a prefix at any time. So a holder counts only for a limited time, and after a
 * gap in the events of an endpoint, everything recorded before the gap is ignored. An index has one owner and is not
 * safe for concurrent use.
 */
public interface PrefixIndex {
    /** Records that a prompt with the prefixes [blocks] was sent to [endpoint]. */
    public fun sent(
        endpoint: EndpointId,
        blocks: List<Long>,
        now: Instant,
    )

    /** Applies an event of an engine; one with an old sequence number is ignored. */
    public fun event(
        event: CacheEvent,
        now: Instant,
    )

    /** Ignores what was recorded for [endpoint] before [now], for example after its engine became cold. */
    public fun forget(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Returns, for each endpoint that may hold a prefix, the length of the longest one, in blocks. */
    public fun holders(
        blocks: List<Long>,
        now: Instant,
    ): Map<EndpointId, Int>
}

/** Returns an empty index of at most [capacity] prefixes; a holder counts for [lifetime] after it was last recorded. */
public fun prefixIndex(
    capacity: Int = 10_000,
    lifetime: Duration = 2.minutes,
): PrefixIndex {
    require(capacity >= 1) { "capacity $capacity must be at least 1" }
    return BoundedPrefixIndex(capacity, lifetime)
}

private class BoundedPrefixIndex(
    private val capacity: Int,
    private val lifetime: Duration,
) : PrefixIndex {
    // In access order, the first prefix is the least recently used one.
    private val prefixes = LinkedHashMap<Long, LinkedHashMap<EndpointId, Instant>>(16, 0.75f, true)
    private val sequences = HashMap<EndpointId, Long>()
    private val validAfter = HashMap<EndpointId, Instant>()

    override fun sent(
        endpoint: EndpointId,
        blocks: List<Long>,
        now: Instant,
    ) = blocks.forEach { store(endpoint, it, now) }

    override fun event(
        event: CacheEvent,
        now: Instant,
    ) {
        val last = sequences[event.endpoint]
        if (last != null && event.sequence <= last) return
        sequences[event.endpoint] = event.sequence
        if (last != null && event.sequence > last + 1) forget(event.endpoint, now)
        event.evicted.forEach { prefixes[it]?.remove(event.endpoint) }
        event.stored.forEach { store(event.endpoint, it, now) }
    }

    override fun forget(
        endpoint: EndpointId,
        now: Instant,
    ) {
        validAfter[endpoint] = now
    }

    private fun store(
        endpoint: EndpointId,
        prefix: Long,
        now: Instant,
    ) {
        val holders = prefixes.getOrPut(prefix) { LinkedHashMap() }
        // Removed first so that the newest holder is the last one.
        holders.remove(endpoint)
        holders[endpoint] = now
        if (holders.size > MAX_HOLDERS) holders.remove(holders.keys.first())
        if (prefixes.size > capacity) prefixes.remove(prefixes.keys.first())
    }

    override fun holders(
        blocks: List<Long>,
        now: Instant,
    ): Map<EndpointId, Int> {
        val found = HashMap<EndpointId, Int>()
        for (index in blocks.indices.reversed()) {
            val holders = prefixes[blocks[index]] ?: continue
            for ((endpoint, recorded) in holders) {
                val isValid = now - recorded < lifetime && recorded >= (validAfter[endpoint] ?: Instant.DISTANT_PAST)
                if (isValid) found.putIfAbsent(endpoint, index + 1)
            }
        }
        return found
    }

    private companion object {
        // A popular prefix is cached nearly everywhere and hardly affects the choice, so a few holders are enough.
        const val MAX_HOLDERS = 4
    }
}
