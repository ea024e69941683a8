package org.cicadaturn.decisions.experts

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Estimates the last pass that a group has begun. Has one owner.
 *
 * A hold for a pass that has begun is refused, and each one costs an order and its time.
 */
public interface StepEstimate {
    /** Takes [step], the last pass begun at [now]. */
    public fun read(
        step: Long,
        now: Instant,
    )

    /** Returns the last pass that has probably begun at [now]; never below the last one read. */
    public fun at(now: Instant): Long
}

/** Returns an estimate that goes on at the pace between the last two reads. */
public fun stepEstimate(): StepEstimate = PacedSteps()

private class PacedSteps : StepEstimate {
    private var step = 0L
    private var readAt: Instant? = null
    private var perSecond = 0.0

    override fun read(
        step: Long,
        now: Instant,
    ) {
        val last = readAt
        if (last != null && now > last) {
            perSecond = maxOf(0L, step - this.step) / (now - last).toDouble(DurationUnit.SECONDS)
        }
        this.step = step
        readAt = now
    }

    override fun at(now: Instant): Long {
        val since = readAt?.let { now - it } ?: Duration.ZERO
        return step + (since.coerceAtMost(LONGEST).toDouble(DurationUnit.SECONDS) * perSecond).toLong()
    }

    private companion object {
        /** A pace that was read longer ago says nothing; a pass too far ahead would delay the switch. */
        val LONGEST = Duration.parse("1s")
    }
}
