package org.cicadaturn.tasks.experts

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.experts.placementLease
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.gateway.StoredLease
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class LeaseTest {
    /** Store with one lease, as seen by [process]. */
    private class LeaseStore(
        private val shared: SharedLease,
        private val process: Int,
    ) : FleetStore {
        override suspend fun list(part: FleetPart) = error("not used")

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ) = error("not used")

        override suspend fun register(peer: GatewayPeer) = error("not used")

        override suspend fun quarantine(entry: QuarantinedSegment) = error("not used")

        override suspend fun release(segment: ServiceSegment) = error("not used")

        override suspend fun readLease(
            name: String,
            isFresh: Boolean,
        ): Either<StoreError, StoredLease> {
            delay(shared.latency())
            if (process in shared.cutOff) return unanswered()
            return (shared.lease ?: StoredLease(null, StorePosition())).right()
        }

        override suspend fun writeLease(
            name: String,
            record: LeaseRecord,
            expected: StorePosition?,
        ): Either<StoreError, StorePosition> {
            if (process in shared.cutOff) {
                if (shared.random.nextInt(4) == 0) shared.writeLate(record, expected)
                return unanswered()
            }
            delay(shared.latency())
            val position = shared.write(record, expected)
            delay(shared.latency())
            if (process in shared.cutOff) return unanswered()
            return position?.right() ?: StoreError.Conflict(null).left()
        }

        private suspend fun unanswered(): Either<StoreError, Nothing> {
            if (shared.isUnresponsive) delay(1.seconds)
            return StoreError.Unanswered("cut off").left()
        }
    }

    /**
     * Lease in the store that all processes share. Calls of the processes in [cutOff] fail; while [isUnresponsive],
     * they fail only after a second.
     */
    private class SharedLease(
        private val scope: CoroutineScope,
        val random: Random,
        var lease: StoredLease? = null,
    ) {
        var cutOff = emptySet<Int>()
        var isUnresponsive = false
        private var position = lease?.position ?: StorePosition()

        fun latency(): Duration = random.nextInt(2, 60).milliseconds

        fun write(
            record: LeaseRecord,
            expected: StorePosition?,
        ): StorePosition? {
            if (lease?.position != expected) return null
            position = position.copy(revision = position.revision + 1)
            lease = StoredLease(record, position)
            return position
        }

        /** Executes a write seconds after its call has failed without an answer. */
        fun writeLate(
            record: LeaseRecord,
            expected: StorePosition?,
        ) {
            scope.launch {
                delay(random.nextInt(100, 4_000).milliseconds)
                write(record, expected)
            }
        }
    }

    private fun TestScope.clock() =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
        }

    private fun TestScope.leaseOf(
        id: String,
        store: FleetStore,
        scope: CoroutineScope = backgroundScope,
        takeoverDelay: Duration = 100.milliseconds,
        pledges: suspend (Long) -> Boolean = { false },
    ): Lease {
        val dependencies = LeaseDependencies(store, "l", 500.milliseconds + takeoverDelay, pledges, clock(), clock())
        return storeLease(
            placementLease(ProcessId(id), takeoverDelay),
            dependencies,
        ).also { scope.launch { it.keep() } }
    }

    /** Guards against groups that no process balances for a second after a restart of the holder. */
    @Test
    fun `a restarted holder reacquires its lease immediately`() =
        runTest {
            val shared =
                SharedLease(
                    backgroundScope,
                    Random(1),
                    StoredLease(LeaseRecord(ProcessId("a"), 3, 40), StorePosition(0, 7)),
                )
            val lease = leaseOf("a", LeaseStore(shared, 0))
            delay(300.milliseconds)
            assertEquals(4L, lease.token())
            val other = leaseOf("b", LeaseStore(shared, 1))
            delay(5.seconds)
            assertNull(other.token())
        }

    /** Guards against groups that no process balances while a stopping holder finishes its requests. */
    @Test
    fun `a lease is released once the store is available, and taken over immediately`() =
        runTest {
            val shared = SharedLease(backgroundScope, Random(1))
            val first = leaseOf("a", LeaseStore(shared, 0))
            delay(300.milliseconds)
            val second = leaseOf("b", LeaseStore(shared, 1), takeoverDelay = 1.seconds)
            delay(1.seconds)
            shared.cutOff = setOf(0)
            delay(600.milliseconds)
            first.release()
            assertEquals(1L, first.token())
            shared.cutOff = emptySet()
            delay(2.6.seconds)
            assertNull(first.token())
            assertEquals(2L, second.token())
        }

    /** Guards against groups that no process balances during an outage of the store. */
    @Test
    fun `the holder keeps the lease while the store is unavailable and all others pledge`() =
        runTest {
            val group = ProcessGroup(this, seed = 1, count = 3)
            delay(3.seconds)
            for (isUnresponsive in listOf(false, true)) {
                val token = group.tokens().single()
                group.shared.isUnresponsive = isUnresponsive
                group.shared.cutOff = setOf(0, 1, 2)
                delay(3.seconds)
                repeat(50) {
                    delay(100.milliseconds)
                    assertEquals(listOf(token), group.tokens(), "unresponsive store: $isUnresponsive")
                }
                group.shared.cutOff = emptySet()
                delay(3.seconds)
            }
            group.close()
        }

    /** Guards against two holders at the same time, under random cut-offs, late writes, restarts and releases. */
    @Test
    fun `no two processes hold the lease`() =
        runTest {
            var held = 0
            repeat(RUNS) { seed ->
                val group = ProcessGroup(this, seed, count = 4)
                repeat(EVENTS_PER_RUN) {
                    group.injectEvent()
                    repeat(group.random.nextInt(5, 60)) {
                        delay(20.milliseconds)
                        val tokens = group.tokens()
                        assertTrue(tokens.size <= 1, "seed $seed: tokens $tokens are held at the same time")
                        held += tokens.size
                    }
                }
                group.close()
            }
            assertTrue(held > RUNS * EVENTS_PER_RUN, "the lease was held in only $held samples")
        }

    /** Processes that share a store and request pledges from each other. */
    private inner class ProcessGroup(
        private val test: TestScope,
        seed: Int,
        count: Int,
    ) {
        val random = Random(seed)
        val shared = SharedLease(test.backgroundScope, random)
        private val scopes = arrayOfNulls<CoroutineScope>(count)
        private val leases = arrayOfNulls<Lease>(count)
        private var cutOffFromPeers = emptySet<Int>()

        init {
            repeat(count) { start(it) }
        }

        fun tokens(): List<Long> = leases.mapNotNull { it?.token() }

        private fun start(i: Int) {
            scopes[i]?.cancel()
            val scope =
                CoroutineScope(test.backgroundScope.coroutineContext + Job(test.backgroundScope.coroutineContext[Job]))
            scopes[i] = scope
            val takeoverDelay = random.nextInt(0, 500).milliseconds
            leases[i] =
                test.leaseOf("p$i", LeaseStore(shared, i), scope, takeoverDelay) { token -> requestPledges(i, token) }
        }

        private suspend fun requestPledges(
            from: Int,
            token: Long,
        ): Boolean {
            delay(random.nextInt(1, 100).milliseconds)
            if (from in cutOffFromPeers) return false
            return leases.indices.filter { it != from }.all { it !in cutOffFromPeers && leases[it]!!.pledge(token) }
        }

        fun injectEvent() {
            val some = leases.indices.filter { random.nextBoolean() }.toSet()
            when (random.nextInt(7)) {
                0 -> shared.cutOff = emptySet()
                1 -> shared.cutOff = some
                2 -> shared.cutOff = leases.indices.toSet()
                3 -> shared.isUnresponsive = random.nextBoolean()
                4 -> cutOffFromPeers = if (random.nextBoolean()) some else emptySet()
                5 -> start(random.nextInt(leases.size))
                else -> leases.random(random)!!.release()
            }
        }

        fun close() {
            scopes.forEach { it?.cancel() }
        }
    }

    private companion object {
        const val RUNS = 300
        const val EVENTS_PER_RUN = 30
    }
}
