package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.SegmentState
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import kotlin.time.Instant

/** What may be done with a request, as far as the crashes are concerned that it may cause. */
public sealed interface Verdict {
    /** The request may be sent. */
    public data object Clear : Verdict

    /**
     * The request may be sent if no other suspected request is on its way to the service.
     *
     * @property confidence probability that the request crashes its endpoint
     * @property suspects names of its suspected segments, and of the request itself if it is suspected
     * @property notBefore earliest time at which it may be sent
     */
    public data class Suspected(
        val confidence: Double,
        val suspects: List<String>,
        val notBefore: Instant,
    ) : Verdict

    /**
     * The request must not be sent, as it probably crashes its endpoint.
     *
     * @property confidence probability that it does
     * @property suspects names of its suspected segments, and of the request itself if it is suspected
     * @property isForRequest true if the evidence against the request itself suffices, so that no other is concerned
     */
    public data class Quarantined(
        val confidence: Double,
        val suspects: List<String>,
        val isForRequest: Boolean = false,
    ) : Verdict
}

/**
 * Suspicions at one moment.
 *
 * @property blocked services that answer nothing while requests are held back; there, these are tried too, as the
 * suspicion may be wrong and the quarantine the reason
 * @property waiting requests that are tried only after further copies of them were refused
 */
public data class SuspicionView(
    val suspicions: List<Suspicion> = emptyList(),
    val blocked: Set<ServiceId> = emptySet(),
    val waiting: Set<ServiceSegment> = emptySet(),
) {
    private val bySegment: Map<ServiceSegment, Suspicion> = suspicions.associateBy { it.segment }
    private val withRequests: Set<ServiceId> =
        bySegment.keys.filter { it.kind == SuspectKind.REQUEST }.mapTo(HashSet()) { it.service }

    /** Returns true if some request to [service] is suspected itself, so that digests of requests are of use. */
    public fun hasRequests(service: ServiceId): Boolean = service in withRequests

    /** Returns true if [segment] is suspected, even if that has no effect. */
    public operator fun contains(segment: ServiceSegment): Boolean = segment in bySegment

    /**
     * Returns the verdict on a request to [service] whose prompt has [segments].
     *
     * The last segment is not considered, as it belongs to one request or session; the request itself takes its place.
     * The confidences add up, as they are the probabilities of explanations that exclude each other: of two segments
     * that were only seen together neither is held back alone. That in a request that is tried is left out here: only a
     * trial can show that one crash was a coincidence.
     *
     * @param request returns the digest of the request; called if a request to the service is suspected
     */
    public fun verdict(
        service: ServiceId,
        segments: List<PromptSegmentId>,
        request: () -> Digest? = { null },
    ): Verdict {
        if (bySegment.isEmpty()) return Verdict.Clear
        val shared = segments.dropLast(1).distinct().mapNotNull { bySegment[ServiceSegment(service, it)] }
        val own = if (hasRequests(service)) request()?.let { bySegment[requestSegment(service, it)] } else null
        val suspected = shared + listOfNotNull(own)
        val names = suspected.map { it.segment.name }
        val sharedConfidence = shared.sumOf { it.confidence }.coerceAtMost(1.0)
        val confidence = suspected.sumOf { it.confidence }.coerceAtMost(1.0)
        val isRefused = own != null && (own.state == SegmentState.QUARANTINED || own.segment in waiting)
        if (isRefused) return Verdict.Quarantined(confidence, names, isForRequest = true)
        val isSuspected =
            isSuspectedAt(sharedConfidence) || own?.state != null || isSuspectedAt(confidence, SuspectKind.REQUEST)
        val heldBackFor = if (own?.isTried == true) sharedConfidence else confidence
        return when {
            // Several reasons for a suspicion, none of which suffices alone, are compared with the higher threshold.
            !isSuspected -> Verdict.Clear
            isProbableAt(heldBackFor) && service !in blocked -> Verdict.Quarantined(confidence, names)
            else -> Verdict.Suspected(confidence, names, suspected.maxOf { it.nextTrial })
        }
    }
}

/**
 * Returns true if [confidence] suffices to hold requests back.
 *
 * @param kind what the evidence is against; that against a request concerns no other
 * @param crashes number of outages that the evidence explains
 */
internal fun isProbableAt(
    confidence: Double,
    kind: SuspectKind = SuspectKind.SEGMENT,
    crashes: Int = 1,
): Boolean =
    confidence >=
        when {
            kind == SuspectKind.SEGMENT -> QUARANTINE_CONFIDENCE
            crashes > 1 -> REPEATED_REQUEST_QUARANTINE_CONFIDENCE
            else -> REQUEST_QUARANTINE_CONFIDENCE
        }

/** Returns true if [confidence] suffices to send requests one at a time; [kind] is what the evidence is against. */
internal fun isSuspectedAt(
    confidence: Double,
    kind: SuspectKind = SuspectKind.SEGMENT,
): Boolean = confidence >= if (kind == SuspectKind.REQUEST) REQUEST_SUSPICION_CONFIDENCE else SUSPICION_CONFIDENCE

/** Confidence from which requests are held back. */
private const val QUARANTINE_CONFIDENCE = 0.9

/**
 * Confidence from which a request is held back for itself if several endpoints were lost with it at once, and listed in
 * the store from its first crash on. A wrong verdict costs this one request, a crash the requests that are in progress at
 * the endpoint, and with some engines a whole group for seconds. Two or three that were lost in the same state share the
 * evidence (0.49 or 0.32 each); if they were not listed, a loss of power of all processes would clear them.
 */
private const val REQUEST_QUARANTINE_CONFIDENCE = 0.3

/**
 * The same after several outages with no whole answer to the request in between. The requests that are lost beside it
 * share the evidence, and a trial would be one more crash.
 */
private const val REPEATED_REQUEST_QUARANTINE_CONFIDENCE = 0.2

/**
 * Confidence from which a request is sent as the only suspect for itself. Above that of segments, as each of the requests
 * that are lost in an ordinary crash has a few hundredths.
 */
private const val REQUEST_SUSPICION_CONFIDENCE = 0.1

/** Confidence from which requests are sent one at a time; below it, the delay costs more than a rare crash. */
private const val SUSPICION_CONFIDENCE = 0.05
