package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.fleetWatchTimes
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests of how a gateway follows a store that comes back from an older copy. */
@OptIn(ExperimentalCoroutinesApi::class)
class RestoredStoreFollowTest {
    private val self = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))

    private fun configured(version: Long) =
        FleetChange.Configured(RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits()))

    private fun TestScope.clock() =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
        }

    private fun TestScope.start(
        store: FleetStore,
        fetchPeerView: suspend (List<GatewayPeer>) -> FleetView? = { null },
    ): Fleet {
        val times = { part: FleetPart -> fleetWatchTimes(part, 10.seconds, 3.seconds, 1.seconds) }
        val backoff = Backoff { 10.milliseconds }
        return startFleet(backgroundScope, FleetDependencies(store, self, fetchPeerView, times, backoff, clock()))
    }

    /**
     * Store at revision 5 that is restored at revision 3 after one second, and changes the configuration then: the change
     * has revision 5 too. The watch from it goes on without an error.
     */
    private inner class RestoringStore(
        private val scope: TestScope,
    ) : FleetStore by FixedFleetStore(content = null) {
        private fun position() = if (scope.currentTime < RESTORED_AT) StorePosition(1, 5) else StorePosition(2, 6)

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            val version = if (scope.currentTime < RESTORED_AT) 1L else 2L
            val content = if (part == FleetPart.CONFIGURATION) listOf(configured(version)) else emptyList()
            return FleetChanges(position(), content).right()
        }

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            delay(wait)
            return FleetChanges(position(), emptyList()).right()
        }
    }

    /** Guards against changes that are missed because the watched revision exists again in the restored store. */
    @Test
    fun `a watch that is answered by a restored store is followed by a list`() =
        runTest {
            val fleet = start(RestoringStore(this))
            fleet.state.first { it.view.configuration != null }
            delay(12.seconds)
            val view = fleet.state.value.view
            assertEquals(2L, view.configuration?.version)
            assertEquals(FleetPart.entries.map { 2L }, erasOf(view))
        }

    /**
     * Store with the entries of gateways that is restored after ten seconds from a copy that has those of [copied], and
     * is not reached before [reachedAt].
     */
    private inner class PeerStore(
        private val scope: TestScope,
        private val copied: Set<ProcessId>,
        private val reachedAt: Long = 0,
    ) : FleetStore by FixedFleetStore(content = null) {
        private val entries = linkedMapOf(ProcessId("other") to self.copy(id = ProcessId("other")))
        private var revision = 5L
        private var isRestored = false
        val writes = mutableListOf<Long>()

        private fun position(): StorePosition {
            if (scope.currentTime >= PEERS_RESTORED_AT && !isRestored) {
                isRestored = true
                entries.keys.retainAll(copied)
                revision = 4
            }
            return StorePosition(if (isRestored) 2 else 1, revision)
        }

        override suspend fun register(peer: GatewayPeer): Either<StoreError, StorePosition> {
            position()
            entries[peer.id] = peer
            revision += 1
            writes += scope.currentTime
            return position().right()
        }

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (scope.currentTime < reachedAt) return StoreError.Unavailable("cut off").left()
            val listed = if (part == FleetPart.PEERS) entries.values.map { FleetChange.PeerListed(it) } else emptyList()
            return FleetChanges(position(), listed).right()
        }

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            delay(minOf(wait, 1.seconds))
            return list(part).map { if (it.position == position) it.copy(changes = emptyList()) else it }
        }
    }

    private fun writesTo(
        copied: Set<ProcessId>,
        reachedAt: Long = 0,
    ): List<Long> {
        var writes = emptyList<Long>()
        runTest {
            val store = PeerStore(this, copied, reachedAt)
            start(store)
            delay(60.seconds)
            writes = store.writes
        }
        return writes
    }

    /** Guards against gateways that do not find each other, so that their shares of limits and budgets are too large. */
    @Test
    fun `a gateway writes its entry again if the copy lacks it`() {
        val writes = writesTo(copied = emptySet())
        assertEquals(2, writes.size)
        assertTrue(writes.last() - PEERS_RESTORED_AT in 0..3_000, "written after ${writes.last()} ms")
    }

    /** Guards against a gateway that has seen only the restored store and takes its entry for written. */
    @Test
    fun `a gateway that registered before the restore and reads the store after it writes its entry again`() {
        assertEquals(2, writesTo(copied = emptySet(), reachedAt = 12_000).size)
    }

    /** Guards against writes of all gateways to a store that has just come back. */
    @Test
    fun `a gateway whose entry is in the copy writes nothing`() {
        assertEquals(1, writesTo(copied = setOf(self.id)).size)
    }

    /** Store that was restored from a copy with an older configuration. */
    private inner class OlderStore : FleetStore by FixedFleetStore(content = null) {
        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> =
            FleetChanges(
                StorePosition(2, 300),
                if (part == FleetPart.CONFIGURATION) listOf(configured(7)) else emptyList(),
            ).right()

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            delay(wait)
            return FleetChanges(position, emptyList()).right()
        }
    }

    /** Guards against a new process that denies or undoes what is in force at all others, as it knows only the copy. */
    @Test
    fun `a new process takes over the configuration of its peers before it takes its own for current`() =
        runTest {
            val newer = RoutingConfiguration(9, emptyList(), emptyList(), null, CallerLimits())
            val fleet =
                start(OlderStore()) {
                    delay(300.milliseconds)
                    FleetView(configuration = newer, configurationPosition = StorePosition(2, 290))
                }
            fleet.state.first { it.isConfigurationCurrent }
            assertEquals(
                9L,
                fleet.state.value.view.configuration
                    ?.version,
            )
        }

    /** Guards against a process without peers that never answers 404 or 401. */
    @Test
    fun `the configuration of a process whose peers do not answer is current`() =
        runTest {
            val fleet = start(OlderStore()) { null }
            val state = fleet.state.first { it.isConfigurationCurrent }
            assertEquals(7L, state.view.configuration?.version)
        }

    private fun erasOf(view: FleetView): List<Long> =
        listOf(
            view.configurationPosition,
            view.endpointsPosition,
            view.domainsPosition,
            view.peersPosition,
            view.quarantinePosition,
        ).map { it.era }

    private companion object {
        const val RESTORED_AT = 1_000L
        const val PEERS_RESTORED_AT = 10_000L
    }
}
