package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.BatchCounters
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EngineLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Parameters of the batching model.
 *
 * @property maxBatch maximum number of requests in the running batch
 * @property maxWaiting maximum number of waiting requests; further requests are refused
 * @property baseStep duration of a step without the additions per request and per prompt token
 * @property stepPerRequest time that each request in the batch adds to a step
 * @property prefillPerToken time that each prompt token outside the prefix cache, and each earlier token of a resumed
 *   answer, adds to the step that admits its request
 * @property blockTokens number of tokens in a block of the prefix cache
 * @property cacheBlocks maximum number of blocks in the prefix cache
 * @property coldBound maximum number of concurrent requests without a slowdown when a cold start begins
 * @property coldStep finished requests after which the bound of a cold engine grows by one; 0 for a constant bound
 * @property warmAfter finished requests after which the engine is warm; 0 for an engine that starts warm
 * @property coldSlowdown factor on the step time while a cold engine has more requests than its bound
 */
public data class BatchSettings(
    val maxBatch: Int = 32,
    val maxWaiting: Int = 1024,
    val baseStep: Duration = 20.milliseconds,
    val stepPerRequest: Duration = 500.microseconds,
    val prefillPerToken: Duration = 50.microseconds,
    val blockTokens: Int = 16,
    val cacheBlocks: Int = 1024,
    val coldBound: Int = 2,
    val coldStep: Int = 4,
    val warmAfter: Int = 120,
    val coldSlowdown: Int = 8,
) {
    init {
        require(maxBatch > 0) { "maxBatch is $maxBatch; it must be at least 1" }
        require(baseStep > Duration.ZERO) { "baseStep is $baseStep; it must be above zero" }
        require(coldSlowdown > 0) { "coldSlowdown is $coldSlowdown; it must be at least 1" }
    }
}

/**
 * Request to the batching model.
 *
 * @property id unique identifier of the request; never reused
 * @property priority priority of admission; a request with a higher value is admitted first
 * @property promptTokens number of tokens in the prompt; at least 1
 * @property blocks complete blocks of the prompt, in order
 * @property firstToken position of the first answer token to generate; above 0 when an answer is resumed
 * @property answerTokens number of tokens in the whole answer, including those before [firstToken]
 */
public data class BatchRequest(
    val id: Long,
    val priority: Int,
    val promptTokens: Int,
    val blocks: List<Digest>,
    val firstToken: Int,
    val answerTokens: Int,
)

/** Request in the running batch; [nextToken] is the position of the token that the next step generates. */
public data class ActiveRequest(
    val request: BatchRequest,
    val nextToken: Int,
)

/** Progress of a cold start; [finished] is the number of requests finished since the engine became cold. */
public data class ColdStart(
    val finished: Int = 0,
)

/**
 * State of an engine with continuous batching.
 *
 * @property settings parameters of the model
 * @property running requests in the batch, in order of admission
 * @property waiting waiting requests, in the order in which they will be admitted
 * @property cache prefix cache
 * @property cold progress of the cold start; null when the engine is warm
 * @property stalledUntil end of the current or last stall; no step makes progress before it
 * @property counters work done so far
 */
public data class BatchState(
    val settings: BatchSettings,
    val running: List<ActiveRequest> = emptyList(),
    val waiting: List<BatchRequest> = emptyList(),
    val cache: PrefixCache = PrefixCache(settings.cacheBlocks),
    val cold: ColdStart? = ColdStart(),
    val stalledUntil: Instant = Instant.DISTANT_PAST,
    val counters: BatchCounters = BatchCounters(coldStarts = 1),
) {
    /** Number of running and waiting requests. */
    val requestCount: Int get() = running.size + waiting.size

    /** Maximum number of concurrent requests without a slowdown in this state. */
    val slowdownThreshold: Int get() = if (cold == null) Int.MAX_VALUE else settings.coldBound + growth(cold)

    /** True while a cold engine has more requests than [slowdownThreshold]. */
    val overloaded: Boolean get() = requestCount > slowdownThreshold

    private fun growth(cold: ColdStart): Int = if (settings.coldStep == 0) 0 else cold.finished / settings.coldStep
}

/** Step that has begun; to end it at [endsAt], call [endStep] on [state] or a later state. */
public data class StepStart(
    val state: BatchState,
    val endsAt: Instant,
)

/** Token that a step generated for the request [id]; [last] is true for the last token of the answer. */
public data class TokenEvent(
    val id: Long,
    val position: Int,
    val last: Boolean,
)

/** Result of a step: the state after the step, and one token for each request that was in the batch. */
public data class StepEnd(
    val state: BatchState,
    val tokens: List<TokenEvent>,
)

/** Returns the state of an engine that has just started. */
public fun newBatch(settings: BatchSettings): BatchState =
    if (settings.warmAfter == 0) {
        BatchState(settings, cold = null, counters = BatchCounters())
    } else {
        BatchState(settings)
    }

