package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.answer.requestedAnswerOf
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
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.decisions.routing.AttemptOutcome
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
 * Bounds on the work for one request.
 *
 * @property maxAttempts maximum number of attempts, including the first
 * @property queueWait maximum time to wait while every endpoint is full
 * @property streamStall maximum pause within a streamed answer before the answer is reported as broken
 */
internal data class PipelineOptions(
    val maxAttempts: Int,
    val queueWait: Duration,
    val streamStall: Duration,
)

/** Sends a request to endpoints until one answers, as far as the rules for retries allow. */
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
     * Runs [routed] and calls [respond] with the answer or the refusal. The request is in flight until [respond]
     * returns.
     */
    suspend fun run(
        routed: RoutedRequest,
        respond: suspend (Either<Refusal, Answer>) -> Unit,
    ) {
        val slot = registry.begin(routed)
        if (slot == null) {
            val overloaded =
                Refusal(ErrorKind.OVERLOADED, "this entry process has no room for another request", "retry later")
            respond(forCaller(routed, overloaded, emptyList()).left())
            return
        }
        try {
            val deadline = clock.now() + routed.timeAllowed
            limits
                .runWithinLimits(routed, deadline) { RequestRun(routed, slot, deadline, it).run(respond) }
                ?.let { respond(forCaller(routed, it, emptyList()).left()) }
        } finally {
            withContext(NonCancellable) { registry.end(slot) }
        }
    }

    /** Returns [refusal] with the outcome of the request, which for a confirmation follows from all its attempts. */
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

    /** State of one request; not safe for use by several coroutines. */
    private inner class RequestRun(
        private val routed: RoutedRequest,
        private val slot: RequestSlot,
        private val deadline: Instant,
        private val usage: TokenUsage,
    ) {
        private val tried = HashSet<EndpointId>()
        private val reports = ArrayList<AttemptReport>()
        private val expected = requestedAnswerOf(routed.request)
        private val chatEvents = ChatEvents()
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
                val shouldRetry = attempts > 0 && mayRetry(failed, options.maxAttempts) && registry.tryRetry()
                if (!shouldRetry) {
                    respond(forCaller(routed, refusal, reports).left())
                    return
                }
                metrics.retries.labelValues(routed.service.id.text).inc()
            }
        }

        private fun timeLeft(): Duration = deadline - clock.now()

        /** Makes one attempt. Returns null after [respond] was called with an answer, or why there is none. */
        private suspend fun attempt(respond: suspend (Either<Refusal, Answer>) -> Unit): Refusal? {
            val shard = routed.confirmation?.let { shardOf(it.key) }
            val query = RoutingQuery(routed.service.id, routed.tokens.toLong(), deadline, tried.toSet(), shard)
            val assigned =
                when (val assignment = directory.choose(query, minOf(options.queueWait, timeLeft() / 2))) {
                    is Assignment.None -> {
                        // Without an endpoint to try, there is no further attempt.
                        attempts = options.maxAttempts
                        // The refusal of an earlier endpoint tells the caller more than that no other endpoint is left.
                        return lastRefusal ?: refusalOf(assignment.code, assignment.message, null)
                    }

                    is Assignment.Assigned -> {
                        assignment
                    }
                }
            attempts++
            tried += assigned.endpoint
            var outcome: AttemptOutcome = AttemptOutcome.Neutral
            try {
                registry.attemptStarted(slot, assigned.endpoint)
                return exchange(assigned, respond) { outcome = it }
            } finally {
                withContext(NonCancellable) { directory.finished(assigned.endpoint, routed.tokens.toLong(), outcome) }
            }
        }

        /** Sends the request to [assigned]. Returns null after [respond] was called, or why there is no answer. */
        private suspend fun exchange(
            assigned: Assignment.Assigned,
            respond: suspend (Either<Refusal, Answer>) -> Unit,
            onOutcome: (AttemptOutcome) -> Unit,
        ): Refusal? {
            val id = newAttempt()
            val start = clock.now()
            val stream =
                assigned.session.open(id) { openFrame(it, id) }
                    ?: return recordFailure(unreachable(assigned.endpoint), ClaimProof.NOT_READ)
            var ended = false
            try {
                val reader = AnswerReader(stream, expected, chatEvents, options.streamStall) { timeLeft() }
                val received =
                    withTimeoutOrNull(firstByteLimit()) { reader.awaitAnswer() }
                        ?: noAnswerInTime(assigned.endpoint).left()
                val answer =
                    received.fold(
                        {
                            ended = reader.isEnded
                            if (it.outcome == Outcome.UNKNOWN) onOutcome(AttemptOutcome.Failed)
                            return recordFailure(it, reader.proof)
                        },
                        { it },
                    )
                onOutcome(AttemptOutcome.Answered(clock.now() - start))
                // A resumed answer is forwarded as a part of the first one, which already counts its tokens.
                respond((if (resumeFrom == 0) usage.counted(resumable(answer)) else answer).right())
                ended = reader.isEnded
                if (!reader.isComplete) onOutcome(AttemptOutcome.Failed)
                countAttempt(if (reader.isComplete) Outcome.DONE else Outcome.UNKNOWN)
                return null
            } finally {
                if (!ended) withContext(NonCancellable) { stream.cancel() }
            }
        }

        /** Returns [answer]; a streamed chat completion is extended to resume at another endpoint if it breaks off. */
        private fun resumable(answer: Answer): Answer {
            if (answer !is Answer.Streamed || !answer.isChat || !routed.idempotent) return answer
            return answer.relayedBy { write -> relayAndResume(answer, write) }
        }

        private suspend fun relayAndResume(
            answer: Answer.Streamed,
            write: suspend (ByteArray) -> Unit,
        ): Refusal? {
            var failure = answer.relay(write)
            while (failure != null && mayResume()) {
                metrics.resumes.labelValues(routed.service.id.text).inc()
                resumeFrom = chatEvents.tokens
                var result: Refusal? = failure
                val refusal =
                    attempt { next ->
                        val streamed = next.getOrNull() as? Answer.Streamed
                        if (streamed != null && streamed.isChat) result = streamed.relay(write)
                    }
                failure = if (refusal == null) result else failure
            }
            return failure
        }

        private suspend fun mayResume(): Boolean =
            chatEvents.tokens > 0 &&
                attempts < options.maxAttempts &&
                timeLeft() > Duration.ZERO &&
                registry.tryRetry()

        /**
         * Returns the time within which the current attempt has to begin its answer.
         *
         * If another attempt is possible, half of the time left is reserved for it, so that a stalled back end does not
         * use up the whole deadline.
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
                headers = forwardedHeaders(request) + resumeHeaders(),
                body = request.body,
                timeLeft = timeLeft(),
                tokens = routed.tokens,
                credit = STREAM_CREDIT_CHUNKS,
                confirmation = routed.confirmation,
                hasEndMark = expected.hasEndMark,
            )
        }

        private fun resumeHeaders(): List<Header> =
            if (resumeFrom == 0) emptyList() else listOf(Header(RESUME_HEADER, resumeFrom.toString()))

        private fun recordFailure(
            refusal: Refusal,
            proof: ClaimProof,
        ): Refusal {
            reports += AttemptReport(refusal.outcome, proof)
            if (refusal.outcome != Outcome.NOT_RUN) usage.attemptMayHaveRun()
            countAttempt(refusal.outcome)
            return refusal
        }

        private fun countAttempt(outcome: Outcome) {
            metrics.attempts.labelValues(routed.service.id.text, outcome.name.lowercase()).inc()
        }
    }
}

/** Header that asks a model engine to resume an answer at a token. */
private const val RESUME_HEADER = "X-Resume-From"

private fun noAnswerInTime(endpoint: EndpointId): Refusal =
    Refusal(ErrorKind.ATTEMPT_FAILED, "endpoint $endpoint began no answer in time", "retry later", Outcome.UNKNOWN)

private fun unreachable(endpoint: EndpointId): Refusal =
    Refusal(ErrorKind.NO_ENDPOINT, "endpoint $endpoint was lost before the request was sent", "retry later")

/** Headers of the caller that are not forwarded to the back end. */
private val withheldHeaders = setOf("authorization", "x-deadline-ms", "x-request-id", "x-attempt-id", "x-resume-from")

/** Headers that ask for another form of a chat completion than its request describes. */
private val withheldChatHeaders = setOf("accept", "accept-encoding", "range", "if-range", "last-event-id")

private fun forwardedHeaders(request: CallerRequest): List<Header> {
    val withheld = if (request.chat == null) withheldHeaders else withheldHeaders + withheldChatHeaders
    return request.headers.filterKeys { it !in withheld }.map { (name, value) -> Header(name, value) }
}
