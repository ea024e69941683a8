package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.limits.LimitNode
import org.cicadaturn.decisions.limits.LimitPolicy
import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.decisions.limits.MembershipView
import org.cicadaturn.decisions.limits.OrganisationLimit
import org.cicadaturn.schema.generated.LimiterComparison
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

private val STEP = 20.milliseconds
private const val LIMIT = 600_000L
private const val MINUTES = 6

/** Mean real tokens of a request in the first half of a run; in the second half requests are four times as long. */
private const val MEAN_TOKENS = 380.0
private const val LONG_FACTOR = 4

private class IdeaCall(
    val id: Long,
    val estimate: Long,
    val real: Long,
    val end: Instant,
    val at: Instant,
)

/** Decides on a call at once; [finish] brings its real count. */
private class Limiter(
    val admit: (IdeaCall, Instant) -> Boolean,
    val finish: (IdeaCall) -> Unit = {},
)

/** Measures ways of limiting on one process, all with the same traffic at 150% of the limit. */
internal fun limitIdeas(seed: Long): List<LimiterComparison> {
    val own = { policy: LimitPolicy, wait: IntRange -> ownIdea(seed, policy, wait) }
    val short = 0..0
    val delay = 200..800
    return listOf(
        idea("plain limit on requests, sliding", seed, requestLimiter()),
        idea("tokens, fixed minute", seed, fixedWindow()),
        idea("tokens, sliding, charged after the run", seed, chargedAfter()),
        idea("tokens, sliding, max_tokens reserved, no correction", seed, tokenLimiter(corrects = false)),
        idea("tokens, sliding, max_tokens reserved and corrected", seed, tokenLimiter(corrects = true)),
        own(LimitPolicy(burstFactor = 6.0), short).copy(name = "as built, no bound on bursts, no delay"),
        own(LimitPolicy(burstFactor = 1.2), delay).copy(name = "as built, burst 1.2, delay 200 to 800 ms"),
        own(LimitPolicy(), short).copy(name = "as built, burst 1.5, no delay"),
        own(LimitPolicy(), delay).copy(name = "as built, burst 1.5, delay 200 to 800 ms"),
        ownIdea(seed, LimitPolicy(), short, NEAR_LIMIT).copy(name = "as built at 95% demand, no delay"),
        ownIdea(seed, LimitPolicy(), delay, NEAR_LIMIT).copy(name = "as built at 95% demand, delay 200 to 800 ms"),
    )
}

private const val NEAR_LIMIT = 95
private const val ABOVE_LIMIT = 150

private fun requestLimiter(): Limiter {
    val budget = ExactBudget((LIMIT / MEAN_TOKENS).toLong())
    return Limiter({ call, now -> budget.tryCharge(call.id, 1, now) })
}

private fun fixedWindow(): Limiter {
    var minute = -1L
    var used = 0L
    return Limiter({ call, now ->
        if (now.epochSeconds / 60 != minute) {
            minute = now.epochSeconds / 60
            used = 0
        }
        val fits = used + call.real <= LIMIT
        if (fits) used += call.real
        fits
    })
}

private fun chargedAfter(): Limiter {
    val budget = ExactBudget(LIMIT)
    var late = 0L
    var last = 0L
    return Limiter(
        { call, now ->
            // Counts that came in since the last call are charged now; the call itself is charged when it ends.
            if (late > 0 && budget.tryCharge(--last, late, now)) late = 0
            late == 0L && budget.tryCharge(call.id, 0, now)
        },
        { late += it.real },
    )
}

private fun tokenLimiter(corrects: Boolean): Limiter {
    val budget = ExactBudget(LIMIT)
    return Limiter(
        { call, now -> budget.tryCharge(call.id, call.estimate, now) },
        { if (corrects) budget.correct(it.id, it.real) },
    )
}

private fun idea(
    name: String,
    seed: Long,
    limiter: Limiter,
): LimiterComparison {
    val run = IdeaRun(seed, ABOVE_LIMIT)
    run.run({ call, now -> if (limiter.admit(call, now)) run.admit(call, now) else run.refuse() }, limiter.finish) {}
    return run.result(name)
}