/** Returns true if the queue of waiting requests is full. */
public fun BatchState.isQueueFull(): Boolean = waiting.size >= settings.maxWaiting

/** Queues [request] behind those of equal or higher priority, or counts a refusal if the queue is full. */
public fun BatchState.submit(request: BatchRequest): BatchState {
    if (isQueueFull()) return copy(counters = counters.copy(refused = counters.refused + 1))
    val position = waiting.indexOfFirst { it.priority < request.priority }.let { if (it < 0) waiting.size else it }
    val queue = waiting.subList(0, position) + request + waiting.subList(position, waiting.size)
    val counted = counters.copy(submitted = counters.submitted + 1)
    return copy(waiting = queue, counters = counted).countColdOverload()
}

/** Counts the request just submitted as overload of a cold engine if [BatchState.overloaded] is true. */
private fun BatchState.countColdOverload(): BatchState {
    if (!overloaded) return this
    val previous = counters.coldOverload
    val counted =
        previous.copy(
            requests = previous.requests + 1,
            peak =
                maxOf(
                    previous.peak,
                    requestCount - slowdownThreshold,
                ),
        )
    return copy(counters = counters.copy(coldOverload = counted))
}

/** Removes the request [id]; the state is unchanged if it is neither running nor waiting. */
public fun BatchState.cancel(id: Long): BatchState {
    val active = running.filter { it.request.id != id }
    val queue = waiting.filter { it.id != id }
    if (active.size + queue.size == requestCount) return this
    return copy(
        running = active,
        waiting = queue,
        counters = counters.copy(cancelled = counters.cancelled + 1),
    )
}

/** Begins a step at [now]: admits waiting requests to the batch as far as there is room, and prefills their prompts. */
public fun BatchState.beginStep(now: Instant): StepStart {
    val admitted = waiting.take(settings.maxBatch - running.size)
    var cached = 0
    var computed = 0
    var prefixes = cache
    admitted.forEach { request ->
        // At least one prompt token is computed, even if all are cached, because the first answer token is
        // generated from its result.
        val known = minOf(prefixes.cachedPrefixLength(request.blocks) * settings.blockTokens, request.promptTokens - 1)
        cached += known
        computed += request.promptTokens + request.firstToken - known
        prefixes = prefixes.with(request.blocks)
    }
    val state =
        copy(
            running = running + admitted.map { ActiveRequest(it, it.firstToken) },
            waiting = waiting.drop(admitted.size),
            cache = prefixes,
            counters =
                counters.copy(
                    prefilledTokens = counters.prefilledTokens + computed,
                    cachedTokens = counters.cachedTokens + cached,
                ),
        )
    return StepStart(state, maxOf(now, stalledUntil) + state.stepTime(computed))
}

/** Ends the step in progress: each request in the batch gets one token, and complete answers leave the batch. */
public fun BatchState.endStep(): StepEnd {
    val tokens = running.map { TokenEvent(it.request.id, it.nextToken, it.nextToken + 1 >= it.request.answerTokens) }
    val remaining = running.filterIndexed { i, _ -> !tokens[i].last }.map { it.copy(nextToken = it.nextToken + 1) }
    val finished = running.size - remaining.size
    val counted =
        counters.copy(
            steps = counters.steps + 1,
            finished = counters.finished + finished,
            tokens = counters.tokens + tokens.size,
        )
    return StepEnd(copy(running = remaining, cold = cold?.advancedBy(finished, settings), counters = counted), tokens)
}

/** Makes the engine cold and empties its prefix cache; running and waiting requests stay. */
public fun BatchState.resetToCold(): BatchState =
    copy(
        cache = PrefixCache(settings.cacheBlocks),
        cold = ColdStart(),
        counters = counters.copy(coldStarts = counters.coldStarts + 1),
    )

/** Makes the engine cold and cancels all requests, as a crash would do. */
public fun BatchState.restart(): BatchState {
    val ended = counters.copy(cancelled = counters.cancelled + requestCount)
    return copy(running = emptyList(), waiting = emptyList(), counters = ended).resetToCold()
}

/** Stalls the engine until [time]: later steps make no progress before it; a step that has begun ends as planned. */
public fun BatchState.stallUntil(time: Instant): BatchState = copy(stalledUntil = time)

/** Returns the load report of this state, with the run number [run]. */
public fun BatchState.load(run: Long): EngineLoad = EngineLoad(running.size, waiting.size, cold != null, run)

private fun BatchState.stepTime(prefillTokens: Int): Duration {
    val time =
        settings.baseStep +
            settings.stepPerRequest * running.size +
            settings.prefillPerToken * prefillTokens
    return if (overloaded) time * settings.coldSlowdown else time
}

private fun ColdStart.advancedBy(
    newlyFinished: Int,
    settings: BatchSettings,
): ColdStart? {
    val total = finished + newlyFinished
    return if (total >= maxOf(settings.warmAfter, 1)) null else copy(finished = total)
}
