package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Pauses that endpoints asked this process for. Has one owner and is not safe for concurrent use.
 *
 * A pause counts from its answer on the clock of the caller, which must be monotonic. Of several, the one that ends last
 * holds. After it, the rate of requests grows from [RETURN_RATE], as the endpoint was in need. It ends with the start of
 * the endpoint that asked for it. Other processes are not told: each gets answers of its own, and the endpoint may
 * still take their requests.
 */
internal class EndpointPauses {
    private class Pause(
        val startedAt: Long,
        val until: Instant,
    ) {
        /** Requests sent since the end of the pause. */
        val sends = sendPacer(until).also { it.restart(until, tokens = 1.0) }
    }

    private val pauses = HashMap<EndpointId, Pause>()

    /** Records that [endpoint], which started at [startedAt], wants no requests for [time]. */
    fun requested(
        endpoint: EndpointId,
        startedAt: Long,
        time: Duration,
        now: Instant,
    ) {
        val earlier = pauses[endpoint]
        if (earlier != null && earlier.startedAt > startedAt) return
        if (earlier != null && earlier.startedAt == startedAt && earlier.until >= now + time) return
        pauses[endpoint] = Pause(startedAt, now + time)
    }

    /** Returns the end of the last pause of [endpoint] if it is not over at [now], or null. */
    fun endOf(
        endpoint: LiveEndpoint,
        now: Instant,
    ): Instant? = pauseOf(endpoint)?.until?.takeIf { it > now }

    /** Returns when [endpoint] may be given a request; not after [now] if at once. */
    fun nextAt(
        endpoint: LiveEndpoint,
        now: Instant,
    ): Instant {
        val pause = pauseOf(endpoint) ?: return now
        if (now < pause.until) return pause.until
        val share = returnShare(RETURN_RATE, now - pause.until, gateways = 1) ?: return now
        return pause.sends.nextAt(share, now)
    }

    /** Counts a request to [endpoint]. */
    fun sent(
        endpoint: LiveEndpoint,
        now: Instant,
    ) {
        pauseOf(endpoint)?.sends?.sent(now)
    }

    private fun pauseOf(endpoint: LiveEndpoint): Pause? =
        if (pauses.isEmpty()) null else pauses[endpoint.id]?.takeIf { it.startedAt == endpoint.startedAt }

    /** Forgets the pauses after which the rate is no longer bounded. */
    fun retain(now: Instant) {
        pauses.values.removeIf { returnShare(RETURN_RATE, now - it.until, gateways = 1) == null }
    }

    companion object {
        /** Requests per second of one process at the end of a pause: fewer than a process sends an endpoint in use. */
        private const val RETURN_RATE = 2.0

        /** Mean rate in the first second after a pause, within which the time of most waiting requests ends. */
        const val FIRST_SECOND_RATE = 4.0
    }
}
