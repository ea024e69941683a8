package org.cicadaturn.bench

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs actions in the order of their virtual time; actions at the same time run in the order of their planning. */
internal class VirtualTime(
    /** Time at which the first action can run. */
    val start: Instant,
) {
    private class Planned(
        val time: Instant,
        val number: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Planned> { it.time }.thenBy { it.number })
    private var planned = 0L

    /** Time of the running action. */
    var now: Instant = start
        private set

    /** Plans [action] for [time], or for now if that has passed. */
    fun at(
        time: Instant,
        action: () -> Unit,
    ) {
        queue.add(Planned(maxOf(time, now), planned++, action))
    }

    /** Plans [action] for the end of [wait]. */
    fun after(
        wait: Duration,
        action: () -> Unit,
    ) = at(now + wait, action)

    /** Runs all that is planned, including what is planned meanwhile. */
    fun run() {
        while (queue.isNotEmpty()) runNext()
    }

    /** Runs what is planned up to [end], and leaves later actions undone. */
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
