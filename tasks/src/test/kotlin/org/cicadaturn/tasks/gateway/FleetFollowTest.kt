package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
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
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class FleetFollowTest {
    private val unavailableStore: FleetStore = FixedFleetStore(content = null)

    private fun dependencies(
        store: FleetStore,
        clock: Clock = Clock.System,
    ): FleetDependencies {
        val peer = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
        return FleetDependencies(store, peer, {
            null
        }, { fleetWatchTimes(it, 10.seconds, 3.seconds, CLIENT_TIMEOUT) }, Backoff { 10.milliseconds }, clock)
    }

    private fun configured(version: Long) =
        FleetChange.Configured(RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits()))

    /** Store whose first watch fails after a change that the store no longer keeps in its history. */
    private inner class CompactingStore : FleetStore by unavailableStore {
        val watchFailed = CompletableDeferred<Unit>()
        private var lists = 0

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (part != FleetPart.CONFIGURATION) return FleetChanges(StorePosition(0, 1), emptyList()).right()
            lists += 1
            return FleetChanges(StorePosition(0, lists.toLong()), listOf(configured(lists.toLong()))).right()
        }

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            if (part == FleetPart.CONFIGURATION && position.revision == 1L && !watchFailed.isCompleted) {
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
            val fleet = startFleet(backgroundScope, dependencies(store))
            val state = fleet.state.first { (it.view.configuration?.version ?: 0L) > 1L }
            assertEquals(2L, state.view.configuration?.version)
        }

    /** Store whose first answer about the configuration ends in a defect of the client. */
    private inner class DefectiveStore : FleetStore by unavailableStore {
        private var lists = 0

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
            if (part != FleetPart.CONFIGURATION) return FleetChanges(StorePosition(0, 1), emptyList()).right()
            lists += 1
            if (lists == 1) throw StackOverflowError()
            return FleetChanges(StorePosition(0, 1), listOf(configured(1))).right()
        }
    }

    /** Guards against a process that stops following the store after a defect and serves with old data for good. */
    @Test
    fun `a defect does not end the following`() =
        runTest {
            val fleet = startFleet(backgroundScope, dependencies(DefectiveStore()))
            val state = fleet.state.first { it.view.configuration != null }
            assertEquals(1L, state.view.configuration?.version)
        }

    /** Store whose answers are lost while it is silent: a call that begins or would be answered then gets no answer. */
    private inner class SilentStore(
        private val clock: Clock,
        private val silence: ClosedRange<Instant>,
        private val changedAt: Instant,
    ) : FleetStore by unavailableStore {
        private fun contentOf(part: FleetPart): FleetChanges {
            val isChanged = clock.now() >= changedAt
            val change =
                when (part) {
                    FleetPart.CONFIGURATION -> configured(if (isChanged) 2 else 1)
                    FleetPart.ENDPOINTS -> listed(if (isChanged) AdmissionState.DRAINED else AdmissionState.IN_SERVICE)
                    FleetPart.DRAINED_DOMAINS -> drainedDomain.takeIf { isChanged }
                    else -> null
                }
            return FleetChanges(StorePosition(0, if (isChanged) 2 else 1), listOfNotNull(change))
        }

        private suspend fun answer(
            content: FleetChanges,
            start: Instant,
            limit: Duration,
        ): Either<StoreError, FleetChanges> {
            val end = clock.now()
            if (start in silence || end in silence) {
                delay(start + limit - end)
                return StoreError.Unanswered("no answer").left()
            }
            return content.right()
        }

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> =
            answer(contentOf(part), clock.now(), CLIENT_TIMEOUT)

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            val start = clock.now()
            val untilChange = (changedAt - start).takeIf { position.revision < 2 } ?: Duration.INFINITE
            delay(minOf(wait, untilChange))
            val limit = wait + CLIENT_TIMEOUT
            if (untilChange <= wait) return answer(contentOf(part), start, limit)
            return answer(FleetChanges(position, emptyList()), start, limit)
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun TestScope.virtualClock(): Clock =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
        }

    private fun listed(state: AdmissionState) =
        FleetChange.EndpointListed(
            LiveEndpoint(
                id = EndpointId("e"),
                service = ServiceId("s"),
                address = NetworkAddress("127.0.0.1", 1),
                failureDomain = FailureDomainId("a"),
                state = state,
                slots = 1,
                coldFor = Duration.ZERO,
            ),
        )

    private val drainedDomain = FleetChange.DomainDrained(FailureDomainId("a"))

    private fun isChanged(
        part: FleetPart,
        view: FleetView,
    ): Boolean =
        when (part) {
            FleetPart.CONFIGURATION -> view.configuration?.version == 2L
            FleetPart.ENDPOINTS -> view.endpoints.single().state == AdmissionState.DRAINED
            else -> view.drainedDomains.isNotEmpty()
        }

    /**
     * Guards against a process that serves with an old configuration, or sends requests to a draining endpoint, until
     * a watch whose answer was lost has run into its limit.
     */
    @TestFactory
    fun `a change whose answer to a watch was lost is known in time`() =
        // Three seconds after the silence, a process must know all; drained domains five seconds after their change.
        mapOf(
            FleetPart.CONFIGURATION to 3.seconds,
            FleetPart.ENDPOINTS to 3.seconds,
            FleetPart.DRAINED_DOMAINS to 4_500.milliseconds,
        ).flatMap { (part, limit) ->
            // The silence begins at different moments of a watch; the change falls into it.
            (0..9).map { tenths ->
                DynamicTest.dynamicTest("$part, silence from 20.$tenths s") {
                    runTest {
                        val clock = virtualClock()
                        val start = clock.now()
                        val silentFrom = start + 20.seconds + 100.milliseconds * tenths
                        val silentUntil = silentFrom + 1.seconds
                        val store = SilentStore(clock, silentFrom..silentUntil, silentFrom + 500.milliseconds)
                        val fleet = startFleet(backgroundScope, dependencies(store, clock))
                        delay(silentUntil - start + limit)
                        assertTrue(isChanged(part, fleet.state.value.view), "known $limit after the silence")
                    }
                }
            }
        }

    /** Store whose endpoint changes at each of [changedAt]; counts the watches of endpoints. */
    private inner class ChangingStore(
        private val clock: Clock,
        private val changedAt: List<Instant>,
    ) : FleetStore by unavailableStore {
        var watches = 0
            private set

        private fun revision(): Long = 1L + changedAt.count { it <= clock.now() }

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> =
            FleetChanges(StorePosition(0, revision()), emptyList()).right()

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            if (part != FleetPart.ENDPOINTS) awaitCancellation()
            watches += 1
            val next = changedAt.getOrNull(position.revision.toInt() - 1)
            delay(next?.let { minOf(wait, it - clock.now()) } ?: wait)
            val changes = if (revision() > position.revision) listOf(listed(AdmissionState.IN_SERVICE)) else emptyList()
            return FleetChanges(StorePosition(0, revision()), changes).right()
        }
    }

    /** Guards against a call to the store by each process for each of many changes that come together. */
    @Test
    fun `changes of endpoints that come together take few calls`() =
        runTest {
            val clock = virtualClock()
            val start = clock.now()
            // 100 changes within two seconds, in which an undisturbed process makes one or two calls.
            val store = ChangingStore(clock, List(100) { start + 1.seconds + 20.milliseconds * it })
            val fleet = startFleet(backgroundScope, dependencies(store, clock))
            delay(4.seconds)
            assertEquals(StorePosition(0, 101), fleet.state.value.view.endpointsPosition)
            assertTrue(store.watches <= 12, "${store.watches} watches")
        }

    private companion object {
        /** Longest time of a call of the store's client, without the wait of a watch. */
        val CLIENT_TIMEOUT = 1.seconds
    }
}
