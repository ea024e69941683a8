package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.schema.generated.RoutingBenchOptions
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Kind of request; [weight] is its weight in the share of requests answered in time. */
internal enum class RequestKind(
    val weight: Int,
) {
    DRAFT(1),
    CONFIRMATION(5),
}

/** Request of a caller and the progress of its answer. */
internal class BenchRequest(
    val kind: RequestKind,
    val arrival: Instant,
    val prefix: Long?,
    val prefixTokens: Int,
    val promptTokens: Int,
    val outputTokens: Int,
) {
    val tokens: Long get() = (promptTokens + outputTokens).toLong()
    val deadline: Instant get() = arrival + DEADLINE
    var firstToken: Duration? = null
    var gaps = 0
    var lateGaps = 0
    var isComplete = false

    /** True if the answer is complete and within the limits of the first token and of the gaps between tokens. */
    val isInTime: Boolean
        get() {
            val first = firstToken ?: return false
            return isComplete && first <= FIRST_TOKEN_LIMIT && lateGaps <= gaps * MAX_LATE_GAP_SHARE
        }

    internal companion object {
        val DEADLINE: Duration = 30.seconds
        val FIRST_TOKEN_LIMIT: Duration = 380.milliseconds
        val GAP_LIMIT: Duration = 65.milliseconds
        const val MAX_LATE_GAP_SHARE = 0.05
    }
}

/** Generates requests at random times, at a mean rate of [requestsPerSecond]. */
internal class Traffic(
    private val options: RoutingBenchOptions,
    private val requestsPerSecond: Double,
) {
    private val random = Random(options.seed)

    /** Calls [send] with each request and the entry node that receives it, at the arrival of the request. */
    fun start(
        time: VirtualTime,
        send: (node: Int, request: BenchRequest) -> Unit,
    ) {
        val delay = (-ln(1.0 - random.nextDouble()) / requestsPerSecond).seconds
        if (time.now + delay > time.start + options.duration) return
        time.after(delay) {
            send(random.nextInt(options.nodes), request(time.now))
            start(time, send)
        }
    }

    private fun request(now: Instant): BenchRequest {
        val kind = if (random.nextInt(REQUESTS_PER_CONFIRMATION) == 0) RequestKind.CONFIRMATION else RequestKind.DRAFT
        val isSession = random.nextBoolean()
        val prefix = if (isSession) random.nextLong(options.endpoints * SESSIONS_PER_ENDPOINT) else null
        val prefixTokens = if (isSession) PREFIX_TOKENS else 0
        val meanRemainingTokens = MEAN_PROMPT_TOKENS - PREFIX_TOKENS / 2
        return BenchRequest(
            kind = kind,
            arrival = now,
            prefix = prefix,
            prefixTokens = prefixTokens,
            promptTokens = prefixTokens + random.nextInt(1, meanRemainingTokens * 2),
            outputTokens = random.nextInt(20, MEAN_OUTPUT_TOKENS * 2 - 20),
        )
    }

    internal companion object {
        const val MEAN_PROMPT_TOKENS = 400
        const val MEAN_OUTPUT_TOKENS = 100
        const val PREFIX_TOKENS = 400
        const val SESSIONS_PER_ENDPOINT = 10L
        const val REQUESTS_PER_CONFIRMATION = 10
    }
}
