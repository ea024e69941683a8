package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.AnsweredSegment
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.SegmentStatus
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Changes that the list of quarantined segments in the store needs.
 *
 * @property added segments that are to be added or renewed
 * @property removed segments that have been answered since they were added, or were added long ago
 */
public data class QuarantineChanges(
    val added: List<QuarantinedSegment>,
    val removed: List<ServiceSegment>,
) {
    /** True if the list needs no change. */
    val isEmpty: Boolean get() = added.isEmpty() && removed.isEmpty()
}

/**
 * Decides which prompt segments and requests are suspected or held back, from the crashes and answers that this process and the
 * other gateways have seen, and from the list in the store. Has one owner and is not safe for concurrent use.
 */
public interface SegmentQuarantine {
    /**
     * Replaces the list in the store with [listed]; [wallClock] is the time of day at [now]. A segment that is no longer
     * listed was released by an operator or another process.
     */
    public fun listed(
        listed: List<QuarantinedSegment>,
        now: Instant,
        wallClock: Instant,
    )

    /** Adds a crash that this process has seen. */
    public fun crashed(
        report: CrashReport,
        now: Instant,
    )

    /**
     * Records an answer to a prompt with [segments] of [organisation]; null if the route is public.
     *
     * @param request digest of the request, which is only kept while the request is a suspect
     */
    public fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        now: Instant,
        request: Digest? = null,
    )

    /** Adds what another gateway knows; returns true if that changes anything. */
    public fun merge(
        news: QuarantineNews,
        now: Instant,
    ): Boolean

    /** Returns when [segments] were last answered, as far as this process knows. */
    public fun answersTo(
        segments: Collection<ServiceSegment>,
        now: Instant,
    ): List<AnsweredSegment>

    /** Returns everything that another gateway has to know. */
    public fun news(now: Instant): QuarantineNews

    /** Returns the suspicions. */
    public fun view(now: Instant): SuspicionView

    /** Returns the changes that the list in the store needs; [wallClock] is the time of day at [now]. */
    public fun changes(
        now: Instant,
        wallClock: Instant,
    ): QuarantineChanges

    /** Returns the suspected and quarantined segments for the state dump. */
    public fun status(now: Instant): List<SegmentStatus>
}

/** Returns a quarantine without evidence. */
public fun segmentQuarantine(memory: SegmentMemory = segmentMemory()): SegmentQuarantine = EvidenceQuarantine(memory)

