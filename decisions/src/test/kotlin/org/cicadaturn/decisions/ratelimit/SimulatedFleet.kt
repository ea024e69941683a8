package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val SERVICE = ServiceId("s")
internal val HOME = FailureDomainId("a")
internal val START = Instant.fromEpochSeconds(1_000)

internal fun limitedEndpoint(
    id: String,
    startedAt: Long = 1,
) = LiveEndpoint(
    EndpointId(id),
    SERVICE,
    NetworkAddress("10.0.0.1", 80),
    HOME,
    AdmissionState.IN_SERVICE,
    slots = 64,
    coldFor = Duration.ZERO,
    startedAt = startedAt,
)

internal fun limitedView(
    endpoints: List<LiveEndpoint>,
    gateways: List<String>,
    coldRate: Double = 0.0,
) = FleetView(
    configuration =
        RoutingConfiguration(1, emptyList(), listOf(RoutedService(SERVICE, 400, coldRate)), null, CallerLimits()),
    endpoints = endpoints,
    peers = gateways.map { GatewayPeer(ProcessId(it), NetworkAddress("10.0.0.2", 80), HOME) },
)

internal fun limitedBalancer(
    self: String,
    seed: Int = 1,
) = endpointBalancer(
    BalancerOptions(
        self = ProcessId(self),
        localDomain = HOME,
        coldFactor = 1.5,
        coldSlack = 5.0,
        retryRatio = 0.2,
        retrySlack = 92.0,
        retryWindow = 10.seconds,
    ),
    Random(seed),
)

internal fun limitedRequest(
    isRetry: Boolean = false,
    canWait: Boolean = true,
    excluded: Set<EndpointId> = emptySet(),
) = EndpointRequest(SERVICE, excluded, null, isRetry, canWait)

/** Gateway of a [SimulatedFleet] whose callers send [demand] requests a second. */
internal class SimulatedGateway(
    val name: String,
    val balancer: EndpointBalancer,
    var demand: Double,
) {
    var isFrozen = false

    /** True while it gets no list and exchanges nothing with other gateways. */
    var isCut = false

    /** Time from which it is cut off. */
    var cutAt = Instant.DISTANT_PAST

    /** Number of gateways that it knew of last. */
    var known = 0

    /** Last time at which it was frozen, cut off, or not yet running. */
    var disturbedAt = Instant.DISTANT_PAST
    var owed = 0.0

    /** Time at which it learned of the limit that it knows of; null while it knows none. */
    var knowsSince: Instant? = null
}

/**
 * Request that [gateway] sent to [endpoint] at [at].
 *
 * @property isCalm false if the gateway was disturbed lately
 * @property isInformed true if the gateway had known of a limit for a while
 */
internal class Sent(
    val at: Instant,
    val gateway: String,
    val endpoint: EndpointId,
    val isCalm: Boolean,
    val isInformed: Boolean,
)

