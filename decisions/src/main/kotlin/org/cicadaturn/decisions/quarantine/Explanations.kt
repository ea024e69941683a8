package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** What the answers to a segment say about its part in a crash. */
internal enum class SegmentHistory {
    /** No answer to it is known. */
    NEVER_ANSWERED,

    /** It was answered before the crash, so it was harmless then. */
    ANSWERED_BEFORE,

    /** It was answered or released after the crash. */
    CLEARED,
}

/** Crash of [endpoint] with the segments and requests that may explain it; [history] tells what is known of one. */
internal class ExplainedCrash(
    service: ServiceId,
    val endpoint: EndpointId,
    val at: Instant,
    lost: List<LostPrompt>,
    history: (ServiceSegment) -> SegmentHistory,
) {
    /** Histories of the suspects that nothing clears of this crash. */
    val open: Map<ServiceSegment, SegmentHistory> =
        lost
            .flatMapTo(LinkedHashSet()) { it.suspects(service) }
            .associateWith(history)
            .filterValues { it != SegmentHistory.CLEARED }

    private val ratios = HashMap<ServiceSegment, Double>()
    private val shares = HashMap<ServiceSegment, Double>()

    init {
        for (prompt in lost) {
            val suspects = prompt.suspects(service)
            val unknown =
                suspects.count { it.kind == SuspectKind.SEGMENT && open[it] == SegmentHistory.NEVER_ANSWERED }
            for (suspect in suspects) {
                ratios.merge(suspect, prompt.likelihoodRatio, ::maxOf)
                shares.merge(suspect, shareOfPrior(suspect.kind, unknown), ::maxOf)
            }
        }
    }

    private fun shareOfPrior(
        kind: SuspectKind,
        unknownSegments: Int,
    ): Double =
        when {
            kind == SuspectKind.SEGMENT -> 1.0 / unknownSegments.coerceAtLeast(1)
            unknownSegments == 0 -> REQUEST_SHARE
            else -> REQUEST_SHARE_BESIDE_SEGMENTS
        }

    /** Returns how many times more likely the crash is if [suspect] causes crashes; null if it was not lost. */
    fun ratioOf(suspect: ServiceSegment): Double? = ratios[suspect]

    /** Returns the largest share of the prior odds that [suspect] has in one of the lost requests. */
    fun shareOf(suspect: ServiceSegment): Double = shares.getValue(suspect)
}

/** Crashes at about the same time, which may have one cause. */
private class Outage(
    val crashes: List<ExplainedCrash>,
) {
    val at: Instant = crashes.first().at

    /**
     * Returns how many times more likely this outage is if [segment] causes crashes.
     *
     * Crashes that it does not explain need another cause, which might explain all of them.
     */
    fun likelihoodRatio(segment: ServiceSegment): Double {
        val ratios = crashes.mapNotNull { it.ratioOf(segment) }
        if (ratios.size == crashes.size) return ratios.min()
        return (ratios.max() * PARTIAL_EXPLANATION).coerceAtLeast(1.0)
    }
}

/**
 * Returns the suspicion against each segment and request that may explain some of [crashes] of one service, which are in
 * the order of time.
 *
 * By Bayes' rule, with the hypotheses that one of them, or none, explains a crash.
 */
internal fun explain(
    crashes: List<ExplainedCrash>,
    now: Instant,
): List<Suspicion> {
    val outages = HashMap<ServiceSegment, MutableList<Outage>>()
    for (outage in outagesOf(crashes)) {
        val segments = outage.crashes.flatMapTo(HashSet()) { it.open.keys }
        segments.forEach { outages.getOrPut(it) { mutableListOf() } += outage }
    }
    val explained = crashesBySegment(crashes)
    val odds = outages.mapValues { (segment, list) -> oddsOf(segment, explained.getValue(segment), list, now) }
    val totals = crashes.associateWith { crash -> crash.open.keys.sumOf { odds.getValue(it) } }
    return explained.map { (segment, list) ->
        // Segments of the same crashes are rival explanations.
        val rivals =
            list.singleOrNull()?.let { totals.getValue(it) }
                ?: list.flatMapTo(HashSet()) { it.open.keys }.sumOf { odds.getValue(it) }
        Suspicion(
            segment = segment,
            confidence = odds.getValue(segment) / (1 + rivals),
            crashes = outages.getValue(segment).size,
            endpoints = list.map { it.endpoint },
            since = list.first().at,
            lastCrash = list.last().at,
        )
    }
}

