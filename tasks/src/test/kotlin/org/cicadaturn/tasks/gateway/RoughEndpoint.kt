package org.cicadaturn.tasks.gateway

import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** How a [RoughEndpoint] treats streams. */
internal enum class Roughness { SOUND, PAUSING, BREAKING_OFF }

/** One run of a request at an endpoint; [until] is null as long as it lasts. */
internal class RecordedRun {
    @Volatile
    var until: TimeSource.Monotonic.ValueTimeMark? = null

    @Volatile
    var hasBrokenOff = false
}

/** Runs at all endpoints, by request. */
internal class RunRecord {
    private val runs = ConcurrentHashMap<String, CopyOnWriteArrayList<RecordedRun>>()

    fun begin(id: String): RecordedRun = RecordedRun().also { runs.getOrPut(id) { CopyOnWriteArrayList() } += it }

    fun of(id: String): List<RecordedRun> = runs[id].orEmpty()
}

/** Endpoint that answers after random times and, by its [roughness], pauses within streams or breaks them off. */
internal class RoughEndpoint(
    private val roughness: Roughness,
    private val record: RunRecord,
    seed: Int,
) : TestEndpoint,
    AutoCloseable {
    private val random = Random(seed)
    private val endpoint = ScriptedEndpoint(::answer)
    override val port: Int get() = endpoint.port
    override val service = if (roughness == Roughness.SOUND) "s" else STREAM_SERVICE

    private fun draw(range: IntRange): Int = synchronized(random) { random.nextInt(range.first, range.last + 1) }

    private fun pause(time: Duration) {
        CountDownLatch(1).await(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun answer(
        request: RawRequest,
        out: OutputStream,
    ): Boolean {
        val run = record.begin(checkNotNull(request.id))
        try {
            if ("stream" in request.head.lineSequence().first()) return stream(request, out, run)
            val isLong = "/patient/" in request.head && draw(1..100) <= 20
            pause((if (isLong) draw(300..1_500) else draw(5..150)).milliseconds)
            return answerOk(request, out)
        } finally {
            run.until = TimeSource.Monotonic.markNow()
        }
    }

    private fun stream(
        request: RawRequest,
        out: OutputStream,
        run: RecordedRun,
    ): Boolean {
        val from = request.header("Last-Event-Id")?.toInt() ?: 0
        val events = (from + 1..EVENTS).map { event(it) }
        val step = draw(20..350)
        val roughAt = if (roughness != Roughness.SOUND && draw(1..100) <= 60) draw(1..EVENTS) else 0
        out.text(
            streamHead(request, "s").replace("\r\n\r\n", "\r\nContent-Length: ${events.sumOf { it.length }}\r\n\r\n"),
        )
        events.forEachIndexed { i, event ->
            if (from + i + 1 == roughAt) {
                if (roughness == Roughness.BREAKING_OFF) {
                    run.hasBrokenOff = true
                    return false
                }
                pause(draw(1_200..2_000).milliseconds)
            }
            out.text(event)
            out.flush()
            if (i < events.lastIndex) pause(step.milliseconds)
        }
        return true
    }

    override fun close() = endpoint.close()

    companion object {
        const val EVENTS = 10

        /** Service of the endpoints that are not sound. */
        const val STREAM_SERVICE = "streams"
    }
}
