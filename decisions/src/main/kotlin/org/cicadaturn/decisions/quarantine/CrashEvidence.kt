package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.SegmentState
import org.cicadaturn.schema.generated.ServiceId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Suspicion that a segment crashes endpoints.
 *
 * @property confidence probability that it does, from 0 to 1
 * @property crashes number of outages that it explains
 * @property endpoints endpoints that crashed with a request that contains it
 * @property since time of the first of these crashes
 * @property lastCrash time of the last of them
 */
public data class Suspicion(
    val segment: ServiceSegment,
    val confidence: Double,
    val crashes: Int,
    val endpoints: List<EndpointId>,
    val since: Instant,
    val lastCrash: Instant,
) {
    /** What is done with requests that contain the segment and no other suspected one; null if nothing. */
    val state: SegmentState? get() = stateAt(confidence)

    /**
     * Earliest time of the next trial. The service recovers in between, and a segment that goes on to crash endpoints
     * without ever being held back is tried less and less often.
     */
    val nextTrial: Instant
        get() = lastCrash + minOf(MIN_TRIAL_PAUSE * 2.0.pow(maxOf(0, crashes - SHORT_PAUSES)), MAX_TRIAL_PAUSE)

    private companion object {
        /** Time in which callers of sound requests can wait for a trial. */
        val MIN_TRIAL_PAUSE = 500.milliseconds
        val MAX_TRIAL_PAUSE = 5.minutes

        /** Crashes after which the pause grows; as many are usually enough to tell a segment from its company. */
        const val SHORT_PAUSES = 2
    }
}

/**
 * Collects reports about crashes and derives which segments caused them. Has one owner and is not safe for concurrent
 * use.
 *
 * Segments that were lost together compete for the explanation of a crash: an answer to one of them makes the others
 * more likely, and a segment that explains more crashes clears its company. Evidence loses weight with time, so that a
 * segment is tried again: about a minute after the first crash, as it may have been a coincidence, and hours after the
 * third.
 */
public interface CrashEvidence {
    /** Adds [report] and returns true if it contains something new. */
    public fun add(
        report: CrashReport,
        now: Instant,
    ): Boolean

    /** Discards what is known against [segment] up to [now]. */
    public fun release(
        segment: ServiceSegment,
        now: Instant,
    )

    /** Returns all reports that are still used, with their age. */
    public fun reports(now: Instant): List<CrashReport>

    /** Returns the segments of lost prompts. */
    public fun candidates(): Set<ServiceSegment>

    /** Returns the segments whose confidence is not negligible, the most likely first. */
    public fun suspicions(now: Instant): List<Suspicion>
}

/** Returns empty evidence; [lastAnswer] returns when a segment was last answered, or null if that is not known. */
public fun crashEvidence(lastAnswer: (ServiceSegment) -> Instant?): CrashEvidence = BayesianCrashEvidence(lastAnswer)

/** Returns the time in which evidence against a segment that explains [crashes] crashes loses half of its weight. */
internal fun halfLife(crashes: Int): Duration = FIRST_HALF_LIFE * HALF_LIFE_GROWTH.pow(crashes - 1)

/** Holds a segment back for about a minute after one crash for which it is the only explanation. */
private val FIRST_HALF_LIFE = 2.minutes

/** Two crashes hold a segment back for a quarter of an hour, three for hours, four for most of a day. */
private const val HALF_LIFE_GROWTH = 6.0

