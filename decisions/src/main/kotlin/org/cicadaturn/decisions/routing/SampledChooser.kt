package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.LoadReport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Parameters of the sampled chooser; all costs are durations.
 *
 * @property samples number of local candidates that are compared, and of remote ones
 * @property typicalTokens tokens of an average request, used to compare tokens in flight with a bound in requests
 * @property fullDelay delay that an endpoint at its bound adds to a request
 * @property queueDelay additional delay when as much work waits at an endpoint as its bound; proportional to that work
 * @property localBias extra cost of a remote endpoint besides the network time
 * @property cachedTokenTime time saved by each cached token of the prompt
 * @property affinityLimit maximum time that a cached prefix counts as saved
 * @property affinityLoad utilisation above which a cached prefix is ignored
 * @property affinityMargin excess in utilisation over the least loaded sample above which a cached prefix is ignored
 * @property unknownBound bound assumed for an endpoint that has not reported
 */
public data class SampledChooserOptions(
    val samples: Int = 2,
    val typicalTokens: Double = 500.0,
    val fullDelay: Duration = 60.milliseconds,
    val queueDelay: Duration = 3_000.milliseconds,
    val localBias: Duration = 1.milliseconds,
    val cachedTokenTime: Duration = 0.03.milliseconds,
    val affinityLimit: Duration = 100.milliseconds,
    val affinityLoad: Double = 0.85,
    val affinityMargin: Double = 0.25,
    val unknownBound: Int = 1,
) {
    init {
        require(samples >= 1) { "samples $samples must be at least 1" }
        require(typicalTokens > 0) { "typical tokens $typicalTokens must be positive" }
    }
}

/**
 * Returns a chooser that compares a few random candidates by the delay that each is expected to add.
 *
 * Sampling keeps entries with the same outdated reports from choosing the same endpoint, and makes the cost of a
 * choice independent of the number of endpoints. All candidates are compared only if no sample can take the
 * request.
 */
public fun sampledChooser(
    random: Random,
    options: SampledChooserOptions = SampledChooserOptions(),
): EndpointChooser {
    val chooser = SampledChooser(random, options)
    return { input -> input.deadlineRefusal() ?: chooser.choose(input) }
}

