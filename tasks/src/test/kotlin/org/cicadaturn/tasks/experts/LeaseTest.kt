package org.cicadaturn.tasks.experts

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.experts.placementLease
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.gateway.StoredLease
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class LeaseTest {
    /** A store with one lease; each call takes a few milliseconds. */
    private class LeaseStore(
        var lease: StoredLease?,
    ) : FleetStore {
        override suspend fun list(part: FleetPart) = error("not used")

        override suspend fun watch(
            part: FleetPart,
            revision: Long,
            wait: Duration,
        ) = error("not used")

        override suspend fun register(peer: GatewayPeer) = error("not used")

        override suspend fun readLease(
            name: String,
            isFresh: Boolean,
        ): Either<StoreError, StoredLease?> {
            delay(5.milliseconds)
            return lease.right()
        }

        override suspend fun writeLease(
            name: String,
            record: LeaseRecord,
            expected: Long?,
        ): Either<StoreError, Long> {
            delay(5.milliseconds)
            if (lease?.revision != expected) return StoreError.Unanswered("not expected").left()
            val revision = (expected ?: 0L) + 1
            lease = StoredLease(record, revision)
            return revision.right()
        }
    }

    /** Guards against a group that nobody balances for a second after each restart of the holder. */
    @Test
    fun `a restarted holder takes its lease over at once`() =
        runTest {
            val store = LeaseStore(StoredLease(LeaseRecord(ProcessId("a"), 3, 40), 7))
            val clock =
                object : Clock {
                    override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
                }
            val lease = startLease(backgroundScope, store, "l", placementLease(ProcessId("a"), 1.seconds), clock, clock)
            delay(50.milliseconds)
            assertEquals(4L, lease.token())
            val other = startLease(backgroundScope, store, "l", placementLease(ProcessId("b"), 1.seconds), clock, clock)
            delay(2.seconds)
            assertNull(other.token())
        }
}
