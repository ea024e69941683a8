package org.cicadaturn.standins

import org.cicadaturn.schema.generated.StoreEvent
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.StoreError
import java.util.TreeMap

/**
 * Limits of the simulated store.
 *
 * @property valueBytes maximum length of a value, in bytes of UTF-8
 * @property keyChars maximum length of a key, in characters
 * @property historyEvents maximum number of changes kept for watches
 * @property historyBytes maximum total length of the values in the kept changes, in bytes
 * @property answerBytes total length of the values in a watch answer, in bytes, after which no further change is added
 */
public data class StoreLimits(
    val valueBytes: Int = 1_000_000,
    val keyChars: Int = 1_024,
    val historyEvents: Int = 1_000,
    val historyBytes: Long = 32L * 1024 * 1024,
    val answerBytes: Int = 4 * 1024 * 1024,
) {
    init {
        require(valueBytes > 0) { "valueBytes is $valueBytes; give a positive number" }
        require(keyChars > 0) { "keyChars is $keyChars; give a positive number" }
        require(historyEvents >= 1) { "historyEvents is $historyEvents; give at least 1" }
        require(historyBytes >= 0) { "historyBytes is $historyBytes; give no negative number" }
        require(answerBytes > 0) { "answerBytes is $answerBytes; give a positive number" }
    }
}

/** Objects of the simulated store with their versions and a bounded history of changes. Confined to its owner. */
internal class StoreTable(
    private val limits: StoreLimits,
) {
    private val objects = TreeMap<String, StoredObject>()
    private val history = ArrayDeque<StoreEvent>()
    private var historyBytes = 0L

    /** Version of the last change. */
    var version: Version = Version(0)
        private set

    /** Version of the last change removed from the history. */
    var compacted: Version = Version(0)
        private set

    fun get(key: String): StoreReply =
        invalidKey(key)
            ?: objects[key]?.let { StoreReply.Found(it) }
            ?: StoreReply.Failed(StoreError.NotFound(key))

    fun list(prefix: String): StoreList = StoreList(version, objectsWithPrefix(prefix))

    fun put(
        key: String,
        value: String,
        expected: Version?,
    ): StoreReply {
        invalidKey(key)?.let { return it }
        val bytes = utf8LengthOrNull(value) ?: return invalid("value has an unpaired surrogate")
        if (bytes > limits.valueBytes) return StoreReply.Failed(StoreError.TooLarge(bytes, limits.valueBytes))
        val current = objects[key]?.version
        if (current != expected) return StoreReply.Failed(StoreError.Conflict(current))
        record(key, value)
        objects[key] = StoredObject(key, version, value)
        return StoreReply.Written(version)
    }

    fun delete(
        key: String,
        expected: Version,
    ): StoreReply {
        invalidKey(key)?.let { return it }
        val current = objects[key]?.version ?: return StoreReply.Failed(StoreError.NotFound(key))
        if (current != expected) return StoreReply.Failed(StoreError.Conflict(current))
        objects.remove(key)
        record(key, null)
        return StoreReply.Written(version)
    }

    /**
     * Returns the changes below [prefix] after version [from], or null if there are none yet.
     *
     * Fails with [StoreError.Compacted] if the history does not reach back to [from].
     */
    fun changes(
        prefix: String,
        from: Version,
    ): StoreReply? {
        // A version ahead of the store was read before the store lost its state; the client has to list again.
        if (from < compacted || from > version) return StoreReply.Failed(StoreError.Compacted(compacted))
        val events = mutableListOf<StoreEvent>()
        var bytes = 0L
        // Versions in the history have no gaps, so the first change after `from` has a known index.
        for (index in (from.number - compacted.number).toInt() until history.size) {
            val event = history[index]
            if (!event.key.startsWith(prefix)) continue
            if (bytes >= limits.answerBytes) return StoreReply.Changed(StoreEvents(events.last().version, events))
            events += event
            bytes += event.value?.length ?: 0
        }
        return if (events.isEmpty()) null else StoreReply.Changed(StoreEvents(version, events))
    }

    /** Returns the last change. */
    fun lastChange(): StoreEvent = history.last()

    private fun objectsWithPrefix(prefix: String): List<StoredObject> =
        objects
            .tailMap(prefix)
            .values
            .asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .toList()

    private fun record(
        key: String,
        value: String?,
    ) {
        version = Version(version.number + 1)
        history.addLast(StoreEvent(key, version, value))
        historyBytes += value?.length ?: 0
        // Always keeps the last change, so that a waiting watch finds it even if its value exceeds the limit.
        while (history.size > 1 && (history.size > limits.historyEvents || historyBytes > limits.historyBytes)) {
            val oldest = history.removeFirst()
            historyBytes -= oldest.value?.length ?: 0
            compacted = oldest.version
        }
    }

    private fun invalidKey(key: String): StoreReply? =
        when {
            key.isEmpty() -> invalid("key is empty")
            key.length > limits.keyChars -> invalid("key has ${key.length} characters; at most ${limits.keyChars}")
            utf8LengthOrNull(key) == null -> invalid("key has an unpaired surrogate")
            else -> null
        }

    private fun invalid(detail: String): StoreReply = StoreReply.Failed(StoreError.Rejected(BAD_REQUEST_STATUS, detail))
}

private fun utf8LengthOrNull(text: String): Int? =
    try {
        text.encodeToByteArray(throwOnInvalidSequence = true).size
    } catch (e: CharacterCodingException) {
        null
    }

internal const val BAD_REQUEST_STATUS = 400
