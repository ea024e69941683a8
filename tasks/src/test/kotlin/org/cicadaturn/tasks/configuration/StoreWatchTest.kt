package org.cicadaturn.tasks.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.watchTimes
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.confirmation.FakeStore
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StoreWatchTest {
    /** Store that holds revision [revision] and loses the answer to each watch. */
    private class WatchLosingStore : ObjectStore by FakeStore() {
        var revision = 1L

        override suspend fun list(prefix: String): Either<StoreError, StoreList> {
            val configuration =
                Configuration(
                    revision = Revision(revision),
                    acceptedAt = Instant.fromEpochSeconds(1_800_000_000),
                    acceptedBy = "operator",
                )
            val version = Version(revision)
            return StoreList(
                version,
                listOf(StoredObject(CONFIGURATION_KEY, version, encodeConfiguration(configuration))),
            ).right()
        }

        override suspend fun watch(
            prefix: String,
            from: Version,
            wait: Duration,
        ): Either<StoreError, StoreEvents> {
            delay(wait + 2.seconds)
            return StoreError.Unanswered("no answer").left()
        }
    }

    /** Guards against an entry process that uses an old configuration until a lost watch has run into its limit. */
    @Test
    fun `a configuration whose answer to the watch was lost is in force within three seconds`() =
        runTest {
            val store = WatchLosingStore()
            val manager = ConfigurationTask()
            val times = watchTimes(maxWait = 30.seconds, maxSilence = 3.seconds)
            backgroundScope.launch { manager.run() }
            backgroundScope.launch { StoreWatch(store, manager, times, Backoff { 100.milliseconds }).run() }
            delay(1.seconds)
            store.revision = 2
            delay(3.seconds)
            assertEquals(Revision(2), manager.inForce.value?.revision)
        }
}
