package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.SegmentState
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import kotlin.math.pow
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Suspicion that a segment or a request crashes endpoints.
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
    /**
     * True for a request that one endpoint has been lost with. Any other cause can have coincided with it, and no other
     * request can clear it, so it is tried instead of held back.
     */
    val isTried: Boolean
        get() = segment.kind == SuspectKind.REQUEST && crashes <= 1 && endpoints.size <= 1

    /** True if the evidence suffices to hold requests back, or to list a request that is tried in the store. */
    val isProbable: Boolean get() = isProbableAt(confidence, segment.kind, crashes)

    /** What is done with requests that contain the segment and no other suspected one; null if nothing. */
    val state: SegmentState?
        get() =
            when {
                isProbable && !isTried -> SegmentState.QUARANTINED
                isSuspectedAt(confidence, segment.kind) -> SegmentState.SUSPECTED
                else -> null
            }

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

    /** Returns the segments of lost prompts, and the lost requests. */
    public fun candidates(): Set<ServiceSegment>

    /** Returns the segments whose confidence is not negligible, the most likely first. */
    public fun suspicions(now: Instant): List<Suspicion>
}

/** Returns empty evidence; [lastAnswer] returns when a segment was last answered, or null if that is not known. */
public fun crashEvidence(lastAnswer: (ServiceSegment) -> Instant?): CrashEvidence = BayesianCrashEvidence(lastAnswer)

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
        val lost = report.lost.sortedByDescending { it.likelihoodRatio }.take(MAX_PROMPTS)
        if (lost.size < known.size || lost == known) return false
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
        crashes.values.flatMapTo(HashSet()) { crash -> crash.prompts().flatMap { it.suspects(crash.service) } }

    override fun suspicions(now: Instant): List<Suspicion> {
        expire(now)
        return crashes.entries
            .groupBy { it.value.service }
            .flatMap { (service, entries) -> suspicionsOf(service, entries, now) }
            .filter { it.confidence >= MIN_CONFIDENCE }
            .sortedByDescending { it.confidence }
    }

    private fun suspicionsOf(
        service: ServiceId,
        entries: List<Map.Entry<Run, Crash>>,
        now: Instant,
    ): List<Suspicion> {
        val explained =
            entries.sortedBy { it.value.at }.map { (run, crash) ->
                ExplainedCrash(service, run.endpoint, crash.at, crash.prompts()) { historyOf(it, crash.at) }
            }
        return explain(explained, now)
    }

    private fun historyOf(
        segment: ServiceSegment,
        crashedAt: Instant,
    ): SegmentHistory {
        val answeredAt = lastAnswer(segment)
        val releasedAt = released[segment]
        return when {
            answeredAt != null && answeredAt > crashedAt -> SegmentHistory.CLEARED
            releasedAt != null && releasedAt > crashedAt -> SegmentHistory.CLEARED
            answeredAt != null -> SegmentHistory.ANSWERED_BEFORE
            else -> SegmentHistory.NEVER_ANSWERED
        }
    }

    private companion object {
        /** Confidence below which a suspicion has no effect and is left out. */
        const val MIN_CONFIDENCE = 0.01
        val MAX_AGE = 24.hours

        /** Crashes kept for a service, and prompts kept of a report; they bound memory and the time of a decision. */
        const val MAX_CRASHES = 24
        const val MAX_PROMPTS = 16
    }
}
