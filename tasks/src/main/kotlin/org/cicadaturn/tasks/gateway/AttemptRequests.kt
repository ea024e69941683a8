package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.Admission
import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.EventGap
import org.cicadaturn.decisions.gateway.ExpectedEvents
import org.cicadaturn.decisions.gateway.NumberSighting
import org.cicadaturn.decisions.gateway.NumberedEnd
import org.cicadaturn.decisions.gateway.numberSightingIn
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.valueOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Attempts to get the [answer] to [request], which was admitted. */
internal class AttemptRequests(
    private val request: CallerRequest,
    private val admission: Admission.Admitted,
    private val answer: CallerAnswer,
    private val dependencies: RequestDependencies,
) {
    private val dialect = dependencies.dialect
    private val route = admission.route
    private val isRepeatable = route.kind == RouteKind.IDEMPOTENT || route.resumable

    /** Last gap that ended an attempt of the request. */
    private var shownGap: ShownGap? = null

    private class ShownGap(
        private val endpoint: LiveEndpoint,
        private val gap: EventGap,
    ) {
        /** Returns the number behind the gap if it is behind [after] and [other] is another endpoint; null if not. */
        fun nextFor(
            other: LiveEndpoint,
            after: Long?,
        ): Long? = gap.next.takeIf { other.id != endpoint.id && gap.after == after }
    }

    /**
     * Returns an attempt at [endpoint].
     *
     * @param remaining time left until the deadline of the caller
     * @param standby sends the request to another endpoint while this one is silent
     */
    fun to(
        endpoint: LiveEndpoint,
        remaining: Duration,
        standby: Standby,
        observer: AttemptObserver,
    ): AttemptRequest {
        val triesAnother = isRepeatable && route.attempts > 1
        val limit =
            when {
                !triesAnother -> remaining
                route.kind == RouteKind.STREAM -> STREAM_STALL_TIMEOUT
                else -> route.latencyTarget * SLOW_ANSWER_FACTOR
            }
        val end = remaining - ANSWER_RESERVE
        return AttemptRequest(
            endpoint = endpoint,
            kind = if (isRepeatable) route.kind else RouteKind.AT_MOST_ONCE,
            head = headFor(endpoint, remaining),
            body = request.body,
            requestId = request.head.headers.valueOf(dialect.requestId),
            silenceLimit = minOf(limit, end).coerceAtLeast(1.milliseconds),
            standby = standby.takeIf { triesAnother },
            timeLimit = end,
            events = expectedEvents(endpoint),
            pauseTarget = route.pauseTarget,
            remaining = remaining,
            observer = observer,
        )
    }

    private fun headFor(
        endpoint: LiveEndpoint,
        remaining: Duration,
    ): RequestHead =
        dialect.forwardedHead(
            request.head,
            endpoint.id,
            remaining,
            admission.organisation,
            isKeyed = dependencies.routes()?.configuration?.tenancies != null,
            resumeFrom = answer.lastEventId,
        )

    /** Returns what the events of the next answer must be, or null if it must be a body. */
    private fun expectedEvents(endpoint: LiveEndpoint): ExpectedEvents? {
        if (route.kind != RouteKind.STREAM || request.head.method == "HEAD") return null
        val after = lastReceivedEvent()
        val numbers = dependencies.eventNumbers
        val shownNext = shownGap?.nextFor(endpoint, after)?.takeIf { numbers.acceptsConfirmation(endpoint.service) }
        return ExpectedEvents(numbers.numberingOf(endpoint.service), after, shownNext)
    }

    /** Records what the first events of the answer to [attempt] show about their numbers. */
    fun numbersShown(
        attempt: AttemptRequest,
        summary: AnswerSummary?,
    ) {
        val expected = attempt.events ?: return
        record(attempt, numberSightingIn(summary, NumberedEnd.OTHER, expected))
    }

    /** Records what [result], the end of [attempt], shows about the numbers of events. */
    fun ended(
        attempt: AttemptRequest,
        result: AttemptResult,
    ) {
        val expected = attempt.events ?: return
        val gap = (result as? AttemptResult.Failed)?.gap
        val end =
            when {
                gap != null -> NumberedEnd.GAP
                result is AttemptResult.Delivered && result.isComplete -> NumberedEnd.COMPLETE
                else -> NumberedEnd.OTHER
            }
        val isConfirmed = gap != null && gap.isFirst && shownGap?.nextFor(attempt.endpoint, gap.after) == gap.next
        record(attempt, if (isConfirmed) NumberSighting.SKIPPING else numberSightingIn(result.summary, end, expected))
        if (gap != null) shownGap = ShownGap(attempt.endpoint, gap)
    }

    private fun record(
        attempt: AttemptRequest,
        sighting: NumberSighting?,
    ) {
        if (sighting == null) return
        val endpoint = attempt.endpoint
        val hasGap = sighting == NumberSighting.GAP || sighting == NumberSighting.LATE_GAP
        val size = if (hasGap) sizeOf(endpoint.service) else Int.MAX_VALUE
        dependencies.eventNumbers.seen(endpoint.service, endpoint.id, sighting, size)
    }

    private fun sizeOf(service: ServiceId): Int =
        dependencies.fleet.value.view.endpoints
            .count { it.service == service }

    /** Returns the number of the last event that the caller has, from this request or from an earlier one. */
    private fun lastReceivedEvent(): Long? {
        if (!route.resumable) return null
        return answer.lastEventId ?: request.head.headers
            .valueOf(dialect.lastEventId)
            ?.trim()
            ?.toLongOrNull()
    }

    private companion object {
        /**
         * Longest gap in a stream before it is sent to another endpoint as well. Callers abandon a stream after a gap of
         * two seconds, and the resumption must fit into this time. A group that lost a rank answers again after a
         * stall of 1.5 s, and its other endpoints cannot answer earlier.
         */
        val STREAM_STALL_TIMEOUT = 1_600.milliseconds

        /** Time before the deadline that is left for the answer to the caller. */
        val ANSWER_RESERVE = 10.milliseconds

        /** Multiple of the latency target after which a repeatable request is sent to another endpoint as well. */
        const val SLOW_ANSWER_FACTOR = 4
    }
}
