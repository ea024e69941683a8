package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.admission.AdmissionLimits
import org.cicadaturn.decisions.routing.CacheEvent
import org.cicadaturn.decisions.routing.Choice
import org.cicadaturn.decisions.routing.EndpointChooser
import org.cicadaturn.decisions.routing.SampledChooserOptions
import org.cicadaturn.decisions.routing.leastInFlightChooser
import org.cicadaturn.decisions.routing.roundRobinChooser
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.RoutingBenchOptions
import org.cicadaturn.schema.generated.RoutingBenchRun
import org.cicadaturn.schema.generated.RoutingPolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Runs the traffic of one load level through entries that use the given policy. */
internal class BenchRun(
    private val options: RoutingBenchOptions,
    private val policy: RoutingPolicy,
    private val loadPercent: Int,
    private val chooserOptions: SampledChooserOptions = SampledChooserOptions(),
) {
    private val time = VirtualTime(Instant.fromEpochSeconds(0))
    private val measurements = RunMeasurements()
    private val faults = Random(options.seed + 1)
    private val endpoints =
        List(options.endpoints) {
            BenchEndpoint(EndpointId("endpoint-$it"), it % options.failureDomains, time, LIMITS)
        }
    private val entries = List(options.nodes) { entry(it) }

    fun run(): RoutingBenchRun {
        endpoints.forEach { it.warmUp(LIMITS) }
        // The run models a service in operation, so the entries know its state from the start.
        endpoints.forEach { endpoint -> endpoint.report().let { r -> entries.forEach { it.report(r, time.now) } } }
        endpoints.forEach(::reportRegularly)
        endpoints.forEach(::publishCacheEvents)
        entries.forEach(::detectSilentStreamsRegularly)
        scheduleFaults()
        val rate = EngineModel.throughput(LIMITS.warmBound) * options.endpoints * loadPercent / 100
        Traffic(options, rate).start(time) { node, request ->
            measurements.recordRequest(request)
            entries[node].request(request)
        }
        time.run()
        return measurements.result(policy, loadPercent, endpoints.maxOf { it.engine.coldOverload }, options)
    }

    private fun entry(number: Int): BenchEntry {
        val random = Random(options.seed * 1_000 + number)
        val domain = number % options.failureDomains
        val fixedChooser =
            when (policy) {
                RoutingPolicy.OWN -> sampledChooser(random, chooserOptions)
                RoutingPolicy.ROUND_ROBIN -> roundRobinChooser()
                RoutingPolicy.LEAST_IN_FLIGHT -> leastInFlightChooser()
                RoutingPolicy.OMNISCIENT -> null
            }
        return BenchEntry(number, options, endpoints, time, measurements) { request ->
            fixedChooser ?: omniscientChooser(request, domain)
        }
    }

    /** Returns a chooser that uses the true current state of all endpoints, which is unknown to real entries. */
    private fun omniscientChooser(
        request: BenchRequest,
        domain: Int,
    ): EndpointChooser =
        { input ->
            val usable = endpoints.filter { it.id !in input.tried && it.engine.isUp && !it.engine.isStalled }
            val free = usable.filter { it.inFlight < it.bound }
            val best =
                free.minByOrNull {
                    it.engine.predictFirstToken(request) + if (it.domain == domain) Duration.ZERO else options.network
                } ?: usable.minByOrNull { (it.inFlight + 1.0) / it.bound }
            best?.let { Choice.Chosen(it.id) } ?: Choice.None(RefusalCode.UNREACHABLE, "no endpoint is up")
        }

    private fun reportRegularly(endpoint: BenchEndpoint) {
        endpoint.probe()
        val report = endpoint.report()
        val madeAt = time.now
        time.after(options.reportLag) { entries.forEach { it.report(report, madeAt) } }
        if (isOver()) return
        time.after(REPORT_INTERVAL) { reportRegularly(endpoint) }
    }

    private fun publishCacheEvents(endpoint: BenchEndpoint) {
        var sequence = 0L
        endpoint.engine.onCacheChange = { stored, evicted ->
            val event = CacheEvent(endpoint.id, sequence++, listOf(stored), listOfNotNull(evicted))
            val isLost = faults.nextInt(EVENTS_PER_LOST_EVENT) == 0
            if (!isLost) time.after(options.reportLag) { entries.forEach { it.cacheEvent(event) } }
        }
    }

    private fun detectSilentStreamsRegularly(entry: BenchEntry) {
        entry.detectSilentStreams()
        if (isOver()) return
        time.after(SILENCE_CHECK_INTERVAL) { detectSilentStreamsRegularly(entry) }
    }

    private fun isOver(): Boolean = time.now > time.start + options.duration

    /** Schedules one restart for some engines and one stall for others, at random times in the first two thirds. */
    private fun scheduleFaults() {
        val shuffled = endpoints.shuffled(faults)
        val cold = shuffled.take(endpointCount(options.coldPercent))
        val stalled = shuffled.drop(cold.size).take(endpointCount(options.stalledPercent))
        cold.forEach { endpoint -> time.after(randomFaultTime()) { endpoint.engine.restart(DOWNTIME) } }
        stalled.forEach { endpoint -> time.after(randomFaultTime()) { endpoint.engine.stall(options.duration / 10) } }
    }

    private fun randomFaultTime(): Duration = options.duration * (0.1 + 0.5 * faults.nextDouble())

    /** Returns the number of endpoints that [percent] stands for, at least one unless [percent] is 0. */
    private fun endpointCount(percent: Int): Int = (options.endpoints * percent + 99) / 100

    internal companion object {
        val LIMITS = AdmissionLimits(warmBound = 32, coldBound = 2, coldStep = 4)
        val REPORT_INTERVAL = 250.milliseconds
        val SILENCE_CHECK_INTERVAL = 100.milliseconds
        val DOWNTIME = 2.seconds
        const val EVENTS_PER_LOST_EVENT = 10
    }
}
