package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Tests what callers with kept connections get from two gateways that are stopped and started one after the other.
 *
 * The properties `stops.seed` and `stops.seconds` allow other and longer runs. The seed determines the requests and the
 * faults, not their order.
 */
class PlannedStopSeriesTest {
    private val seed = Integer.getInteger("stops.seed", 1)
    private val length = Integer.getInteger("stops.seconds", 25).seconds
    private val start = TimeSource.Monotonic.markNow()
    private val record = RunRecord()
    private val endpoints =
        Roughness.entries.flatMapIndexed { i, kind -> List(2) { RoughEndpoint(kind, record, seed * 6 + i * 2 + it) } }
    private val ends = ConcurrentHashMap<String, RequestLine>()
    private val violations = CopyOnWriteArrayList<String>()
    private val outcomes = ConcurrentHashMap<String, AtomicInteger>()
    private val stops = AtomicInteger()

    /** Gateway that is replaced by a new one after each stop. */
    private inner class Slot {
        @Volatile
        var gateway = startGateway()

        @Volatile
        var stop: TimeSource.Monotonic.ValueTimeMark? = null

        /** False once readiness checks have led new connections elsewhere. */
        val acceptsCallers: Boolean get() = stop.let { it == null || it.elapsedNow() < 2.seconds }

        fun restart() {
            stop = TimeSource.Monotonic.markNow()
            runBlocking { gateway.stop() }
            gateway.close()
            stops.incrementAndGet()
            gateway = startGateway()
            stop = null
        }
    }

    private fun startGateway(): TestGateway =
        TestGateway(
            endpoints,
            stopTimeout = GRACE,
            retrySlack = 100_000.0,
            streamService = RoughEndpoint.STREAM_SERVICE,
            journal = { if (it.event == "end") it.request?.let { id -> ends[id] = it } },
        )

    private class Sent(
        val id: String,
        val route: String,
        val stop: TimeSource.Monotonic.ValueTimeMark?,
    ) {
        val at = TimeSource.Monotonic.markNow()
    }

    /** Guards against requests around planned stops that are passed on, or read, and get no whole answer. */
    @Test
    fun `planned stops in series cut no request`() {
        val slots = List(2) { Slot() }
        val callers = List(CALLERS) { thread { call(slots, Random(seed * CALLERS + it), it) } }
        val random = Random(seed)
        while (start.elapsedNow() < length) {
            // Half of the stops hit a process that has just started.
            slots[stops.get() / 2 % 2].restart()
            Thread.sleep(random.nextLong(600))
        }
        callers.forEach { it.join() }
        slots.forEach { it.gateway.close() }
        endpoints.forEach { it.close() }
        println("planned stops, seed $seed: $stops stops, ${violations.size} cut, ${outcomes.toSortedMap()}")
        assertTrue(stops.get() >= 2 && outcomes.keys.any { it.endsWith(" 200") })
        assertEquals(emptyList<String>(), violations.toList())
    }

    private fun call(
        slots: List<Slot>,
        random: Random,
        caller: Int,
    ) {
        var number = 0
        while (start.elapsedNow() < length) {
            val slot = slots.filter { it.acceptsCallers }.ifEmpty { slots }.random(random)
            try {
                Socket("127.0.0.1", slot.gateway.port).use { socket ->
                    socket.soTimeout = 15_000
                    do {
                        val keeps = send(socket, slot, random, "c$caller-${number++}")
                        Thread.sleep(random.nextLong(30))
                    } while (keeps && start.elapsedNow() < length)
                }
            } catch (_: IOException) {
                Thread.sleep(20)
            }
        }
    }

    /** Sends a request; returns true if the connection can be used again. */
    private fun send(
        socket: Socket,
        slot: Slot,
        random: Random,
        id: String,
    ): Boolean {
        val route = ROUTES.random(random)
        val bytes = request("/$route/x", id = id).encodeToByteArray()
        val out = socket.getOutputStream()
        val first =
            when {
                route !in WRITES -> bytes.size
                random.nextInt(4) == 0 -> HEAD_PART
                else -> bytes.size - 1
            }
        out.write(bytes, 0, first)
        if (first < bytes.size) {
            Thread.sleep(random.nextLong(2_000))
            out.write(bytes, first, bytes.size - first)
        }
        val sent = Sent(id, route, slot.stop)
        val answer = runCatching { readAnswer(socket) }.getOrElse { RawAnswer(0, "", "", isComplete = false) }
        val stop = sent.stop ?: slot.stop
        if (!answer.isComplete) judge(sent, stop)
        count("$route ${if (answer.isComplete) answer.status else "closed"}")
        return answer.isComplete && !answer.head.contains("Connection: close", ignoreCase = true)
    }

    private fun count(key: String) {
        outcomes.getOrPut(key) { AtomicInteger() }.incrementAndGet()
    }

    /** Records a request without a whole answer, unless its endpoints or its time were the cause. */
    private fun judge(
        sent: Sent,
        stop: TimeSource.Monotonic.ValueTimeMark?,
    ) {
        val time = sent.at.elapsedNow()
        val runs = record.of(sent.id)
        val broken = runs.count { it.hasBrokenOff }
        when {
            // The request may have crossed the close of its connection.
            runs.isEmpty() && time < LOSS_SLACK -> count("${sent.route} crossed")
            runs.size >= attemptsOf(sent.route) && runs.last().hasBrokenOff -> count("${sent.route} broken off")
            time > LIMITS.getValue(sent.route) - 50.milliseconds -> count("${sent.route} at its limit")
            stop != null && isExcused(sent, stop, runs) -> count("${sent.route} at work at the end")
            else ->
                violations +=
                    "${sent.id} ${sent.route} after $time, ${runs.size} runs, $broken broken: ${ends[sent.id]}"
        }
    }

    /** Returns the number of endpoints that may break off before nothing is left to do. */
    private fun attemptsOf(route: String): Int = if (route in RESUMABLE) 2 else 1

    /** Returns true if the request was sent early in the stop and an endpoint was at work on it late in the grace. */
    private fun isExcused(
        sent: Sent,
        stop: TimeSource.Monotonic.ValueTimeMark,
        runs: List<RecordedRun>,
    ): Boolean {
        val isEarly = sent.at - stop <= 3.seconds
        val lastSixth = GRACE * 5 / 6
        return isEarly && stop.elapsedNow() >= lastSixth &&
            runs.any { run -> run.until?.let { it - stop >= lastSixth } ?: true }
    }

    private companion object {
        val GRACE: Duration = 8.seconds
        val LOSS_SLACK = 200.milliseconds
        const val CALLERS = 48

        /** Bytes of a head that is sent in two parts. */
        const val HEAD_PART = 30
        val ROUTES = listOf("long-stream", "long-stream", "stream", "stream-once", "safe", "once", "patient")
        val WRITES = setOf("once", "patient")
        val RESUMABLE = setOf("long-stream", "stream")
        val LIMITS =
            mapOf(
                "long-stream" to 9.seconds,
                "stream" to 3.seconds,
                "stream-once" to 3.seconds,
                "safe" to 3.seconds,
                "once" to 3.seconds,
                "patient" to 9.seconds,
            )
    }
}
