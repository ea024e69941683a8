package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.fleetTracker
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Known state of the fleet, kept up to date from the store and, while the store is unavailable, from peers. */
public interface Fleet {
    /** Latest known state. */
    public val state: StateFlow<FleetState>

    /** Returns the state that this process read from the store itself, for peers that cannot reach the store. */
    public suspend fun ownView(): FleetView
}

/**
 * Dependencies of the fleet task.
 *
 * @property self entry of this process in the list of peers
 * @property fetchPeerView returns the view of one of the given peers, or null if none answers
 * @property watchTimes returns the times of the watch of a part
 */
public class FleetDependencies(
    public val store: FleetStore,
    public val self: GatewayPeer,
    public val fetchPeerView: suspend (List<GatewayPeer>) -> FleetView?,
    public val watchTimes: (FleetPart) -> WatchTimes,
    public val backoff: Backoff,
    public val clock: Clock,
)

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

private sealed interface FleetMessage {
    /** An answer of the store: the whole content of [part], or what has changed there; [isApplied] gets the outcome. */
    class Answered(
        val part: FleetPart,
        val changes: FleetChanges,
        val isList: Boolean,
        val isApplied: CompletableDeferred<Boolean>,
    ) : FleetMessage

    class Failed(
        val part: FleetPart,
        val error: StoreError,
    ) : FleetMessage

    class Relayed(
        val view: FleetView,
    ) : FleetMessage

    class GetOwnView(
        val reply: CompletableDeferred<FleetView>,
    ) : FleetMessage
}

private class FleetTask(
    private val dependencies: FleetDependencies,
    private val supervisor: Supervisor,
) : Fleet {
    private val tracker = fleetTracker()

    // Bounded, so that senders wait while this task is busy; each sender has at most one message in progress.
    private val messages = Channel<FleetMessage>(QUEUED_MESSAGES)
    private val published = MutableStateFlow(tracker.state(dependencies.clock.now()))
    private var unavailableParts = emptySet<FleetPart>()
    private val answeredAt = HashMap<FleetPart, Instant>()

    override val state: StateFlow<FleetState> = published

    fun start(scope: CoroutineScope) {
        supervisor.start(scope, TASK, isVital = true) { processMessages() }
        FleetPart.entries.forEach { part -> supervisor.start(scope, "following $part") { keepFollowing(part) } }
        supervisor.start(scope, "registration") { register() }
        supervisor.start(scope, "peer relay") { fetchFromPeers() }
    }

    override suspend fun ownView(): FleetView {
        val reply = CompletableDeferred<FleetView>()
        messages.send(FleetMessage.GetOwnView(reply))
        return reply.await()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun processMessages() {
        while (true) {
            val now = dependencies.clock.now()
            val expiry = tracker.nextExpiry(now)
            // A receive that is cancelled by a time-out may lose a message; the selection of one of both does not.
            select {
                messages.onReceive { receive(it) }
                if (expiry != null) onTimeout(expiry - now) {}
            }
            published.value = tracker.state(dependencies.clock.now())
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
            is FleetMessage.Failed, is FleetMessage.Relayed -> Unit
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
            is FleetMessage.Relayed -> tracker.relayed(message.view, now)
            is FleetMessage.GetOwnView -> message.reply.complete(tracker.ownView())
        }
    }

    private fun apply(
        answer: FleetMessage.Answered,
        now: Instant,
    ) {
        recordAnswer(answer.part, answer.changes.revision, now)
        if (answer.isList) {
            tracker.listed(answer.part, answer.changes, now)
        } else {
            tracker.changed(answer.part, answer.changes, now)
        }
        logChanges(answer.part, answer.changes)
        answer.isApplied.complete(true)
    }

    private fun recordAnswer(
        part: FleetPart,
        revision: Long,
        now: Instant,
    ) {
        if (part in unavailableParts) {
            unavailableParts = unavailableParts - part
            logger.info("fleet: {} available again at revision {}, {}", part, revision, silence(part, now))
        }
        answeredAt[part] = now
    }

    private fun recordFailure(
        part: FleetPart,
        error: StoreError,
        now: Instant,
    ) {
        if (part !in unavailableParts) {
            logger.warn("fleet: {} unavailable, {}: {}", part, silence(part, now), error.message)
        }
        unavailableParts = unavailableParts + part
    }

    private fun silence(
        part: FleetPart,
        now: Instant,
    ): String = answeredAt[part]?.let { "${(now - it).inWholeMilliseconds} ms after its last answer" } ?: "not read yet"

    private fun logChanges(
        part: FleetPart,
        changes: FleetChanges,
    ) {
        logTextsOf(changes).forEach { logger.info("fleet: {} at revision {}: {}", part, changes.revision, it) }
    }

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
            val answer = if (from == null) dependencies.store.list(part) else watch(part, from)
            answer.flatMap { send(part, it, isList = from == null) }.fold(
                { error ->
                    // A failed watch may have missed changes that the store no longer keeps, so a list follows.
                    if (error !is StoreError.Unavailable) revision = null
                    if (error !is StoreError.Compacted) {
                        failures += 1
                        messages.send(FleetMessage.Failed(part, error))
                        delay(dependencies.backoff.delayBefore(failures))
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
        val times = dependencies.watchTimes(part)
        return withTimeoutOrNull(times.limit) { dependencies.store.watch(part, revision, times.wait) }
            ?: StoreError.Unanswered("no answer to a watch within ${times.limit}").left()
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
            if (unavailableParts.isEmpty() && current.isKnown) continue
            dependencies.fetchPeerView(current.view.peers)?.let { messages.send(FleetMessage.Relayed(it)) }
        }
    }

    private companion object {
        val logger = LogManager.getLogger(FleetTask::class.java)

        const val TASK = "fleet"
        const val QUEUED_MESSAGES = 16

        /** Bounds the calls and log lines that a defect causes if it occurs each time. */
        val RESTART_DELAY = 1.seconds

        /** Time between calls of peers. A configuration that only a peer has must be applied within seconds too. */
        val RELAY_INTERVAL = 700.milliseconds
    }
}
