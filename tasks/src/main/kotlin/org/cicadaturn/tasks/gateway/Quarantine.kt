package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.flow.StateFlow
import org.cicadaturn.decisions.quarantine.LossWeights
import org.cicadaturn.decisions.quarantine.SegmentQuarantine
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.decisions.quarantine.TrialRegistry
import org.cicadaturn.decisions.quarantine.lostPrompt
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.SegmentStatus
import org.cicadaturn.schema.generated.ServiceId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration

/**
 * Request whose endpoint ended the connection before its answer was complete.
 *
 * @property segments segments of its prompt
 * @property progress how far its answer had come
 * @property request digest that all copies of the request have
 * @property isStream true if its answer is a stream
 */
internal data class LostRequest(
    val endpoint: LiveEndpoint,
    val segments: List<PromptSegmentId>,
    val progress: AnswerProgress,
    val request: Digest? = null,
    val isStream: Boolean = true,
)

/** Returns the part of [lost] in the report of a crash. */
internal fun LossWeights.lostPromptOf(lost: LostRequest): LostPrompt =
    lostPrompt(lost.endpoint.service, lost.segments, lost.progress, lost.request, lost.isStream)

/** Task that owns what this process knows about prompt segments and requests that crash endpoints. */
internal interface Quarantine {
    /** Current suspicions, by which requests are judged. */
    val view: StateFlow<SuspicionView>

    /** Records a lost request and returns once it is known whether its endpoint has crashed. */
    suspend fun lost(request: LostRequest)

    /**
     * Records an answer to a prompt with [segments]; never suspends.
     *
     * @param request digest of the request, or null if none is suspected or the answer is not complete
     */
    fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        request: Digest? = null,
    )

    /** Records how long an answer of [service] was in each state of progress; never suspends. */
    fun observed(
        service: ServiceId,
        times: Map<AnswerProgress, Duration>,
    )

    /** Counts a request to [service] that is held back because of what it shares with others; never suspends. */
    fun heldBack(service: ServiceId)

    /** Counts a copy of a request that is refused for itself; never suspends. */
    fun copyRefused(request: ServiceSegment)

    /** Returns true if this process may now send one suspected request to [service]. */
    suspend fun claimTrial(service: ServiceId): Boolean

    /** Ends the trial that was claimed; never suspends, so that it can be called on cancellation. */
    fun endTrial(service: ServiceId)

    /** Adds the [news] of another process and returns what it should know. */
    suspend fun receive(news: QuarantineNews): QuarantineNews

    /** Returns what is suspected and quarantined for the state dump. */
    suspend fun status(): List<SegmentStatus>
}

/**
 * Dependencies of the quarantine task.
 *
 * @property refusesConnections returns true if nothing listens at an address any more, and false if that is not certain
 * @property exchange sends news to a process and returns its answer, or null if there is none
 * @property isLeaving returns true if an endpoint is known to leave although its entry may not tell
 * @property clock monotonic clock
 * @property wallClock time of day, by which the age of entries in the store is known
 */
internal class QuarantineDependencies(
    val self: ProcessId,
    val quarantine: SegmentQuarantine,
    val weights: LossWeights,
    val trials: TrialRegistry,
    val fleet: Fleet,
    val store: FleetStore,
    val refusesConnections: suspend (NetworkAddress) -> Boolean,
    val exchange: suspend (GatewayPeer, QuarantineNews) -> QuarantineNews?,
    val metrics: QuarantineMetrics,
    val random: Random,
    val clock: Clock,
    val wallClock: Clock,
    val isLeaving: suspend (LiveEndpoint) -> Boolean = { false },
)
