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
 * Says what the load tool sends.
 *
 * @property entries entry processes, used in turn as a balancer would
 * @property bearerKey key of the organisation
 * @property model model of the drafts
 * @property orderPath path that orders are posted to
 * @property draftsPerSecond mean rate of drafts
 * @property ordersPerSecond mean rate of orders
 * @property draftTokens tokens of each draft's answer
 * @property deadline time within which an answer counts as in time
 * @property duration how long calls are started
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

/** Tells how one call ended. */
public enum class CallEnd {
    WHOLE,
    REFUSED,
    CUT,
    WRONG,
}

/**
 * Is the result of one call.
 *
 * @property kind kind of the call
 * @property key idempotency key of an order
 * @property end how the call ended
 * @property took time from the due start of the call to its end, so that a late start counts as waiting
 * @property repeats repetitions by the caller
 * @property outcome last outcome that a refusal named
 */
public data class CallResult(
    val kind: CallKind,
    val key: String,
    val end: CallEnd,
    val took: Duration,
    val repeats: Int,
    val outcome: String? = null,
)

/** Sends calls at random times by an open loop and returns their results once all have ended. */
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
            drafts.mapIndexed { i, at -> call(start, at) { client.draft(options, i) } } +
                orders.mapIndexed { i, at -> call(start, at) { client.order(options, i) } }
        calls.awaitAll()
    }

private fun CoroutineScope.call(
    start: TimeSource.Monotonic.ValueTimeMark,
    due: Duration,
    send: suspend () -> CallResult,
) = async {
    delay(due - start.elapsedNow())
    val result = send()
    result.copy(took = start.elapsedNow() - due)
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
