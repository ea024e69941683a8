package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Deferred
import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.AnswerVerdict
import org.cicadaturn.decisions.gateway.AttemptEnd
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.EventBatch
import org.cicadaturn.decisions.gateway.EventGap
import org.cicadaturn.decisions.gateway.EventStream
import org.cicadaturn.decisions.gateway.ExpectedAnswer
import org.cicadaturn.decisions.gateway.ExpectedEvents
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.decisions.gateway.SHOWN_EVENTS
import org.cicadaturn.decisions.gateway.StreamEvent
import org.cicadaturn.decisions.gateway.eventStream
import org.cicadaturn.decisions.gateway.verdictOn
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.valueOf
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Reads the answer to [attempt], which was sent on [connection], and passes it on to [sink]. */
internal class AttemptExecution(
    private val attempt: AttemptRequest,
    private val connection: EndpointConnection,
    private val sink: AnswerSink,
    private val sent: Deferred<Boolean>,
    private val balancer: Balancer,
    private val dialect: GatewayDialect,
    private val clock: Clock,
    private val memory: BodyMemory.Reservation,
    private val closedAnswers: ClosedAnswerCheck,
) {
    private val link = connection.link
    private val parts = AnswerParts(attempt, connection, balancer, dialect, clock, memory)

    /** Number of events received; null before the head of a stream. */
    private var events: Int? = null

    private var notice = EndpointNotice()
    private val asksForPause: Boolean get() = notice.pause is PauseNotice.Requested

    /** What the answer looks like; null before its head, and for a failure of the endpoint. */
    private var summary: AnswerSummary? = null

    var use: EndpointUse = EndpointUse.Abandoned

    /** True if the endpoint has sent bytes that are no answer or belong to another request. */
    val hasSurplus: Boolean get() = link.hasSurplus || isOutOfStep || parts.surplusAnswers > 0
    private var isOutOfStep = false

    /** Time for which the connection may be kept idle; null if it must be closed. */
    var keepAliveTime: Duration? = null
        private set
    private val start = clock.now()
    private var firstEventAt = start
    private var lastEventAt = start
    private val hasEvents: Boolean get() = (events ?: 0) > 0

    suspend fun run(): AttemptResult =
        when (val received = parts.awaitHead()) {
            is WaitResult.Part -> handleHead(received.part)
            WaitResult.Ended -> ended("connection ended without an answer")
            WaitResult.Joined -> outOfStep("a second answer to an earlier request was cut")
            WaitResult.Stalled -> lost(AttemptEnd.STALLED, "no answer within ${attempt.silenceLimit}")
        }

    private suspend fun handleHead(part: HttpPart): AttemptResult {
        val head =
            when (part) {
                is HttpPart.Response -> part.head
                is HttpPart.Malformed -> return outOfStep("unreadable answer: ${part.detail}")
                else -> return outOfStep("unexpected bytes")
            }
        val verdict = expectedAnswer().verdictOn(dialect.answerHead(head))
        if (verdict !is AnswerVerdict.Unsound) reportState(head)
        if (verdict != AnswerVerdict.Failure) summary = summaryOf(head)
        return when (verdict) {
            is AnswerVerdict.Unsound ->
                if (verdict.isOutOfStep) outOfStep(verdict.defect) else failed(AttemptEnd.BROKEN, verdict.defect)
            AnswerVerdict.Failure -> handleFailure(head)
            is AnswerVerdict.Events -> {
                accepted()
                relayEvents(head, verdict.expected)
            }
            is AnswerVerdict.Body -> {
                accepted()
                relayBody(head, verdict.isIncremental)
            }
        }
    }

    /** Reports what the answer says about its endpoint. A misdirected request was answered by another endpoint. */
    private fun reportState(head: ResponseHead) {
        dialect.loadOf(head.headers)?.let { balancer.loadReported(attempt.endpoint.id, it) }
        if (head.status == MISDIRECTED_REQUEST) return
        balancer.limits.named(attempt.endpoint.id, dialect.limitOf(head.headers), start)
        notice = dialect.noticeOf(head)
        if (!notice.isEmpty) balancer.notices.noticed(attempt.endpoint, notice, attempt.requestId)
    }

    private fun accepted() {
        balancer.accepted(attempt.endpoint.id)
        attempt.observer.onProgress(AnswerProgress.HEAD)
    }

    private fun expectedAnswer(): ExpectedAnswer =
        ExpectedAnswer(
            requestId = attempt.requestId,
            followsOthers = connection.requestIds.isNotEmpty(),
            continuesAnswer = sink.isBegun,
            events = attempt.events,
        )

    private fun summaryOf(head: ResponseHead): AnswerSummary =
        AnswerSummary(head.headers.valueOf("Content-Type"), head.framing)

    private suspend fun handleFailure(head: ResponseHead): AttemptResult {
        val body = parts.readBody() ?: return failed(AttemptEnd.BROKEN, "failure ${head.status} was cut")
        allowReuse(head)
        val isNotExecuted = head.headers.valueOf(dialect.notExecuted) != null || head.status == MISDIRECTED_REQUEST
        if (isNotExecuted) {
            use = EndpointUse.Refused(hadFreePlaces = hasFreePlaces(head), isPause = asksForPause)
            return AttemptResult.Failed(AttemptEnd.NOT_EXECUTED, "refused with ${head.status}")
        }
        closeDefect()?.let { return disconnected(it) }
        // The caller would take this status as proof that the request was not run, but the endpoint did not say so.
        if (head.status in NOT_EXECUTED_STATUSES) {
            val use =
                if (asksForPause) {
                    EndpointUse.Refused(
                        hadFreePlaces = false,
                        isPause = true,
                    )
                } else {
                    EndpointUse.Failed
                }
            return failed(AttemptEnd.BROKEN, "status ${head.status} without a denial", use)
        }
        if (head.status < SERVER_ERROR && !sink.isBegun) return deliver(head, body)
        use = EndpointUse.Failed
        return AttemptResult.Failed(AttemptEnd.FAILED, "failed with ${head.status}", head to body)
    }

    /** A misdirected request says nothing about the load of the intended endpoint. */
    private fun hasFreePlaces(head: ResponseHead): Boolean {
        val load = dialect.loadOf(head.headers) ?: return false
        return head.status != MISDIRECTED_REQUEST && load.waiting == 0 && load.running < load.slots
    }

    private suspend fun deliver(
        head: ResponseHead,
        body: ByteArray,
    ): AttemptResult {
        if (!goesOn()) return replaced()
        use = EndpointUse.Answered(clock.now() - start)
        sink.sendAnswer(head, body)
        return AttemptResult.Delivered(summary)
    }

    /** Ends the attempt that stands by, as this one has an answer; returns false if that one has begun to answer before. */
    private fun goesOn(): Boolean = attempt.standby?.cancel() ?: true

    private fun replaced(): AttemptResult = lost(AttemptEnd.STALLED, "another endpoint answers after a silence")

    private suspend fun relayBody(
        head: ResponseHead,
        isIncremental: Boolean,
    ): AttemptResult {
        val body = AnswerBody(isIncremental, parts::canBuffer)
        val since = clock.now()
        while (true) {
            // The caller gets nothing of a body that is kept, so its parts do not count as progress.
            val waited = if (body.isPassedOn) Duration.ZERO else clock.now() - since
            val received = parts.awaitPartOrStall(attempt.silenceLimit - waited, hasBegun = true)
            val part = (received as? WaitResult.Part)?.part
            when {
                part is HttpPart.Data -> {
                    val ready = body.add(part.bytes)
                    if (ready != null && !goesOn()) return replaced()
                    if (ready != null && !sink.sendPiece(head, ready)) return AttemptResult.Delivered(summary)
                    if (body.isPassedOn) memory.close()
                }
                part == HttpPart.End || part == HttpPart.EndByClose -> return endBody(head, body)
                received == WaitResult.Stalled -> return failed(
                    AttemptEnd.STALLED,
                    "answer paused for ${attempt.silenceLimit}",
                )
                received == WaitResult.Ended -> return ended("answer was cut", EndpointUse.Failed)
                else -> return outOfStep("unreadable answer")
            }
        }
    }

    private suspend fun endBody(
        head: ResponseHead,
        body: AnswerBody,
    ): AttemptResult {
        // A body of which a part was left out has the beginning of what follows on the connection at its end.
        if (link.hasSurplus && body.hasStatusLine()) return outOfStep("a second answer within the body")
        closeDefect()?.let { return ended(it) }
        if (!goesOn()) return replaced()
        allowReuse(head)
        use = EndpointUse.Answered(clock.now() - start)
        attempt.observer.onProgress(AnswerProgress.COMPLETE)
        if (body.isPassedOn) sink.sendEnd(head) else sink.sendAnswer(head, body.rest())
        return AttemptResult.Delivered(summary)
    }

    private suspend fun relayEvents(
        head: ResponseHead,
        expected: ExpectedEvents,
    ): AttemptResult {
        val stream = eventStream(expected)
        events = 0
        while (true) {
            val limit = attempt.silenceLimit
            // Excludes the time in which the caller does not read.
            val waitedSince = clock.now()
            // Counted from the last event, as an endpoint may send a byte now and then without end.
            val received = parts.awaitPartOrStall(limit - (waitedSince - lastEventAt), hasEvents)
            val part = (received as? WaitResult.Part)?.part
            when {
                part is HttpPart.Data -> {
                    val end = relayBatch(head, stream.accept(part.bytes), stream.pendingBytes, waitedSince)
                    if (end != null) return end
                }
                part == HttpPart.End || part == HttpPart.EndByClose -> return endEvents(head, stream)
                received == WaitResult.Stalled -> return lost(AttemptEnd.STALLED, "stream paused for $limit")
                received == WaitResult.Ended -> return ended("stream was cut")
                else -> return outOfStep("unreadable stream")
            }
        }
    }

    /** Passes on the sound events of [batch]; returns how the attempt ends, or null if it goes on. */
    private suspend fun relayBatch(
        head: ResponseHead,
        batch: EventBatch,
        pendingBytes: Int,
        waitedSince: Instant,
    ): AttemptResult? {
        if (batch.sound.isNotEmpty() && !goesOn()) return replaced()
        if (!sendEvents(head, batch.sound, waitedSince)) return AttemptResult.Delivered(summary, isComplete = false)
        val defect = batch.defect ?: "event without end".takeIf { !parts.canBuffer(pendingBytes) }
        return defect?.let { failed(AttemptEnd.BROKEN, it, canContinue = batch.canContinue, gap = batch.gap) }
    }

    /** Passes on [complete], which arrived together; returns false if the caller has left. */
    private suspend fun sendEvents(
        head: ResponseHead,
        complete: List<StreamEvent>,
        waitedSince: Instant,
    ): Boolean {
        for ((i, event) in complete.withIndex()) {
            if (!hasEvents) {
                firstEventAt = clock.now()
                use = EndpointUse.Answered(firstEventAt - start)
                attempt.observer.onProgress(AnswerProgress.BEGINNING)
            } else if (i == 0) {
                recordPause(clock.now() - waitedSince)
            }
            events = (events ?: 0) + 1
            event.id?.let { summary = summary?.plusEvent(it) }
            if (events == SHOWN_EVENTS) attempt.observer.onNumbersShown(attempt, summary)
            if (!sink.sendEvent(head, event)) return false
        }
        if (complete.isNotEmpty()) lastEventAt = clock.now()
        if (hasEvents &&
            lastEventAt - firstEventAt >= BEGINNING_TIME
        ) {
            attempt.observer.onProgress(AnswerProgress.RUNNING)
        }
        return true
    }

    private suspend fun endEvents(
        head: ResponseHead,
        stream: EventStream,
    ): AttemptResult {
        val defect = stream.defectAtEnd()
        if (defect != null) return if (parts.isEndedByClose) ended(defect) else failed(AttemptEnd.BROKEN, defect)
        closeDefect()?.let { return ended(it) }
        if (!goesOn()) return replaced()
        allowReuse(head)
        attempt.observer.onProgress(AnswerProgress.COMPLETE)
        sink.sendEnd(head)
        return AttemptResult.Delivered(summary)
    }

    /** Returns why an answer that only the end of its connection has ended is not complete; null if it is, or ends otherwise. */
    private suspend fun closeDefect(): String? {
        val end = link.end
        if (!parts.isEndedByClose || end == null) return null
        val now = clock.now()
        return closedAnswers.defectOf(end, attempt.endpoint, now - parts.awaitedSince, start + attempt.timeLimit - now)
    }

    private fun recordPause(pause: Duration) {
        attempt.pauseTarget?.let { balancer.paced(attempt.endpoint.id, pause / it) }
    }

    /** Allows reuse of the connection if the whole request was sent and nothing unexpected has arrived. */
    private fun allowReuse(head: ResponseHead) {
        val canBeReused = parts.surplusAnswers == 0 && connection.requestIds.size < MAX_REQUESTS_PER_CONNECTION
        val isReusable = canBeReused && !head.closesConnection && sent.isCompleted && link.isIdle
        keepAliveTime = if (isReusable) keepAliveTimeOf(head) else null
    }

    private fun outOfStep(detail: String): AttemptResult {
        isOutOfStep = true
        return failed(AttemptEnd.BROKEN, detail)
    }

    private fun lost(
        end: AttemptEnd,
        detail: String,
    ): AttemptResult = failed(end, detail, EndpointUse.Lost)

    private fun disconnected(
        detail: String,
        use: EndpointUse = EndpointUse.Lost,
    ): AttemptResult = failed(AttemptEnd.BROKEN, detail, use, isDisconnected = true)

    /** The connection has ended: by the endpoint, or by this process as another endpoint answers. */
    private fun ended(
        detail: String,
        use: EndpointUse = EndpointUse.Lost,
    ): AttemptResult = if (attempt.standby?.isAccepted == true) replaced() else disconnected(detail, use)

    private fun failed(
        end: AttemptEnd,
        detail: String,
        use: EndpointUse = EndpointUse.Failed,
        isDisconnected: Boolean = false,
        canContinue: Boolean = true,
        gap: EventGap? = null,
    ): AttemptResult {
        this.use = use
        keepAliveTime = null
        return AttemptResult.Failed(
            end,
            detail,
            events = events,
            summary = summary,
            isDisconnected = isDisconnected,
            canContinue = canContinue,
            gap = gap,
        )
    }

    private companion object {
        /** Bounds the identifiers that are kept for a connection. */
        const val MAX_REQUESTS_PER_CONNECTION = 64

        /** Time from the first event after which a stream counts as under way; several passes of an engine. */
        val BEGINNING_TIME = 250.milliseconds

        const val MISDIRECTED_REQUEST = 421
        const val SERVER_ERROR = 500

        /** Statuses that callers take as a statement that the request was not run. */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
    }
}

/**
 * Returns how long the connection may stay idle, which is shorter than the endpoint announces, so that the gateway
 * closes it first.
 */
private fun keepAliveTimeOf(head: ResponseHead): Duration {
    val seconds =
        head.headers
            .valueOf("Keep-Alive")
            ?.split(',')
            ?.map { it.trim() }
            ?.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')
            ?.toIntOrNull() ?: return DEFAULT_KEEP_ALIVE
    return seconds.seconds * KEEP_ALIVE_FRACTION
}

/** Fraction of the announced idle time that is used, as the endpoint starts to count it before this process does. */
private const val KEEP_ALIVE_FRACTION = 0.6
