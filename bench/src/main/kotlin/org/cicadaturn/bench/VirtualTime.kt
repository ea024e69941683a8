package org.cicadaturn.bench

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Scheduler that runs actions in virtual time.
 *
 * Actions run in the order of their times; actions with the same time run in the order in which they were scheduled.
 */
internal class VirtualTime(
    /** Earliest time at which an action can run. */
    val start: Instant,
) {
    private class ScheduledAction(
        val time: Instant,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<ScheduledAction> { it.time }.thenBy { it.sequence })
    private var scheduledCount = 0L

    /** Time of the running action, or the end of the last [runUntil]. */
    var now: Instant = start
        private set

    /** Schedules [action] for [time], or for [now] if [time] has passed. */
    fun at(
        time: Instant,
        action: () -> Unit,
    ) {
        queue.add(ScheduledAction(maxOf(time, now), scheduledCount++, action))
    }

    /** Schedules [action] to run after [delay]. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) = at(now + delay, action)

    /** Runs all scheduled actions, including those that are scheduled by running actions. */
    fun run() {
        while (queue.isNotEmpty()) runNext()
    }

    /** Runs the actions that are scheduled up to [end]; later ones do not run. */
    fun runUntil(end: Instant) {
        while (queue.isNotEmpty() && queue.peek().time <= end) runNext()
        now = end
    }

    private fun runNext() {
        val next = queue.poll()
        now = next.time
        next.action()
    }
}
