package org.cicadaturn.tasks.entry

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.limits.LimitReason
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.outcome.RateLimit
import org.cicadaturn.decisions.outcome.Refusal
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.tasks.limits.OrganisationLimits
import kotlin.time.Instant

/** Token count in an OpenAI-style answer that is not streamed; it is near the end of the body. */
private val totalTokens = Regex("\"total_tokens\"\\s*:\\s*(\\d{1,9})")

/** Length of the end of a body that is searched for the token count. */
private const val USAGE_TAIL_BYTES = 512
private const val EVENT_MARK = "\ndata:"

/** Number of events in a stream that hold no token: the role, the finish reason and the end mark. */
private const val EVENTS_WITHOUT_TOKEN = 3

/** Counts the tokens that one request has used. */
internal class TokenUsage(
    private val routed: RoutedRequest,
) {
    private var countedTokens: Long? = null
    private var isCountMissing = false
    private var hasAttemptOfUnknownOutcome = false
    private var events = 0L
    private var tail = "\n"

    /** Records that an attempt may have run without an answer; [tokens] then returns at least the estimate. */
    fun attemptMayHaveRun() {
        hasAttemptOfUnknownOutcome = true
    }

    /** Counts the tokens of [answer] and returns it; a streamed answer is counted while it is forwarded. */
    fun counted(answer: Answer): Answer =
        when (answer) {
            is Answer.Buffered -> {
                val end = answer.body.copyOfRange(maxOf(0, answer.body.size - USAGE_TAIL_BYTES), answer.body.size)
                countedTokens =
                    totalTokens.findAll(end.decodeToString()).lastOrNull()?.let { it.groupValues[1].toLong() }
                isCountMissing = countedTokens == null
                answer
            }

            is Answer.Streamed -> {
                isCountMissing = true
                answer.relayedBy { write -> relay(answer, write) }
            }
        }

    private suspend fun relay(
        answer: Answer.Streamed,
        write: suspend (ByteArray) -> Unit,
    ): Refusal? {
        val failure =
            answer.relay { part ->
                val text = tail + part.decodeToString()
                events += countEventMarks(text)
                tail = text.takeLast(EVENT_MARK.length - 1)
                write(part)
            }
        val prompt = routed.request.chat?.promptTokens
        // A stream has one event for each token. An incomplete stream may have used more tokens than were received.
        if (failure == null && prompt != null && events > EVENTS_WITHOUT_TOKEN) {
            countedTokens = prompt + events - EVENTS_WITHOUT_TOKEN
        }
        return failure
    }

    /** Returns the number of tokens used, the estimate if it is not known, or 0 if the request has not run. */
    fun tokens(): Long {
        val estimate = routed.tokens.toLong()
        val known = countedTokens ?: if (isCountMissing) estimate else 0
        return if (hasAttemptOfUnknownOutcome) maxOf(known, estimate) else known
    }
}

private fun countEventMarks(text: String): Int {
    var count = 0
    var index = text.indexOf(EVENT_MARK)
    while (index >= 0) {
        count++
        index = text.indexOf(EVENT_MARK, index + EVENT_MARK.length)
    }
    return count
}

/** Runs [work] if the limits of the request's organisation allow it; returns the refusal otherwise. */
internal suspend fun OrganisationLimits.runWithinLimits(
    routed: RoutedRequest,
    deadline: Instant,
    work: suspend (TokenUsage) -> Unit,
): Refusal? {
    val organisation = routed.organisation
    val decision = admit(organisation.id, routed.tokens.toLong(), deadline)
    if (decision !is LimitDecision.Admitted) return refusalOf(decision, routed)
    val usage = TokenUsage(routed)
    try {
        work(usage)
    } finally {
        withContext(NonCancellable) { finished(organisation.id, decision.id, usage.tokens()) }
    }
    return null
}

private fun refusalOf(
    decision: LimitDecision,
    routed: RoutedRequest,
): Refusal {
    val organisation = routed.organisation
    val refused = decision as? LimitDecision.Refused
    if (refused?.reason == LimitReason.UNANSWERED) {
        return Refusal(
            ErrorKind.OVERLOADED,
            "the limits of organisation ${organisation.id} could not be checked in time",
            "retry after the time in Retry-After",
            retryAfter = refused.retryAfter,
        )
    }
    val (message, remedy) =
        when (refused?.reason) {
            LimitReason.IN_FLIGHT ->
                "organisation ${organisation.id} has ${organisation.requestsInFlight} requests in flight" to
                    "wait for a request to finish"

            LimitReason.TOO_LARGE ->
                "the request may use ${routed.tokens} tokens, the limit is ${organisation.tokensPerMinute} a minute" to
                    "lower max_tokens or ask an operator for a higher limit"

            else ->
                "organisation ${organisation.id} has used its ${organisation.tokensPerMinute} tokens a minute" to
                    "retry after the time in Retry-After"
        }
    return Refusal(
        ErrorKind.RATE_LIMITED,
        message,
        remedy,
        retryAfter = refused?.retryAfter,
        rateLimit = RateLimit(organisation.tokensPerMinute, decision.remaining),
    )
}
