package org.cicadaturn.tasks.gateway

import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Endpoint that names a limit on its request rate in all answers, and records when requests arrive. */
internal class LimitedEndpoint(
    /** Values of the header with the limit, each in a header of its own. */
    @Volatile var limits: List<String> = emptyList(),
    private val answer: (RawRequest, OutputStream, String) -> Boolean = { request, out, headers ->
        out.text(okHead(request, "${headers}Content-Length: 2") + "ok")
    },
) : TestEndpoint,
    AutoCloseable {
    private val arrivals = CopyOnWriteArrayList<TimeSource.Monotonic.ValueTimeMark>()

    /** When the endpoint first named a limit; null if it has not. */
    @Volatile
    var namedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private set

    private val endpoint =
        ScriptedEndpoint { request, out ->
            arrivals += TimeSource.Monotonic.markNow()
            TimeUnit.MILLISECONDS.sleep(SERVICE_TIME.inWholeMilliseconds)
            val named = limits
            if (named.isNotEmpty() && namedAt == null) namedAt = TimeSource.Monotonic.markNow()
            answer(request, out, named.joinToString("") { "X-Limit: $it\r\n" })
        }
    override val port: Int get() = endpoint.port

    /** Number of requests that have arrived. */
    val received: Int get() = arrivals.size

    /** Returns the highest number of requests within [COUNTED_TIME], from [delay] after the first naming on. */
    fun mostWithinCountedTime(delay: Duration = STABILITY_TIME): Int {
        val start = (namedAt ?: return 0) + delay
        val times = arrivals.toList().filter { it >= start }.sorted()
        return times.indices.maxOfOrNull { i -> times.drop(i).count { it - times[i] < COUNTED_TIME } } ?: 0
    }

    /** Returns the number of requests that arrived from [start] until before [end]. */
    fun receivedBetween(
        start: TimeSource.Monotonic.ValueTimeMark,
        end: TimeSource.Monotonic.ValueTimeMark,
    ): Int = arrivals.count { it >= start && it < end }

    override fun close() = endpoint.close()

    companion object {
        private val SERVICE_TIME = 3.milliseconds

        /** Time from the first naming after which the limit must hold. */
        val STABILITY_TIME = 3.seconds

        /** Time in which the requests are counted. */
        val COUNTED_TIME = 4.seconds

        /** Returns how many requests an endpoint with a limit of [perSecond] may get in [COUNTED_TIME]. */
        fun allowed(perSecond: Double): Double = 1.5 * COUNTED_TIME.inWholeSeconds * perSecond + 5
    }
}
