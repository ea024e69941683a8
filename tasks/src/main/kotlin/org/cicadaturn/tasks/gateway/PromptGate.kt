package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.Admission
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.decisions.quarantine.Verdict
import org.cicadaturn.decisions.quarantine.requestDigest
import org.cicadaturn.decisions.quarantine.requestSegment
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps one request back while it or its prompt is quarantined, and sends it only as the one trial of its service while
 * one of them is suspected. Used by the coroutine of the request only.
 *
 * @param isStream true if the answer is a stream
 * @param digestOf returns the digest that all copies of the request have; called at most once, as it reads the body
 */
internal class PromptGate(
    private val quarantine: Quarantine,
    private val service: ServiceId,
    private val organisation: OrganisationId?,
    private val prompt: List<PromptSegmentId>,
    private val clock: Clock,
    private val isStream: Boolean,
    digestOf: () -> Digest,
) {
    private val digest = lazy(LazyThreadSafetyMode.NONE, digestOf)

    /** Digest of the request for the log, or null if it was not needed. */
    val knownDigest: Digest? get() = if (digest.isInitialized()) digest.value else null

    /** True if the request is the one trial of its service, which only one endpoint may have at a time. */
    var hasTrial = false
        private set

    /**
     * Returns [Verdict.Clear] once the request may be sent, or the verdict that forbids it; waits up to [limit] for a
     * trial.
     */
    suspend fun pass(limit: Duration): Verdict {
        val until = clock.now() + limit
        while (true) {
            val view = quarantine.view.value
            val verdict = view.verdict(service, prompt) { digest.value }
            if (verdict is Verdict.Quarantined) countRefusal(verdict)
            if (verdict !is Verdict.Suspected) return verdict
            if (verdict.notBefore <= clock.now()) {
                hasTrial = hasTrial || quarantine.claimTrial(service)
                if (hasTrial) return Verdict.Clear
            }
            val left = until - clock.now()
            if (!left.isPositive()) return verdict
            awaitChange(view, minOf(left, CLAIM_INTERVAL))
        }
    }

    private fun countRefusal(verdict: Verdict.Quarantined) {
        if (!verdict.isForRequest) return quarantine.heldBack(service)
        quarantine.copyRefused(requestSegment(service, digest.value))
    }

    private suspend fun awaitChange(
        view: SuspicionView,
        limit: Duration,
    ) {
        withTimeoutOrNull(limit) { quarantine.view.first { it != view } }
    }

    /** Returns true if the request may still be sent. */
    fun isOpen(): Boolean =
        when (quarantine.view.value.verdict(service, prompt) { digest.value }) {
            Verdict.Clear -> true
            is Verdict.Suspected -> hasTrial
            is Verdict.Quarantined -> false
        }

    /** Starts to observe an attempt at [endpoint]. */
    fun observe(endpoint: LiveEndpoint): PromptObservation =
        PromptObservation(quarantine, endpoint, organisation, prompt, clock, isStream, digest)

    /** Ends the trial of this request, if it has one. */
    fun close() {
        if (hasTrial) quarantine.endTrial(service)
        hasTrial = false
    }

    private companion object {
        /** Time between two claims; a trial takes a few hundred milliseconds. */
        val CLAIM_INTERVAL = 100.milliseconds
    }
}

/** Returns the gate of [request] to [service], whose prompt has the segments [prompt]. */
internal fun promptGate(
    request: CallerRequest,
    admission: Admission.Admitted,
    service: ServiceId,
    prompt: List<PromptSegmentId>,
    dependencies: RequestDependencies,
): PromptGate =
    PromptGate(
        dependencies.quarantine,
        service,
        admission.organisation,
        prompt,
        dependencies.clock,
        isStream = admission.route.kind == RouteKind.STREAM,
        digestOf = { requestDigest(request.head.method, request.head.target, admission.organisation, request.body) },
    )

/** Returns the count in the metrics to which a request with [verdict] belongs that is not sent. */
internal fun actionFor(verdict: Verdict): QuarantineAction =
    if (verdict is Verdict.Quarantined) QuarantineAction.HELD_BACK else QuarantineAction.WAITED

/** Returns the reason for the caller and the log why a request with [verdict] is not sent. */
internal fun reasonFor(verdict: Verdict): String =
    when {
        verdict !is Verdict.Quarantined -> "a request that may crash endpoints is on trial"
        verdict.isForRequest -> "the request crashes endpoints"
        else -> "a segment of the prompt crashes endpoints"
    }

/** Returns when a caller may return whose request with [verdict] is not sent; [bounded] adapts it to the caller's time. */
internal fun retryDelayFor(
    verdict: Verdict,
    bounded: (Duration) -> Duration,
): Duration = if (verdict is Verdict.Quarantined) QUARANTINE_RETRY_DELAY else bounded(TRIAL_RETRY_DELAY)

/** Delay stated to callers whose request is quarantined, which lasts for minutes. */
private val QUARANTINE_RETRY_DELAY = 60.seconds

/** Delay stated to callers whose request is suspected; a few trials take place in this time. */
private val TRIAL_RETRY_DELAY = 1.seconds

/** Observes how far the answer of one attempt comes, and tells the quarantine. */
internal class PromptObservation(
    private val quarantine: Quarantine,
    private val endpoint: LiveEndpoint,
    private val organisation: OrganisationId?,
    private val prompt: List<PromptSegmentId>,
    private val clock: Clock,
    private val isStream: Boolean,
    private val digest: Lazy<Digest>,
) {
    private var progress = AnswerProgress.NONE
    private var since = clock.now()
    private val times = HashMap<AnswerProgress, Duration>()

    /** Records that the answer has come as far as [reached]. */
    fun advance(reached: AnswerProgress) {
        if (reached <= progress) return
        addTime()
        val wasUnderWay = progress >= AnswerProgress.RUNNING
        progress = reached
        // Digests of ordinary requests are of no use; they would only take time and memory.
        val isOfUse = reached == AnswerProgress.COMPLETE && quarantine.view.value.hasRequests(endpoint.service)
        val isNewAnswer = reached >= AnswerProgress.RUNNING && !wasUnderWay
        if (!isNewAnswer && !isOfUse) return
        val segments = if (isNewAnswer) prompt else emptyList()
        quarantine.answered(endpoint.service, organisation, segments, if (isOfUse) digest.value else null)
    }

    private fun addTime() {
        val now = clock.now()
        times[progress] = (times[progress] ?: Duration.ZERO) + (now - since)
        since = now
    }

    /** Records the end of the attempt. */
    fun ended() {
        addTime()
        quarantine.observed(endpoint.service, times)
    }

    /** Records that the endpoint has ended the connection; returns once it is known whether it has crashed. */
    suspend fun lost() {
        if (progress == AnswerProgress.COMPLETE) return
        quarantine.lost(LostRequest(endpoint, prompt, progress, digest.value, isStream))
    }
}
