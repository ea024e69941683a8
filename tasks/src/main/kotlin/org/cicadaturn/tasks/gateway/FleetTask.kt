package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.fleetTracker
import org.cicadaturn.decisions.gateway.reportingPeer
import org.cicadaturn.decisions.gateway.storeReports
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Starts the task that tracks the state of the fleet in [scope].
 *
 * A part whose answer cannot be applied counts as unavailable, and is read again from the start.
 */
public fun startFleet(
    scope: CoroutineScope,
    dependencies: FleetDependencies,
    supervisor: Supervisor = Supervisor(dependencies.clock),
): Fleet = FleetTask(dependencies, supervisor).also { it.start(scope) }

private class FleetTask(
    private val dependencies: FleetDependencies,
    private val supervisor: Supervisor,
) : Fleet {
    private val sharing = dependencies.sharing
    private val tracker = fleetTracker()

    // Bounded, so that senders wait while this task is busy; each sender has at most one message in progress.
    private val messages = Channel<FleetMessage>(QUEUED_MESSAGES)

    // Only this task writes the flows; the coroutines that call the store and the peers read them.
    private val published = MutableStateFlow(tracker.state(dependencies.clock.now()))
    private val unavailableParts = MutableStateFlow(emptySet<FleetPart>())
    private val refusedParts = MutableStateFlow(emptySet<FleetPart>())
    private val answeredAt = HashMap<FleetPart, Instant>()
    private val reports = storeReports { sharing?.times?.invoke(it)?.validity }
    private val heldRequests = heldReportRequests()
    private val confirmedUntil = MutableStateFlow(emptyMap<FleetPart, Instant>())
    private val askedAt = MutableStateFlow(Instant.DISTANT_PAST)
    private val ownEntry = MutableStateFlow(OwnEntry())
    private var hasAskedPeers = false
    private val follower =
        FleetFollower(dependencies, supervisor, FollowState(refusedParts, confirmedUntil, askedAt), messages::send)

    override val state: StateFlow<FleetState> = published

    fun start(scope: CoroutineScope) {
        supervisor.start(scope, FLEET_TASK, isVital = true) { processMessages() }
        FleetPart.entries.forEach { part ->
            supervisor.start(scope, "following $part") { follower.keepFollowing(part) }
        }
        supervisor.start(scope, "registration") { keepRegistered(dependencies, ownEntry) }
        supervisor.start(scope, "first question to peers") { askPeersAtStart() }
        supervisor.start(scope, "peer relay") { fetchFromPeers() }
        if (sharing != null) supervisor.start(scope, "peer reports") { followPeer(sharing) }
    }

    override suspend fun ownView(): FleetView {
        val reply = CompletableDeferred<FleetView>()
        messages.send(FleetMessage.GetOwnView(reply))
        return reply.await()
    }

    override suspend fun storeReport(request: StoreReportRequest): StoreReport? {
        val reply = CompletableDeferred<StoreReport?>()
        messages.send(FleetMessage.GetReport(request, dependencies.clock.now(), reply))
        try {
            return reply.await()
        } finally {
            reply.cancel()
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun processMessages() {
        while (true) {
            val now = dependencies.clock.now()
            val expiry = listOfNotNull(tracker.nextExpiry(now), heldRequests.nextEnd()).minOrNull()
            // A receive that is cancelled by a time-out may lose a message; the selection of one of both does not.
            select {
                messages.onReceive { receive(it) }
                if (expiry != null) onTimeout(expiry - now) {}
            }
            published.value = currentState()
            tracker.takeRestorations().forEach {
                logger.warn("restored store: {}", textOf(it))
                dependencies.restorationMetrics.applied(it)
            }
            confirmedUntil.value = FleetPart.entries.associateWith(reports::confirmedUntil)
            heldRequests.complete(reports.count, dependencies.clock.now()) { held ->
                supervisor.attempt(FLEET_TASK, "a report") { reports.answer(held, suspendAwareTime()) }
            }
        }
    }

    /** Before the peers are asked, a restored store may list an older configuration than the one that they have. */
    private fun currentState(): FleetState {
        val state = tracker.state(dependencies.clock.now())
        return if (hasAskedPeers) state else state.copy(isConfigurationCurrent = false)
    }

    private fun receive(message: FleetMessage) {
        supervisor.attempt(FLEET_TASK, message) { handle(message) } ?: reject(message)
    }

    /** Answers a message that could not be handled; a part whose changes may be missing is not current any more. */
    private fun reject(message: FleetMessage) {
        when (message) {
            is FleetMessage.Answered -> {
                tracker.failed(message.part, dependencies.clock.now())
                message.isApplied.complete(false)
            }
            is FleetMessage.GetOwnView -> message.reply.complete(FleetView())
            is FleetMessage.GetReport -> message.reply.complete(null)
            is FleetMessage.PeersAsked -> hasAskedPeers = true
            is FleetMessage.Failed, is FleetMessage.Relayed, is FleetMessage.Reported -> Unit
        }
    }

    private fun handle(message: FleetMessage) {
        val now = dependencies.clock.now()
        when (message) {
            is FleetMessage.Answered -> apply(message, now)
            is FleetMessage.Failed -> {
                recordFailure(message.part, message.error, now)
                tracker.failed(message.part, now)
            }
            is FleetMessage.Relayed -> relay(message.view, now)
            is FleetMessage.PeersAsked -> {
                hasAskedPeers = true
                message.view?.let { relay(it, now) }
            }
            is FleetMessage.Reported -> reports.reported(message.answer, message.sentAt, now)
            is FleetMessage.GetReport -> if (heldRequests.add(message, now)) askedAt.value = message.receivedAt
            is FleetMessage.GetOwnView -> message.reply.complete(tracker.ownView())
        }
    }

    private fun relay(
        view: FleetView,
        now: Instant,
    ) {
        tracker.relayed(view, now)
        reports.relayed(view)
    }

    private fun apply(
        answer: FleetMessage.Answered,
        now: Instant,
    ) {
        val isChanged = answer.isList || answer.changes.changes.isNotEmpty()
        recordAnswer(answer.part, answer.changes.position, isChanged, now)
        val texts = logTextsOf(answer.changes, published.value.view.endpoints)
        if (answer.isList) {
            tracker.listed(answer.part, answer.changes, now)
        } else {
            tracker.changed(answer.part, answer.changes, now)
        }
        if (answer.part == FleetPart.PEERS) {
            ownEntry.value = ownEntry.value.after(answer.changes, answer.isList, dependencies.self.id)
        }
        dependencies.restorationMetrics.answered(answer.changes.position.era)
        val at = textOf(answer.changes.position)
        texts.forEach { logger.info("fleet: {} at {}: {}", answer.part, at, it) }
        answer.isApplied.complete(true)
    }

    private fun suspendAwareTime(): Instant = (sharing?.suspendAwareClock ?: dependencies.clock).now()

    private fun recordAnswer(
        part: FleetPart,
        position: StorePosition,
        isChanged: Boolean,
        now: Instant,
    ) {
        reports.answered(part, position, isChanged, suspendAwareTime())
        if (part in unavailableParts.value) {
            unavailableParts.value -= part
            refusedParts.value -= part
            logger.info("fleet: {} available again at {}, {}", part, textOf(position), silence(part, now))
        }
        answeredAt[part] = now
    }

    private fun recordFailure(
        part: FleetPart,
        error: StoreError,
        now: Instant,
    ) {
        if (part !in unavailableParts.value) {
            logger.warn("fleet: {} unavailable, {}: {}", part, silence(part, now), error.message)
        }
        unavailableParts.value += part
        if (error is StoreError.Unavailable) refusedParts.value += part else refusedParts.value -= part
    }

    private fun silence(
        part: FleetPart,
        now: Instant,
    ): String = answeredAt[part]?.let { "${(now - it).inWholeMilliseconds} ms after its last answer" } ?: "not read yet"

    /** Learns from a peer what the store answers to it, so that this process need not ask the store as often. */
    private suspend fun followPeer(sharing: WatchSharing) {
        val choice = reportingPeer(dependencies.self.id)
        var last: GatewayPeer? = null
        var seen = 0L
        while (true) {
            val sentAt = dependencies.clock.now()
            val peer = choice.choose(published.value.view.peers, sentAt)
            if (peer != last) seen = 0L
            last = peer
            val request = StoreReportRequest(seen, sharing.reportTimes.wait)
            val answer = peer?.let { sharing.fetchStoreReport(it, request) }
            if (answer != null && answer.count != seen) {
                choice.succeeded(peer.id)
                seen = answer.count
                messages.send(FleetMessage.Reported(answer, sentAt))
            } else if (peer != null) {
                choice.failed(peer.id, dependencies.clock.now())
                logger.info("fleet: {} reports no answer of the store", peer.id.text)
            }
            delay(if (peer != null) sharing.reportTimes.pause else PEER_CHOICE_INTERVAL)
        }
    }

    /** Asks a peer, once this process has read the store, for what a restored store lists in an older state. */
    private suspend fun askPeersAtStart() {
        val known =
            withTimeoutOrNull(MAX_START_WAIT) {
                published.first { it.view.configuration != null && it.view.peersPosition > StorePosition() }
            }
        messages.send(FleetMessage.PeersAsked(known?.let { dependencies.fetchPeerView(it.view.peers) }))
    }

    private suspend fun fetchFromPeers() {
        while (true) {
            delay(RELAY_INTERVAL)
            val current = published.value
            if (unavailableParts.value.isEmpty() && current.isKnown) continue
            dependencies.fetchPeerView(current.view.peers)?.let { messages.send(FleetMessage.Relayed(it)) }
        }
    }

    private companion object {
        val logger = LogManager.getLogger(FleetTask::class.java)

        const val QUEUED_MESSAGES = 16

        /** Time in which a store that is available has answered the first calls. */
        val MAX_START_WAIT = 2.seconds

        /** Time between looks for a peer to follow while there is none. */
        val PEER_CHOICE_INTERVAL = 1.seconds

        /** Time between calls of peers. A configuration that only a peer has must be applied within seconds too. */
        val RELAY_INTERVAL = 700.milliseconds
    }
}
