package org.cicadaturn.decisions.admission

import kotlin.time.Instant

/**
 * Warm-up state of a back end.
 *
 * The bound grows only with requests that began and finished since the last cold start. Requests that began earlier
 * give no information about the current state, so each admitted request keeps the [epoch] in which it began.
 */
internal class WarmUp(
    private val limits: AdmissionLimits,
) {
    /** Number of cold starts after the initial one. */
    var epoch = 0L
        private set

    /** Requests that began and finished in this epoch. */
    var finished = 0L
        private set

    private var run: Long? = null
    private var reportedCold = true
    private val failures = ArrayDeque<Instant>()

    /** Most requests that may run at once now. */
    val bound: Int
        get() = minOf(limits.warmBound.toLong(), limits.coldBound + finished / limits.coldStep).toInt()

    val isWarm: Boolean
        get() = bound == limits.warmBound

    /** Begins a cold start if the engine reports a new run or a change to cold. */
    fun report(
        reportedRun: Long,
        cold: Boolean,
    ) {
        val restarted = run != null && run != reportedRun
        val becameCold = cold && !reportedCold
        run = reportedRun
        reportedCold = cold
        if (restarted || becameCold) restart()
    }

    fun restart() {
        epoch += 1
        finished = 0
        failures.clear()
    }

    fun finished(startEpoch: Long) {
        if (startEpoch != epoch) return
        finished += 1
        failures.clear()
    }

    /** Counts a failure; a burst of failures without a finished request in between begins a new cold start. */
    fun failed(
        startEpoch: Long,
        now: Instant,
    ) {
        if (startEpoch != epoch) return
        failures.addLast(now)
        while (now - failures.first() > limits.failureWindow) failures.removeFirst()
        if (failures.size >= limits.failureBurst) restart()
    }
}
