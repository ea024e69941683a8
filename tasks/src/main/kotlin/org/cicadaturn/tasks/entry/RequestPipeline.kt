package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.confirmation.AttemptReport
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.callerOutcome
import org.cicadaturn.decisions.confirmation.shardOf
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.FailedAttempt
import org.cicadaturn.decisions.outcome.REPEAT_WITH_SAME_KEY
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.outcome.mayRetry
import org.cicadaturn.decisions.outcome.refusalOf
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.decisions.routing.AttemptEnd
import org.cicadaturn.decisions.routing.RoutingQuery
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.limits.OrganisationLimits
import org.cicadaturn.tasks.observe.EntryMetrics
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Bounds the work on one request.
 *
 * @property maxAttempts most attempts, the first included
 * @property queueWait longest wait while every endpoint is full
 * @property streamStall longest pause within a streamed answer before it counts as broken
 */
internal data class PipelineOptions(
    val maxAttempts: Int,
    val queueWait: Duration,
    val streamStall: Duration,
)

/** Sends a request to endpoints until one answers, and keeps the rules for repetition. */
internal class RequestPipeline(
    private val directory: Directory,
    private val registry: RequestRegistry,
    private val limits: OrganisationLimits,
    private val metrics: EntryMetrics,
    private val options: PipelineOptions,
    private val clock: Clock,
    private val newAttempt: () -> AttemptId,
) {
    /**
     * Runs [routed] and calls [respond] with the answer or the refusal; the request counts as in flight until
     * [respond] returns.
     */
    suspend fun run(
        routed: RoutedRequest,
        respond: suspend (Either<Refusal, Answer>) -> Unit,
    ) {
        val slot = registry.begin(routed)
        if (slot == null) {
            val full =
                Refusal(ErrorKind.OVERLOADED, "this entry process has no room for another request", "retry later")
            respond(forCaller(routed, full, emptyList()).left())
            return
        }
        try {
            val deadline = clock.now() + routed.timeAllowed
            limits
                .within(routed, deadline) { RequestRun(routed, slot, deadline, it).run(respond) }
                ?.let { respond(forCaller(routed, it, emptyList()).left()) }
        } finally {
            withContext(NonCancellable) { registry.end(slot) }
        }
    }

    /** Returns [refusal] with what is known of the request, which for a confirmation is about its key. */
    private fun forCaller(
        routed: RoutedRequest,
        refusal: Refusal,
        reports: List<AttemptReport>,
    ): Refusal {
        if (routed.confirmation == null) return refusal
        val outcome = callerOutcome(reports)
        return refusal.copy(
            outcome = outcome,
            remedy = if (outcome == Outcome.UNKNOWN) REPEAT_WITH_SAME_KEY else refusal.remedy,
        )
    }

    /** Works on one request; used by one coroutine only. */
    private inner class RequestRun(
        private val routed: RoutedRequest,
        private val slot: RequestSlot,
        private val deadline: Instant,
        private val use: TokenUse,
    ) {
        private val tried = HashSet<EndpointId>()
        private val reports = ArrayList<AttemptReport>()
        private val events = ChatEvents()
        private var lastRefusal: Refusal? = null
        private var attempts = 0
        private var resumeFrom = 0

        suspend fun run(respond: suspend (Either<Refusal, Answer>) -> Unit) {
            while (true) {
                val refusal = attempt(respond) ?: return
                lastRefusal = refusal
                val failed =
                    FailedAttempt(
                        kind = refusal.kind,
                        outcome = refusal.outcome,
                        idempotent = routed.idempotent,
                        answerStarted = false,
                        attempts = attempts,
                        timeLeft = timeLeft(),
                    )
                val again = attempts > 0 && mayRetry(failed, options.maxAttempts) && registry.tryRetry()
                if (!again) {
                    respond(forCaller(routed, refusal, reports).left())
                    return
                }
                metrics.retries.labelValues(routed.service.id.text).inc()
            }
        }

        private fun timeLeft(): Duration = deadline - clock.now()

        /** Returns null if [respond] got an answer, else why the attempt gave none. */
        private suspend fun attempt(respond: suspend (Either<Refusal, Answer>) -> Unit): Refusal? {
            val shard = routed.confirmation?.let { shardOf(it.key) }
            val query = RoutingQuery(routed.service.id, routed.tokens.toLong(), deadline, tried.toSet(), shard)
            val assigned =
                when (val assignment = directory.choose(query, minOf(options.queueWait, timeLeft() / 2))) {
                    is Assignment.None -> {
                        attempts = options.maxAttempts
                        // What an endpoint said tells the caller more than that no other endpoint is left.
                        return lastRefusal ?: refusalOf(assignment.code, assignment.message, null)
                    }

                    is Assignment.Assigned -> {
                        assignment
                    }
                }
            attempts++
            tried += assigned.endpoint
            var end: AttemptEnd = AttemptEnd.Neutral
            try {
                registry.attempt(slot, assigned.endpoint)
                return exchange(assigned, respond) { end = it }
            } finally {
                withContext(NonCancellable) { directory.finished(assigned.endpoint, routed.tokens.toLong(), end) }
            }
        }

        private suspend fun exchange(
            assigned: Assignment.Assigned,
            respond: suspend (Either<Refusal, Answer>) -> Unit,
            onEnd: (AttemptEnd) -> Unit,
        ): Refusal? {
            val id = newAttempt()
            val start = clock.now()
            val stream =
                assigned.session.open(id) { openFrame(it, id) }
                    ?: return counted(unreachable(assigned.endpoint), ClaimProof.NOT_READ)
            var ended = false
            try {
                val reader = AnswerReader(stream, options.streamStall) { timeLeft() }
                val begun = withTimeoutOrNull(firstByteLimit()) { reader.begin() } ?: stalled(assigned.endpoint).left()
                val answer =
                    begun.fold(
                        {
                            ended = reader.isEnded
                            if (it.outcome == Outcome.UNKNOWN) onEnd(AttemptEnd.Failed)
                            return counted(it, reader.proof)
                        },
                        { it },
                    )
                onEnd(AttemptEnd.Answered(clock.now() - start))
                // The parts of a continued answer pass through the first one and are counted there.
                respond((if (resumeFrom == 0) use.counted(resumable(answer)) else answer).right())
                ended = reader.isEnded
                if (!reader.isComplete) onEnd(AttemptEnd.Failed)
                count(if (reader.isComplete) Outcome.DONE else Outcome.UNKNOWN)
                return null
            } finally {
                if (!ended) withContext(NonCancellable) { stream.cancel() }
            }
        }

        /** Returns [answer] so that a streamed chat completion is continued elsewhere if it breaks. */
        private fun resumable(answer: Answer): Answer {
            val isChat = routed.idempotent && routed.request.chat?.stream == true
            val isFirst = resumeFrom == 0
            if (answer !is Answer.Streamed || !isChat || !isFirst) return answer
            return Answer.Streamed(answer.status, answer.headers) { take -> relayAndResume(answer, take) }
        }

        /** Passes on whole events only, so that what is missing after a break is a number of tokens. */
        private suspend fun relayAndResume(
            answer: Answer.Streamed,
            take: suspend (ByteArray) -> Unit,
        ): Refusal? {
            val takeEvents: suspend (ByteArray) -> Unit = { data ->
                val whole = events.accept(data)
                if (whole.isNotEmpty()) take(whole)
            }
            var broken = answer.relay(takeEvents)
            while (broken != null && mayResume()) {
                metrics.resumes.labelValues(routed.service.id.text).inc()
                resumeFrom = events.tokens
                events.dropPartial()
                var result: Refusal? = broken
                val refusal =
                    attempt { next ->
                        val streamed = next.getOrNull() as? Answer.Streamed
                        if (streamed != null && streamed.status == answer.status) result = streamed.relay(takeEvents)
                    }
                broken = if (refusal == null) result else broken
            }
            return broken
        }

        private suspend fun mayResume(): Boolean =
            events.tokens > 0 && attempts < options.maxAttempts && timeLeft() > Duration.ZERO && registry.tryRetry()

        /**
         * Returns how long the present attempt may take to begin its answer.
         *
         * Half of the time is kept for an attempt elsewhere, if there may be one: a stalled back end must not use
         * up the whole deadline.
         */
        private fun firstByteLimit(): Duration {
            val mayRepeat = routed.idempotent && attempts < options.maxAttempts
            return if (mayRepeat) timeLeft() / 2 else timeLeft()
        }

        private fun openFrame(
            stream: StreamId,
            attempt: AttemptId,
        ): Frame.Open {
            val request = routed.request
            return Frame.Open(
                stream = stream,
                attempt = attempt,
                request = request.id,
                service = routed.service.id,
                organisation = routed.organisation.id,
                method = request.method,
                path = request.path,
                headers = forwardedHeaders(request.headers) + resumeHeaders(),
                body = request.body,
                timeLeft = timeLeft(),
                tokens = routed.tokens,
                credit = STREAM_CREDIT_CHUNKS,
                confirmation = routed.confirmation,
            )
        }

        private fun resumeHeaders(): List<Header> =
            if (resumeFrom == 0) emptyList() else listOf(Header(RESUME_HEADER, resumeFrom.toString()))

        private fun counted(
            refusal: Refusal,
            proof: ClaimProof,
        ): Refusal {
            reports += AttemptReport(refusal.outcome, proof)
            if (refusal.outcome != Outcome.NOT_RUN) use.mayHaveRun()
            count(refusal.outcome)
            return refusal
        }

        private fun count(outcome: Outcome) {
            metrics.attempts.labelValues(routed.service.id.text, outcome.name.lowercase()).inc()
        }
    }
}

/** Header by which a model engine continues an answer at a token. */
private const val RESUME_HEADER = "X-Resume-From"

private fun stalled(endpoint: EndpointId): Refusal =
    Refusal(ErrorKind.ATTEMPT_FAILED, "endpoint $endpoint began no answer in time", "retry later", Outcome.UNKNOWN)

private fun unreachable(endpoint: EndpointId): Refusal =
    Refusal(ErrorKind.NO_ENDPOINT, "endpoint $endpoint was lost before the request was sent", "retry later")

/** Headers of the caller that the back end must not see. */
private val privateHeaders = setOf("authorization", "x-deadline-ms", "x-request-id", "x-attempt-id", "x-resume-from")

private fun forwardedHeaders(headers: Map<String, String>): List<Header> =
    headers.filterKeys { it !in privateHeaders }.map { (name, value) -> Header(name, value) }
