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

/** Messages that may wait at a shard. When it is full, the router refuses a further request as overloaded. */
private const val SHARD_INBOX = 256

/** Store answers and ended calls that may wait at a shard. When it is full, the child that reports waits. */
private const val SHARD_RESULTS = 64

/** Is a request on its way to a shard. */
internal class ShardRequest(
    val id: CallId,
    val key: ConfirmationKey,
    val deadline: Instant,
    val call: suspend () -> CallResult,
    val reply: CompletableDeferred<ConfirmationResult>,
)

/** Is a message to the task of a shard. */
internal sealed interface ShardMessage {
    data class Run(
        val request: ShardRequest,
    ) : ShardMessage

    data class GaveUp(
        val call: CallId,
    ) : ShardMessage

    /** [reply] is completed when each request and attempt is settled. */
    data class Drain(
        val reply: CompletableDeferred<Unit>,
    ) : ShardMessage

    data class Status(
        val reply: CompletableDeferred<ShardStatus>,
    ) : ShardMessage
}

/** Is what the tasks of all shards share. */
internal data class ShardContext(
    val store: ObjectStore,
    val clock: Clock,
    val ids: () -> AttemptId,
    val scope: CoroutineScope,
    val options: ConfirmationOptions,
    val observer: ConfirmationObserver,
)

/** Owns the ledger of one shard: the only coroutine that reads or changes it is the one that runs [run]. */
internal class ShardTask(
    private val objectKey: String,
    private val context: ShardContext,
) {
    val inbox = Channel<ShardMessage>(SHARD_INBOX)
    private val results = Channel<LedgerEvent>(SHARD_RESULTS)
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
            // The copy of the shard is dropped; it is read again when the next request comes.
            if (isIdle && state.view != null) onTimeout(context.options.idleTime) { state = LedgerState() }
        }
    }

    private fun receive(message: ShardMessage) {
        when (message) {
            is ShardMessage.Run -> receiveRequest(message.request)
            is ShardMessage.GaveUp -> apply(LedgerEvent.Cancelled(message.call))
            is ShardMessage.Drain -> drains += message.reply
            is ShardMessage.Status -> message.reply.complete(status())
        }
    }

    private fun receiveRequest(request: ShardRequest) {
        requests[request.id] = request
        apply(LedgerEvent.Requested(request.id, request.key, context.ids(), request.deadline))
    }

    private fun apply(event: LedgerEvent) {
        val failuresBefore = state.failures
        val next = step(state, event, context.clock.now(), context.options.policy)
        state = next.state
        wakeAt = next.wakeAt
        if (failuresBefore > 0 && state.failures == 0) log.info("confirmation: {} is reachable again", objectKey)
        next.actions.forEach { perform(it) }
        if (event is LedgerEvent.Cancelled) forgetRequest(event.call)
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
            // A cancelled scope is the end of the process; any other failure of the call leaves its outcome open.
            currentCoroutineContext().ensureActive()
            log.error("confirmation: call for {} failed", request.key.key, e)
            CallResult.Unknown("the call failed with ${e::class.simpleName}; ask the service whether it ran")
        }

    private suspend fun read(): ReadAnswer {
        val start = context.clock.now()
        val answer = guarded("read", ReadAnswer.Failed) { context.store.readShard(objectKey) }
        context.observer(ConfirmationEvent.ShardRead(answer, since(start)))
        return answer
    }

    private suspend fun write(action: LedgerAction.Write): WriteAnswer {
        val start = context.clock.now()
        val answer = guarded("write", WriteAnswer.Unanswered) { context.store.writeShard(objectKey, action) }
        context.observer(ConfirmationEvent.ShardWritten(answer, since(start)))
        return answer
    }

    /** Returns [fallback] if [call] throws, so that a defect of a store client does not stop the shard. */
    private suspend fun <T> guarded(
        kind: String,
        fallback: T,
        call: suspend () -> T,
    ): T =
        try {
            call()
        } catch (e: Throwable) {
            currentCoroutineContext().ensureActive()
            log.error("confirmation: {} of {} threw", kind, objectKey, e)
            fallback
        }

    private fun since(start: Instant): Duration = context.clock.now() - start

    /** A requester that left gets no result; its call, if begun, goes on and is found by its attempt. */
    private fun forgetRequest(call: CallId) {
        requests.remove(call)
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