private fun ownIdea(
    seed: Long,
    policy: LimitPolicy,
    waitMs: IntRange,
    demandPercent: Int = ABOVE_LIMIT,
): LimiterComparison {
    val organisation = OrganisationId("survey")
    val self = ProcessId("entry")
    val run = IdeaRun(seed, demandPercent)
    val random = Random(seed)
    val node = LimitNode(self, policy, 0)
    node.configure(mapOf(organisation to OrganisationLimit(LIMIT, Int.MAX_VALUE / 2)), run.start - 2.minutes)
    node.updateMembership(MembershipView(1, setOf(self)), run.start - 2.minutes)
    val waiting = HashMap<Long, IdeaCall>()

    fun settle(now: Instant) {
        for (settled in node.step(now).settled) {
            val call = waiting.remove(settled.id) ?: continue
            if (settled.decision is LimitDecision.Admitted) run.admit(call, now) else run.refuse()
        }
    }
    run.run(
        { call, now ->
            val until = now + random.nextInt(waitMs.first, waitMs.last + 1).milliseconds
            when (node.request(organisation, LimitRequest(call.id, call.estimate, until), now)) {
                is LimitDecision.Admitted -> run.admit(call, now)
                is LimitDecision.Waiting -> waiting[call.id] = call
                is LimitDecision.Refused -> run.refuse()
            }
            settle(now)
        },
        { node.finished(organisation, it.id, it.real, it.end) },
        ::settle,
    )
    return run.result("")
}

/** Makes the traffic of one organisation and counts what is admitted. */
private class IdeaRun(
    seed: Long,
    private val demandPercent: Int,
) {
    val start = Instant.fromEpochSeconds(1_000_000)
    private val random = Random(seed)
    private val admitted = ArrayList<BenchCall>()
    private var running = ArrayList<IdeaCall>()
    private var calls = 0L
    private var refused = 0

    fun admit(
        call: IdeaCall,
        now: Instant,
    ) {
        val organisation = OrganisationId("survey")
        val answer = (call.end - call.at) / ANSWER_TOKEN
        val use = BenchCall(call.id, 0, organisation, call.estimate, call.real, answer.toInt(), call.at)
        use.admitted = now
        admitted += use
        running += call
    }

    fun refuse() {
        refused++
    }

    fun run(
        offer: (IdeaCall, Instant) -> Unit,
        finish: (IdeaCall) -> Unit,
        each: (Instant) -> Unit,
    ) {
        var now = start
        var next = 0.0
        val steps = (MINUTES.minutes / STEP).toInt()
        repeat(steps) { i ->
            now += STEP
            val due = running.filter { it.end <= now }
            running.removeAll(due.toSet())
            due.forEach(finish)
            val factor = if (i < steps / 2) 1 else LONG_FACTOR
            next += LIMIT * demandPercent / 100.0 / (MEAN_TOKENS * factor) * (STEP / 1.minutes)
            while (next >= 1) {
                next -= 1
                offer(newCall(factor, now), now)
            }
            each(now)
        }
    }

    private fun newCall(
        factor: Int,
        now: Instant,
    ): IdeaCall {
        val prompt = random.nextInt(20, 321) * factor
        val most = random.nextInt(100, 501) * factor
        val answer = (most * (0.4 + 0.6 * random.nextDouble())).toInt()
        val end = now + ANSWER_TOKEN * answer
        return IdeaCall(++calls, (prompt + most).toLong(), (prompt + answer).toLong(), end, now)
    }

    fun result(name: String): LimiterComparison {
        val counted = admitted.filter { it.admitted - start >= 1.minutes }
        val pause = counted.zipWithNext { a, b -> b.admitted - a.admitted }.maxOrNull() ?: Duration.ZERO
        return LimiterComparison(
            name = name,
            worstOver = worstMinute(admitted) / LIMIT.toDouble() - 1,
            usedShare = counted.sumOf { it.real } / (LIMIT.toDouble() * (MINUTES - 1)),
            refusedShare = refused.toDouble() / maxOf(1, calls),
            longestPause = pause.inWholeMilliseconds.milliseconds,
        )
    }
}

private val ANSWER_TOKEN = 25.milliseconds
