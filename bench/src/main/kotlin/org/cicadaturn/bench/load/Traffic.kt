package org.cicadaturn.bench.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.cicadaturn.schema.generated.CallKind
import org.cicadaturn.schema.generated.NetworkAddress
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Traffic that the load tool sends.
 *
 * @property entries entry processes, used in turn as by a load balancer
 * @property bearerKey bearer key of the organisation
 * @property model model of the drafts
 * @property orderPath path to which orders are posted
 * @property draftsPerSecond mean rate of drafts
 * @property ordersPerSecond mean rate of orders
 * @property draftTokens number of tokens in the answer to a draft
 * @property deadline time within which an answer is in time
 * @property duration time during which calls are started
 * @property seed seed of arrival times, prompts and keys
 */
public data class TrafficOptions(
    val entries: List<NetworkAddress>,
    val bearerKey: String,
    val model: String,
    val orderPath: String,
    val draftsPerSecond: Double,
    val ordersPerSecond: Double,
    val draftTokens: Int,
    val deadline: Duration,
    val duration: Duration,
    val seed: Long,
)

/** How a call ended. */
public enum class CallEnd {
    /** The answer is complete and as expected. */
    COMPLETE,

    /** A draft was answered with an error status, or an order was not confirmed before the caller stopped retrying. */
    REFUSED,

    /** The connection of a draft failed, or its stream ended, before the answer was complete. */
    TRUNCATED,

    /** The answer is complete but differs from the expected one. */
    WRONG,
}

/**
 * Result of one call.
 *
 * @property kind kind of the call
 * @property key idempotency key of an order
 * @property end how the call ended
 * @property duration time from the scheduled start of the call to its end; includes the delay of a late start
 * @property repeats number of retries by the caller
 * @property outcome outcome that the last answer named, or null if it named none
 */
public data class CallResult(
    val kind: CallKind,
    val key: String,
    val end: CallEnd,
    val duration: Duration,
    val repeats: Int,
    val outcome: String? = null,
)

/** Starts calls at random times in an open loop and returns their results when all have ended. */
public suspend fun sendTraffic(
    options: TrafficOptions,
    client: TrafficClient,
): List<CallResult> =
    coroutineScope {
        val random = Random(options.seed)
        val drafts = arrivals(options.draftsPerSecond, options.duration, random)
        val orders = arrivals(options.ordersPerSecond, options.duration, random)
        val start = TimeSource.Monotonic.markNow()
        val calls =
            drafts.mapIndexed { i, at -> startCall(start, at) { client.draft(options, i) } } +
                orders.mapIndexed { i, at -> startCall(start, at) { client.order(options, i) } }
        calls.awaitAll()
    }

private fun CoroutineScope.startCall(
    start: TimeSource.Monotonic.ValueTimeMark,
    due: Duration,
    send: suspend () -> CallResult,
) = async {
    delay(due - start.elapsedNow())
    val result = send()
    result.copy(duration = start.elapsedNow() - due)
}

/** Returns the arrival times of a Poisson process. */
private fun arrivals(
    perSecond: Double,
    duration: Duration,
    random: Random,
): List<Duration> {
    if (perSecond <= 0) return emptyList()
    val times = ArrayList<Duration>()
    var at = Duration.ZERO
    while (true) {
        at += (-ln(1 - random.nextDouble()) / perSecond).seconds
        if (at >= duration) return times
        times += at
    }
}
