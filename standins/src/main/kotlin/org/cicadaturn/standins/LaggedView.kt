package org.cicadaturn.standins

import org.cicadaturn.schema.generated.StoreEvent
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import java.util.TreeMap
import kotlin.time.Duration

/**
 * Stale copy of the objects below a prefix, which lists return in place of the current objects.
 *
 * Each change becomes visible [lag] after it was made. Confined to the coroutine that owns the [StoreTable].
 */
internal class LaggedView(
    val lag: Duration,
    start: StoreList,
) {
    private val objects = start.objects.associateByTo(TreeMap()) { it.key }
    private val pending = ArrayDeque<StoreEvent>()
    private var version = start.version

    /** Adds a change that is not visible in lists yet. */
    fun addPending(event: StoreEvent) {
        pending.addLast(event)
    }

    /** Makes all pending changes up to and including [target] visible. */
    fun advanceTo(target: Version) {
        while (pending.isNotEmpty() && pending.first().version <= target) apply(pending.removeFirst())
    }

    /** Returns the visible objects whose key begins with [prefix]. */
    fun list(prefix: String): StoreList = StoreList(version, objects.values.filter { it.key.startsWith(prefix) })

    private fun apply(event: StoreEvent) {
        val value = event.value
        if (value ==
            null
        ) {
            objects.remove(event.key)
        } else {
            objects[event.key] = StoredObject(event.key, event.version, value)
        }
        version = event.version
    }
}
