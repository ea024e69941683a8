package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.SegmentStatus
import org.cicadaturn.schema.generated.SegmentTrial
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration

/** Messages to the task that owns the quarantine. */
internal sealed interface QuarantineMessage {
    class Lost(
        val request: LostRequest,
        val reply: CompletableDeferred<Unit>,
    ) : QuarantineMessage

    class Probed(
        val endpoint: EndpointId,
        val hasCrashed: Boolean,
    ) : QuarantineMessage

    class Answered(
        val service: ServiceId,
        val organisation: OrganisationId?,
        val segments: List<PromptSegmentId>,
        val request: Digest?,
    ) : QuarantineMessage

    class Observed(
        val service: ServiceId,
        val times: Map<AnswerProgress, Duration>,
    ) : QuarantineMessage

    class HeldBack(
        val service: ServiceId,
    ) : QuarantineMessage

    class CopyRefused(
        val request: ServiceSegment,
    ) : QuarantineMessage

    class Claim(
        val service: ServiceId,
        val reply: CompletableDeferred<Boolean>,
    ) : QuarantineMessage

    /** Trials of the other processes, or null if they could not be asked. */
    class ClaimAnswered(
        val service: ServiceId,
        val answers: List<SegmentTrial>?,
        val reply: CompletableDeferred<Boolean>,
    ) : QuarantineMessage

    class EndTrial(
        val service: ServiceId,
    ) : QuarantineMessage

    class Received(
        val news: QuarantineNews,
        val reply: CompletableDeferred<QuarantineNews>,
    ) : QuarantineMessage

    /** Answers of the other processes to a report of this process, or to its question at the start. */
    class PeersAnswered(
        val answers: List<QuarantineNews>,
        val report: CrashReport?,
    ) : QuarantineMessage

    class Listed(
        val entries: List<QuarantinedSegment>,
        val isApplied: CompletableDeferred<Boolean>,
    ) : QuarantineMessage

    /** The delay before a write to the store is over. */
    data object UpdateStore : QuarantineMessage

    /** The changes to the list in the store were written, or could not be. */
    data object StoreUpdated : QuarantineMessage

    class GetStatus(
        val reply: CompletableDeferred<List<SegmentStatus>>,
    ) : QuarantineMessage
}
