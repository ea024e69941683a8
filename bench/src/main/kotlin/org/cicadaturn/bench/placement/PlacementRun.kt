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

/** Returns the shares of the choices, from the most to the least liked expert. */
internal fun likings(
    experts: Int,
    skewPercent: Int,
): DoubleArray {
    val weights = DoubleArray(experts) { 1.0 / (it + 1.0).pow(skewPercent / PERCENT) }
    val sum = weights.sum()
    return DoubleArray(experts) { weights[it] / sum }
}

/** Demand with a fixed profile, of which each shift gives a part to other experts. */
internal class ShiftingLikings(
    private val options: PlacementBenchOptions,
    private val random: Random,
) {
    private val shares = likings(options.experts, options.skewPercent)
    private val order = List(options.sets) { (0 until options.experts).shuffled(random).toMutableList() }

    fun choices(): List<DoubleArray> =
        order.map { experts ->
            DoubleArray(options.experts).also { d -> experts.forEachIndexed { i, e -> d[e] = shares[i] } }
        }

    /** Exchanges the places in the order of liking of a random part of the experts. */
    fun shift() {
        order.forEach { experts ->
            val moved = experts.indices.filter { random.nextInt(PERCENT.toInt()) < options.driftPercent }
            val shuffled = moved.map { experts[it] }.shuffled(random)
            moved.forEachIndexed { i, place -> experts[place] = shuffled[i] }
        }
    }
}

/** One policy over all shifts, in virtual time. */
internal class PlacementRun(
    private val options: PlacementBenchOptions,
    private val policy: PlacementPolicy,
) {
    private val demand = ShiftingLikings(options, Random(options.seed))
    private val inAll = if (policy == PlacementPolicy.OWN) options.ownInAll else Int.MAX_VALUE
    private val bounds = PlacementBounds(options.experts, options.ranks, options.places, options.newPlaces, inAll)
    private var map: ExpertMap = firstMap(options.sets, options.experts, options.ranks)
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
            interval()
            demand.shift()
        }
        val all = options.interval.toDouble(DurationUnit.SECONDS) * options.shifts
        return PlacementBenchRun(
            policy = policy,
            meanSkew = skewTime / all,
            settledSkew = settled / options.shifts,
            netStepTime = stepTime / all,
            slowShare = slowTime / all,
            changes = changes,
            copies = copies,
            planMicros = planMicros / maxOf(1, plans),
        )
    }

    private fun interval() {
        val choices = demand.choices()
        var left = options.interval
        var changesLeft =
            when (policy) {
                PlacementPolicy.OWN -> Int.MAX_VALUE
                PlacementPolicy.FULL -> 1
                PlacementPolicy.NEVER -> 0
            }
        // The first read after the shift that holds only new choices comes after one and a half intervals on average.
        left -= pass(options.readInterval * 1.5, left, choices, SOUND)
        while (changesLeft > 0 && left > Duration.ZERO) {
            val plan = plan(choices)
            if (plan.before - plan.after < LEAST_GAIN) break
            changesLeft -= 1
            left -= pass(options.copyTime * plan.newExperts.max(), left, choices, WHILE_COPYING)
            left -= pass(options.orderTime, left, choices, SOUND)
            if (left <= Duration.ZERO) break
            map = plan.map
            changes += 1
            copies += plan.newExperts.sum()
            left -= pass(options.readInterval / 2, left, choices, SOUND)
        }
        pass(left, left, choices, SOUND)
        settled += skewOf(map, choices).average()
    }

    private fun plan(choices: List<DoubleArray>): PlacementPlan {
        val start = TimeSource.Monotonic.markNow()
        val plan = planPlacement(map, choices, bounds)
        planMicros += start.elapsedNow().inWholeMicroseconds
        plans += 1
        return plan
    }

    /** Counts [time], [left] at most, under the present map; passes take [slowness] times as long. */
    private fun pass(
        time: Duration,
        left: Duration,
        choices: List<DoubleArray>,
        slowness: Double,
    ): Duration {
        val taken = minOf(time, left).coerceAtLeast(Duration.ZERO)
        val seconds = taken.toDouble(DurationUnit.SECONDS)
        val skew = skewOf(map, choices).average()
        val step = (1.0 - EXPERT_SHARE + EXPERT_SHARE * skew) * slowness
        skewTime += seconds * skew
        stepTime += seconds * step
        if (step > SLOW_STEP) slowTime += seconds
        return taken
    }

    private companion object {
        /** Share of a pass that depends on the placement, as the users' engines have it. */
        const val EXPERT_SHARE = 0.85

        /** Passes of ranks that copy take 15 in 100 longer. */
        const val WHILE_COPYING = 1.15
        const val SOUND = 1.0

        /** Gain in skew below which the conductor leaves the map. */
        const val LEAST_GAIN = 0.3

        /** At about twice the time of an even pass the users' streams are paused for longer than they allow. */
        const val SLOW_STEP = 2.0
    }
}

private const val PERCENT = 100.0
