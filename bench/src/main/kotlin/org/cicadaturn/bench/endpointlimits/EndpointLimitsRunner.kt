package org.cicadaturn.bench.endpointlimits

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointLimitPolicy
import org.cicadaturn.schema.generated.EndpointLimitsBenchOptions
import org.cicadaturn.schema.generated.EndpointLimitsRun
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Request of a caller, who comes back once after the delay that a refusal states. */
internal class CallerRequest(
    val startedAt: Instant,
) {
    var refusedAfter: Duration? = null
    var retryAfter = Duration.ZERO
    var isAnswered = false
}

/** Run of one [policy] with [limited] endpoints that name a limit. */
internal class EndpointLimitsRunner(
    private val options: EndpointLimitsBenchOptions,
    private val policy: EndpointLimitPolicy,
    private val limited: Int,
    private val isEven: Boolean,
) {
    private val random = Random(options.seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(0))
    private val endpoints = List(options.endpoints) { LimitedEndpointModel(it, time, random) }
    private val limit = options.limitPerMinute / 60.0
    private val beginning = time.start + 5.seconds
    private val end = time.start + (options.seconds - 10).seconds
    private val requests = mutableListOf<CallerRequest>()
    private val names = List(if (policy == EndpointLimitPolicy.OMNISCIENT) 1 else options.gateways) { "g$it" }
    private val gateways = names.mapIndexed { i, name -> createGateway(name, options.seed + i) }

    private fun createGateway(
        name: String,
        seed: Long,
    ): LimitGatewayModel {
        // A gateway that knows of no other keeps the whole of each limit.
        val peers = if (policy == EndpointLimitPolicy.WHOLE) listOf(name) else names
        val isAware = policy != EndpointLimitPolicy.IGNORED
        return LimitGatewayModel(name, seed, time, endpoints, isAware).also { it.update(view(peers)) }
    }

    private fun view(peers: List<String>) =
        FleetView(
            configuration =
                RoutingConfiguration(1, emptyList(), listOf(RoutedService(SERVICE, 400)), null, CallerLimits()),
            endpoints = endpoints.map { it.endpoint },
            peers = peers.map { GatewayPeer(ProcessId(it), NetworkAddress("10.0.0.2", 80), DOMAIN) },
        )

    fun run(): EndpointLimitsRun {
        time.at(beginning) { endpoints.take(limited).forEach { it.limit = NamedLimit.Rate(limit) } }
        time.at(end) { endpoints.forEach { it.limit = NamedLimit.None } }
        spreadNews()
        arrive()
        time.runUntil(time.start + options.seconds.seconds)
        return summary()
    }

    private fun spreadNews() {
        time.after(NEWS_INTERVAL) {
            if (time.now < time.start + options.seconds.seconds) spreadNews()
            gateways.forEach { sender ->
                val news = sender.takeNews()
                if (news.isNotEmpty()) {
                    val peers = (gateways - sender).shuffled(random).take(FAN_OUT)
                    peers.forEach { peer -> time.after(PEER_DELAY) { peer.limitsReported(news) } }
                }
            }
        }
    }

    private fun arrive() {
        val next = time.now + (-ln(1 - random.nextDouble()) / options.load).seconds
        if (next >= time.start + options.seconds.seconds) return
        time.at(next) {
            val request = CallerRequest(time.now).also { requests += it }
            send(request)
            arrive()
        }
    }

    private fun send(request: CallerRequest) {
        // A caller comes to the busy gateway or to any other, also when it comes back.
        val isBusy = gateways.size > 1 && !isEven && random.nextInt(100) < options.busyPercent
        val others = if (isEven || gateways.size == 1) gateways else gateways.drop(1)
        val gateway = if (isBusy) gateways.first() else others.random(random)
        val sentAt = time.now
        gateway.submit(
            onAnswer = { request.isAnswered = true },
            onRefused = { retryAfter ->
                if (request.refusedAfter == null) {
                    request.refusedAfter = time.now - sentAt
                    request.retryAfter = retryAfter
                    time.after(retryAfter) { send(request) }
                }
            },
        )
    }

    private fun summary(): EndpointLimitsRun {
        val from = beginning + 3.seconds
        val held = endpoints.take(limited).map { e -> e.arrivals.filter { it >= from && it < end } }
        // Callers that return after the end of the limits would meet other conditions.
        val counted = requests.filter { it.startedAt >= from && it.startedAt < end - 10.seconds }
        val refused = counted.filter { it.refusedAfter != null }
        val seconds = (end - from).toDouble(DurationUnit.SECONDS)
        return EndpointLimitsRun(
            policy = policy,
            limited = limited,
            isEven = isEven,
            worst = held.maxOf { worst(it) },
            allowed = (limit * 6 + 5).toInt(),
            usedShare = held.sumOf { it.size } / (limit * limited * seconds),
            served = share(counted) { it.isAnswered },
            refused = share(counted) { it.refusedAfter != null },
            refusedAfterMs = mean(refused.map { it.refusedAfter ?: Duration.ZERO }),
            retryAfterMs = mean(refused.map { it.retryAfter }),
            returnedServed = share(refused) { it.isAnswered },
            recoverySeconds = recovery(),
        )
    }

    private fun worst(times: List<Instant>): Int {
        var first = 0
        return times.indices.maxOfOrNull { last ->
            while (times[last] - times[first] >= 4.seconds) first += 1
            last - first + 1
        } ?: 0
    }

    private fun recovery(): Double {
        val bySecond = requests.groupBy { (it.startedAt - end).inWholeSeconds.toInt() }
        val first =
            (0 until 9).firstOrNull {
                share(
                    bySecond[it].orEmpty(),
                ) { r -> r.refusedAfter == null } >= RECOVERED
            }
        return (first ?: 10).toDouble()
    }

    private fun share(
        requests: List<CallerRequest>,
        isCounted: (CallerRequest) -> Boolean,
    ): Double = if (requests.isEmpty()) 0.0 else requests.count(isCounted).toDouble() / requests.size

    private fun mean(times: List<Duration>): Double =
        if (times.isEmpty()) 0.0 else times.sumOf { it.toDouble(DurationUnit.MILLISECONDS) } / times.size

    private companion object {
        const val FAN_OUT = 12
        val NEWS_INTERVAL = 250.milliseconds
        val PEER_DELAY = 5.milliseconds
        const val RECOVERED = 0.99
    }
}
