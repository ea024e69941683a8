package org.cicadaturn.bench.endpointlimits

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ServiceId
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal val SERVICE = ServiceId("service")
internal val DOMAIN = FailureDomainId("domain")

/** Answer of a [LimitedEndpointModel]. */
internal class EndpointAnswer(
    val limit: NamedLimit,
    val load: LoadSample,
    val latency: Duration,
)

/** Endpoint that runs some requests at once and lets others wait, and that may name a [limit]. */
internal class LimitedEndpointModel(
    index: Int,
    private val time: VirtualTime,
    private val random: Random,
) {
    val endpoint =
        LiveEndpoint(
            EndpointId("e$index"),
            SERVICE,
            NetworkAddress("10.0.0.1", 80 + index),
            DOMAIN,
            AdmissionState.IN_SERVICE,
            slots = SLOTS,
            coldFor = Duration.ZERO,
            startedAt = 1,
        )
    var limit: NamedLimit = NamedLimit.None

    /** Times at which requests arrived. */
    val arrivals = mutableListOf<Instant>()
    private val queue = ArrayDeque<() -> Unit>()
    private var running = 0

    /** Runs a request and passes its answer to [onAnswer]. */
    fun send(onAnswer: (EndpointAnswer) -> Unit) {
        time.after(NETWORK_DELAY) {
            val arrivedAt = time.now
            arrivals += arrivedAt
            queue.addLast { run(arrivedAt, onAnswer) }
            next()
        }
    }

    private fun next() {
        while (running < SLOTS) (queue.removeFirstOrNull() ?: return)()
    }

    private fun run(
        arrivedAt: Instant,
        onAnswer: (EndpointAnswer) -> Unit,
    ) {
        running += 1
        time.after(MEAN_TIME * -ln(1 - random.nextDouble())) {
            running -= 1
            val answer = EndpointAnswer(limit, LoadSample(running, queue.size, SLOTS), time.now - arrivedAt)
            time.after(NETWORK_DELAY) { onAnswer(answer) }
            next()
        }
    }

    private companion object {
        /** With [MEAN_TIME] this gives 100 requests a second. */
        const val SLOTS = 8
        val MEAN_TIME = 80.milliseconds
        val NETWORK_DELAY = 2.milliseconds
    }
}
