package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
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
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration
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

    override val state: StateFlow<FleetState> = published

    fun start(scope: CoroutineScope) {
        supervisor.start(scope, TASK, isVital = true) { processMessages() }
        FleetPart.entries.forEach { part -> supervisor.start(scope, "following $part") { keepFollowing(part) } }
        supervisor.start(scope, "registration") { register() }
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
            published.value = tracker.state(dependencies.clock.now())
            confirmedUntil.value = FleetPart.entries.associateWith(reports::confirmedUntil)
            heldRequests.complete(reports.count, dependencies.clock.now()) { held ->
                supervisor.attempt(TASK, "a report") { reports.answer(held, suspendAwareTime()) }
            }
        }
    }

    private fun receive(message: FleetMessage) {
        supervisor.attempt(TASK, message) { handle(message) } ?: reject(message)
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
            is FleetMessage.Relayed -> {
                tracker.relayed(message.view, now)
                reports.relayed(message.view)
            }
            is FleetMessage.Reported -> reports.reported(message.answer, message.sentAt, now)
            is FleetMessage.GetReport -> if (heldRequests.add(message, now)) askedAt.value = message.receivedAt
            is FleetMessage.GetOwnView -> message.reply.complete(tracker.ownView())
        }
    }

    private fun apply(
        answer: FleetMessage.Answered,
        now: Instant,
    ) {
        val isChanged = answer.isList || answer.changes.changes.isNotEmpty()
        recordAnswer(answer.part, answer.changes.revision, isChanged, now)
        val texts = logTextsOf(answer.changes, tracker.state(now).view.endpoints)
        if (answer.isList) {
            tracker.listed(answer.part, answer.changes, now)
        } else {
            tracker.changed(answer.part, answer.changes, now)
        }
        texts.forEach { logger.info("fleet: {} at revision {}: {}", answer.part, answer.changes.revision, it) }
        answer.isApplied.complete(true)
    }

    private fun suspendAwareTime(): Instant = (sharing?.suspendAwareClock ?: dependencies.clock).now()

    private fun recordAnswer(
        part: FleetPart,
        revision: Long,
        isChanged: Boolean,
        now: Instant,
    ) {
        reports.answered(part, revision, isChanged, suspendAwareTime())
        if (part in unavailableParts.value) {
            unavailableParts.value -= part
            refusedParts.value -= part
            logger.info("fleet: {} available again at revision {}, {}", part, revision, silence(part, now))
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

    /** Follows [part] from the start again if that ends with a defect, which must not leave the process with old data. */
    private suspend fun keepFollowing(part: FleetPart) {
        while (true) {
            supervisor.attempt(TASK, "an answer about $part") { follow(part) }
            messages.send(FleetMessage.Failed(part, StoreError.Unanswered("its answer met a defect")))
            delay(RESTART_DELAY)
        }
    }

    private suspend fun follow(part: FleetPart) {
        var revision: Long? = null
        var failures = 0
        while (true) {
            val from = revision
            val answer =
                when {
                    from == null -> dependencies.store.list(part)
                    failures > 0 -> catchUp(part, from)
                    else -> watch(part, from)
                }
            answer.flatMap { send(part, it, isList = from == null) }.fold(
                { error ->
                    // A failed watch may have missed changes that the store no longer keeps, so a list follows.
                    if (error !is StoreError.Unavailable) revision = null
                    if (error !is StoreError.Compacted) {
                        failures += 1
                        messages.send(FleetMessage.Failed(part, error))
                        delay(dependencies.backoff.delayBefore(failures))
                        if (error is StoreError.Unavailable) awaitTurn(part)
                    }
                },
                { changes ->
                    failures = 0
                    revision = changes.revision
                    if (changes.changes.isNotEmpty()) delay(dependencies.watchTimes(part).pause)
                },
            )
        }
    }

    private suspend fun watch(
        part: FleetPart,
        revision: Long,
    ): Either<StoreError, FleetChanges> {
        val now = dependencies.clock.now()
        val alone = dependencies.watchTimes(part)
        val shared = sharing?.times?.invoke(part) ?: return watch(part, revision, alone)
        if (now - askedAt.value < REPORTING_TIME) return watch(part, revision, shared.reporting)
        if (now >= confirmedUntil(part)) return watch(part, revision, alone)
        watchWhileConfirmed(part, revision, shared.longestWait)?.let { return it }
        logger.info("fleet: {} at revision {} is read, as no peer confirms it any longer", part, revision)
        return catchUp(part, revision)
    }

    /** Returns the changes of [part] up to now. */
    private suspend fun catchUp(
        part: FleetPart,
        revision: Long,
    ): Either<StoreError, FleetChanges> {
        val times = dependencies.watchTimes(part)
        return watch(part, revision, times.copy(wait = CATCH_UP_WAIT, limit = times.limit - times.wait))
    }

    /**
     * Waits until [part] is the first of the parts whose calls are refused, or one of these has been answered.
     *
     * A store that refuses the calls of a process refuses them for all parts, so the calls for one of them show when it
     * serves the process again.
     */
    private suspend fun awaitTurn(part: FleetPart) {
        val refused = refusedParts.value
        refusedParts.first { now -> now.none { it < part } || !now.containsAll(refused) }
    }

    private suspend fun watch(
        part: FleetPart,
        revision: Long,
        times: WatchTimes,
    ): Either<StoreError, FleetChanges> =
        withTimeoutOrNull(times.limit) { dependencies.store.watch(part, revision, times.wait) }
            ?: StoreError.Unanswered("no answer to a watch within ${times.limit}").left()

    /** Watches [part] as long as a peer confirms it; returns null if that ends before an answer. */
    private suspend fun watchWhileConfirmed(
        part: FleetPart,
        revision: Long,
        wait: Duration,
    ): Either<StoreError, FleetChanges>? =
        coroutineScope {
            val answer = async { dependencies.store.watch(part, revision, wait) }
            val end = async { awaitEndOfConfirmation(part) }
            select {
                answer.onAwait { it }
                end.onAwait { null }
            }.also {
                answer.cancel()
                end.cancel()
            }
        }

    private suspend fun awaitEndOfConfirmation(part: FleetPart) {
        while (true) {
            val until = confirmedUntil(part)
            val remaining = until - dependencies.clock.now()
            if (!remaining.isPositive()) return
            withTimeoutOrNull(remaining) { confirmedUntil.first { it[part] != until } }
        }
    }

    private fun confirmedUntil(part: FleetPart): Instant = confirmedUntil.value[part] ?: Instant.DISTANT_PAST

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

    /** Sends an answer of the store to this task and returns it, or an error if it could not be applied. */
    private suspend fun send(
        part: FleetPart,
        changes: FleetChanges,
        isList: Boolean,
    ): Either<StoreError, FleetChanges> {
        val isApplied = CompletableDeferred<Boolean>()
        messages.send(FleetMessage.Answered(part, changes, isList, isApplied))
        return if (isApplied.await()) changes.right() else StoreError.Unanswered("its answer met a defect").left()
    }

    private suspend fun register() {
        var failures = 0
        while (dependencies.store.register(dependencies.self).isLeft()) {
            failures += 1
            delay(dependencies.backoff.delayBefore(failures))
        }
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

        const val TASK = "fleet"
        const val QUEUED_MESSAGES = 16

        /** Bounds the calls and log lines that a defect causes if it occurs each time. */
        val RESTART_DELAY = 1.seconds

        /** Wait of a call that returns the changes up to now. */
        val CATCH_UP_WAIT = 1.milliseconds

        /** Time after a request of a peer for which this process follows the store closely. */
        val REPORTING_TIME = 3.seconds

        /** Time between looks for a peer to follow while there is none. */
        val PEER_CHOICE_INTERVAL = 1.seconds

        /** Time between calls of peers. A configuration that only a peer has must be applied within seconds too. */
        val RELAY_INTERVAL = 700.milliseconds
    }
}
