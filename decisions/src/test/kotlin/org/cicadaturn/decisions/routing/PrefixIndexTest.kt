package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PrefixIndexTest {
    private val a = EndpointId("a")
    private val b = EndpointId("b")
    private val index = prefixIndex(capacity = 4, lifetime = 2.minutes)

    /** Guards against the length of a shared prefix being taken from another endpoint's cache. */
    @Test
    fun longestPrefixOfEachEndpointCounts() {
        index.sent(a, listOf(1, 2, 3), start)
        index.sent(b, listOf(1), start)
        assertEquals(mapOf(a to 2, b to 1), index.holders(listOf(1, 2, 9), start))
    }

    /** Guards against hits for a prefix that was evicted, or that an event with an old number restores. */
    @Test
    fun evictionsCountAndOldEventsDoNot() {
        index.event(CacheEvent(a, sequence = 1, stored = listOf(1, 2)), start)
        index.event(CacheEvent(a, sequence = 2, evicted = listOf(2)), start)
        index.event(CacheEvent(a, sequence = 1, stored = listOf(1, 2)), start)
        assertEquals(mapOf(a to 1), index.holders(listOf(1, 2), start))
    }

    /** Guards against hits recorded before events were lost, which may have been evictions. */
    @Test
    fun gapInvalidatesEarlierRecords() {
        index.event(CacheEvent(a, sequence = 1, stored = listOf(1)), start)
        index.event(CacheEvent(a, sequence = 3, stored = listOf(2)), start + 1.seconds)
        assertEquals(emptyMap<EndpointId, Int>(), index.holders(listOf(1), start + 1.seconds))
        assertEquals(mapOf(a to 1), index.holders(listOf(2), start + 1.seconds))
    }

    /** Guards against hits that are too old to be valid, and against memory that grows with the traffic. */
    @Test
    fun oldAndLeastUsedPrefixesAreForgotten() {
        index.sent(a, listOf(1, 2, 3, 4), start)
        index.sent(b, listOf(5), start)
        assertEquals(emptyMap<EndpointId, Int>(), index.holders(listOf(1), start))
        assertEquals(mapOf(a to 1), index.holders(listOf(2), start))
        assertEquals(emptyMap<EndpointId, Int>(), index.holders(listOf(2), start + 2.minutes))
    }
}
