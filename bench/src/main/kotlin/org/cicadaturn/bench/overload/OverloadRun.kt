package org.cicadaturn.bench.overload

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.schema.generated.LoadPattern
import org.cicadaturn.schema.generated.OverloadBenchOptions
import org.cicadaturn.schema.generated.OverloadBenchRun
import org.cicadaturn.schema.generated.OverloadPolicy
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Plays one pattern of load and faults with one policy in virtual time. */
internal class OverloadRun(
    private val options: OverloadBenchOptions,
    private val pattern: LoadPattern,
    private val policy: OverloadPolicy,
) {
    private val random = Random(options.seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(1_000))
    private val groups = List(options.groups) { EngineGroupModel(time, options.ranks) }
    private val hasReports = pattern != LoadPattern.STALE_REPORTS
    private val gateways =
        List(options.gateways) { GatewayModel(time, groups, options, hasReports, ::createDispatcher) }
    private val callers = mutableListOf<CallerModel>()

    private fun createDispatcher(balancer: EndpointBalancer) =
        when (policy) {
            OverloadPolicy.NO_QUEUE -> noQueueDispatcher(balancer)
            OverloadPolicy.FIRST_COME -> orderedDispatcher(balancer) { ticket, _ -> ticket.number }
            OverloadPolicy.DEADLINE -> orderedDispatcher(balancer) { _, request -> request.waitUntil }
            OverloadPolicy.OWN -> dispatcher(balancer, random::nextDouble)
        }

    fun run(): OverloadBenchRun {
        scheduleFaults()
        scheduleArrival()
        time.runUntil(time.start + options.seconds.seconds + DRAIN_TIME)
        return measure()
    }

    private fun scheduleFaults() {
        val affected =
            when (pattern) {
                LoadPattern.GROUP_DOWN, LoadPattern.SLOW_ENGINE -> groups.take(1)
                LoadPattern.ALL_DOWN -> groups
                else -> emptyList()
            }
        time.at(time.start + CAUSE_START) { affected.forEach { if (isOutage()) it.fail() else it.slowness = SLOWNESS } }
        time.at(time.start + CAUSE_END) { affected.forEach { if (isOutage()) it.recover() else it.slowness = 1.0 } }
    }

    private fun isOutage() = pattern == LoadPattern.GROUP_DOWN || pattern == LoadPattern.ALL_DOWN

    private fun scheduleArrival() {
        val capacity = IN_TIME_RATE_PER_RANK * options.groups * options.ranks
        val rate = capacity * options.loadPercent / PERCENT * burstFactor()
        time.after((-ln(1 - random.nextDouble()) / rate).seconds) {
            if (time.now < time.start + options.seconds.seconds) {
                arrive()
                scheduleArrival()
            }
        }
    }

    private fun isDuringCause() = time.now in (time.start + CAUSE_START)..(time.start + CAUSE_END)

    private fun burstFactor(): Double {
        val hasBurst =
            pattern == LoadPattern.BURST || pattern == LoadPattern.REPEATING_CALLERS || pattern == LoadPattern.FLOOD
        return if (hasBurst && isDuringCause()) BURST_FACTOR else 1.0
    }

    private fun arrive() {
        val flooding =
            pattern == LoadPattern.FLOOD && isDuringCause() && random.nextInt(PERCENT.toInt()) < FLOOD_PERCENT
        val organisation = if (flooding) 0 else random.nextInt(ORGANISATIONS)
        val events = (MEAN_EVENTS * (MIN_SIZE + (MAX_SIZE - MIN_SIZE) * random.nextDouble())).toInt()
        val repeats = if (pattern == LoadPattern.REPEATING_CALLERS) REPEATS_OF_ABUSERS else 1
        val caller = CallerModel(time, organisation, events, repeats, pattern != LoadPattern.REPEATING_CALLERS)
        callers += caller
        caller.send { gateways[random.nextInt(gateways.size)] }
    }

    private fun measure(): OverloadBenchRun {
        val count = callers.size.coerceAtLeast(1).toDouble()
        val small = callers.filter { it.organisation != 0 }
        val large = callers.sortedByDescending { it.events }.take((count / LARGEST_SHARE).toInt().coerceAtLeast(1))
        val sends = gateways.sumOf { it.sends }.coerceAtLeast(1)
        return OverloadBenchRun(
            pattern = pattern,
            policy = policy,
            offered = callers.size,
            inAim = callers.count { it.isInAim } / count,
            late = callers.count { it.isComplete && !it.isInAim } / count,
            refused = callers.count { it.wasRefused } / count,
            abandoned = callers.count { !it.isComplete && !it.wasRefused } / count,
            worstSeconds = inAimByWindow(2.seconds).min(),
            recoverySeconds = recovery(),
            goodput = callers.count { it.isInAim } / options.seconds.toDouble(),
            smallOrganisations = small.count { it.isInAim } / small.size.coerceAtLeast(1).toDouble(),
            largeRequests = large.count { it.isComplete } / large.size.toDouble(),
            refusedByRanks = gateways.sumOf { it.refusals } / sends.toDouble(),
        )
    }

    /** Returns the share of requests answered in aim by window of arrival. */
    private fun inAimByWindow(window: Duration): List<Double> {
        val byWindow = callers.groupBy { ((it.arrivedAt - time.start) / window).toInt() }
        return byWindow.toSortedMap().values.map { list -> list.count { it.isInAim } / list.size.toDouble() }
    }

    private fun recovery(): Double {
        val seconds = inAimByWindow(1.seconds)
        val end = CAUSE_END.toInt(DurationUnit.SECONDS)
        val first = (end until seconds.size).firstOrNull { seconds[it] >= RECOVERED_SHARE } ?: seconds.size
        return (first - end).toDouble()
    }

    private companion object {
        const val PERCENT = 100.0

        /** Requests per second and rank that are answered in aim with evenly spread load. */
        const val IN_TIME_RATE_PER_RANK = 1.75
        const val MEAN_EVENTS = 24.0
        const val MIN_SIZE = 0.3
        const val MAX_SIZE = 1.7
        const val ORGANISATIONS = 10
        const val FLOOD_PERCENT = 70
        const val BURST_FACTOR = 2.0
        const val SLOWNESS = 3.0
        const val REPEATS_OF_ABUSERS = 4
        const val LARGEST_SHARE = 10
        const val RECOVERED_SHARE = 0.9
        val CAUSE_START = 10.seconds
        val CAUSE_END = 15.seconds
        val DRAIN_TIME = 12.seconds
    }
}

/** Latency target of a request, and pause up to which a stream counts as in aim. */
internal object Aims {
    val LATENCY = 500.milliseconds
    val PAUSE = 120.milliseconds
    val DEADLINE = 8.seconds

    /** Time without an event after which a caller leaves. */
    val PATIENCE = 2.seconds

    /** Share of its remaining time that a caller waits at most before a retry. */
    const val RETRY_SHARE = 1.0 / 3
}