private class EvidenceQuarantine(
    private val memory: SegmentMemory,
) : SegmentQuarantine {
    private class Listed(
        val entry: QuarantinedSegment,
        val since: Instant,
    )

    /** Latest answers to requests, and those to segments that other gateways reported; only for [relevant] ones. */
    private val reported = HashMap<ServiceSegment, Instant>()
    private val evidence = crashEvidence(::lastAnswer)
    private var listed = emptyMap<ServiceSegment, Listed>()

    private fun lastAnswer(segment: ServiceSegment): Instant? =
        listOfNotNull(memory.lastAnswer(segment), reported[segment]).maxOrNull()

    override fun listed(
        listed: List<QuarantinedSegment>,
        now: Instant,
        wallClock: Instant,
    ) {
        val entries =
            listed.associate { entry ->
                val age = (wallClock.toEpochMilliseconds() - entry.since).coerceAtLeast(0L).milliseconds
                entry.suspect to Listed(entry, now - age)
            }
        (this.listed.keys - entries.keys).forEach { evidence.release(it, now) }
        this.listed = entries
    }

    override fun crashed(
        report: CrashReport,
        now: Instant,
    ) {
        evidence.add(report, now)
    }

    override fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        now: Instant,
        request: Digest?,
    ) {
        memory.answered(service, organisation, segments, now)
        val suspect = request?.let { requestSegment(service, it) } ?: return
        if (suspect in relevant()) reported[suspect] = now
    }

    /** Returns what answers of are kept; their number is bounded by the crashes and the list in the store. */
    private fun relevant(): Set<ServiceSegment> = evidence.candidates() + listed.keys

    override fun merge(
        news: QuarantineNews,
        now: Instant,
    ): Boolean {
        val newCrashes = news.crashes.count { evidence.add(it, now) }
        val relevant = relevant()
        reported.keys.retainAll(relevant)
        val useful = news.answered.filter { ServiceSegment(it.service, it.segment, it.kind) in relevant }
        val newAnswers = useful.count { addAnswer(it, now) }
        return newCrashes + newAnswers > 0
    }

    private fun addAnswer(
        answer: AnsweredSegment,
        now: Instant,
    ): Boolean {
        val segment = ServiceSegment(answer.service, answer.segment, answer.kind)
        val at = now - answer.age
        val known = lastAnswer(segment)
        if (known != null && known >= at) return false
        reported[segment] = at
        return true
    }

    override fun answersTo(
        segments: Collection<ServiceSegment>,
        now: Instant,
    ): List<AnsweredSegment> =
        segments.mapNotNull { segment ->
            lastAnswer(segment)?.let { AnsweredSegment(segment.service, segment.segment, now - it, segment.kind) }
        }

    override fun news(now: Instant): QuarantineNews {
        val reports = evidence.reports(now)
        return QuarantineNews(crashes = reports, answered = answersTo(evidence.candidates(), now))
    }

    override fun view(now: Instant): SuspicionView {
        val suspicions = joinedSuspicions(now).associateByTo(LinkedHashMap()) { it.segment }
        for (stored in listed.values.mapNotNull { suspicionOf(it, now) }) {
            suspicions.merge(stored.segment, stored, ::strongerOf)
        }
        return SuspicionView(suspicions.values.toList())
    }

    /** Returns the suspicions that this process has evidence for; against requests, with the crashes in the list. */
    private fun joinedSuspicions(now: Instant): List<Suspicion> =
        evidence.suspicions(now).map { own ->
            val stored = listed[own.segment]?.let { suspicionOf(it, now) }
            if (stored == null || own.segment.kind == SuspectKind.SEGMENT) own else joined(own, stored)
        }

    /**
     * Returns the suspicion against a request by [own] evidence and by the crashes that are only [stored], as after a
     * loss of power. Each start of an endpoint has its own identifier; times of other processes may differ.
     */
    private fun joined(
        own: Suspicion,
        stored: Suspicion,
    ): Suspicion {
        val further = own.endpoints - stored.endpoints.toSet()
        return own.copy(
            confidence = maxOf(own.confidence, stored.confidence),
            crashes = maxOf(own.crashes, stored.crashes + minOf(own.crashes, further.size)),
            endpoints = listOf(own.endpoints, stored.endpoints + further).maxBy { it.size },
            since = minOf(own.since, stored.since),
            lastCrash = maxOf(own.lastCrash, stored.lastCrash),
        )
    }

    private fun strongerOf(
        a: Suspicion,
        b: Suspicion,
    ): Suspicion = if (a.confidence >= b.confidence) a else b

    /** Returns the suspicion that a listed segment stands for, or null if an answer or the time has cleared it. */
    private fun suspicionOf(
        listed: Listed,
        now: Instant,
    ): Suspicion? {
        val entry = listed.entry
        val segment = entry.suspect
        val isCleared = (lastAnswer(segment) ?: listed.since) > listed.since
        if (isCleared || ageInHalfLives(listed, now) >= EXPIRY) return null
        val isDue = ageInHalfLives(listed, now) >= REVIEW
        val confidence = if (isDue) REVIEWED_CONFIDENCE else entry.confidence
        return Suspicion(segment, confidence, entry.crashes, entry.endpoints, listed.since, lastCrash = listed.since)
    }

    override fun changes(
        now: Instant,
        wallClock: Instant,
    ): QuarantineChanges {
        val removed = listed.filterValues { suspicionOf(it, now) == null }.keys.toList()
        val added = joinedSuspicions(now).filter { it.isProbable && needsEntry(it, now) }
        return QuarantineChanges(
            added.map { suspicion ->
                QuarantinedSegment(
                    service = suspicion.segment.service,
                    segment = suspicion.segment.segment,
                    confidence = suspicion.confidence,
                    crashes = suspicion.crashes,
                    endpoints = suspicion.endpoints.take(MAX_LISTED_ENDPOINTS),
                    since = wallClock.toEpochMilliseconds(),
                    kind = suspicion.segment.kind,
                )
            },
            removed,
        )
    }

    private fun needsEntry(
        suspicion: Suspicion,
        now: Instant,
    ): Boolean {
        val entry = listed[suspicion.segment] ?: return true
        // A request is held back from the second endpoint on, so the entry must tell of it.
        val isFurtherCrash =
            suspicion.segment.kind == SuspectKind.REQUEST &&
                entry.entry.endpoints.size < minOf(suspicion.endpoints.size, MAX_LISTED_ENDPOINTS)
        return isFurtherCrash || ageInHalfLives(entry, now) >= REVIEW
    }

    private fun ageInHalfLives(
        listed: Listed,
        now: Instant,
    ): Double = (now - listed.since) / halfLife(listed.entry.kind, listed.entry.crashes.coerceAtLeast(1))

    override fun status(now: Instant): List<SegmentStatus> =
        view(now).suspicions.mapNotNull { suspicion ->
            SegmentStatus(
                service = suspicion.segment.service,
                segment = suspicion.segment.segment,
                state = suspicion.state ?: return@mapNotNull null,
                confidence = suspicion.confidence,
                crashes = suspicion.crashes,
                endpoints = suspicion.endpoints,
                ageMs = (now - suspicion.since).inWholeMilliseconds,
                isStored = suspicion.segment in listed,
                kind = suspicion.segment.kind,
            )
        }

    private companion object {
        /** Half-lives after which a listed segment is tried again, one request at a time; as for evidence of one crash. */
        const val REVIEW = 0.55

        /** Half-lives after which the entry of a segment that no request has had since is removed. */
        const val EXPIRY = 4.0

        /** Confidence of a listed segment or request that is tried again; below those at which it is held back. */
        const val REVIEWED_CONFIDENCE = 0.15
        const val MAX_LISTED_ENDPOINTS = 16
    }
}
