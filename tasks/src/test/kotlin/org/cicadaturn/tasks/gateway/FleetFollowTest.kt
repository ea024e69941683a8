package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetFollowTest {
    private val unavailableStore: FleetStore = FixedFleetStore(content = null)

    private fun configured(version: Long) =
        FleetChange.Configured(RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits()))

    /** Store whose first watch fails after a change that the store no longer keeps in its history. */
    private inner class CompactingStore : FleetStore by unavailableStore {
        val watchFailed = CompletableDeferred<Unit>()
        private var lists = 0

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (part != FleetPart.CONFIGURATION) return FleetChanges(1, emptyList()).right()
            lists += 1
            return FleetChanges(lists.toLong(), listOf(configured(lists.toLong()))).right()
        }

        override suspend fun watch(
            part: FleetPart,
            revision: Long,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            if (part == FleetPart.CONFIGURATION && revision == 1L && !watchFailed.isCompleted) {
                watchFailed.complete(Unit)
                return StoreError.Unanswered("the watch was cut").left()
            }
            awaitCancellation()
        }
    }

    /**
     * Guards against changes missed by a failed watch. Found in the simulated deployment sfl-rosterhub, day scale-2,
     * seed 502893116834, by the check that configurations come into force and are never reverted.
     */
    @Test
    fun `a failed watch is followed by a list`() =
        runTest {
            val store = CompactingStore()
            val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
            val dependencies =
                FleetDependencies(store, peer, { null }, 10.seconds, Backoff { 10.milliseconds }, Clock.System)
            val fleet = startFleet(backgroundScope, dependencies)
            val state = fleet.state.first { (it.view.configuration?.version ?: 0L) > 1L }
            assertEquals(2L, state.view.configuration?.version)
        }

    /** Store whose first answer about the configuration ends in a defect of the client. */
    private inner class DefectiveStore : FleetStore by unavailableStore {
        private var lists = 0

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (part != FleetPart.CONFIGURATION) return FleetChanges(1, emptyList()).right()
            lists += 1
            if (lists == 1) throw StackOverflowError()
            return FleetChanges(1, listOf(configured(1))).right()
        }
    }

    /** Guards against a process that stops following the store after a defect and serves with old data for good. */
    @Test
    fun `a defect does not end the following`() =
        runTest {
            val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
            val dependencies =
                FleetDependencies(
                    DefectiveStore(),
                    peer,
                    { null },
                    10.seconds,
                    Backoff { 10.milliseconds },
                    Clock.System,
                )
            val fleet = startFleet(backgroundScope, dependencies)
            val state = fleet.state.first { it.view.configuration != null }
            assertEquals(1L, state.view.configuration?.version)
        }
}
