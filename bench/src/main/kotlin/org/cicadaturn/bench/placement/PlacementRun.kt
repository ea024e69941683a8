package org.cicadaturn.bench.placement

import org.cicadaturn.decisions.experts.ExpertMap
import org.cicadaturn.decisions.experts.PlacementBounds
import org.cicadaturn.decisions.experts.PlacementPlan
import org.cicadaturn.decisions.experts.planPlacement
import org.cicadaturn.decisions.experts.skewOf
import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementBenchRun
import org.cicadaturn.schema.generated.PlacementPolicy
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Returns the share of the choices of each expert, from the most to the least chosen one (Zipf distribution). */
internal fun expertShares(
    experts: Int,
    skewPercent: Int,
): DoubleArray {
    val weights = DoubleArray(experts) { 1.0 / (it + 1.0).pow(skewPercent / PERCENT) }
    val sum = weights.sum()
    return DoubleArray(experts) { weights[it] / sum }
}

/** Demand with fixed shares, some of which each shift assigns to other experts. */
internal class ShiftingDemand(
    private val options: PlacementBenchOptions,
    private val random: Random,
) {
    private val shares = expertShares(options.experts, options.skewPercent)
    private val order = List(options.sets) { (0 until options.experts).shuffled(random).toMutableList() }

    fun demandShares(): List<DoubleArray> =
        order.map { experts ->
            DoubleArray(options.experts).also { d -> experts.forEachIndexed { i, e -> d[e] = shares[i] } }
        }

    /** Exchanges the shares of randomly selected experts among each other. */
    fun shift() {
        order.forEach { experts ->
            val moved = experts.indices.filter { random.nextInt(PERCENT.toInt()) < options.driftPercent }
            val shuffled = moved.map { experts[it] }.shuffled(random)
            moved.forEachIndexed { i, place -> experts[place] = shuffled[i] }
        }
    }
}

/** Runs one policy over all shifts in virtual time. */
internal class PlacementRun(
    private val options: PlacementBenchOptions,
    private val policy: PlacementPolicy,
) {
    private val demand = ShiftingDemand(options, Random(options.seed))
    private val newInAllSets = if (policy == PlacementPolicy.OWN) options.ownInAll else Int.MAX_VALUE
    private val bounds =
        PlacementBounds(options.experts, options.ranks, options.places, options.newPlaces, newInAllSets)
    private var map: ExpertMap = initialMap(options.sets, options.experts, options.ranks)
    private var skewTime = 0.0
    private var stepTime = 0.0
    private var slowTime = 0.0
    private var settled = 0.0
    private var changes = 0
    private var copies = 0
    private var planMicros = 0.0
    private var plans = 0

    fun run(): PlacementBenchRun {
        repeat(options.shifts) {
            runInterval()
            demand.shift()
        }
        val totalSeconds = options.interval.toDouble(DurationUnit.SECONDS) * options.shifts
        return PlacementBenchRun(
            policy = policy,
            meanSkew = skewTime / totalSeconds,
            settledSkew = settled / options.shifts,
            netStepTime = stepTime / totalSeconds,
            slowShare = slowTime / totalSeconds,
            changes = changes,
            copies = copies,
            planMicros = planMicros / maxOf(1, plans),
        )
    }

    private fun runInterval() {
        val demandShares = demand.demandShares()
        var timeLeft = options.interval
        var changesLeft =
            when (policy) {
                PlacementPolicy.OWN -> Int.MAX_VALUE
                PlacementPolicy.FULL -> 1
                PlacementPolicy.NEVER -> 0
            }
        // On average, the first read that covers only time after the shift follows one and a half read intervals later.
        timeLeft -= advance(options.readInterval * 1.5, timeLeft, demandShares, NORMAL_SLOWNESS)
        while (changesLeft > 0 && timeLeft > Duration.ZERO) {
            val plan = plan(demandShares)
            if (plan.before - plan.after < MIN_GAIN) break
            changesLeft -= 1
            timeLeft -= advance(options.copyTime * plan.newExperts.max(), timeLeft, demandShares, COPYING_SLOWNESS)
            timeLeft -= advance(options.orderTime, timeLeft, demandShares, NORMAL_SLOWNESS)
            if (timeLeft <= Duration.ZERO) break
            map = plan.map
            changes += 1
            copies += plan.newExperts.sum()
            timeLeft -= advance(options.readInterval / 2, timeLeft, demandShares, NORMAL_SLOWNESS)
        }
        advance(timeLeft, timeLeft, demandShares, NORMAL_SLOWNESS)
        settled += skewOf(map, demandShares).average()
    }

    private fun plan(demandShares: List<DoubleArray>): PlacementPlan {
        val start = TimeSource.Monotonic.markNow()
        val plan = planPlacement(map, demandShares, bounds)
        planMicros += start.elapsedNow().inWholeMicroseconds
        plans += 1
        return plan
    }

    /** Adds up to [timeLeft] of [time] under the current map to the totals; passes take [slowness] times as long. */
    private fun advance(
        time: Duration,
        timeLeft: Duration,
        demandShares: List<DoubleArray>,
        slowness: Double,
    ): Duration {
        val elapsed = minOf(time, timeLeft).coerceAtLeast(Duration.ZERO)
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        val skew = skewOf(map, demandShares).average()
        val step = (1.0 - EXPERT_SHARE + EXPERT_SHARE * skew) * slowness
        skewTime += seconds * skew
        stepTime += seconds * step
        if (step > SLOW_STEP_TIME) slowTime += seconds
        return elapsed
    }

    private companion object {
        /** Share of the time of a pass that depends on the placement, as in the engines of the users. */
        const val EXPERT_SHARE = 0.85

        /** Factor of the time of a pass while ranks copy experts, which makes passes 15% longer. */
        const val COPYING_SLOWNESS = 1.15
        const val NORMAL_SLOWNESS = 1.0

        /** Gain in skew below which the conductor keeps the map. */
        const val MIN_GAIN = 0.3

        /**
         * Time of a pass, relative to one with even load, above which the users' streams pause for longer than
         * they allow.
         */
        const val SLOW_STEP_TIME = 2.0
    }
}

private const val PERCENT = 100.0
