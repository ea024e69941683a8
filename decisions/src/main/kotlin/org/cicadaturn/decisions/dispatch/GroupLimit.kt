package org.cicadaturn.decisions.dispatch

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Properties of the engines of a group.
 *
 * @property slots requests that a rank runs at once
 * @property stepTime time of a step without requests
 * @property stepTimePerRequest time by which each request lengthens a step
 */
public data class EngineProfile(
    val slots: Int,
    val stepTime: Duration,
    val stepTimePerRequest: Duration,
)

/**
 * Limits the requests that this process has in flight at a group, so that all processes together keep the group within
 * its capacity. Has one owner and is not safe for concurrent use.
 *
 * The capacity of a rank is its number of slots, or the lower number with which the pauses within streams stay within
 * their target. Beyond it requests wait at the engine, first come first served, until all of them are late. Processes
 * do not tell each other their load: each compares the load that ranks report with its own requests there, and assumes
 * that the others change theirs in proportion.
 */
public interface GroupLimit {
    /** Records that a rank reported [reported] requests, while this process had [own] on average at a rank. */
    public fun reported(
        reported: Int,
        own: Double,
        now: Instant,
    )

    /** Records a pause between two events of a stream, as a [ratio] of its target. */
    public fun paced(
        ratio: Double,
        now: Instant,
    )

    /** Returns the number of own requests that a rank may have on average. */
    public fun ownPerRank(
        profile: EngineProfile,
        now: Instant,
    ): Double
}

/** Returns a limit without observations. */
public fun groupLimit(): GroupLimit = ObservedGroupLimit()

private class ObservedGroupLimit : GroupLimit {
    private val reported = Average(LOAD_WINDOW)
    private val own = Average(LOAD_WINDOW)
    private val pause = Average(PAUSE_WINDOW)

    override fun reported(
        reported: Int,
        own: Double,
        now: Instant,
    ) {
        this.reported.add(reported.toDouble(), now)
        this.own.add(own, now)
    }

    override fun paced(
        ratio: Double,
        now: Instant,
    ) {
        pause.add(ratio, now)
    }

    override fun ownPerRank(
        profile: EngineProfile,
        now: Instant,
    ): Double {
        val total = reported.at(now) ?: return Double.MAX_VALUE
        val mine = own.at(now) ?: return Double.MAX_VALUE
        if (total <= 0.0 || mine <= 0.0) return Double.MAX_VALUE
        return capacity(profile, total, now) * minOf(1.0, mine / total)
    }

    /**
     * Returns the requests at a rank with which pauses stay within their target, if that is not far below the slots.
     *
     * Where even a few requests are too many, as with an unbalanced expert map, a limit would only turn late answers
     * into refusals.
     */
    private fun capacity(
        profile: EngineProfile,
        total: Double,
        now: Instant,
    ): Double {
        val slots = profile.slots.toDouble()
        val ratio = pause.at(now) ?: return slots
        if (ratio <= 0.0 || profile.stepTimePerRequest <= Duration.ZERO) return slots
        val base = profile.stepTime / profile.stepTimePerRequest
        val running = minOf(total, slots)
        val sustainable = (base + running) * PAUSE_SHARE / ratio - base
        return if (sustainable < slots * MIN_CAPACITY_SHARE) slots else minOf(slots, sustainable)
    }

    private companion object {
        /** About as long as a few answers of one process take to report the load of a group. */
        val LOAD_WINDOW = 1.seconds

        /** Several passes; an expert map that no longer fits is replaced within a second. */
        val PAUSE_WINDOW = 400.milliseconds

        /** Share of the pause target that the average pause may reach; single pauses are longer. */
        const val PAUSE_SHARE = 0.8

        /** Below this share of the slots, in-time answers no longer make up for the refused ones. */
        const val MIN_CAPACITY_SHARE = 0.35
    }
}

/** Average of samples whose weight falls by a factor of e in each [window]; expires some windows after the last one. */
private class Average(
    private val window: Duration,
) {
    private var sum = 0.0
    private var weight = 0.0
    private var last = Instant.DISTANT_PAST

    fun add(
        sample: Double,
        now: Instant,
    ) {
        val decay = if (weight == 0.0) 0.0 else exp(-((now - last) / window))
        sum = sum * decay + sample
        weight = weight * decay + 1
        last = now
    }

    fun at(now: Instant): Double? = if (weight == 0.0 || now - last > window * WINDOWS_KEPT) null else sum / weight

    private companion object {
        const val WINDOWS_KEPT = 3
    }
}
