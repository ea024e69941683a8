package org.cicadaturn.tasks.gateway

import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Endpoint that announces its end or asks for pauses, and records when requests arrive.
 *
 * The gateway from which a request comes is the last part of its path.
 */
internal class NoticingEndpoint(
    /** True while all answers announce the end of the endpoint. */
    @Volatile var isLeaving: Boolean = false,
    private val answer: (RawRequest, OutputStream, String) -> Boolean = { request, out, headers ->
        out.text(okHead(request, "${headers}Content-Length: 2") + "ok")
    },
) : TestEndpoint,
    AutoCloseable {
    class Arrival(
        val gateway: String,
        val at: TimeSource.Monotonic.ValueTimeMark,
    )

    /** Refusal with a pause, answered to [gateway] at [at]. */
    class Refusal(
        val gateway: String,
        val at: TimeSource.Monotonic.ValueTimeMark,
        val pause: Duration,
    )

    /** Pause that refusals ask for; null while requests are served. */
    @Volatile
    var pause: Duration? = null

    val arrivals = CopyOnWriteArrayList<Arrival>()
    val refusals = CopyOnWriteArrayList<Refusal>()

    /** When the endpoint first announced its end to each gateway. */
    val announced = ConcurrentHashMap<String, TimeSource.Monotonic.ValueTimeMark>()

    private val endpoint =
        ScriptedEndpoint { request, out ->
            val gateway = request.head.substringBefore(" HTTP/").substringAfterLast('/')
            arrivals += Arrival(gateway, TimeSource.Monotonic.markNow())
            TimeUnit.MILLISECONDS.sleep(SERVICE_TIME.inWholeMilliseconds)
            val leavingNow = isLeaving
            val time = pause
            val headers = if (leavingNow) "X-Leaving: 1\r\n" else ""
            val isKept = if (time == null) answer(request, out, headers) else refuse(request, out, headers, time)
            val now = TimeSource.Monotonic.markNow()
            if (leavingNow) announced.putIfAbsent(gateway, now)
            if (time != null) refusals += Refusal(gateway, now, time)
            isKept
        }
    override val port: Int get() = endpoint.port

    private fun refuse(
        request: RawRequest,
        out: OutputStream,
        headers: String,
        time: Duration,
    ): Boolean {
        val seconds = time.inWholeMilliseconds / MILLIS_PER_SECOND
        return out.text(
            "HTTP/1.1 503 Full\r\nX-Id: ${request.id}\r\nX-Not-Executed: 1\r\n${headers}X-Pause: $seconds\r\n" +
                "Content-Length: 0\r\n\r\n",
        )
    }

    /** Returns the number of requests that arrived later than [delay] after the first announcement to any gateway. */
    fun arrivedAfterAnnouncement(delay: Duration): Int {
        val first = announced.values.minOrNull() ?: return 0
        return arrivals.count { it.at > first + delay }
    }

    /**
     * Returns the largest number of requests from one gateway from half a second after a refusal of it to the end of the
     * pause.
     */
    fun mostWithinPause(): Int =
        refusals.maxOfOrNull { refusal ->
            val from = refusal.at + TOLERANCE
            arrivals.count { it.gateway == refusal.gateway && it.at > from && it.at < refusal.at + refusal.pause }
        } ?: 0

    override fun close() = endpoint.close()

    private companion object {
        val SERVICE_TIME = 3.milliseconds
        const val MILLIS_PER_SECOND = 1_000.0

        /** Time after a refusal within which requests may still arrive. */
        val TOLERANCE = 500.milliseconds
    }
}
