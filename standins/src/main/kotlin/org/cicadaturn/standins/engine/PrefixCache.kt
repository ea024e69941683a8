package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.Digest

/**
 * Cache of the blocks of prompt prefixes; evicts the least recently used block first.
 *
 * @property capacity maximum number of blocks
 * @property parents preceding block of each block, null for the first block of a prompt; least recently used first
 */
public data class PrefixCache(
    val capacity: Int,
    val parents: Map<Digest, Digest?> = emptyMap(),
) {
    /** Number of cached blocks. */
    val size: Int get() = parents.size

    /** Returns the number of leading blocks of [blocks] that are cached. */
    public fun cachedPrefixLength(blocks: List<Digest>): Int = blocks.takeWhile { it in parents }.size

    /** Returns this cache with the prompt prefix [blocks] as the most recently used. */
    public fun with(blocks: List<Digest>): PrefixCache {
        if (blocks.isEmpty()) return this
        val order = LinkedHashMap(parents)
        // Makes the first block the most recently used, because a block is usable only while all before it are cached.
        blocks.indices.reversed().forEach { i ->
            order.remove(blocks[i])
            order[blocks[i]] = blocks.getOrNull(i - 1)
        }
        val eldest = order.keys.iterator()
        while (order.size > capacity) {
            eldest.next()
            eldest.remove()
        }
        return copy(parents = order)
    }

    /** Returns all blocks of the prefix that ends with [last], in order, or null if one of them is not cached. */
    public fun prefixEndingWith(last: Digest): List<Digest>? {
        val blocks = ArrayDeque<Digest>()
        var block: Digest? = last
        // Imported blocks may form a cycle of parents; a chain with more blocks than the cache has is a cycle.
        while (block != null && block in parents && blocks.size < size) {
            blocks.addFirst(block)
            block = parents[block]
        }
        return if (block == null) blocks.toList() else null
    }
}
