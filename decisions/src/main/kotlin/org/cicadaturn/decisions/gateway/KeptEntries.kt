package org.cicadaturn.decisions.gateway

import kotlin.time.Instant

/**
 * Entries of a part of the fleet in the order of their last change, with those that are kept for a while although the
 * store no longer lists them. Has one owner and is not safe for concurrent use.
 */
internal class KeptEntries<K : Any, V : Any>(
    private val keyOf: (V) -> K,
) {
    private val entries = LinkedHashMap<K, V>()
    private val keptUntil = LinkedHashMap<K, Instant>()

    val values: List<V> get() = entries.values.toList()

    /** Entries that the store does not list. */
    val kept: Set<K> get() = keptUntil.keys

    operator fun get(key: K): V? = entries[key]

    /** Returns the keys that are not among those of [content]. */
    fun missingFrom(content: Collection<V>): List<K> {
        val listed = content.mapTo(HashSet(), keyOf)
        return entries.keys.filter { it !in listed }
    }

    /** Replaces the entries with [content]; those that it lacks are kept until [keepUntil] if that is set. */
    fun replace(
        content: Collection<V>,
        keepUntil: Instant?,
    ) {
        missingFrom(content).forEach { key ->
            if (keepUntil != null) {
                keep(key, keepUntil)
            } else if (key !in keptUntil) {
                remove(key)
            }
        }
        content.forEach(::put)
    }

    fun put(value: V) {
        val key = keyOf(value)
        keptUntil.remove(key)
        // An entry that is replaced in place would keep its position.
        entries.remove(key)
        entries[key] = value
    }

    fun remove(key: K): V? {
        keptUntil.remove(key)
        return entries.remove(key)
    }

    /** Keeps the entry of [key] until [until], unless it is listed again or removed before. */
    fun keep(
        key: K,
        until: Instant,
    ) {
        if (key in entries) keptUntil[key] = until
    }

    /** Removes the entries that were kept until [now] and returns them. */
    fun expire(now: Instant): List<V> {
        val expired = keptUntil.filterValues { it <= now }.keys.toList()
        return expired.mapNotNull(::remove)
    }

    /** Returns when the first of the kept entries expires, or null if none is kept. */
    fun nextExpiry(): Instant? = keptUntil.values.minOrNull()
}
