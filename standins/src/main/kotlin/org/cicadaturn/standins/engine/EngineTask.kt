package org.cicadaturn.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EngineAssignment
import org.cicadaturn.schema.generated.EngineCounters
import org.cicadaturn.schema.generated.EngineLoad
import org.cicadaturn.schema.generated.EngineOrder
import org.cicadaturn.schema.generated.EngineOrderAnswer
import org.cicadaturn.schema.generated.EngineOrderKind
import org.cicadaturn.schema.generated.LoadedModel
import org.cicadaturn.schema.generated.PromptCache
import kotlin.time.Duration
import kotlin.time.Instant

/** Capacity of the inbox of the engine task, in messages; senders suspend while it is full. */
internal const val ENGINE_INBOX_CAPACITY = 1024

/**
 * Maximum number of load reports kept for the reporting lag.
 *
 * Beyond it, the oldest report is removed early, which shortens the lag when the load changes very often.
 */
private const val MAX_LOAD_REPORTS = 4096

/** Message to the coroutine that owns the state of the engine. */
internal sealed interface EngineMessage {
    class Submit(
        val chat: ChatParameters,
        val reply: CompletableDeferred<SubmitResult>,
    ) : EngineMessage

    /** Drops the request that was submitted with the same [reply]; has no effect if the request has ended. */
    class Abandon(
        val reply: CompletableDeferred<SubmitResult>,
    ) : EngineMessage

    class Cancel(
        val attempt: String,
        val reply: CompletableDeferred<Boolean>,
    ) : EngineMessage

    class TimerEnded(
        val epoch: Long,
    ) : EngineMessage

    class ReadLoad(
        val reply: CompletableDeferred<EngineLoad>,
    ) : EngineMessage

    class ReadCounters(
        val reply: CompletableDeferred<EngineCounters>,
    ) : EngineMessage

    class ResetToCold(
        val restart: Boolean,
        val reply: CompletableDeferred<Unit>,
    ) : EngineMessage

    class Stall(
        val length: Duration,
        val reply: CompletableDeferred<Unit>,
    ) : EngineMessage

    class Order(
        val order: EngineOrder,
        val reply: CompletableDeferred<EngineOrderAnswer>,
    ) : EngineMessage

    class ExportCache(
        val last: Digest,
        val reply: CompletableDeferred<PromptCache?>,
    ) : EngineMessage

    class ImportCache(
        val cache: PromptCache,
        val reply: CompletableDeferred<Unit>,
    ) : EngineMessage
}

/** Parameters of a chat request for the batching model; its identifier is assigned on submission. */
internal data class ChatParameters(
    val attempt: String?,
    val model: String,
    val priority: Int,
    val promptTokens: Int,
    val blocks: List<Digest>,
    val firstToken: Int,
    val answerTokens: Int,
)

/** Result of submitting a chat request. */
internal sealed interface SubmitResult {
    /** The request is running or waiting; [tokens] closes after the last token, or early if the request is dropped. */
    class Accepted(
        val id: Long,
        val run: Long,
        val tokens: ReceiveChannel<TokenEvent>,
    ) : SubmitResult

    /** The request was refused and did not run. */
    class Refused(
        val status: Int,
        val type: String,
        val message: String,
    ) : SubmitResult
}

/** Request that is running or waiting. */
private class LiveRequest(
    val attempt: String?,
    val reply: CompletableDeferred<SubmitResult>,
    val tokens: Channel<TokenEvent>,
)

/**
 * Owns the state of a stand-in engine and executes its steps.
 *
 * Only the coroutine of [run] accesses the state. Each token channel has capacity for the whole answer, so that a slow
 * reader never delays the batch.
 */
