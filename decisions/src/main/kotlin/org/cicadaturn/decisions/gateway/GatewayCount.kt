package org.cicadaturn.decisions.gateway

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of gateways that bounds over all of them are split by. */
internal class GatewayCount {
    private var count = UNKNOWN
    private var listed = 0
    private var fewerSince = Instant.DISTANT_PAST

    /** Takes the number of gateways that are [listed]; 0 if the list is not known. */
    fun listed(
        listed: Int,
        now: Instant,
    ) {
        if (listed == 0) return
        val isFirst = this.listed == 0
        if (isFirst || listed >= count) count = listed
        if (this.listed >= count && listed < count) fewerSince = now
        this.listed = listed
    }

    /** Gateways that are no longer listed may be cut off and go on sending, so they count for a while. */
    fun at(now: Instant): Int {
        if (listed in 1..<count && now - fewerSince >= MEMORY) count = listed
        return count
    }

    private companion object {
        /** Assumed until the list was read; more than today's sites have. */
        const val UNKNOWN = 16

        /** Longer than the users' cuts. */
        val MEMORY = 30.seconds
    }
}
