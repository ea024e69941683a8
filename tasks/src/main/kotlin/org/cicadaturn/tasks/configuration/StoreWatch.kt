package org.cicadaturn.tasks.configuration

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError

/** Reads the configuration from the store and watches it for changes, with one long poll at a time. */
internal class StoreWatch(
    private val store: ObjectStore,
    private val configurationManager: ConfigurationManager,
    private val times: WatchTimes,
    private val backoff: Backoff,
) {
    private val log = LogManager.getLogger("config")

    /** Reads and watches until it is cancelled. */
    suspend fun run() {
        var failures = 0
        var lastVersion: Version? = null
        while (true) {
            val result = if (lastVersion == null) read() else awaitChange(lastVersion)
            result.fold(
                { error ->
                    lastVersion = null
                    // The store no longer keeps the changes, so the next round reads the configuration instead.
                    if (error is StoreError.Compacted) return@fold
                    if (failures++ == 0) log.warn("config: store does not answer: {}", error.message)
                    configurationManager.storeUnavailable()
                    delay(backoff.delayBefore(failures))
                },
                { version ->
                    if (failures > 0) log.info("config: store answers again")
                    failures = 0
                    lastVersion = version
                },
            )
        }
    }

    private suspend fun read() =
        store.list(CONFIGURATION_KEY).map { list ->
            list.objects.firstOrNull { it.key == CONFIGURATION_KEY }?.let { offer(it) }
            list.version
        }

    private suspend fun awaitChange(lastVersion: Version): Either<StoreError, Version> {
        val answer =
            withTimeoutOrNull(times.limit) { store.watch(CONFIGURATION_KEY, lastVersion, times.wait) }
                ?: StoreError.Unanswered("no answer to a watch within ${times.limit}").left()
        return answer.map { events ->
            val last = events.events.lastOrNull { it.key == CONFIGURATION_KEY }
            last?.value?.let { offer(StoredObject(last.key, last.version, it)) }
            events.version
        }
    }

    private suspend fun offer(stored: StoredObject) {
        decodeConfiguration(stored.value).fold(
            { log.error("config: {}; correct the object {}", it, stored.key) },
            { configurationManager.offer(it, ConfigurationSource.STORE) },
        )
    }
}
