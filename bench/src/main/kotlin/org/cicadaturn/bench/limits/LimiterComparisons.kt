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
private const val TOKENS_PER_MINUTE = 600_000L
private const val MINUTES = 6

/**
 * Mean number of real tokens of a request in the first half of a run; [LONG_FACTOR] times as many in the second
 * half.
 */
private const val MEAN_TOKENS = 380.0
private const val LONG_FACTOR = 4

private class LimiterCall(
    val id: Long,
    val estimatedTokens: Long,
    val realTokens: Long,
    val endsAt: Instant,
    val arrivedAt: Instant,
)

/** Way of limiting that decides on a call without waiting; [finish] receives each call that has ended. */
private class Limiter(
    val admit: (LimiterCall, Instant) -> Boolean,
    val finish: (LimiterCall) -> Unit = {},
)

/**
 * Compares ways of limiting on a single process; demand is 150% of the limit unless the name of the case
 * says otherwise.
 */
internal fun compareLimiters(seed: Long): List<LimiterComparison> {
    val limitNode = { policy: LimitPolicy, wait: IntRange -> measureLimitNode(seed, policy, wait) }
    val noWait = 0..0
    val shortWait = 200..800
    return listOf(
        measure("plain limit on requests, sliding", seed, requestLimiter()),
        measure("tokens, fixed minute", seed, fixedWindow()),
        measure("tokens, sliding, charged after the run", seed, chargedAfter()),
        measure("tokens, sliding, max_tokens reserved, no correction", seed, tokenLimiter(isCorrected = false)),
        measure("tokens, sliding, max_tokens reserved and corrected", seed, tokenLimiter(isCorrected = true)),
        limitNode(LimitPolicy(burstFactor = 6.0), noWait).copy(name = "as built, no bound on bursts, no delay"),
        limitNode(LimitPolicy(burstFactor = 1.2), shortWait).copy(name = "as built, burst 1.2, delay 200 to 800 ms"),
        limitNode(LimitPolicy(), noWait).copy(name = "as built, burst 1.5, no delay"),
        limitNode(LimitPolicy(), shortWait).copy(name = "as built, burst 1.5, delay 200 to 800 ms"),
        measureLimitNode(
            seed,
            LimitPolicy(),
            noWait,
            NEAR_LIMIT_PERCENT,
        ).copy(name = "as built at 95% demand, no delay"),
        measureLimitNode(
            seed,
            LimitPolicy(),
            shortWait,
            NEAR_LIMIT_PERCENT,
        ).copy(name = "as built at 95% demand, delay 200 to 800 ms"),
    )
}

private const val NEAR_LIMIT_PERCENT = 95
private const val ABOVE_LIMIT_PERCENT = 150

private fun requestLimiter(): Limiter {
    val budget = ExactBudget((TOKENS_PER_MINUTE / MEAN_TOKENS).toLong())
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
        val fits = used + call.realTokens <= TOKENS_PER_MINUTE
        if (fits) used += call.realTokens
        fits
    })
}

private fun chargedAfter(): Limiter {
    val budget = ExactBudget(TOKENS_PER_MINUTE)
    var uncharged = 0L
    var lastChargeId = 0L
    return Limiter(
        { call, now ->
            // Charges the tokens of the calls that have ended since the last arrival; this call is charged at its end.
            if (uncharged > 0 && budget.tryCharge(--lastChargeId, uncharged, now)) uncharged = 0
            uncharged == 0L && budget.tryCharge(call.id, 0, now)
        },
        { uncharged += it.realTokens },
    )
}

private fun tokenLimiter(isCorrected: Boolean): Limiter {
    val budget = ExactBudget(TOKENS_PER_MINUTE)
    return Limiter(
        { call, now -> budget.tryCharge(call.id, call.estimatedTokens, now) },
        { if (isCorrected) budget.correct(it.id, it.realTokens) },
    )
}

private fun measure(
    name: String,
    seed: Long,
    limiter: Limiter,
): LimiterComparison {
    val run = LimiterRun(seed, ABOVE_LIMIT_PERCENT)
    run.run({ call, now -> if (limiter.admit(call, now)) run.admit(call, now) else run.refuse() }, limiter.finish) {}
    return run.result(name)
}

