package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.fleetWatchTimes
import org.cicadaturn.decisions.gateway.reportTimes
import org.cicadaturn.decisions.gateway.sharedWatchTimes
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Store whose configuration and drained domains change at [changedAt], and [names], the gateways that share it.
 *
 * Each gateway has its own path to the store and to each peer, which may be silent for a time or break its open
 * connections. An answer that would be sent on a silent path, or on a connection that has been broken, never arrives.
 */
internal class SharedFleet(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val names: List<String>,
    private val changedAt: Instant,
) {
    /** Path whose calls are lost if they begin or end in one of [silences], or if one of [breaks] lies between. */
    class Path {
        val silences = mutableListOf<ClosedRange<Instant>>()
        val breaks = mutableListOf<Instant>()

        fun isLost(
            start: Instant,
            end: Instant,
        ): Boolean = silences.any { start in it || end in it } || breaks.any { it in start..end }
    }

    val toStore = names.associateWith { Path() }
    val toPeers = names.associateWith { Path() }
    val calls = HashMap<String, Int>()

    /** Changes the answers of a gateway to its peers; a gateway of an older version sends none. */
    var alterReport: (String, StoreReport) -> StoreReport? = { _, answer -> answer }

    /** Time that a report which is sent at a moment takes on its way, beyond the usual. */
    var reportDelay: (Instant) -> Duration = { Duration.ZERO }
    private val fleets = HashMap<String, Fleet>()

    fun start() = names.forEach { start(it) }

    private fun start(name: String) {
        fleets[name] =
            startFleet(
                scope,
                FleetDependencies(
                    store = PathStore(name),
                    self = peer(name),
                    fetchPeerView = { null },
                    watchTimes = { fleetWatchTimes(it, LONGEST_WAIT, MAX_SILENCE, CLIENT_TIMEOUT) },
                    backoff = Backoff { 100.milliseconds },
                    clock = clock,
                    sharing =
                        WatchSharing(
                            { other, request -> report(name, other.id.text, request) },
                            { sharedWatchTimes(it, LONGEST_WAIT, MAX_SILENCE) },
                            reportTimes(MAX_SILENCE),
                            clock,
                        ),
                ),
            )
    }

    fun version(name: String): Long? =
        fleets
            .getValue(name)
            .state.value.view.configuration
            ?.version

    fun isDrained(name: String): Boolean =
        fleets
            .getValue(name)
            .state.value.view.drainedDomains
            .isNotEmpty()

    /** Requests an answer of the store that differs from the one with count [seen] from [name]. */
    suspend fun request(
        name: String,
        seen: Long,
    ): StoreReport? = fleets.getValue(name).storeReport(StoreReportRequest(seen, PEER_TIMEOUT))

    private suspend fun report(
        from: String,
        to: String,
        request: StoreReportRequest,
    ): StoreReport? {
        val start = clock.now()
        val limit = request.wait + PEER_TIMEOUT
        delay(LATENCY)
        val answer = withTimeoutOrNull(limit) { fleets.getValue(to).storeReport(request) }
        delay(LATENCY + reportDelay(clock.now()))
        val end = clock.now()
        if (toPeers.getValue(from).isLost(start, end) || toPeers.getValue(to).isLost(start, end)) {
            delay(start + limit - end)
            return null
        }
        return answer?.let { alterReport(to, it) }
    }

    private fun peer(name: String) =
        GatewayPeer(ProcessId(name), NetworkAddress("127.0.0.1", 1 + names.indexOf(name)), FailureDomainId("a"))

    private inner class PathStore(
        private val name: String,
        unused: FleetStore = FixedFleetStore(emptyList()),
    ) : FleetStore by unused {
        private fun contentOf(part: FleetPart): FleetChanges {
            val isChanged = clock.now() >= changedAt
            val changes =
                when (part) {
                    FleetPart.CONFIGURATION -> listOf(configured(if (isChanged) 2 else 1))
                    FleetPart.DRAINED_DOMAINS ->
                        listOf(FleetChange.DomainDrained(FailureDomainId("a"))).filter { isChanged }
                    FleetPart.PEERS -> names.map { FleetChange.PeerListed(peer(it)) }
                    else -> emptyList()
                }
            return FleetChanges(StorePosition(0, if (isChanged) 2 else 1), changes)
        }

        override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> =
            answer(clock.now(), CLIENT_TIMEOUT) { contentOf(part) }

        override suspend fun watch(
            part: FleetPart,
            position: StorePosition,
            wait: Duration,
        ): Either<StoreError, FleetChanges> {
            val start = clock.now()
            val isPending = position.revision < 2 && part in setOf(FleetPart.CONFIGURATION, FleetPart.DRAINED_DOMAINS)
            val untilChange = if (isPending) (changedAt - start).coerceAtLeast(Duration.ZERO) else Duration.INFINITE
            return answer(start, wait + CLIENT_TIMEOUT) {
                delay(minOf(wait, untilChange))
                if (untilChange <= wait) contentOf(part) else FleetChanges(position, emptyList())
            }
        }

        private suspend fun answer(
            start: Instant,
            limit: Duration,
            content: suspend () -> FleetChanges,
        ): Either<StoreError, FleetChanges> {
            calls.merge(name, 1, Int::plus)
            val answer = content()
            delay(LATENCY)
            val end = clock.now()
            if (!toStore.getValue(name).isLost(start, end)) return answer.right()
            delay(start + limit - end)
            return StoreError.Unanswered("no answer").left()
        }
    }

    private fun configured(version: Long) =
        FleetChange.Configured(RoutingConfiguration(version, emptyList(), emptyList(), null, CallerLimits()))

    companion object {
        val LONGEST_WAIT = 10.seconds
        val MAX_SILENCE = 3.seconds

        /** Longest time of a call of the store's client, without the wait of a watch. */
        val CLIENT_TIMEOUT = 1.seconds
        val PEER_TIMEOUT = 400.milliseconds
        val LATENCY = 5.milliseconds
    }
}
