package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.schema.generated.LimitFault
import org.cicadaturn.schema.generated.LimitScheme
import org.cicadaturn.schema.generated.LimitsRun
import org.cicadaturn.schema.generated.OrganisationId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Length of a step. A message takes one step, so a round trip takes 40 ms, which is more than the 6 ms between
 * failure domains.
 */
private val STEP: Duration = 20.milliseconds

/** Time in which an engine generates one token. */
private val TOKEN_TIME: Duration = 25.milliseconds

/** Bounds of the time that a request waits for budget before it is refused, in milliseconds. */
private const val MIN_WAIT_MS = 200
private const val MAX_WAIT_MS = 800

/** Mean number of tokens in the prompt and the answer of a request that [BenchRun.newCall] generates. */
private const val MEAN_TOKENS = 380.0

/** Request of the generated traffic; a scheme learns [realTokens] only when the request has ended. */
internal class BenchCall(
    val id: Long,
    val node: Int,
    val organisation: OrganisationId,
    val estimatedTokens: Long,
    val realTokens: Long,
    val answerTokens: Int,
    val arrivedAt: Instant,
) {
    var admittedAt: Instant = Instant.DISTANT_PAST
    val endsAt: Instant get() = admittedAt + TOKEN_TIME * answerTokens
}

/** Runs a scheme under one combination of demand and fault. */
internal class BenchRun(
    private val fleet: BenchFleet,
    private val demandPercent: Int,
    private val demandNodes: Int,
    private val fault: LimitFault,
    private val minutes: Int,
) {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val random = fleet.random
    private val waiting = HashMap<Long, BenchCall>()
    private val running = PriorityQueue<BenchCall>(compareBy({ it.endsAt }, { it.id }))
    private val inFlight = HashMap<OrganisationId, Int>()
    private val admitted = fleet.organisations.associateWith { ArrayList<BenchCall>() }
    private val demandNodesOf =
        fleet.organisations.associateWith {
            fleet.ids.indices
                .shuffled(random)
                .take(demandNodes)
        }
    private var now = start
    private var calls = 0L
    private var refusals = 0L
    private var mostInFlight = 0
    private var stoppedNode = -1

    fun run(kind: LimitScheme): LimitsRun {
        val scheme =
            when (kind) {
                LimitScheme.SHARED -> SharedScheme(fleet, start)
                LimitScheme.STATIC -> StaticScheme(fleet)
                LimitScheme.CENTRAL -> CentralScheme(fleet)
            }
        val arrivalsPerStep = fleet.limit.tokens * demandPercent / 100.0 / MEAN_TOKENS * (STEP / 1.minutes)
        val next = fleet.organisations.associateWithTo(HashMap()) { arrivalGap() }
        repeat((minutes.minutes / STEP).toInt()) {
            now += STEP
            applyFault(scheme)
            while (running.isNotEmpty() && running.peek().endsAt <= now) finish(scheme, running.poll())
            for (organisation in fleet.organisations) {
                var left = next.getValue(organisation) - arrivalsPerStep
                while (left < 0) {
                    arrive(scheme, newCall(organisation))
                    left += arrivalGap()
                }
                next[organisation] = left
            }
            scheme.step(now).forEach { s -> waiting.remove(s.id)?.let { applyDecision(it, s.decision) } }
        }
        return result(kind, scheme)
    }

    /** Returns a random, exponentially distributed gap to the next arrival, as a multiple of the mean gap. */
    private fun arrivalGap(): Double = -ln(1 - random.nextDouble())

    private fun newCall(organisation: OrganisationId): BenchCall {
        val promptTokens = random.nextInt(20, 321)
        val maxAnswerTokens = random.nextInt(100, 501)
        val answerTokens = (maxAnswerTokens * (0.4 + 0.6 * random.nextDouble())).toInt()
        val preferred = demandNodesOf.getValue(organisation)[random.nextInt(demandNodes)]
        // The load balancer in front of the entry processes does not choose a stopped one.
        val node = if (preferred == stoppedNode) (preferred + 1) % fleet.nodes else preferred
        val estimatedTokens = (promptTokens + maxAnswerTokens).toLong()
        val realTokens = (promptTokens + answerTokens).toLong()
        return BenchCall(++calls, node, organisation, estimatedTokens, realTokens, answerTokens, now)
    }

    private fun arrive(
        scheme: BenchScheme,
        call: BenchCall,
    ) {
        val maxWait = random.nextInt(MIN_WAIT_MS, MAX_WAIT_MS + 1).milliseconds
        val decision =
            scheme.request(
                call.node,
                call.organisation,
                LimitRequest(call.id, call.estimatedTokens, now + maxWait),
                now,
            )
        if (decision is LimitDecision.Waiting) waiting[call.id] = call else applyDecision(call, decision)
    }

    private fun applyDecision(
        call: BenchCall,
        decision: LimitDecision,
    ) {
        if (decision !is LimitDecision.Admitted) {
            refusals++
            return
        }
        call.admittedAt = now
        admitted.getValue(call.organisation) += call
        running += call
        mostInFlight = maxOf(mostInFlight, inFlight.merge(call.organisation, 1, Int::plus)!!)
    }

    private fun finish(
        scheme: BenchScheme,
        call: BenchCall,
    ) {
        inFlight.merge(call.organisation, -1, Int::plus)
        scheme.finished(call.node, call.organisation, call.id, call.realTokens, now)
    }

    private fun applyFault(scheme: BenchScheme) {
        if (fault == LimitFault.NONE) return
        val at = now - start
        if (fault == LimitFault.ALLOCATOR_LOST) {
            if (at == 2.minutes) stoppedNode = scheme.stopAllocator(now) ?: stoppedNode
            return
        }
        if (at == 2.minutes) scheme.isolate((0 until (fleet.nodes + 9) / 10).toSet(), now)
        if (at == 3.minutes) scheme.isolate(emptySet(), now)
    }

    private fun result(
        kind: LimitScheme,
        scheme: BenchScheme,
    ): LimitsRun {
        val seconds = minutes * 60.0
        val all = admitted.values.flatten()
        val budget = fleet.limit.tokens.toDouble() * fleet.organisations.size * (minutes - 1)
        val counted = all.filter { it.admittedAt - start >= 1.minutes }
        val used = counted.sumOf { it.realTokens }
        val reserved =
            counted.sumOf {
                (it.estimatedTokens - it.realTokens) *
                    minOf(1.0, (it.endsAt - it.admittedAt) / 1.minutes)
            }
        return LimitsRun(
            scheme = kind,
            demandNodes = demandNodes,
            fault = fault,
            worstOver = admitted.values.maxOf { worstMinute(it) } / fleet.limit.tokens.toDouble() - 1,
            usedShare = used / budget,
            usableShare = (used + reserved) / budget,
            refusedShare = refusals.toDouble() / maxOf(1, calls),
            waitMsMean =
                all.sumOf { (it.admittedAt - it.arrivedAt).inWholeMilliseconds }.toDouble() / maxOf(1, all.size),
            mostInFlight = mostInFlight,
            bytesPerSecond = scheme.bytes.sum() / seconds / fleet.nodes,
            bytesPerSecondMost = scheme.bytes.max() / seconds,
        )
    }
}

/**
 * Returns the largest number of real tokens in any period of one minute.
 *
 * The tokens of a request count from its admission; [calls] are in the order of admission.
 */
internal fun worstMinute(calls: List<BenchCall>): Long {
    var worst = 0L
    var sum = 0L
    var first = 0
    for (call in calls) {
        sum += call.realTokens
        while (call.admittedAt - calls[first].admittedAt >= 1.minutes) sum -= calls[first++].realTokens
        worst = maxOf(worst, sum)
    }
    return worst
}
