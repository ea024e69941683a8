package org.cicadaturn.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Estimate of run times by exponential moving averages over finished requests; zero before the first one. */
internal class RunEstimate {
    private var nanosPerRun = 0.0
    private var nanosPerToken = 0.0

    fun finished(
        run: Duration,
        tokens: Long,
    ) {
        val nanos = run.inWholeNanoseconds.toDouble()
        nanosPerRun = average(nanosPerRun, nanos)
        nanosPerToken = average(nanosPerToken, nanos / maxOf(tokens, 1))
    }

    /** Returns the shortest run time to expect for a request of [tokens]. */
    fun shortestRun(tokens: Long): Duration = (nanosPerToken * maxOf(tokens, 1) * SHORTEST_SHARE).toLong().nanoseconds

    /** Returns the expected time until [places] of [running] requests have finished. */
    fun wait(
        places: Int,
        running: Int,
    ): Duration = (nanosPerRun * places / maxOf(running, 1)).toLong().nanoseconds

    private fun average(
        old: Double,
        new: Double,
    ): Double = if (old == 0.0) new else old + WEIGHT * (new - old)

    private companion object {
        const val WEIGHT = 0.05

        // Run times vary with prompt and batch, so a request is shed only if half of the average would be too long.
        const val SHORTEST_SHARE = 0.5
    }
}
