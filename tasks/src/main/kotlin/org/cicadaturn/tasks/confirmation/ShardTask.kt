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
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.LedgerEvent
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.LedgerState
import org.cicadaturn.decisions.confirmation.LedgerStep
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.decisions.confirmation.isIdle
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.ObjectStore
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

private val log = LogManager.getLogger("org.cicadaturn.tasks.confirmation")

/** Number of messages that may wait for a shard. If the queue is full, a new request is refused as overloaded. */
private const val SHARD_QUEUE = 256

/** Number of store answers and ended calls that may wait for a shard. A full queue suspends the sender. */
private const val RESULT_QUEUE = 64

private const val SHARD_TASK = "confirmation shard"

/** Returns the step of a ledger after an event, as [org.cicadaturn.decisions.confirmation.step] does. */
internal typealias LedgerDecision = (LedgerState, LedgerEvent, Instant, LedgerPolicy) -> LedgerStep

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
    val supervisor: Supervisor,
    val decide: LedgerDecision = ::step,
)

/** Passes [event] to the observer, whose failure must not lose a result. */
internal fun ShardContext.observe(event: ConfirmationEvent) {
    supervisor.attempt("metrics of the confirmations", event) { observer(event) }
}

/**
 * Owns the ledger of one shard; only the coroutine that runs [run] accesses it.
 *
 * After a failure it goes on with its state. A request that the ledger cannot take in is refused, as no claim was made
 * for it. Everything later counts as possibly done: an answer of the store that the ledger cannot use as no answer, and
 * the result of a call as unknown.
 */
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

    /** Store answer or ended call that was received and is not applied yet. */
    private var unapplied: LedgerEvent? = null

    suspend fun run() {
        unapplied?.let { receiveResult(it) }
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
            results.onReceive { receiveResult(it) }
            inbox.onReceive { receive(it) }
            val time = wakeAt
            if (time != null) onTimeout(time - context.clock.now()) { enter(decide(LedgerEvent.TimerFired)) }
            // Drops the copy of the shard, which is read again for the next request.
            if (isIdle && state.view != null) onTimeout(context.options.idleTime) { state = LedgerState() }
        }
    }

    private fun receive(message: ShardMessage) {
        when (message) {
            is ShardMessage.Run -> receiveRequest(message.request)
            is ShardMessage.Cancel -> receiveCancelled(LedgerEvent.Cancelled(message.id))
            is ShardMessage.Drain -> drains += message.reply
            is ShardMessage.Status -> message.reply.complete(status())
        }
    }

    private fun receiveRequest(request: ShardRequest) {
        val next =
            context.supervisor.attempt(SHARD_TASK, request) {
                decide(LedgerEvent.Requested(request.id, request.key, context.newAttemptId(), request.deadline))
            }
        if (next == null) {
            request.reply.complete(notTakenIn)
            return
        }
        requests[request.id] = request
        enter(next)
    }

    /** Removes a cancelled request; its call, if started, continues and is identified by its attempt. */
    private fun receiveCancelled(event: LedgerEvent.Cancelled) {
        // Without a step the request stays in the ledger until its deadline.
        val next = context.supervisor.attempt(SHARD_TASK, event) { decide(event) } ?: return
        enter(next)
        requests.remove(event.call)
    }

    /**
     * Applies a store answer or an ended call, or [withoutContent] of it if the ledger cannot use it.
     *
     * If neither can be applied, the event is kept for the next run, as the ledger waits for it.
     */
    private fun receiveResult(event: LedgerEvent) {
        unapplied = event
        val next = context.supervisor.attempt(SHARD_TASK, event) { decide(event) } ?: decide(withoutContent(event))
        unapplied = null
        enter(next)
    }

    private fun decide(event: LedgerEvent): LedgerStep =
        context.decide(state, event, context.clock.now(), context.options.policy)

    private fun enter(next: LedgerStep) {
        val failuresBefore = state.failures
        state = next.state
        wakeAt = next.wakeAt
        if (failuresBefore > 0 && state.failures == 0) log.info("confirmation: {} is reachable again", objectKey)
        for (action in next.actions) {
            context.supervisor.attempt(SHARD_TASK, action) { perform(action) } ?: reportNotPerformed(action)
        }
    }

    private fun perform(action: LedgerAction) {
        when (action) {
            LedgerAction.Read -> context.scope.launch { results.send(LedgerEvent.ReadDone(read())) }
            is LedgerAction.Write -> context.scope.launch { results.send(LedgerEvent.WriteDone(write(action))) }
            is LedgerAction.Run -> runCall(action)
            is LedgerAction.Answer -> requests.remove(action.call)?.reply?.complete(action.result)
        }
    }

    /** Tells the ledger that the outcome of [action] is not known, as it waits for one. */
    private fun reportNotPerformed(action: LedgerAction) {
        val event =
            when (action) {
                LedgerAction.Read -> LedgerEvent.ReadDone(ReadAnswer.Failed)
                is LedgerAction.Write -> LedgerEvent.WriteDone(WriteAnswer.Unanswered)
                is LedgerAction.Run -> LedgerEvent.Ended(action.key, action.attempt, callLost)
                is LedgerAction.Answer -> return
            }
        context.scope.launch { results.send(event) }
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

    private suspend fun read(): ReadAnswer =
        fallbackIfThrows("read", ReadAnswer.Failed) {
            val start = context.clock.now()
            val answer = context.store.readShard(objectKey)
            context.observe(ConfirmationEvent.ShardRead(answer, elapsedSince(start)))
            answer
        }

    private suspend fun write(action: LedgerAction.Write): WriteAnswer =
        fallbackIfThrows("write", WriteAnswer.Unanswered) {
            val start = context.clock.now()
            val answer = context.store.writeShard(objectKey, action)
            context.observe(ConfirmationEvent.ShardWritten(answer, elapsedSince(start)))
            answer
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

    private fun status(): ShardStatus =
        ShardStatus(
            objectKey = objectKey,
            waiting = state.calls.size,
            running = state.attempts.values.count { it.phase == AttemptPhase.Running },
            unsettled = state.attempts.values.count { it.phase != AttemptPhase.Running },
            failures = state.failures,
        )
}

private val notTakenIn =
    ConfirmationResult.Refused(
        RefusalCode.STORE_UNAVAILABLE,
        "the request could not be taken in because of an internal error; repeat later with the same key",
        ClaimProof.NOT_READ,
    )

private val callLost =
    CallResult.Unknown("the result of the call was lost by an internal error; ask the service whether it ran")

/** Returns what is certain of [event] without its content: that a store call or a call of the back end has ended. */
private fun withoutContent(event: LedgerEvent): LedgerEvent =
    when (event) {
        is LedgerEvent.ReadDone -> LedgerEvent.ReadDone(ReadAnswer.Failed)
        is LedgerEvent.WriteDone -> LedgerEvent.WriteDone(WriteAnswer.Unanswered)
        is LedgerEvent.Ended -> event.copy(result = callLost)
        else -> event
    }
