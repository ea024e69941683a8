package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
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

/** Crash of [endpoint] with the segments that may explain it; [history] tells what is known of a segment. */
internal class ExplainedCrash(
    val endpoint: EndpointId,
    val at: Instant,
    lost: List<LostPrompt>,
    history: (PromptSegmentId) -> SegmentHistory,
) {
    /** Histories of the segments that nothing clears of this crash. */
    val open: Map<PromptSegmentId, SegmentHistory> =
        lost
            .flatMapTo(LinkedHashSet()) { it.segments }
            .associateWith(history)
            .filterValues { it != SegmentHistory.CLEARED }

    private val ratios = HashMap<PromptSegmentId, Double>()
    private val unknown = HashMap<PromptSegmentId, Int>()

    init {
        for (prompt in lost) {
            val count = prompt.segments.count { open[it] == SegmentHistory.NEVER_ANSWERED }.coerceAtLeast(1)
            for (segment in prompt.segments) {
                ratios.merge(segment, prompt.likelihoodRatio, ::maxOf)
                unknown.merge(segment, count, ::minOf)
            }
        }
    }

    /** Returns how many times more likely the crash is if [segment] causes crashes; null if no request had it. */
    fun ratioOf(segment: PromptSegmentId): Double? = ratios[segment]

    /** Returns the smallest number of segments without an answer in a lost prompt with [segment]; at least 1. */
    fun unknownBeside(segment: PromptSegmentId): Int = unknown.getValue(segment)
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
    fun likelihoodRatio(segment: PromptSegmentId): Double {
        val ratios = crashes.mapNotNull { it.ratioOf(segment) }
        if (ratios.size == crashes.size) return ratios.min()
        return (ratios.max() * PARTIAL_EXPLANATION).coerceAtLeast(1.0)
    }
}

/**
 * Returns the suspicion against each segment that may explain some of [crashes] of [service], which are in the order of
 * time.
 *
 * By Bayes' rule, with the hypotheses that one of the segments, or none, explains a crash.
 */
internal fun explain(
    service: ServiceId,
    crashes: List<ExplainedCrash>,
    now: Instant,
): List<Suspicion> {
    val outages = HashMap<PromptSegmentId, MutableList<Outage>>()
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
            segment = ServiceSegment(service, segment),
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

private fun crashesBySegment(crashes: List<ExplainedCrash>): Map<PromptSegmentId, List<ExplainedCrash>> {
    val bySegment = LinkedHashMap<PromptSegmentId, MutableList<ExplainedCrash>>()
    for (crash in crashes) {
        crash.open.keys.forEach { bySegment.getOrPut(it) { mutableListOf() } += crash }
    }
    return bySegment
}

/** Returns the odds that [segment] causes crashes against no segment doing so. */
private fun oddsOf(
    segment: PromptSegmentId,
    crashes: List<ExplainedCrash>,
    outages: List<Outage>,
    now: Instant,
): Double {
    val prior = PRIOR_ODDS / crashes.minOf { it.unknownBeside(segment) }
    val wasAnswered = crashes.any { it.open[segment] == SegmentHistory.ANSWERED_BEFORE }
    val halfLife = halfLife(outages.size)
    val evidence = outages.sumOf { ln(it.likelihoodRatio(segment)) * 0.5.pow((now - it.at) / halfLife) }
    return prior * (if (wasAnswered) ANSWERED_FACTOR else 1.0) * exp(evidence)
}

/** Returns the time in which evidence against a segment that explains [crashes] crashes loses half of its weight. */
internal fun halfLife(crashes: Int): Duration = FIRST_HALF_LIFE * HALF_LIFE_GROWTH.pow(crashes - 1)

/** Holds a segment back for about a minute after one crash for which it is the only explanation. */
private val FIRST_HALF_LIFE = 2.minutes

/** Two crashes hold a segment back for a quarter of an hour, three for hours, four for most of a day. */
private const val HALF_LIFE_GROWTH = 6.0

/** Odds that a prompt that was never answered contains a segment that crashes endpoints, before any crash. */
private const val PRIOR_ODDS = 0.05

/** Factor on the odds of a segment that endpoints have answered before. */
private const val ANSWERED_FACTOR = 0.0001

/** Factor on the evidence of an outage in which endpoints crashed without a request with the segment. */
private const val PARTIAL_EXPLANATION = 0.1

/** Endpoints that crash at the same time may have one cause, such as the loss of their failure domain. */
private val OUTAGE_WINDOW = 100.milliseconds
