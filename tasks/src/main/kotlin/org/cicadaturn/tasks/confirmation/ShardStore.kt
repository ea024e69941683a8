package org.cicadaturn.tasks.confirmation

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.schema.generated.ConfirmationShard
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError

private val log = LogManager.getLogger("org.cicadaturn.tasks.confirmation")

/** Ignores fields that a newer release has added, so that two releases can run at the same time. */
private val json = Json { ignoreUnknownKeys = true }

/** Reads the shard stored under [objectKey]; a missing object is read as an empty shard. */
internal suspend fun ObjectStore.readShard(objectKey: String): ReadAnswer =
    get(objectKey).fold(
        ifLeft = { error ->
            if (error is StoreError.NotFound) {
                ReadAnswer.Value(version = null, records = emptyList())
            } else {
                log.warn("confirmation: read of {} failed: {}", objectKey, error.message)
                ReadAnswer.Failed
            }
        },
        ifRight = { decode(it) },
    )

private fun decode(stored: StoredObject): ReadAnswer =
    try {
        ReadAnswer.Value(stored.version, json.decodeFromString<ConfirmationShard>(stored.value).records)
    } catch (e: SerializationException) {
        log.error("confirmation: {} version {} is unreadable: {}", stored.key, stored.version, e.message)
        ReadAnswer.Failed
    }

/** Writes the records of [action] under [objectKey] if the stored version is the expected one. */
internal suspend fun ObjectStore.writeShard(
    objectKey: String,
    action: LedgerAction.Write,
): WriteAnswer {
    val value = json.encodeToString(ConfirmationShard(action.records))
    return put(objectKey, value, action.expected).fold(
        ifLeft = { error ->
            if (error !is StoreError.Conflict) {
                log.warn("confirmation: write of {} failed: {}", objectKey, error.message)
            }
            writeAnswer(error)
        },
        ifRight = { WriteAnswer.Written(it) },
    )
}

private fun writeAnswer(error: StoreError): WriteAnswer =
    when (error) {
        is StoreError.Conflict, is StoreError.NotFound -> WriteAnswer.Conflict
        is StoreError.Unavailable, is StoreError.Rejected -> WriteAnswer.NoEffect
        is StoreError.TooLarge -> WriteAnswer.TooLarge(error.limit)
        is StoreError.Unanswered, is StoreError.Compacted -> WriteAnswer.Unanswered
    }
