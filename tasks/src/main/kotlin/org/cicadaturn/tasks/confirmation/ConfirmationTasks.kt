package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.cicadaturn.decisions.confirmation.CallId
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.shardObjectKey
import org.cicadaturn.decisions.confirmation.shardOf
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.ServiceId
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Instant

/** Number of messages that may wait for the router. If the queue is full, a new request is refused as overloaded. */
private const val ROUTER_QUEUE = 1024

private const val ROUTER_TASK = "confirmations"

/** Message to the router, which owns the table of shards. */
private sealed interface RouterMessage {
    data class ToShard(
        val objectKey: String,
        val message: ShardMessage,
    ) : RouterMessage

    data class Drain(
        val reply: CompletableDeferred<Unit>,
    ) : RouterMessage

    data class Status(
        val reply: CompletableDeferred<List<ShardStatus>>,
    ) : RouterMessage
}

/** Routes requests to the task of their shard. */
internal class ConfirmationTasks(
    private val context: ShardContext,
) : Confirmations {
    private val inbox = Channel<RouterMessage>(ROUTER_QUEUE)
    private val lastCallNumber = AtomicLong()

    init {
        val router = Router(context, inbox)
        context.supervisor.start(context.scope, ROUTER_TASK) { router.run() }
    }

    override suspend fun run(
        key: ConfirmationKey,
        service: ServiceId,
        deadline: Instant,
        call: suspend () -> CallResult,
    ): ConfirmationResult {
        val start = context.clock.now()
        val objectKey = shardObjectKey(service, shardOf(key.key, context.options.shards))
        val reply = CompletableDeferred<ConfirmationResult>(context.scope.coroutineContext[Job])
        val request = ShardRequest(CallId(lastCallNumber.incrementAndGet()), key, deadline, call, reply)
        val isSent = inbox.trySend(RouterMessage.ToShard(objectKey, ShardMessage.Run(request))).isSuccess
        if (!isSent) reply.complete(overloaded)
        val result = awaitReply(objectKey, request)
        context.observe(ConfirmationEvent.RequestEnded(result, context.clock.now() - start))
        return result
    }

    private suspend fun awaitReply(
        objectKey: String,
        request: ShardRequest,
    ): ConfirmationResult =
        try {
            request.reply.await()
        } catch (e: CancellationException) {
            // If the queue of the router is full, this message is dropped and the request ends at its deadline.
            inbox.trySend(RouterMessage.ToShard(objectKey, ShardMessage.Cancel(request.id)))
            request.reply.cancel(e)
            currentCoroutineContext().ensureActive()
            ConfirmationResult.Unknown("the process is stopping; repeat with the same key to learn the outcome")
        }

    override suspend fun drain() {
        val reply = CompletableDeferred<Unit>(context.scope.coroutineContext[Job])
        inbox.send(RouterMessage.Drain(reply))
        reply.await()
    }

    override suspend fun shards(): List<ShardStatus> {
        val reply = CompletableDeferred<List<ShardStatus>>(context.scope.coroutineContext[Job])
        inbox.send(RouterMessage.Status(reply))
        return reply.await()
    }
}

private val overloaded =
    ConfirmationResult.Refused(
        RefusalCode.OVERLOADED,
        "too many confirmations wait at this process; repeat later with the same key",
        ClaimProof.NOT_READ,
    )

private val stopping =
    ConfirmationResult.Refused(
        RefusalCode.STOPPING,
        "the process is stopping; repeat with the same key at another endpoint",
        ClaimProof.NOT_READ,
    )

private val notRouted =
    ConfirmationResult.Unknown("the request met an internal error; repeat with the same key to learn the outcome")

/** Owns the table of shards; only the coroutine that runs [run] accesses it. */
private class Router(
    private val context: ShardContext,
    private val inbox: Channel<RouterMessage>,
) {
    private val shards = mutableMapOf<String, ShardTask>()
    private var isDraining = false

    suspend fun run() {
        for (message in inbox) {
            context.supervisor.attempt(ROUTER_TASK, message) { handle(message) } ?: reject(message)
        }
    }

    private fun handle(message: RouterMessage) {
        when (message) {
            is RouterMessage.ToShard -> route(message)
            is RouterMessage.Drain -> drain(message.reply)
            is RouterMessage.Status -> status(message.reply)
        }
    }

    private fun reject(message: RouterMessage) {
        when (message) {
            // The shard may have the request already, so this is no refusal.
            is RouterMessage.ToShard -> (message.message as? ShardMessage.Run)?.request?.reply?.complete(notRouted)

            // No reply to a drain: calls may be in progress, and the process limits its wait.
            is RouterMessage.Drain -> Unit

            is RouterMessage.Status -> message.reply.completeExceptionally(IllegalStateException("no status of shards"))
        }
    }

    /** Passes [message] to its shard without suspending, so that a full shard does not delay the others. */
    private fun route(message: RouterMessage.ToShard) {
        val run = message.message as? ShardMessage.Run
        if (run != null && isDraining) {
            run.request.reply.complete(stopping)
            return
        }
        val shard = shards.getOrPut(message.objectKey) { start(message.objectKey) }
        val isSent = shard.inbox.trySend(message.message).isSuccess
        if (!isSent) run?.request?.reply?.complete(overloaded)
    }

    private fun start(objectKey: String): ShardTask {
        val shard = ShardTask(objectKey, context)
        context.supervisor.start(context.scope, "shard $objectKey") { shard.run() }
        return shard
    }

    private fun drain(reply: CompletableDeferred<Unit>) {
        isDraining = true
        val replies = shards.values.map { it to CompletableDeferred<Unit>(context.scope.coroutineContext[Job]) }
        context.scope.launch {
            replies.forEach { (shard, shardReply) -> shard.inbox.send(ShardMessage.Drain(shardReply)) }
            replies.map { it.second }.awaitAll()
            reply.complete(Unit)
        }
    }

    private fun status(reply: CompletableDeferred<List<ShardStatus>>) {
        val replies = shards.values.map { it to CompletableDeferred<ShardStatus>(context.scope.coroutineContext[Job]) }
        context.scope.launch {
            replies.forEach { (shard, shardReply) -> shard.inbox.send(ShardMessage.Status(shardReply)) }
            reply.complete(replies.map { it.second }.awaitAll())
        }
    }
}
