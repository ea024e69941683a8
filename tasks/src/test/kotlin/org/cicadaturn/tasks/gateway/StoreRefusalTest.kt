package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
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

/** A store that refuses the calls of a process for a while, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreRefusalTest {
    private val self = GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
    private val content =
        listOf(
            FleetChange.Configured(RoutingConfiguration(1, emptyList(), emptyList(), null, CallerLimits())),
            FleetChange.DomainDrained(FailureDomainId("a")),
            FleetChange.PeerListed(self),
        )

    /** Store that refuses a call for which [errorOf] returns an error; counts the refused ones. */
    private class RefusingStore(
        private val content: FleetStore,
        private val errorOf: (FleetPart) -> StoreError?,
    ) : FleetStore by content {
        val refused = HashMap<FleetPart, Int>()

        private fun refusalOf(part: FleetPart): StoreError? = errorOf(part)?.also { refused.merge(part, 1, Int::plus) }

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> =
            refusalOf(part)?.left() ?: content.list(part)

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> = refusalOf(part)?.left() ?: content.watch(part, position, wait)
    }

    private fun TestScope.start(store: FleetStore): Fleet {
        val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
            }
        val times = { part: FleetPart -> fleetWatchTimes(part, 10.seconds, 3.seconds, 1.seconds) }
        return startFleet(backgroundScope, FleetDependencies(store, self, { null }, times, Backoff { RETRY }, clock))
    }

    private val refusal = StoreError.Unavailable("status 503")

    /** Guards against five calls to a store that is overloaded where one shows that it still refuses them. */
    @Test
    fun `a store that refuses a process gets few calls and is used again at once`() =
        runTest {
            val store = RefusingStore(FixedFleetStore(content)) { refusal.takeIf { currentTime < 9_000 } }
            val fleet = start(store)
            delay(9.seconds)
            // One part is tried every 0.5 s, and the other four once.
            assertTrue(store.refused.values.sum() <= 18 + 4, "refused calls: ${store.refused}")
            delay(RETRY + 10.milliseconds)
            val view = fleet.state.value.view
            assertEquals(1L, view.configuration?.version)
            assertEquals(listOf(1, 1), listOf(view.drainedDomains.size, view.peers.size))
        }

    /** Guards against a refused watch that is begun again and hides until its end that the store serves the process. */
    @Test
    fun `a refused watch is made up for at once`() =
        runTest {
            val store = RefusingStore(FixedFleetStore(content)) { refusal.takeIf { currentTime in 2_000..9_000 } }
            val fleet = start(store)
            delay(9.seconds + RETRY + 10.milliseconds)
            assertTrue(fleet.state.value.isConfigurationCurrent)
            assertEquals(StorePosition(0, 1), fleet.ownView().domainsPosition)
        }

    /** Guards against a part that waits for another one whose calls fail for a reason of their own. */
    @Test
    fun `a part that fails alone does not hold up the others`() =
        runTest {
            val store =
                RefusingStore(FixedFleetStore(content)) { part ->
                    when {
                        part == FleetPart.CONFIGURATION -> StoreError.Rejected(400, "")
                        currentTime < 2_000 -> refusal
                        else -> null
                    }
                }
            val fleet = start(store)
            delay(2.seconds + RETRY + 10.milliseconds)
            assertEquals(listOf(FailureDomainId("a")), fleet.state.value.view.drainedDomains)
        }

    private companion object {
        val RETRY = 500.milliseconds
    }
}