internal class EngineTask(
    private val settings: EngineSettings,
    private val time: ModelTime,
    private val inbox: Channel<EngineMessage>,
) {
    private var batch = newBatch(settings.batch)
    private var assignment = EngineAssignment(settings.models.map { LoadedModel(it, "1", adapter = false) })
    private var run = settings.run
    private var lastId = 0L
    private val liveRequests = HashMap<Long, LiveRequest>()
    private val loadHistory = ArrayDeque(listOf(Instant.DISTANT_PAST to batch.load(run)))

    /** Timer for the end of the step or stall in progress; null if there is none. */
    private var timer: Job? = null

    /** True if the timer that was set last is for a step, false if it is for a stall or none was set. */
    private var isStepTimer = false

    /** Incremented when the timer is cancelled, so that a message that it has already sent is ignored. */
    private var epoch = 0L

    /** Handles messages until it is cancelled; timers run in [scope]. */
    suspend fun run(scope: CoroutineScope) {
        for (message in inbox) {
            handle(message)
            recordLoad()
            scheduleNext(scope)
        }
    }

    private fun handle(message: EngineMessage) {
        when (message) {
            is EngineMessage.Submit -> submit(message)
            is EngineMessage.Abandon -> findId { it.reply === message.reply }?.let { drop(it) }
            is EngineMessage.Cancel -> message.reply.complete(cancel(message.attempt))
            is EngineMessage.TimerEnded -> timerEnded(message)
            is EngineMessage.ReadLoad -> message.reply.complete(delayedLoad())
            is EngineMessage.ReadCounters -> message.reply.complete(counters())
            is EngineMessage.ResetToCold -> {
                resetToCold(message.restart)
                message.reply.complete(Unit)
            }
            is EngineMessage.Stall -> {
                stall(message.length)
                message.reply.complete(Unit)
            }
            is EngineMessage.Order -> message.reply.complete(order(message.order))
            is EngineMessage.ExportCache -> message.reply.complete(export(message.last))
            is EngineMessage.ImportCache -> {
                batch = batch.copy(cache = batch.cache.with(message.cache.blocks))
                message.reply.complete(Unit)
            }
        }
    }

    private fun submit(message: EngineMessage.Submit) {
        val chat = message.chat
        val refusal = refusalOf(chat)
        if (refusal != null) {
            message.reply.complete(refusal)
            return
        }
        val id = ++lastId
        val request =
            BatchRequest(id, chat.priority, chat.promptTokens, chat.blocks, chat.firstToken, chat.answerTokens)
        batch = batch.submit(request)
        val tokens = Channel<TokenEvent>(chat.answerTokens - chat.firstToken)
        liveRequests[id] = LiveRequest(chat.attempt, message.reply, tokens)
        message.reply.complete(SubmitResult.Accepted(id, run, tokens))
    }

    private fun refusalOf(chat: ChatParameters): SubmitResult.Refused? {
        if (assignment.models.none { it.name == chat.model }) {
            return SubmitResult.Refused(404, "model_not_found", "model ${chat.model} is not loaded; see /v1/models")
        }
        if (chat.attempt != null && findId { it.attempt == chat.attempt } != null) {
            return SubmitResult.Refused(
                409,
                "attempt_reused",
                "attempt ${chat.attempt} is running; use a new identifier",
            )
        }
        if (batch.isQueueFull()) {
            batch = batch.copy(counters = batch.counters.copy(refused = batch.counters.refused + 1))
            return SubmitResult.Refused(503, "overloaded", "${batch.waiting.size} requests wait; try again later")
        }
        return null
    }

    private fun findId(condition: (LiveRequest) -> Boolean): Long? =
        liveRequests.entries.firstOrNull { condition(it.value) }?.key

    private fun drop(id: Long) {
        val request = liveRequests.remove(id) ?: return
        batch = batch.cancel(id)
        request.tokens.close()
    }

    private fun cancel(attempt: String): Boolean {
        val id = findId { it.attempt == attempt } ?: return false
        drop(id)
        return true
    }

    /** Begins a step, or waits for the end of a stall, if there are requests and neither is in progress. */
    private fun scheduleNext(scope: CoroutineScope) {
        if (timer != null || batch.requestCount == 0) return
        val now = time.now()
        val stalled = batch.stalledUntil - now
        isStepTimer = stalled <= Duration.ZERO
        val length = if (isStepTimer) beginStep(now) else stalled
        val timerEpoch = epoch
        timer =
            scope.launch {
                time.pause(length)
                inbox.send(EngineMessage.TimerEnded(timerEpoch))
            }
    }

    private fun beginStep(now: Instant): Duration {
        assignment = assignment.atStep(batch.counters.steps)
        val start = batch.beginStep(now)
        batch = start.state
        recordLoad()
        return start.endsAt - now
    }

    private fun timerEnded(message: EngineMessage.TimerEnded) {
        if (message.epoch != epoch) return
        timer = null
        if (isStepTimer) endStep()
    }

    private fun endStep() {
        val end = batch.endStep()
        batch = end.state
        end.tokens.forEach { token ->
            val request = liveRequests[token.id] ?: return@forEach
            request.tokens.trySend(token)
            if (token.last) {
                liveRequests.remove(token.id)
                request.tokens.close()
            }
        }
    }

    private fun resetToCold(restart: Boolean) {
        if (!restart) {
            batch = batch.resetToCold()
            return
        }
        batch = batch.restart()
        liveRequests.values.forEach { it.tokens.close() }
        liveRequests.clear()
        run++
        cancelTimer()
    }

    private fun stall(length: Duration) {
        batch = batch.stallUntil(time.now() + length)
        // A step in progress ends as planned.
        if (!isStepTimer) cancelTimer()
    }

    private fun cancelTimer() {
        epoch++
        timer?.cancel()
        timer = null
    }

    private fun order(order: EngineOrder): EngineOrderAnswer {
        // Steps are numbered from 0, so the number of completed steps is the number of a step in progress.
        val nextStep = batch.counters.steps + if (timer != null && isStepTimer) 1 else 0
        val result = assignment.applyOrder(order, nextStep, settings.checkFencing)
        assignment = result.assignment
        if (result.answer.applied && order.kind == EngineOrderKind.LOAD_VERSION) batch = batch.resetToCold()
        return result.answer
    }

    private fun export(last: Digest): PromptCache? =
        batch.cache.prefixEndingWith(last)?.let { PromptCache(settings.batch.blockTokens, it) }

    private fun recordLoad() {
        val load = batch.load(run)
        if (loadHistory.last().second == load) return
        val now = time.now()
        loadHistory.addLast(now to load)
        dropLoadBefore(now - settings.loadLag)
    }

    /** Removes load reports older than the one that was current at [time]. */
    private fun dropLoadBefore(time: Instant) {
        while (loadHistory.size > 1 &&
            (loadHistory[1].first <= time || loadHistory.size > MAX_LOAD_REPORTS)
        ) {
            loadHistory.removeFirst()
        }
    }

    private fun delayedLoad(): EngineLoad {
        dropLoadBefore(time.now() - settings.loadLag)
        return loadHistory.first().second
    }

    private fun counters(): EngineCounters =
        EngineCounters(
            run = run,
            running = batch.running.size,
            waiting = batch.waiting.size,
            cold = batch.cold != null,
            cacheBlocks = batch.cache.size,
            batch = batch.counters,
            assignment = assignment,
        )
}