private class SampledChooser(
    private val random: Random,
    private val options: SampledChooserOptions,
) {
    private val fullDelay = options.fullDelay.toDouble(DurationUnit.MILLISECONDS)
    private val queueDelay = options.queueDelay.toDouble(DurationUnit.MILLISECONDS)
    private val localBias = options.localBias.toDouble(DurationUnit.MILLISECONDS)
    private val cachedTokenTime = options.cachedTokenTime.toDouble(DurationUnit.MILLISECONDS)
    private val affinityLimit = options.affinityLimit.toDouble(DurationUnit.MILLISECONDS)

    private class Best(
        var candidate: Candidate? = null,
        var cost: Double = Double.MAX_VALUE,
        var leastLoad: Double = Double.MAX_VALUE,
    )

    fun choose(input: RoutingInput): Choice {
        val best = Best()
        sample(input, input.local, best)
        sample(input, input.remote, best)
        val cached = bestCached(input, best)
        if (cached != null) return Choice.Chosen(cached.endpoint, affinity = true)
        if (best.candidate == null) scan(input, best)
        return best.candidate?.let { Choice.Chosen(it.endpoint) } ?: noEndpoint(input)
    }

    private fun sample(
        input: RoutingInput,
        list: List<Candidate>,
        best: Best,
    ) {
        if (list.isEmpty()) return
        // A repeated attempt has less time left and the service is partly full, so it compares more candidates.
        val samples = minOf(options.samples * (1 + input.tried.size), list.size)
        val first = random.nextInt(list.size)
        var found = if (consider(input, list[first], best)) 1 else 0
        val maxDraws = if (list.size == 1) 1 else samples * DRAWS_PER_SAMPLE
        var draws = 1
        while (found < samples && draws < maxDraws) {
            draws += 1
            // Any position but the first, so that the first candidate is not compared twice.
            val position = (first + 1 + random.nextInt(list.size - 1)) % list.size
            if (consider(input, list[position], best)) found += 1
        }
    }

    private fun scan(
        input: RoutingInput,
        best: Best,
    ) {
        input.local.forEach { consider(input, it, best) }
        input.remote.forEach { consider(input, it, best) }
    }

    /** Compares [candidate] with [best] and returns true if it can take the request. */
    private fun consider(
        input: RoutingInput,
        candidate: Candidate,
        best: Best,
    ): Boolean {
        if (!canTake(input, candidate)) return false
        val load = utilisation(candidate, input)
        val cost = delay(load) + networkCost(candidate)
        best.leastLoad = minOf(best.leastLoad, load)
        if (cost < best.cost) {
            best.cost = cost
            best.candidate = candidate
        }
        return true
    }

    /** Returns the candidate whose cached prefix makes it better than the sampled [best], if there is one. */
    private fun bestCached(
        input: RoutingInput,
        best: Best,
    ): Candidate? {
        var chosen: Candidate? = null
        var cost = best.cost
        for (prefix in input.cached) {
            if (prefix.candidate !in 0 until input.size) continue
            val candidate = input[prefix.candidate]
            if (!canTake(input, candidate)) continue
            val load = utilisation(candidate, input)
            if (load > options.affinityLoad || load > best.leastLoad + options.affinityMargin) continue
            val bonus = minOf(affinityLimit, prefix.tokens * cachedTokenTime)
            val cachedCost = delay(load) + networkCost(candidate) - bonus
            if (cachedCost < cost) {
                cost = cachedCost
                chosen = candidate
            }
        }
        return chosen
    }

    /** Returns true if [candidate] can take the request at all. */
    private fun canTake(
        input: RoutingInput,
        candidate: Candidate,
    ): Boolean {
        if (!input.isEligible(candidate)) return false
        if (input.deadline - input.now <= candidate.network) return false
        return !candidate.isCold || canTakeCold(input, candidate)
    }

    /**
     * Returns true if the cold [candidate] has a place for this entry.
     *
     * It gets at most its reported bound. All entries see the same free places in its delayed reports, so the places
     * are divided among them by rank. An entry may exceed its share while more than half of the places are expected to
     * be free, because the others may have no requests.
     */
    private fun canTakeCold(
        input: RoutingInput,
        candidate: Candidate,
    ): Boolean {
        val bound = bound(candidate.report)
        val expected = candidate.expected.requests
        if (candidate.isFull || expected >= bound) return false
        return candidate.own.requests < quota(bound, input.entries, candidate.rank) || expected * 2 < bound
    }

    private fun quota(
        bound: Int,
        entries: Int,
        rank: Int,
    ): Int = bound / maxOf(entries, 1) + if (rank < bound % maxOf(entries, 1)) 1 else 0

    /**
     * Returns the fraction of the bound that is in use once the request is added; above 1, work waits.
     *
     * The other entries choose by the same reports, so each of them is assumed to have changed its work since the
     * report as this one has. Otherwise all entries would keep sending to an endpoint for as long as its reports lag.
     */
    private fun utilisation(
        candidate: Candidate,
        input: RoutingInput,
    ): Double {
        // A cold endpoint that can take the request runs few others, and it warms up only if it gets work.
        if (candidate.isCold) return 0.0
        val others = input.entries - 1
        val requests = candidate.expected.requests + others * candidate.sinceReport.requests
        val tokens = candidate.expected.tokens + others * candidate.sinceReport.tokens
        val added = maxOf(maxOf(requests, 0) + 1.0, (maxOf(tokens, 0) + input.tokens) / options.typicalTokens)
        val load = added / bound(candidate.report)
        return if (candidate.isFull) maxOf(load, FULL_LOAD) else load
    }

    private fun bound(report: LoadReport?): Int = maxOf(1, report?.bound ?: options.unknownBound)

    /** Returns the delay in milliseconds at a utilisation: small below the bound, steep above it. */
    private fun delay(load: Double): Double {
        val square = load * load
        return if (load <= 1.0) fullDelay * square * square else fullDelay + queueDelay * (load - 1.0)
    }

    private fun networkCost(candidate: Candidate): Double =
        if (candidate.network == Duration.ZERO) {
            0.0
        } else {
            candidate.network.toDouble(DurationUnit.MILLISECONDS) + localBias
        }

    private companion object {
        // Maximum number of draws for each sample; some hit a full, excluded or unreachable candidate.
        const val DRAWS_PER_SAMPLE = 4

        // Minimum utilisation of an endpoint that refused: it runs as many requests as its bound and has a queue.
        const val FULL_LOAD = 1.1
    }
}
