package org.cicadaturn.daemons.site

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Kind of an object and its name within the kind. */
internal data class ObjectKey(
    val kind: String,
    val name: String,
)

/** Object of the store after its change at [revision]. */
internal data class StoredObject(
    val key: ObjectKey,
    val revision: Long,
    val created: Long,
    val finalizers: List<String>,
    val isDeleting: Boolean,
    val spec: JsonElement,
    val status: JsonElement,
)

/** Change of an object at the revision of [item]. */
internal data class StoreEvent(
    val item: StoredObject,
    val isRemoved: Boolean,
)

/**
 * Content of the store of the platform at one revision.
 *
 * @property era number of times that the store has come back from a copy, plus one
 * @property historyFrom lowest revision from which a watch finds all changes
 */
internal data class StoreContent(
    val era: Long = 1,
    val revision: Long = 1,
    val objects: Map<ObjectKey, StoredObject> = emptyMap(),
    val events: List<StoreEvent> = emptyList(),
    val historyFrom: Long = 1,
)

/** Content after a call, and the status and the object of its answer. */
internal data class StoreResult(
    val content: StoreContent,
    val status: Int,
    val item: StoredObject? = null,
)

/** Creates an object, which must not exist. */
internal fun StoreContent.create(
    key: ObjectKey,
    spec: JsonElement,
    finalizers: List<String> = emptyList(),
): StoreResult {
    objects[key]?.let { return StoreResult(this, CONFLICT, it) }
    val next = revision + 1
    return store(StoredObject(key, next, next, finalizers, isDeleting = false, spec, JsonNull), CREATED)
}

/** Replaces the spec and, unless null, the finalizers of an object, whose revision must be [expected] unless null. */
internal fun StoreContent.replace(
    key: ObjectKey,
    spec: JsonElement,
    finalizers: List<String>? = null,
    expected: Long? = null,
): StoreResult =
    change(key, expected) { old ->
        val replaced = old.copy(spec = spec, finalizers = finalizers ?: old.finalizers)
        if (replaced.isDeleting && replaced.finalizers.isEmpty()) removeNow(replaced) else store(replaced, OK)
    }

/** Replaces the status of an object, whose revision must be [expected] unless null. */
internal fun StoreContent.replaceStatus(
    key: ObjectKey,
    status: JsonElement,
    expected: Long? = null,
): StoreResult = change(key, expected) { store(it.copy(status = status), OK) }

/** Removes an object, or marks it as deleting while it has finalizers. */
internal fun StoreContent.remove(
    key: ObjectKey,
    expected: Long? = null,
): StoreResult =
    change(key, expected) { old ->
        if (old.finalizers.isEmpty() || key.kind == SERVERS) removeNow(old) else store(old.copy(isDeleting = true), OK)
    }

/** Creates the object, or replaces its spec. */
internal fun StoreContent.write(
    key: ObjectKey,
    spec: JsonElement,
): StoreResult = if (key in objects) replace(key, spec) else create(key, spec)

/** Returns the events of [kind] after the revision [from], or null if the history does not reach back to it. */
internal fun StoreContent.eventsAfter(
    kind: String,
    from: Long,
): List<StoreEvent>? {
    if (from < historyFrom || from > revision) return null
    return events.filter { it.item.revision > from && it.item.key.kind == kind }
}

/** Returns this content without its history. */
internal fun StoreContent.compacted(): StoreContent = copy(events = emptyList(), historyFrom = revision)

/**
 * Returns the content of the next era, which begins with [copy], an earlier content.
 *
 * What the operator and the endpoints have written since is written again; what the system has written since is lost.
 * Revisions go on from that of the copy, so they are given out again.
 */
internal fun StoreContent.restoredFrom(copy: StoreContent): StoreContent {
    val keys = (copy.objects.keys + objects.keys).filter { it.kind in PLATFORM_KINDS }
    return keys.fold(copy.copy(era = era + 1)) { restored, key ->
        val newest = objects[key]
        if (newest == null) restored.remove(key).content else restored.write(key, newest.spec).content
    }
}

private fun StoreContent.change(
    key: ObjectKey,
    expected: Long?,
    change: (StoredObject) -> StoreResult,
): StoreResult {
    val old = objects[key] ?: return StoreResult(this, NOT_FOUND)
    return if (expected != null && expected != old.revision) StoreResult(this, CONFLICT, old) else change(old)
}

private fun StoreContent.store(
    item: StoredObject,
    status: Int,
): StoreResult {
    if (objects[item.key] == item) return StoreResult(this, status, item)
    val stored = item.copy(revision = revision + 1)
    return StoreResult(after(StoreEvent(stored, isRemoved = false), objects + (item.key to stored)), status, stored)
}

private fun StoreContent.removeNow(item: StoredObject): StoreResult {
    val removed = item.copy(revision = revision + 1)
    return StoreResult(after(StoreEvent(removed, isRemoved = true), objects - item.key), OK, removed)
}

private fun StoreContent.after(
    event: StoreEvent,
    objects: Map<ObjectKey, StoredObject>,
): StoreContent {
    val kept = (events + event).takeLast(MAX_EVENTS)
    val from = if (kept.size > events.size) historyFrom else events.first().item.revision
    return copy(revision = revision + 1, objects = objects, events = kept, historyFrom = from)
}

/** Returns the document of this object. */
internal fun StoredObject.toJson(): JsonObject =
    buildJsonObject {
        put(
            "metadata",
            buildJsonObject {
                put("name", key.name)
                put("revision", revision)
                put("created", created)
                put("finalizers", JsonArray(finalizers.map { JsonPrimitive(it) }))
                put("deleting", if (isDeleting) JsonPrimitive(revision) else JsonNull)
            },
        )
        put("spec", spec)
        put("status", status)
    }

internal const val OK = 200
internal const val CREATED = 201
internal const val NOT_FOUND = 404
internal const val CONFLICT = 409
internal const val GONE = 410

/** Kind of the entries of the endpoints. */
internal const val SERVERS = "servers"

/** Kinds that the operator and the endpoints write. */
private val PLATFORM_KINDS = setOf("config", SERVERS, "evacuations")

/** Number of changes that a watch can still find; at 12 changes a second these are over 20 s. */
private const val MAX_EVENTS = 300