/** Gateways with their own balancers, and endpoints that name limits, in virtual time. */
internal class SimulatedFleet(
    private val random: Random,
    endpoints: Int = 1,
    private val viewDelay: Duration = 500.milliseconds,
    private val step: Duration = 20.milliseconds,
    private val tellsNews: Boolean = true,
) {
    var now = START
        private set
    val gateways = mutableListOf<SimulatedGateway>()
    val sent = mutableListOf<Sent>()
    var refused = 0
    private var listed = List(endpoints) { limitedEndpoint("e$it") }
    private val limits = HashMap<EndpointId, NamedLimit>()
    private val events = mutableListOf<Pair<Instant, () -> Unit>>()
    private var started = 0

    fun name(
        limit: NamedLimit,
        endpoint: String = "e0",
    ) {
        limits[EndpointId(endpoint)] = limit
    }

    fun start(demand: Double): SimulatedGateway {
        val gateway = SimulatedGateway("g$started", limitedBalancer("g$started", started), demand)
        gateway.owed = random.nextDouble()
        started += 1
        gateways += gateway
        gateway.disturbedAt = if (now == START) Instant.DISTANT_PAST else now
        update(gateway, view())
        if (tellsNews && now > START) {
            gateways.firstOrNull { it !== gateway && !it.isFrozen && !it.isCut }?.let {
                gateway.balancer.limitsReported(it.balancer.limitReports(now), now)
            }
        }
        listChanged()
        return gateway
    }

    /** Cuts [gateway] off; its entry lapses, so that the others no longer list it. */
    fun cut(gateway: SimulatedGateway) {
        gateway.isCut = true
        gateway.cutAt = now
        listChanged()
    }

    fun heal(gateway: SimulatedGateway) {
        gateway.isCut = false
        listChanged()
    }

    fun stop(gateway: SimulatedGateway) {
        gateways -= gateway
        listChanged()
    }

    fun restart(endpoint: String) {
        listed = listed.map { if (it.id.text == endpoint) it.copy(startedAt = it.startedAt + 1) else it }
        limits -= EndpointId(endpoint)
        listChanged()
    }

    private fun view() = limitedView(listed, gateways.filter { !it.isCut }.map { it.name })

    private fun listChanged() {
        val view = view()
        if (now == START) return gateways.forEach { update(it, view) }
        gateways.forEach { g -> after(viewDelay) { if (!g.isCut) whenAwake(g) { update(g, view) } } }
    }

    private fun update(
        gateway: SimulatedGateway,
        view: FleetView,
    ) {
        gateway.known = view.peers.size
        gateway.balancer.update(view, now)
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += (now + delay) to action
    }

    private fun whenAwake(
        gateway: SimulatedGateway,
        action: () -> Unit,
    ) {
        if (gateway.isFrozen) after(step) { whenAwake(gateway, action) } else action()
    }

    /** Lets [time] pass. */
    fun run(time: Duration) {
        val end = now + time
        while (now < end) {
            now += step
            val due = events.filter { it.first <= now }
            events -= due.toSet()
            due.forEach { it.second() }
            gateways.toList().forEach { act(it) }
        }
    }

    private fun act(gateway: SimulatedGateway) {
        if (gateway.isFrozen || gateway.isCut) gateway.disturbedAt = now
        if (gateway.isFrozen) return
        val knows = gateway.balancer.limitStatus(now).isNotEmpty()
        gateway.knowsSince = if (knows) gateway.knowsSince ?: now else null
        gateway.owed += gateway.demand * (step / 1.seconds) * 2 * random.nextDouble()
        while (gateway.owed >= 1) {
            gateway.owed -= 1
            send(gateway)
        }
        if (tellsNews) tellNews(gateway)
    }

    private fun send(gateway: SimulatedGateway) {
        gateway.balancer.arrived(SERVICE, now)
        when (val choice = gateway.balancer.choose(limitedRequest(), now)) {
            is EndpointChoice.Chosen -> {
                val id = choice.endpoint.id
                val isInformed = gateway.knowsSince?.let { now - it > 500.milliseconds } ?: false
                sent += Sent(now, gateway.name, id, now - gateway.disturbedAt > 3.seconds, isInformed)
                after(40.milliseconds) {
                    val limit = limits[id] ?: NamedLimit.None
                    whenAwake(gateway) {
                        gateway.balancer.accepted(id, now)
                        gateway.balancer.limitNamed(id, limit, now)
                        gateway.balancer.finished(id, EndpointUse.Answered(40.milliseconds), now)
                    }
                }
            }
            is EndpointChoice.None -> refused += 1
        }
    }

    private fun tellNews(gateway: SimulatedGateway) {
        if ((now - START).inWholeMilliseconds % NEWS_INTERVAL_MS != 0L || gateway.isCut) return
        val news = gateway.balancer.takeLimitNews(now).ifEmpty { return }
        gateways.filter { it !== gateway }.shuffled(random).take(FAN_OUT).forEach { peer ->
            after(20.milliseconds) { if (!peer.isCut) whenAwake(peer) { peer.balancer.limitsReported(news, now) } }
        }
    }

    /** Returns the most requests that [endpoint] got in 4 s, among those from [from] on that [counts] selects. */
    fun worst(
        from: Instant,
        endpoint: String = "e0",
        counts: (Sent) -> Boolean = { true },
    ): Int {
        val times = sent.filter { it.endpoint.text == endpoint && it.at >= from && counts(it) }.map { it.at }
        var first = 0
        return times.indices.maxOfOrNull { last ->
            while (times[last] - times[first] >= 4.seconds) first += 1
            last - first + 1
        } ?: 0
    }

    private companion object {
        const val FAN_OUT = 12
        const val NEWS_INTERVAL_MS = 240L
    }
}
