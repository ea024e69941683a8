package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.fleetTracker
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the belief of the fleet up to date from the store and, while it is out of reach, from peers. */
public interface Fleet {
    /** Newest belief. */
    public val state: StateFlow<FleetState>

    /** Returns what this process has from the store itself, for peers that cannot reach it. */
    public suspend fun ownView(): FleetView
}

/**
 * Parts of the fleet task.
 *
 * @property self entry of this process
 * @property relay returns the view of some peer, or null if none answers; given the peers that are known
 * @property watchWait time that a watch call waits for a change
 */
public class FleetParts(
    public val store: FleetStore,
    public val self: GatewayPeer,
    public val relay: suspend (List<GatewayPeer>) -> FleetView?,
    public val watchWait: Duration,
    public val backoff: Backoff,
    public val clock: Clock,
)

/** Starts the task in [scope]. */
public fun startFleet(
    scope: CoroutineScope,
    parts: FleetParts,
): Fleet = FleetTask(scope, parts).also { it.start() }

private sealed interface FleetMessage {
    class Listed(
        val part: FleetPart,
        val content: FleetChanges,
    ) : FleetMessage

    class Changed(
        val part: FleetPart,
        val changes: FleetChanges,
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
    private val scope: CoroutineScope,
    private val parts: FleetParts,
) : Fleet {
    private val belief = fleetTracker()

    // Watchers wait while the owner is busy; each has at most one message in flight.
    private val messages = Channel<FleetMessage>(MESSAGES)
    private val published = MutableStateFlow(belief.state(parts.clock.now()))
    private var lostParts = emptySet<FleetPart>()

    override val state: StateFlow<FleetState> = published

    fun start() {
        scope.launch { own() }
        FleetPart.entries.forEach { part -> scope.launch { follow(part) } }
        scope.launch { register() }
        scope.launch { askPeers() }
    }

    override suspend fun ownView(): FleetView {
        val reply = CompletableDeferred<FleetView>()
        messages.send(FleetMessage.GetOwnView(reply))
        return reply.await()
    }

    private suspend fun own() {
        while (true) {
            val expiry = belief.nextExpiry()
            if (expiry == null) {
                take(messages.receive())
            } else {
                withTimeoutOrNull(expiry - parts.clock.now()) { messages.receive() }?.let { take(it) }
            }
            published.value = belief.state(parts.clock.now())
        }
    }

    private fun take(message: FleetMessage) {
        val now = parts.clock.now()
        when (message) {
            is FleetMessage.Listed -> {
                noteAnswer(message.part)
                belief.listed(message.part, message.content, now)
                report(message.part, message.content)
            }
            is FleetMessage.Changed -> {
                noteAnswer(message.part)
                belief.changed(message.part, message.changes, now)
                report(message.part, message.changes)
            }
            is FleetMessage.Failed -> {
                if (message.part !in lostParts) logger.warn("fleet: {} lost: {}", message.part, message.error.message)
                lostParts = lostParts + message.part
                belief.failed(message.part, now)
            }
            is FleetMessage.Relayed -> belief.relayed(message.view, now)
            is FleetMessage.GetOwnView -> message.reply.complete(belief.ownView())
        }
    }

    private fun noteAnswer(part: FleetPart) {
        if (part !in lostParts) return
        lostParts = lostParts - part
        logger.info("fleet: {} regained", part)
    }

    private fun report(
        part: FleetPart,
        changes: FleetChanges,
    ) {
        changes.changes.forEach { change ->
            val text = if (change is FleetChange.Configured) "version ${change.configuration.version}" else "$change"
            logger.info("fleet: {} at revision {}: {}", part, changes.revision, text)
        }
    }

    private suspend fun follow(part: FleetPart) {
        var revision: Long? = null
        var failures = 0
        while (true) {
            val from = revision
            val answer = if (from == null) parts.store.list(part) else parts.store.watch(part, from, parts.watchWait)
            answer.fold(
                { error ->
                    // A watch that was cut may have missed changes whose history is gone, so it is followed by a list.
                    if (error !is StoreError.Unavailable) revision = null
                    if (error !is StoreError.Compacted) {
                        failures += 1
                        messages.send(FleetMessage.Failed(part, error))
                        delay(parts.backoff.delayBefore(failures))
                    }
                },
                { changes ->
                    failures = 0
                    revision = changes.revision
                    messages.send(messageOf(part, changes, isList = from == null))
                },
            )
        }
    }

    private fun messageOf(
        part: FleetPart,
        changes: FleetChanges,
        isList: Boolean,
    ): FleetMessage = if (isList) FleetMessage.Listed(part, changes) else FleetMessage.Changed(part, changes)

    private suspend fun register() {
        var failures = 0
        while (parts.store.register(parts.self).isLeft()) {
            failures += 1
            delay(parts.backoff.delayBefore(failures))
        }
    }

    private suspend fun askPeers() {
        while (true) {
            delay(RELAY_INTERVAL)
            val current = published.value
            if (lostParts.isEmpty() && current.isKnown) continue
            parts.relay(current.view.peers)?.let { messages.send(FleetMessage.Relayed(it)) }
        }
    }

    private companion object {
        val logger = LogManager.getLogger(FleetTask::class.java)

        const val MESSAGES = 16

        /** A configuration must be in force within seconds also where only a peer can tell it. */
        val RELAY_INTERVAL = 700.milliseconds
    }
}

/** Longest wait of a list call or of the answer to a watch beyond its wait. */
public val STORE_CALL_TIMEOUT: Duration = 1.seconds