private class BayesianCrashEvidence(
    private val lastAnswer: (ServiceSegment) -> Instant?,
) : CrashEvidence {
    private data class Run(
        val endpoint: EndpointId,
        val startedAt: Long,
    )

    private class Crash(
        val service: ServiceId,
        var at: Instant,
    ) {
        val lost = LinkedHashMap<ProcessId, List<LostPrompt>>()

        fun prompts(): List<LostPrompt> = lost.values.flatten()
    }

    private val crashes = LinkedHashMap<Run, Crash>()
    private val released = HashMap<ServiceSegment, Instant>()

    override fun add(
        report: CrashReport,
        now: Instant,
    ): Boolean {
        val at = now - report.age
        if (report.lost.isEmpty() || now - at > MAX_AGE) return false
        val run = Run(report.endpoint, report.startedAt)
        val crash = crashes.getOrPut(run) { Crash(report.service, at) }
        crash.at = minOf(crash.at, at)
        val known = crash.lost[report.reporter].orEmpty()
        val lost = report.lost.take(MAX_PROMPTS)
        if (lost.size <= known.size) return false
        crash.lost[report.reporter] = lost
        expire(now)
        return true
    }

    /** Removes what is old and, for each service, the oldest crashes beyond the limit. */
    private fun expire(now: Instant) {
        crashes.values.removeIf { now - it.at > MAX_AGE }
        crashes.entries.groupBy { it.value.service }.values.forEach { entries ->
            entries.sortedByDescending { it.value.at }.drop(MAX_CRASHES).forEach { crashes -= it.key }
        }
        released.values.removeIf { now - it > MAX_AGE }
    }

    override fun release(
        segment: ServiceSegment,
        now: Instant,
    ) {
        released[segment] = now
    }

    override fun reports(now: Instant): List<CrashReport> =
        crashes.flatMap { (run, crash) ->
            crash.lost.map { (reporter, lost) ->
                CrashReport(reporter, crash.service, run.endpoint, run.startedAt, now - crash.at, lost)
            }
        }

    override fun candidates(): Set<ServiceSegment> =
        crashes.values.flatMapTo(HashSet()) { crash ->
            crash.prompts().flatMap { it.segments }.map { ServiceSegment(crash.service, it) }
        }

    override fun suspicions(now: Instant): List<Suspicion> {
        expire(now)
        return crashes.entries
            .groupBy { it.value.service }
            .flatMap { (service, entries) -> suspicionsOf(service, outages(entries), now) }
            .filter { it.confidence >= MIN_CONFIDENCE }
            .sortedByDescending { it.confidence }
    }

    /** Crashes within a short time, which may have one cause, with the segments that may explain them. */
    private inner class Outage(
        val service: ServiceId,
        val crashes: List<Map.Entry<Run, Crash>>,
    ) {
        val at = crashes.first().value.at
        private val prompts = crashes.associate { it.key to it.value.prompts() }

        /** Segments that nothing clears of this outage. */
        val open: Set<PromptSegmentId> =
            prompts.values
                .flatten()
                .flatMap { it.segments }
                .filterTo(LinkedHashSet()) { !isCleared(ServiceSegment(service, it), at) }

        fun endpointsWith(segment: PromptSegmentId): List<EndpointId> =
            prompts.filterValues { lost -> lost.any { segment in it.segments } }.keys.map { it.endpoint }

        /**
         * Returns how many times more likely this outage is if [segment] crashes endpoints.
         *
         * Crashes that it does not explain need another cause, which might explain all of them.
         */
        fun likelihoodRatio(segment: PromptSegmentId): Double {
            val ratios = prompts.values.map { lost -> ratioIn(lost, segment) }
            val explained = ratios.filterNotNull()
            if (explained.size == ratios.size) return explained.min()
            return (explained.max() * PARTIAL_EXPLANATION).coerceAtLeast(1.0)
        }

        private fun ratioIn(
            lost: List<LostPrompt>,
            segment: PromptSegmentId,
        ): Double? = lost.filter { segment in it.segments }.maxOfOrNull { it.likelihoodRatio }

        /** Returns the open segments that may explain the same crashes as [segment], itself included. */
        fun rivalsOf(segment: PromptSegmentId): Set<PromptSegmentId> =
            prompts.values
                .filter { lost -> lost.any { segment in it.segments } }
                .flatMap { lost -> lost.flatMap { it.segments } }
                .filterTo(HashSet()) { it in open }

        /** Returns how many open segments that were never answered share a prompt with [segment], itself included. */
        fun unknownBeside(segment: PromptSegmentId): Int =
            prompts.values
                .flatten()
                .filter { segment in it.segments }
                .minOf { prompt -> prompt.segments.count { it in open && wasNeverAnswered(it) } }
                .coerceAtLeast(1)

        private fun wasNeverAnswered(segment: PromptSegmentId): Boolean =
            lastAnswer(ServiceSegment(service, segment)) == null
    }

    private fun isCleared(
        segment: ServiceSegment,
        crashedAt: Instant,
    ): Boolean =
        (lastAnswer(segment) ?: Instant.DISTANT_PAST) > crashedAt || (released[segment] ?: crashedAt) > crashedAt

    private fun outages(crashes: List<Map.Entry<Run, Crash>>): List<Outage> {
        val groups = mutableListOf<MutableList<Map.Entry<Run, Crash>>>()
        for (crash in crashes.sortedBy { it.value.at }) {
            val last = groups.lastOrNull()
            if (last != null &&
                crash.value.at - last.first().value.at < OUTAGE_WINDOW
            ) {
                last += crash
            } else {
                groups +=
                    mutableListOf(crash)
            }
        }
        return groups.map { Outage(it.first().value.service, it) }
    }

    private fun suspicionsOf(
        service: ServiceId,
        outages: List<Outage>,
        now: Instant,
    ): List<Suspicion> {
        val segments = outages.flatMapTo(LinkedHashSet()) { it.open }
        val odds = segments.associateWith { segment -> odds(ServiceSegment(service, segment), outages, now) }
        return segments.map { segment ->
            val explained = outages.filter { segment in it.open }
            val rivals = explained.flatMapTo(HashSet()) { it.rivalsOf(segment) }
            Suspicion(
                segment = ServiceSegment(service, segment),
                confidence = odds.getValue(segment) / (1 + rivals.sumOf { odds.getValue(it) }),
                crashes = explained.size,
                endpoints = explained.flatMap { it.endpointsWith(segment) },
                since = explained.first().at,
                lastCrash = explained.last().at,
            )
        }
    }

    /** Returns the odds that [segment] crashes endpoints against no segment doing so. */
    private fun odds(
        segment: ServiceSegment,
        outages: List<Outage>,
        now: Instant,
    ): Double {
        val explained = outages.filter { segment.segment in it.open }
        val prior = PRIOR_ODDS / explained.minOf { it.unknownBeside(segment.segment) }
        val history = if (lastAnswer(segment) == null) 1.0 else ANSWERED_BEFORE
        val evidence =
            explained.sumOf { outage ->
                ln(outage.likelihoodRatio(segment.segment)) * 0.5.pow((now - outage.at) / halfLife(explained.size))
            }
        return prior * history * exp(evidence)
    }

    private companion object {
        /** Odds that a prompt that was never answered contains a segment that crashes endpoints, before any crash. */
        const val PRIOR_ODDS = 0.05

        /** Factor on the odds of a segment that endpoints have answered before. */
        const val ANSWERED_BEFORE = 0.0001

        /** Factor on the evidence of an outage in which endpoints crashed without a request with the segment. */
        const val PARTIAL_EXPLANATION = 0.1

        /** Confidence below which a suspicion has no effect and is left out. */
        const val MIN_CONFIDENCE = 0.01

        /** Endpoints that crash at the same time may have one cause, such as the loss of their failure domain. */
        val OUTAGE_WINDOW = 100.milliseconds

        val MAX_AGE = 24.hours

        /** Crashes kept for a service, and prompts kept of a report; they bound memory and the time of a decision. */
        const val MAX_CRASHES = 24
        const val MAX_PROMPTS = 16
    }
}
