package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.schema.generated.RoutingBenchOptions
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Names a kind of request; [weight] is its weight in the share of requests in time. */
internal enum class RequestKind(
    val weight: Int,
) {
    DRAFT(1),
    CONFIRMATION(5),
}

/** Is a request of a caller and how far it was answered. */
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

    /** True if the complete answer came and met both limits. */
    val isInTime: Boolean
        get() {
            val first = firstToken ?: return false
            return isComplete && first <= FIRST_TOKEN_LIMIT && lateGaps <= gaps * LATE_GAPS_ALLOWED
        }

    internal companion object {
        val DEADLINE: Duration = 30.seconds
        val FIRST_TOKEN_LIMIT: Duration = 380.milliseconds
        val GAP_LIMIT: Duration = 65.milliseconds
        const val LATE_GAPS_ALLOWED = 0.05
    }
}

/** Generates requests with random times between arrivals, [requestsPerSecond] on average. */
internal class Traffic(
    private val options: RoutingBenchOptions,
    private val requestsPerSecond: Double,
) {
    private val random = Random(options.seed)

    /** Calls [send] with each request and the node that gets it, at the request's arrival. */
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
        val kind = if (random.nextInt(CONFIRMATION_EVERY) == 0) RequestKind.CONFIRMATION else RequestKind.DRAFT
        val isSession = random.nextBoolean()
        val prefix = if (isSession) random.nextLong(options.endpoints * SESSIONS_PER_ENDPOINT) else null
        val prefixTokens = if (isSession) PREFIX_TOKENS else 0
        val rest = MEAN_PROMPT_TOKENS - PREFIX_TOKENS / 2
        return BenchRequest(
            kind = kind,
            arrival = now,
            prefix = prefix,
            prefixTokens = prefixTokens,
            promptTokens = prefixTokens + random.nextInt(1, rest * 2),
            outputTokens = random.nextInt(20, MEAN_OUTPUT_TOKENS * 2 - 20),
        )
    }

    internal companion object {
        const val MEAN_PROMPT_TOKENS = 400
        const val MEAN_OUTPUT_TOKENS = 100
        const val PREFIX_TOKENS = 400
        const val SESSIONS_PER_ENDPOINT = 10L
        const val CONFIRMATION_EVERY = 10
    }
}
