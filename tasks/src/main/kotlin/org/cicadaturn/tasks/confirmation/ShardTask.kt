package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.confirmation.AttemptPhase
import org.cicadaturn.decisions.confirmation.CallId
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.LedgerEvent
import org.cicadaturn.decisions.confirmation.LedgerState
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.decisions.confirmation.isIdle
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.tasks.store.ObjectStore
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

private val log = LogManager.getLogger("org.cicadaturn.tasks.confirmation")

/** Number of messages that may wait for a shard. If the queue is full, a new request is refused as overloaded. */
private const val SHARD_QUEUE = 256

/** Number of store answers and ended calls that may wait for a shard. A full queue suspends the sender. */
private const val RESULT_QUEUE = 64

/** Request to a shard. */
internal class ShardRequest(
    val id: CallId,
    val key: ConfirmationKey,
    val deadline: Instant,
    val call: suspend () -> CallResult,
    val reply: CompletableDeferred<ConfirmationResult>,
)

/** Message to the task of a shard. */
internal sealed interface ShardMessage {
    data class Run(
        val request: ShardRequest,
    ) : ShardMessage

    data class Cancel(
        val id: CallId,
    ) : ShardMessage

    /** Asks for [reply] to be completed when no request and no attempt is left. */
    data class Drain(
        val reply: CompletableDeferred<Unit>,
    ) : ShardMessage

    data class Status(
        val reply: CompletableDeferred<ShardStatus>,
    ) : ShardMessage
}

/** Dependencies that the tasks of all shards share. */
internal data class ShardContext(
    val store: ObjectStore,
    val clock: Clock,
    val newAttemptId: () -> AttemptId,
    val scope: CoroutineScope,
    val options: ConfirmationOptions,
    val observer: ConfirmationObserver,
)

/** Owns the ledger of one shard; only the coroutine that runs [run] accesses it. */
internal class ShardTask(
    private val objectKey: String,
    private val context: ShardContext,
) {
    val inbox = Channel<ShardMessage>(SHARD_QUEUE)
    private val results = Channel<LedgerEvent>(RESULT_QUEUE)
    private var state = LedgerState()
    private var wakeAt: Instant? = null
    private val requests = mutableMapOf<CallId, ShardRequest>()
    private val drains = mutableListOf<CompletableDeferred<Unit>>()

    suspend fun run() {
        while (true) {
            awaitEvent()
            if (state.calls.isEmpty() && state.attempts.isEmpty()) {
                drains.forEach { it.complete(Unit) }
                drains.clear()
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun awaitEvent() {
        val isIdle = state.isIdle()
        select {
            results.onReceive { apply(it) }
            inbox.onReceive { receive(it) }
            val time = wakeAt
            if (time != null) onTimeout(time - context.clock.now()) { apply(LedgerEvent.TimerFired) }
            // Drops the copy of the shard, which is read again for the next request.
            if (isIdle && state.view != null) onTimeout(context.options.idleTime) { state = LedgerState() }
        }
    }

    private fun receive(message: ShardMessage) {
        when (message) {
            is ShardMessage.Run -> receiveRequest(message.request)
            is ShardMessage.Cancel -> apply(LedgerEvent.Cancelled(message.id))
            is ShardMessage.Drain -> drains += message.reply
            is ShardMessage.Status -> message.reply.complete(status())
        }
    }

    private fun receiveRequest(request: ShardRequest) {
        requests[request.id] = request
        apply(LedgerEvent.Requested(request.id, request.key, context.newAttemptId(), request.deadline))
    }

    private fun apply(event: LedgerEvent) {
        val failuresBefore = state.failures
        val next = step(state, event, context.clock.now(), context.options.policy)
        state = next.state
        wakeAt = next.wakeAt
        if (failuresBefore > 0 && state.failures == 0) log.info("confirmation: {} is reachable again", objectKey)
        next.actions.forEach { perform(it) }
        if (event is LedgerEvent.Cancelled) removeRequest(event.call)
    }

    private fun perform(action: LedgerAction) {
        when (action) {
            LedgerAction.Read -> context.scope.launch { results.send(LedgerEvent.ReadDone(read())) }
            is LedgerAction.Write -> context.scope.launch { results.send(LedgerEvent.WriteDone(write(action))) }
            is LedgerAction.Run -> runCall(action)
            is LedgerAction.Answer -> requests.remove(action.call)?.reply?.complete(action.result)
        }
    }

    private fun runCall(action: LedgerAction.Run) {
        val request = requests.getValue(action.call)
        context.scope.launch { results.send(LedgerEvent.Ended(action.key, action.attempt, resultOf(request))) }
    }

    private suspend fun resultOf(request: ShardRequest): CallResult =
        try {
            request.call()
        } catch (e: Throwable) {
            // Rethrows if the scope is cancelled; after any other exception the outcome of the call is unknown.
            currentCoroutineContext().ensureActive()
            log.error("confirmation: call for {} failed", request.key.key, e)
            CallResult.Unknown("the call failed with ${e::class.simpleName}; ask the service whether it ran")
        }

    private suspend fun read(): ReadAnswer {
        val start = context.clock.now()
        val answer = fallbackIfThrows("read", ReadAnswer.Failed) { context.store.readShard(objectKey) }
        context.observer(ConfirmationEvent.ShardRead(answer, elapsedSince(start)))
        return answer
    }

    private suspend fun write(action: LedgerAction.Write): WriteAnswer {
        val start = context.clock.now()
        val answer = fallbackIfThrows("write", WriteAnswer.Unanswered) { context.store.writeShard(objectKey, action) }
        context.observer(ConfirmationEvent.ShardWritten(answer, elapsedSince(start)))
        return answer
    }

    /**
     * Returns the result of [call], or [fallback] if it throws.
     *
     * A defect in a store client thus does not stop the shard.
     */
    private suspend fun <T> fallbackIfThrows(
        kind: String,
        fallback: T,
        call: suspend () -> T,
    ): T =
        try {
            call()
        } catch (e: Throwable) {
            currentCoroutineContext().ensureActive()
            log.error("confirmation: {} of {} failed with an exception", kind, objectKey, e)
            fallback
        }

    private fun elapsedSince(start: Instant): Duration = context.clock.now() - start

    /** Removes a cancelled request; its call, if started, continues and is identified by its attempt. */
    private fun removeRequest(id: CallId) {
        requests.remove(id)
    }

    private fun status(): ShardStatus =
        ShardStatus(
            objectKey = objectKey,
            waiting = state.calls.size,
            running = state.attempts.values.count { it.phase == AttemptPhase.Running },
            unsettled = state.attempts.values.count { it.phase != AttemptPhase.Running },
            failures = state.failures,
        )
}
