package org.cicadaturn.decisions.experts

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Estimates the last pass that a group has begun. Has one owner and is not safe for concurrent use.
 *
 * A hold for a pass that has begun is refused, and each refused hold costs the time of an order.
 */
public interface StepEstimate {
    /** Records that [step] is the last pass begun at [now]. */
    public fun read(
        step: Long,
        now: Instant,
    )

    /** Returns the last pass that has probably begun at [now]; never less than the last one recorded. */
    public fun at(now: Instant): Long
}

/** Returns an estimate that extrapolates the pace between the last two reads. */
public fun stepEstimate(): StepEstimate = ExtrapolatedSteps()

private class ExtrapolatedSteps : StepEstimate {
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
        return step + (since.coerceAtMost(MAX_EXTRAPOLATION).toDouble(DurationUnit.SECONDS) * perSecond).toLong()
    }

    private companion object {
        /** An older pace is no longer valid, and a pass too far ahead would delay the switch. */
        val MAX_EXTRAPOLATION = Duration.parse("1s")
    }
}
