package org.cicadaturn.tasks.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Times in which an event loop may have handled no event, as its process was paused or short of processor time. Owned by
 * the thread of the loop.
 */
internal interface LoopStalls {
    /** Records that the loop runs; called at regular intervals. */
    fun tick()

    /**
     * Returns the part of the last [age] that lies between two ticks or behind the last one, the longest that has ended
     * within the last second.
     */
    fun within(age: Duration): Duration
}

/** Returns a record that measures with [time]. */
internal fun loopStalls(time: TimeSource.WithComparableMarks): LoopStalls = TickedStalls(time)

private class TickedStalls(
    private val time: TimeSource.WithComparableMarks,
) : LoopStalls {
    private var ticked = time.markNow()
    private var longest = Duration.ZERO
    private var longestEnded = ticked

    override fun tick() {
        val now = time.markNow()
        val stall = now - ticked
        if (stall >= recentLongest()) {
            longest = stall
            longestEnded = now
        }
        ticked = now
    }

    // A timer may run after what the loop reads first once it goes on.
    override fun within(age: Duration): Duration {
        val earlier = minOf(recentLongest(), age - longestEnded.elapsedNow())
        return maxOf(earlier, minOf(ticked.elapsedNow(), age))
    }

    private fun recentLongest(): Duration = if (longestEnded.elapsedNow() < WINDOW) longest else Duration.ZERO

    private companion object {
        /** Time in which a loop reads what has arrived during a stall. */
        val WINDOW = 1.seconds
    }
}
