package org.cicadaturn.tasks.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

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

    /** Returns [refusal] with the outcome of the request, which follows from all its attempts. */
    private fun forCaller(
        routed: RoutedRequest,
        refusal: Refusal,
        reports: List<AttemptReport>,
    ): Refusal {
        if (routed.confirmation == null) {
            val mayHaveRun = refusal.outcome == Outcome.NOT_RUN && reports.any { it.outcome != Outcome.NOT_RUN }
            return if (mayHaveRun) refusal.copy(outcome = Outcome.UNKNOWN) else refusal
        }
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

        /**
         * Makes one attempt, and others beside it while it is silent. Returns null after [respond] was called with an
         * answer, or why there is none.
         *
         * A silent attempt is given up only once another one has answered, as that one may be refused.
         */
        private suspend fun attempt(respond: suspend (Either<Refusal, Answer>) -> Unit): Refusal? =
            coroutineScope {
                val running = ArrayList<RunningAttempt>()
                try {
                    val assigned = firstEndpoint().fold({ return@coroutineScope it }, { it })
                    var failure = begin(assigned, running)
                    while (running.isNotEmpty()) {
                        val ended = awaitOne(running)
                        if (ended == null) {
                            beginStandby(running)
                            continue
                        }
                        val refusal = settle(ended, running, respond) ?: return@coroutineScope null
                        failure = refusal
                    }
                    failure
                } finally {
                    withContext(NonCancellable) { running.toList().forEach { close(it, running) } }
                }
            }

        private suspend fun firstEndpoint(): Either<Refusal, Assignment.Assigned> =
            when (val assignment = choose(minOf(options.queueWait, timeLeft() / 2))) {
                is Assignment.None -> {
                    // Without an endpoint to try, there is no further attempt.
                    attempts = options.maxAttempts
                    // The refusal of an earlier endpoint tells the caller more than that no other endpoint is left.
                    (lastRefusal ?: refusalOf(assignment.code, assignment.message, null)).left()
                }

                is Assignment.Assigned -> {
                    assignment.right()
                }
            }

        private suspend fun choose(wait: Duration): Assignment {
            val shard = routed.confirmation?.let { shardOf(it.key) }
            val query = RoutingQuery(routed.service.id, routed.tokens.toLong(), deadline, tried.toSet(), shard)
            return directory.choose(query, wait)
        }

        /** Sends the request to [assigned] and adds the attempt to [running]; returns why it was not sent, or null. */
        private suspend fun CoroutineScope.begin(
            assigned: Assignment.Assigned,
            running: MutableList<RunningAttempt>,
        ): Refusal? {
            attempts++
            tried += assigned.endpoint
            var isSent = false
            try {
                registry.attemptStarted(slot, assigned.endpoint)
                val id = newAttempt()
                val start = clock.now()
                val stream =
                    assigned.session.open(id) { openFrame(it, id) }
                        ?: return recordFailure(unreachable(assigned.endpoint), ClaimProof.NOT_READ)
                val events = ChatEvents(resumeFrom)
                val reader = AnswerReader(stream, expected, events, options.streamStall) { timeLeft() }
                running +=
                    RunningAttempt(assigned.endpoint, stream, reader, events, start, async { reader.awaitAnswer() })
                isSent = true
                return null
            } finally {
                if (!isSent) withContext(NonCancellable) { finished(assigned.endpoint, AttemptOutcome.Neutral) }
            }
        }

        /** Begins another attempt beside those in [running], if an endpoint and the retry budget allow it at once. */
        private suspend fun CoroutineScope.beginStandby(running: MutableList<RunningAttempt>) {
            running.forEach { it.outcome = AttemptOutcome.Failed }
            val assigned = choose(Duration.ZERO) as? Assignment.Assigned ?: return
            if (registry.tryRetry()) {
                metrics.retries.labelValues(routed.service.id.text).inc()
                begin(assigned, running)
            } else {
                finished(assigned.endpoint, AttemptOutcome.Neutral)
            }
        }

        /** Waits until an attempt has an answer or a failure; returns null once another attempt may be made beside them. */
        private suspend fun awaitOne(running: List<RunningAttempt>): RunningAttempt? =
            withTimeoutOrNull(standbyDelay()) {
                select { running.forEach { attempt -> attempt.answer.onJoin { attempt } } }
            }

        /** Passes on the answer of [ended], or removes it from [running] and returns why it has none. */
        private suspend fun settle(
            ended: RunningAttempt,
            running: MutableList<RunningAttempt>,
            respond: suspend (Either<Refusal, Answer>) -> Unit,
        ): Refusal? {
            val answer =
                ended.answer.await().fold(
                    {
                        ended.outcome =
                            if (it.outcome == Outcome.UNKNOWN) AttemptOutcome.Failed else AttemptOutcome.Neutral
                        recordFailure(it, ended.reader.proof)
                        close(ended, running)
                        return it
                    },
                    { it },
                )
            (running - ended).forEach {
                recordReplaced()
                close(it, running)
            }
            ended.outcome = AttemptOutcome.Answered(clock.now() - ended.start)
            val resumable = resumable(ended, answer)
            // A resumed answer is forwarded as a part of the first one, which already counts its tokens.
            respond((if (resumeFrom == 0) usage.counted(resumable) else resumable).right())
            if (!ended.reader.isComplete) ended.outcome = AttemptOutcome.Failed
            countAttempt(if (ended.reader.isComplete) Outcome.DONE else Outcome.UNKNOWN)
            return null
        }

        /** Ends [attempt], cancels it at its endpoint unless it has ended there, and removes it from [running]. */
        private suspend fun close(
            attempt: RunningAttempt,
            running: MutableList<RunningAttempt>,
        ) {
            running -= attempt
            attempt.answer.cancelAndJoin()
            if (!attempt.reader.isEnded) attempt.stream.cancel()
            finished(attempt.endpoint, attempt.outcome)
        }

        private suspend fun finished(
            endpoint: EndpointId,
            outcome: AttemptOutcome,
        ) {
            directory.finished(endpoint, routed.tokens.toLong(), outcome)
        }

        /** Returns [answer]; a streamed chat completion is extended to resume at another endpoint if it breaks off. */
        private fun resumable(
            attempt: RunningAttempt,
            answer: Answer,
        ): Answer {
            if (answer !is Answer.Streamed || !answer.isChat) return answer
            return answer.relayedBy { write -> relayAndResume(attempt, answer, write) }
        }

        /**
         * Passes on [answer]. If it breaks off or stalls, the rest is asked for at another endpoint; an answer that has
         * only stalled is read on if no other endpoint continues it.
         */
        private suspend fun relayAndResume(
            attempt: RunningAttempt,
            answer: Answer.Streamed,
            write: suspend (ByteArray) -> Unit,
        ): Refusal? {
            var failure = answer.relay(write)
            while (failure != null) {
                if (mayResume(attempt.events)) {
                    metrics.resumes.labelValues(routed.service.id.text).inc()
                    // The state of another attempt is older once this answer has been read on.
                    resumeFrom = attempt.events.tokens
                    var isContinued = false
                    attempt { next ->
                        val streamed = next.getOrNull() as? Answer.Streamed
                        if (streamed == null || !streamed.isChat) return@attempt
                        isContinued = true
                        if (!attempt.reader.isEnded) attempt.stream.cancel()
                        failure = streamed.relay(write)
                    }
                    if (isContinued) return failure
                } else if (!attempt.reader.isStalled) {
                    return failure
                }
                if (attempt.reader.isStalled) failure = answer.relay(write)
            }
            return null
        }

        private suspend fun mayResume(events: ChatEvents): Boolean =
            routed.idempotent &&
                events.tokens > 0 &&
                attempts < options.maxAttempts &&
                timeLeft() > Duration.ZERO &&
                registry.tryRetry()

        /**
         * Returns the time after which another attempt is made beside those that have not begun to answer.
         *
         * Half of the time left is reserved for it, so that a stalled back end does not use up the whole deadline.
         */
        private fun standbyDelay(): Duration {
            val mayRepeat = routed.idempotent && attempts < options.maxAttempts
            return if (mayRepeat) maxOf(timeLeft() / 2, MIN_STANDBY_DELAY) else Duration.INFINITE
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

        /** Records that an attempt was given up as another one has answered. */
        private fun recordReplaced() {
            usage.attemptMayHaveRun()
            countAttempt(Outcome.UNKNOWN)
        }

        private fun countAttempt(outcome: Outcome) {
            metrics.attempts.labelValues(routed.service.id.text, outcome.name.lowercase()).inc()
        }
    }
}

/** Attempt whose [answer] is awaited or passed on; only the coroutine of its request changes it. */
private class RunningAttempt(
    val endpoint: EndpointId,
    val stream: AnswerStream,
    val reader: AnswerReader,
    val events: ChatEvents,
    val start: Instant,
    val answer: Deferred<Either<Refusal, Answer>>,
) {
    /** What the directory learns of the attempt when it ends. */
    var outcome: AttemptOutcome = AttemptOutcome.Neutral
}

/** Shortest time between two questions for another endpoint, so that the last moments before a deadline have few. */
private val MIN_STANDBY_DELAY: Duration = 100.milliseconds

/** Header that asks a model engine to resume an answer at a token. */
private const val RESUME_HEADER = "X-Resume-From"

private fun unreachable(endpoint: EndpointId): Refusal =
    Refusal(ErrorKind.NO_ENDPOINT, "endpoint $endpoint was lost before the request was sent", "retry later")
