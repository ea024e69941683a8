package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.routing.OutlierDetector
import org.cicadaturn.decisions.routing.outlierDetector
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * What a balancer knows about an [endpoint], which the store listed at [listedAt].
 *
 * @property sends requests that this process has sent lately
 */
internal class BalancedEndpoint(
    var endpoint: LiveEndpoint,
    val listedAt: Instant,
    val sends: SendPacer = sendPacer(listedAt),
) {
    /** Position of this process among those that send to the endpoint; null until it is needed. */
    var senderRank: Int? = null

    /** Requests of this process in flight at the endpoint. */
    var inFlight: Int = 0

    /** Beginning of the limit, or of the return after its end, to which [sends] was set; null before the first. */
    var limitedSince: Instant? = null

    /** Time of the last answer to this process that named a limit. */
    var limitConfirmedAt: Instant = Instant.DISTANT_PAST
    var refusedUntil: Instant = Instant.DISTANT_PAST
    var coldUntil: Instant = listedAt + endpoint.coldFor
    private var sample: LoadSample? = null
    private var sampledAt = Instant.DISTANT_PAST
    private var inFlightAtSample = 0

    /** Records the [load] that the endpoint reported. */
    fun loadReported(
        load: LoadSample,
        now: Instant,
    ) {
        sample = load
        sampledAt = now
        inFlightAtSample = inFlight
    }

    /**
     * Returns the load as a fraction of the slots, with surcharges for another domain than [localDomain], for a cold
     * start, and for a [reserve], which is used only if the others have more load.
     */
    fun cost(
        localDomain: FailureDomainId,
        isReserve: Boolean,
        now: Instant,
    ): Double {
        val recent = sample?.takeIf { now - sampledAt < MAX_SAMPLE_AGE }
        val slots = maxOf(1, recent?.slots ?: endpoint.slots)
        val reported = recent?.let { it.running + it.waiting + inFlight - inFlightAtSample } ?: 0
        val load = maxOf(reported, inFlight).toDouble() / slots
        val distance = if (endpoint.failureDomain == localDomain) 0.0 else REMOTE_COST
        val cold = if (now < coldUntil) COLD_COST else 0.0
        val reserve = if (isReserve) RESERVE_COST else 0.0
        return load + distance + cold + reserve
    }

    /** Returns true if all slots are taken by the last report, or if that is older than [maxAge]. */
    fun isFull(
        now: Instant,
        maxAge: Duration,
    ): Boolean {
        val recent = sample?.takeIf { now - sampledAt < maxAge } ?: return true
        return recent.waiting > 0 || recent.running >= recent.slots
    }

    private companion object {
        /** Load, as a fraction of the slots, by which an endpoint in another failure domain must be lower. */
        const val REMOTE_COST = 0.05

        /** A cold endpoint is slow, so it is used only when the others are half full. */
        const val COLD_COST = 0.5

        /** An endpoint that names a limit is in need, so it is used only when the others are half full. */
        const val RESERVE_COST = 0.5

        /** Age from which a load report is ignored: about the duration of a request. */
        val MAX_SAMPLE_AGE = 500.milliseconds
    }
}

/** What a balancer knows about the endpoints of a service together; [coldRate] is zero if none starts cold. */
internal class ServicePool(
    val budget: GatewayRetryBudget,
    val detector: OutlierDetector = outlierDetector(),
    var coldRate: Double = 0.0,
) {
    /** Refusals and failures since the last request that was accepted. */
    var refusals: Int = 0
    var lastSentAt: Instant = Instant.DISTANT_PAST
}