private fun measureLimitNode(
    seed: Long,
    policy: LimitPolicy,
    waitMs: IntRange,
    demandPercent: Int = ABOVE_LIMIT_PERCENT,
): LimiterComparison {
    val organisation = OrganisationId("survey")
    val self = ProcessId("entry")
    val run = LimiterRun(seed, demandPercent)
    val random = Random(seed)
    val node = LimitNode(self, policy, 0)
    node.configure(
        mapOf(organisation to OrganisationLimit(TOKENS_PER_MINUTE, Int.MAX_VALUE / 2)),
        run.start - 2.minutes,
    )
    node.updateMembership(MembershipView(1, setOf(self)), run.start - 2.minutes)
    val waiting = HashMap<Long, LimiterCall>()

    fun applyDecisions(now: Instant) {
        for (settled in node.step(now).settled) {
            val call = waiting.remove(settled.id) ?: continue
            if (settled.decision is LimitDecision.Admitted) run.admit(call, now) else run.refuse()
        }
    }
    run.run(
        { call, now ->
            val until = now + random.nextInt(waitMs.first, waitMs.last + 1).milliseconds
            when (node.request(organisation, LimitRequest(call.id, call.estimatedTokens, until), now)) {
                is LimitDecision.Admitted -> run.admit(call, now)
                is LimitDecision.Waiting -> waiting[call.id] = call
                is LimitDecision.Refused -> run.refuse()
            }
            applyDecisions(now)
        },
        { node.finished(organisation, it.id, it.realTokens, it.endsAt) },
        ::applyDecisions,
    )
    return run.result("")
}

/** Generates the traffic of one organisation and records the admitted calls. */
private class LimiterRun(
    seed: Long,
    private val demandPercent: Int,
) {
    val start = Instant.fromEpochSeconds(1_000_000)
    private val random = Random(seed)
    private val admitted = ArrayList<BenchCall>()
    private var running = ArrayList<LimiterCall>()
    private var calls = 0L
    private var refused = 0

    fun admit(
        call: LimiterCall,
        now: Instant,
    ) {
        val organisation = OrganisationId("survey")
        val answerTokens = (call.endsAt - call.arrivedAt) / TOKEN_TIME
        val admittedCall =
            BenchCall(
                call.id,
                0,
                organisation,
                call.estimatedTokens,
                call.realTokens,
                answerTokens.toInt(),
                call.arrivedAt,
            )
        admittedCall.admittedAt = now
        admitted += admittedCall
        running += call
    }

    fun refuse() {
        refused++
    }

    fun run(
        onArrival: (LimiterCall, Instant) -> Unit,
        finish: (LimiterCall) -> Unit,
        afterStep: (Instant) -> Unit,
    ) {
        var now = start
        var next = 0.0
        val steps = (MINUTES.minutes / STEP).toInt()
        repeat(steps) { i ->
            now += STEP
            val due = running.filter { it.endsAt <= now }
            running.removeAll(due.toSet())
            due.forEach(finish)
            val factor = if (i < steps / 2) 1 else LONG_FACTOR
            next += TOKENS_PER_MINUTE * demandPercent / 100.0 / (MEAN_TOKENS * factor) * (STEP / 1.minutes)
            while (next >= 1) {
                next -= 1
                onArrival(newCall(factor, now), now)
            }
            afterStep(now)
        }
    }

    private fun newCall(
        factor: Int,
        now: Instant,
    ): LimiterCall {
        val promptTokens = random.nextInt(20, 321) * factor
        val maxAnswerTokens = random.nextInt(100, 501) * factor
        val answerTokens = (maxAnswerTokens * (0.4 + 0.6 * random.nextDouble())).toInt()
        val endsAt = now + TOKEN_TIME * answerTokens
        return LimiterCall(
            ++calls,
            (promptTokens + maxAnswerTokens).toLong(),
            (promptTokens + answerTokens).toLong(),
            endsAt,
            now,
        )
    }

    fun result(name: String): LimiterComparison {
        val counted = admitted.filter { it.admittedAt - start >= 1.minutes }
        val pause = counted.zipWithNext { a, b -> b.admittedAt - a.admittedAt }.maxOrNull() ?: Duration.ZERO
        return LimiterComparison(
            name = name,
            worstOver = worstMinute(admitted) / TOKENS_PER_MINUTE.toDouble() - 1,
            usedShare = counted.sumOf { it.realTokens } / (TOKENS_PER_MINUTE.toDouble() * (MINUTES - 1)),
            refusedShare = refused.toDouble() / maxOf(1, calls),
            longestPause = pause.inWholeMilliseconds.milliseconds,
        )
    }
}

private val TOKEN_TIME = 25.milliseconds