private fun outagesOf(crashes: List<ExplainedCrash>): List<Outage> {
    val groups = mutableListOf<MutableList<ExplainedCrash>>()
    for (crash in crashes) {
        val open = groups.lastOrNull()?.takeIf { crash.at - it.first().at < OUTAGE_WINDOW }
        if (open != null) open += crash else groups += mutableListOf(crash)
    }
    return groups.map { Outage(it) }
}

private fun crashesBySegment(crashes: List<ExplainedCrash>): Map<ServiceSegment, List<ExplainedCrash>> {
    val bySegment = LinkedHashMap<ServiceSegment, MutableList<ExplainedCrash>>()
    for (crash in crashes) {
        crash.open.keys.forEach { bySegment.getOrPut(it) { mutableListOf() } += crash }
    }
    return bySegment
}

/** Returns the odds that [segment] causes crashes against no segment doing so. */
private fun oddsOf(
    segment: ServiceSegment,
    crashes: List<ExplainedCrash>,
    outages: List<Outage>,
    now: Instant,
): Double {
    // Dozens of sound streams are under way at a crash; together they would hide the request that caused it.
    val isUnderWay = outages.size == 1 && outages.single().likelihoodRatio(segment) <= UNDER_WAY_RATIO
    if (isUnderWay && segment.kind == SuspectKind.REQUEST) return 0.0
    val prior = PRIOR_ODDS * crashes.maxOf { it.shareOf(segment) }
    val wasAnswered = crashes.any { it.open[segment] == SegmentHistory.ANSWERED_BEFORE }
    val halfLife = halfLife(segment.kind, outages.size)
    val evidence = outages.sumOf { ln(it.likelihoodRatio(segment)) * 0.5.pow((now - it.at) / halfLife) }
    return prior * (if (wasAnswered) ANSWERED_FACTOR else 1.0) * exp(evidence)
}

/** Returns the time in which evidence against a suspect that explains [crashes] crashes loses half of its weight. */
internal fun halfLife(
    kind: SuspectKind,
    crashes: Int,
): Duration =
    when {
        kind == SuspectKind.REQUEST && crashes > 1 -> REQUEST_HALF_LIFE
        else -> FIRST_HALF_LIFE * HALF_LIFE_GROWTH.pow(crashes - 1)
    }

/** Holds a segment back for about a minute after one crash for which it is the only explanation. */
private val FIRST_HALF_LIFE = 2.minutes

/** Two crashes hold a segment back for a quarter of an hour, three for hours, four for most of a day. */
private const val HALF_LIFE_GROWTH = 6.0

/** Two crashes hold a request back for most of a day, as a wrong verdict concerns no other request. */
private val REQUEST_HALF_LIFE = 24.hours

/** Odds that a prompt that was never answered contains a segment that crashes endpoints, before any crash. */
private const val PRIOR_ODDS = 0.05

/**
 * Share of the prior odds of a request whose segments have all been answered before. Low enough that the ten or so
 * requests that are lost beside a segment that crashes endpoints do not cast doubt on its verdict.
 */
private const val REQUEST_SHARE = 0.2

/**
 * The same beside a segment without an answer. A tenth, so that such a segment is held back after its first crash, which
 * protects endpoints from the other requests with it.
 */
private const val REQUEST_SHARE_BESIDE_SEGMENTS = 0.02

/** Factor on the odds of a segment that endpoints have answered before. */
private const val ANSWERED_FACTOR = 0.0001

/** Factor on the evidence of an outage in which endpoints crashed without a request with the segment. */
private const val PARTIAL_EXPLANATION = 0.1

/** Endpoints that crash at the same time may have one cause, such as the loss of their failure domain. */
private val OUTAGE_WINDOW = 100.milliseconds
