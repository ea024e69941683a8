package org.cicadaturn.bench.overload

import org.cicadaturn.bench.VirtualTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Caller of one stream.
 *
 * @property repeats number of times that the caller comes back after a refusal
 * @property honoursDelay true if it waits for the stated delay before it comes back
 */
internal class CallerModel(
    private val time: VirtualTime,
    val organisation: Int,
    val events: Int,
    private var repeats: Int,
    private val honoursDelay: Boolean,
) {
    val arrivedAt: Instant = time.now
    var isComplete = false
        private set
    var wasRefused = false
        private set

    /** True if the answer was complete, began within the latency target and had no long pause. */
    val isInAim: Boolean get() = isComplete && !isLate
    private var isLate = false
    private var lastEventAt: Instant? = null
    private var waitsSince = time.now
    private var attempt = 0
    private var cancelAttempt: () -> Unit = {}

    val remaining: Duration get() = arrivedAt + Aims.DEADLINE - time.now

    /** Sends the request to the gateway that [choose] returns. */
    fun send(choose: () -> GatewayModel) {
        attempt += 1
        wasRefused = false
        lastEventAt = null
        waitsSince = time.now
        cancelAttempt = choose().serve(this) { delay -> refused(delay, choose) }
        watch(attempt)
    }

    private fun watch(watched: Int) {
        val deadline = minOf((lastEventAt ?: waitsSince) + Aims.PATIENCE, arrivedAt + Aims.DEADLINE)
        time.at(deadline) {
            val isOver = isComplete || wasRefused || watched != attempt
            when {
                isOver -> Unit
                time.now >=
                    minOf(
                        (lastEventAt ?: waitsSince) + Aims.PATIENCE,
                        arrivedAt + Aims.DEADLINE,
                    )
                -> cancelAttempt()
                else -> watch(watched)
            }
        }
    }

    private fun refused(
        delay: Duration,
        choose: () -> GatewayModel,
    ) {
        wasRefused = true
        if (repeats == 0) return
        repeats -= 1
        val pause = if (honoursDelay) minOf(delay, remaining * Aims.RETRY_SHARE) else IMPATIENT_DELAY
        val sent = attempt
        time.after(pause) { if (sent == attempt && remaining.isPositive()) send(choose) }
    }

    fun event() {
        val last = lastEventAt
        val limit = if (last == null) arrivedAt + Aims.LATENCY else last + Aims.PAUSE
        if (time.now > limit) isLate = true
        lastEventAt = time.now
    }

    fun complete() {
        isComplete = true
    }

    private companion object {
        val IMPATIENT_DELAY = 50.milliseconds
    }
}
