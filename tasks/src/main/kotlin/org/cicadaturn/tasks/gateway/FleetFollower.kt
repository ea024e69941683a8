package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What the fleet task tells the coroutines that call the store; only that task writes the flows.
 *
 * @property refusedParts parts whose calls the store refuses
 * @property confirmedUntil time until which a peer's report makes a watch needless, by part
 * @property askedAt time of the last request of a peer for a report
 */
internal class FollowState(
    val refusedParts: StateFlow<Set<FleetPart>>,
    val confirmedUntil: StateFlow<Map<FleetPart, Instant>>,
    val askedAt: StateFlow<Instant>,
)

/** Follows parts of the fleet in the store and sends what it answers to the fleet task, by [send]. */
internal class FleetFollower(
    private val dependencies: FleetDependencies,
    private val supervisor: Supervisor,
    private val state: FollowState,
    private val send: suspend (FleetMessage) -> Unit,
) {
    private val sharing = dependencies.sharing

    /** Follows [part] from the start again if that ends with a defect, which must not leave the process with old data. */
    suspend fun keepFollowing(part: FleetPart) {
        while (true) {
            supervisor.attempt(FLEET_TASK, "an answer about $part") { follow(part) }
            send(FleetMessage.Failed(part, StoreError.Unanswered("its answer met a defect")))
            delay(RESTART_DELAY)
        }
    }

    /**
     * Lists [part] and watches it from there.
     *
     * A watch whose answer is of another era is followed by a list: its revision has been given out again, so that
     * changes below it are in no answer to the watch.
     */
    private suspend fun follow(part: FleetPart) {
        var position: StorePosition? = null
        var failures = 0
        while (true) {
            val from = position
            val answer =
                when {
                    from == null -> dependencies.store.list(part)
                    failures > 0 -> catchUp(part, from)
                    else -> watch(part, from)
                }
            val answered = answer.getOrNull()?.position
            if (from != null && answered != null && answered.era != from.era) {
                logger.info("fleet: {} at {} is listed, as the store is at {}", part, textOf(from), textOf(answered))
                position = null
                continue
            }
            answer.flatMap { apply(part, it, isList = from == null) }.fold(
                { error ->
                    // A failed watch may have missed changes that the store no longer keeps, so a list follows.
                    if (error !is StoreError.Unavailable) position = null
                    if (error !is StoreError.Compacted) {
                        failures += 1
                        send(FleetMessage.Failed(part, error))
                        delay(dependencies.backoff.delayBefore(failures))
                        if (error is StoreError.Unavailable) awaitTurn(part)
                    }
                },
                { changes ->
                    failures = 0
                    position = changes.position
                    if (changes.changes.isNotEmpty()) delay(dependencies.watchTimes(part).pause)
                },
            )
        }
    }

    private suspend fun watch(
        part: FleetPart,
        position: StorePosition,
    ): Either<StoreError, FleetChanges> {
        val now = dependencies.clock.now()
        val alone = dependencies.watchTimes(part)
        val shared = sharing?.times?.invoke(part) ?: return watch(part, position, alone)
        if (now - state.askedAt.value < REPORTING_TIME) return watch(part, position, shared.reporting)
        if (now >= confirmedUntil(part)) return watch(part, position, alone)
        watchWhileConfirmed(part, position, shared.longestWait)?.let { return it }
        logger.info("fleet: {} at {} is read, as no peer confirms it any longer", part, textOf(position))
        return catchUp(part, position)
    }

    /** Returns the changes of [part] up to now. */
    private suspend fun catchUp(
        part: FleetPart,
        position: StorePosition,
    ): Either<StoreError, FleetChanges> {
        val times = dependencies.watchTimes(part)
        return watch(part, position, times.copy(wait = CATCH_UP_WAIT, limit = times.limit - times.wait))
    }

    /**
     * Waits until [part] is the first of the parts whose calls are refused, or one of these has been answered.
     *
     * A store that refuses the calls of a process refuses them for all parts, so the calls for one of them show when it
     * serves the process again.
     */
    private suspend fun awaitTurn(part: FleetPart) {
        val refused = state.refusedParts.value
        state.refusedParts.first { now -> now.none { it < part } || !now.containsAll(refused) }
    }

    private suspend fun watch(
        part: FleetPart,
        position: StorePosition,
        times: WatchTimes,
    ): Either<StoreError, FleetChanges> =
        withTimeoutOrNull(times.limit) { dependencies.store.watch(part, position, times.wait) }
            ?: StoreError.Unanswered("no answer to a watch within ${times.limit}").left()

    /** Watches [part] as long as a peer confirms it; returns null if that ends before an answer. */
    private suspend fun watchWhileConfirmed(
        part: FleetPart,
        position: StorePosition,
        wait: Duration,
    ): Either<StoreError, FleetChanges>? =
        coroutineScope {
            val answer = async { dependencies.store.watch(part, position, wait) }
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
            withTimeoutOrNull(remaining) { state.confirmedUntil.first { it[part] != until } }
        }
    }

    private fun confirmedUntil(part: FleetPart): Instant = state.confirmedUntil.value[part] ?: Instant.DISTANT_PAST

    /** Sends an answer of the store to the fleet task and returns it, or an error if it could not be applied. */
    private suspend fun apply(
        part: FleetPart,
        changes: FleetChanges,
        isList: Boolean,
    ): Either<StoreError, FleetChanges> {
        val isApplied = CompletableDeferred<Boolean>()
        send(FleetMessage.Answered(part, changes, isList, isApplied))
        return if (isApplied.await()) changes.right() else StoreError.Unanswered("its answer met a defect").left()
    }

    private companion object {
        val logger = LogManager.getLogger(FleetFollower::class.java)

        /** Bounds the calls and log lines that a defect causes if it occurs each time. */
        val RESTART_DELAY = 1.seconds

        /** Wait of a call that returns the changes up to now. */
        val CATCH_UP_WAIT = 1.milliseconds

        /** Time after a request of a peer for which this process follows the store closely. */
        val REPORTING_TIME = 3.seconds
    }
}
