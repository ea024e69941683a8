package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Choice of the peer that reports the answers of the store to this process. Has one owner and is not safe for concurrent
 * use.
 *
 * Peers are preferred by their identifiers, and only those before the own one are used. So most processes rely on the
 * same peer, which relies on none, and no two processes rely on each other.
 */
public interface ReportingPeer {
    /** Returns the peer to ask at [now], or null if there is none, so that this process must follow the store alone. */
    public fun choose(
        peers: List<GatewayPeer>,
        now: Instant,
    ): GatewayPeer?

    /** Records that [peer] has reported an answer of the store. */
    public fun succeeded(peer: ProcessId)

    /** Records that [peer] has not answered, is of a version without reports, or has had no answer of the store. */
    public fun failed(
        peer: ProcessId,
        now: Instant,
    )
}

/** Returns a choice for the process [self] that knows of no failures. */
public fun reportingPeer(self: ProcessId): ReportingPeer = FirstReportingPeer(self)

private class FirstReportingPeer(
    private val self: ProcessId,
) : ReportingPeer {
    private class Failures(
        val count: Int,
        val until: Instant,
    )

    private val failures = HashMap<ProcessId, Failures>()

    override fun choose(
        peers: List<GatewayPeer>,
        now: Instant,
    ): GatewayPeer? =
        peers
            .filter { it.id.text < self.text && !isExcluded(it.id, now) }
            .minByOrNull { it.id.text }

    private fun isExcluded(
        peer: ProcessId,
        now: Instant,
    ): Boolean = failures[peer]?.let { now < it.until } == true

    override fun succeeded(peer: ProcessId) {
        failures.remove(peer)
    }

    override fun failed(
        peer: ProcessId,
        now: Instant,
    ) {
        val count = (failures[peer]?.count ?: 0) + 1
        val exclusion = minOf(MAX_EXCLUSION, MIN_EXCLUSION * (1 shl (count - 1).coerceAtMost(MAX_DOUBLINGS)))
        failures[peer] = Failures(count, now + exclusion)
    }

    private companion object {
        /** Longer than most processes are paused or cut off at users' sites. */
        val MIN_EXCLUSION: Duration = 10.seconds

        /** Processes that are gone stay listed, and each try delays the next report by a time-out. */
        val MAX_EXCLUSION: Duration = 160.seconds
        const val MAX_DOUBLINGS = 4
    }
}
