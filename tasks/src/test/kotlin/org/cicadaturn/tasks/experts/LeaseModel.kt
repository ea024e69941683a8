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
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Store with one lease, as seen by [process]. */
internal class LeaseStore(
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
        shared.awaitResumption(process)
        delay(shared.latency())
        if (process in shared.cutOff) return unanswered()
        val read = if (isFresh) shared.read() else shared.readStale()
        shared.awaitResumption(process)
        return read.right()
    }

    override suspend fun writeLease(
        name: String,
        record: LeaseRecord,
        expected: StorePosition?,
    ): Either<StoreError, StorePosition> {
        shared.awaitResumption(process)
        if (process in shared.cutOff) {
            if (shared.random.nextInt(4) == 0) shared.writeLate(record, expected)
            return unanswered()
        }
        delay(shared.latency())
        val position = shared.write(record, expected)
        delay(shared.latency())
        shared.awaitResumption(process)
        if (process in shared.cutOff) return unanswered()
        return position?.right() ?: StoreError.Conflict(null).left()
    }

    private suspend fun unanswered(): Either<StoreError, Nothing> {
        if (shared.isUnresponsive) delay(1.seconds)
        return StoreError.Unanswered("cut off").left()
    }
}

/**
 * Lease in the store that all processes share. Calls of the processes in [cutOff] fail; while [isUnresponsive], they
 * fail only after a second. Calls of processes in [paused] go on when these are resumed.
 *
 * A store with [hasStaleReads] answers some reads with what it held up to two seconds before, and its revisions also
 * count the writes of other objects.
 */
internal class SharedLease(
    private val test: TestScope,
    val random: Random,
    lease: StoredLease? = null,
    private val hasStaleReads: Boolean = false,
) {
    private data class State(
        val record: LeaseRecord?,
        val position: StorePosition,
        val revision: Long,
        val since: Instant,
    )

    var cutOff = emptySet<Int>()
    var paused = emptySet<Int>()
    var isUnresponsive = false
    private val clock = test.clock()
    private val states =
        mutableListOf(
            (lease ?: StoredLease(null, StorePosition())).let {
                State(it.record, it.position, it.position.revision, clock.now())
            },
        )
    private val current get() = states.last()

    fun latency(): Duration = random.nextInt(2, 60).milliseconds

    suspend fun awaitResumption(process: Int) {
        while (process in paused) delay(10.milliseconds)
    }

    fun read(): StoredLease = StoredLease(current.record, current.position)

    fun readStale(): StoredLease {
        if (!hasStaleReads || random.nextBoolean()) return read()
        val state = stateAt(clock.now() - random.nextInt(2_000).milliseconds)
        // A replica may know of the new era before it has the content of the copy.
        val era = if (random.nextBoolean()) current.position.era else state.position.era
        return StoredLease(state.record, state.position.copy(era = era))
    }

    /** Compares revisions only, as the store does: it does not know in which era the caller has read [expected]. */
    fun write(
        record: LeaseRecord,
        expected: StorePosition?,
    ): StorePosition? {
        val known = current.position.revision.takeIf { current.record != null }
        if (known != expected?.revision) return null
        val revision = current.revision + 1 + if (hasStaleReads) random.nextInt(3) else 0
        val position = StorePosition(current.position.era, revision)
        states += State(record, position, revision, clock.now())
        return position
    }

    /** Executes a write seconds after its call has failed without an answer. */
    fun writeLate(
        record: LeaseRecord,
        expected: StorePosition?,
    ) {
        test.backgroundScope.launch {
            delay(random.nextInt(100, 4_000).milliseconds)
            write(record, expected)
        }
    }

    /** Continues from what the store held [age] ago, in a new era. */
    fun restore(age: Duration) {
        val copy = stateAt(clock.now() - age)
        states += copy.copy(position = copy.position.copy(era = current.position.era + 1), since = clock.now())
    }

    private fun stateAt(time: Instant): State = states.lastOrNull { it.since <= time } ?: states.first()
}

@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.clock(): Clock =
    object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
    }

internal fun TestScope.leaseOf(
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

/** Processes that share a store and request pledges from each other. */
internal class ProcessGroup(
    private val test: TestScope,
    seed: Int,
    count: Int,
    hasStaleReads: Boolean = false,
) {
    val random = Random(seed)
    val shared = SharedLease(test, random, hasStaleReads = hasStaleReads)
    private val scopes = arrayOfNulls<CoroutineScope>(count)
    private val leases = arrayOfNulls<Lease>(count)
    private val starts = IntArray(count)
    private var cutOffFromPeers = emptySet<Int>()

    init {
        repeat(count) { start(it) }
    }

    fun tokens(): List<Long> = leases.mapNotNull { it?.token() }

    /** Returns the tokens that are held with the process and the number of its start. */
    fun holders(): Map<Pair<Int, Int>, Long> =
        leases.withIndex().mapNotNull { (i, lease) -> lease?.token()?.let { (i to starts[i]) to it } }.toMap()

    fun start(i: Int) {
        scopes[i]?.cancel()
        val scope =
            CoroutineScope(test.backgroundScope.coroutineContext + Job(test.backgroundScope.coroutineContext[Job]))
        scopes[i] = scope
        starts[i] += 1
        val takeoverDelay = random.nextInt(0, 500).milliseconds
        leases[i] =
            test.leaseOf("p$i", LeaseStore(shared, i), scope, takeoverDelay) { token -> requestPledges(i, token) }
    }

    private suspend fun requestPledges(
        from: Int,
        token: Long,
    ): Boolean {
        delay(random.nextInt(1, 100).milliseconds)
        shared.awaitResumption(from)
        val isReached = { i: Int -> i !in cutOffFromPeers && i !in shared.paused }
        if (!isReached(from)) return false
        return leases.indices.filter { it != from }.all { isReached(it) && leases[it]!!.pledge(token) }
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

    /** Restores the store, pauses processes or lets something else happen. */
    fun injectEventOrRestore() {
        when (random.nextInt(6)) {
            0 -> shared.restore(random.nextInt(10_000).milliseconds)
            1 -> shared.restore(random.nextInt(500).milliseconds)
            2 -> shared.paused = leases.indices.filter { random.nextInt(4) == 0 }.toSet()
            else -> injectEvent()
        }
    }

    /** Ends all faults and starts a process that has not been released. */
    fun recover() {
        shared.cutOff = emptySet()
        shared.paused = emptySet()
        cutOffFromPeers = emptySet()
        start(random.nextInt(leases.size))
    }

    fun close() {
        scopes.forEach { it?.cancel() }
    }
}
