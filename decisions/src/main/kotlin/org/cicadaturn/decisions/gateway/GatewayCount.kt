package org.cicadaturn.decisions.gateway

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of gateways among which the bounds that apply to all of them are divided. */
internal class GatewayCount {
    private var count = INITIAL_COUNT

    /** Number of gateways in the last list; 0 if none was read. */
    var listed = 0
        private set
    private var fewerSince = Instant.DISTANT_PAST

    /** Updates the count from a list of [listed] gateways; 0 means that the list is not known. */
    fun update(
        listed: Int,
        now: Instant,
    ) {
        if (listed == 0) return
        val isFirst = this.listed == 0
        if (isFirst || listed >= count) count = listed
        if (this.listed >= count && listed < count) fewerSince = now
        this.listed = listed
    }

    /**
     * Returns the count at [now].
     *
     * Gateways that are no longer listed may be cut off and still send requests, so they count for [RETENTION].
     */
    fun at(now: Instant): Int {
        if (listed in 1..<count && now - fewerSince >= RETENTION) count = listed
        return count
    }

    private companion object {
        /** Assumed until the list has been read; more than any existing site has. */
        const val INITIAL_COUNT = 16

        /** Longer than the network partitions at users' sites. */
        val RETENTION = 30.seconds
    }
}
