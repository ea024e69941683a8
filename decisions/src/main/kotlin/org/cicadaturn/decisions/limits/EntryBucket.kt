package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.LimitRefund
import org.cicadaturn.schema.generated.OrganisationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Most requests of one organisation that wait at one entry process; further ones are refused immediately. */
private const val MAX_WAITING = 1_000

/** Period whose expected use is requested in advance, so that requests need not wait for a round trip. */
private val PREFETCH_TIME: Duration = 2.seconds

/**
 * Number of requests within twice the prefetch time from which on budget is prefetched. At the design scale, a process
 * gets one request of an organisation every 40 s; prefetching for so few would only add messages.
 */
private const val MIN_PREFETCH_CALLS = 3

/** Budget is scarce when less than the limit divided by this number is free. */
private const val SCARCE_DIVISOR = 5

/**
 * Part of the budget of one organisation that is granted to this entry process.
 *
 * A request is charged with its estimated tokens when it is admitted; the charge is corrected to the real count when
 * the request finishes. The lease of a grant starts here when the budget request is sent, and at the allocator when it
 * is answered, so a grant is never used after the allocator's lease has ended. The bucket has one owner and is not
 * safe for concurrent use.
 */
internal class EntryBucket(
    private val organisation: OrganisationId,
    var limit: OrganisationLimit,
    private val policy: LimitPolicy,
    firstSequence: Long,
) {
    private class Charge(
        val estimate: Long,
        val at: Instant,
        var reportedAt: Instant? = null,
    )

    private class Sent(
        val request: LimitMessage.BudgetRequest,
        val firstAt: Instant,
        var lastAt: Instant,
    )

    private val running = HashMap<Long, Charge>()
    private val unreported = ArrayList<Charge>()
    private val waiting = ArrayDeque<LimitRequest>()
    private val recentUse = SlidingWindow(PREFETCH_TIME * 2, policy.slot)
    private val recentCalls = SlidingWindow(PREFETCH_TIME * 2, policy.slot)
    private val refunds = ArrayList<Pair<Instant, Long>>()
    private var held = 0L
    private var slots = 0
    private var leaseEnd = Instant.DISTANT_PAST
    private var spent = 0L
    private var sequence = firstSequence
    private var sent: Sent? = null
    private var lastRequestAt = Instant.DISTANT_PAST
    private var notBefore = Instant.DISTANT_PAST
    private var lastUse = Instant.DISTANT_PAST

    /** Tokens that the organisation has left over all entry processes, as last reported. */
    var remaining: Long = limit.tokens
        private set

    /** True if no request waits, no budget request is unanswered and nothing has to be reported. */
    val isIdle: Boolean
        get() = waiting.isEmpty() && sent == null && !hasUnreportedState

    private val hasUnreportedState: Boolean
        get() = spent != 0L || refunds.isNotEmpty() || held != 0L || running.isNotEmpty() || slots > 0

    /** Decides on [request], or queues it until a grant arrives. */
    fun request(
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        if (request.tokens > limit.tokens) return LimitDecision.Refused(LimitReason.TOO_LARGE, policy.window, remaining)
        if (waiting.isEmpty() && mayRun(request, now)) return admit(request, now)
        val isTooLate = maxOf(now, notBefore) > request.waitUntil
        if (isTooLate || waiting.size >= MAX_WAITING) return refuse(request, now)
        waiting.addLast(request)
        return LimitDecision.Waiting(remaining)
    }

    /** Removes a waiting request whose caller has disconnected. */
    fun withdraw(id: Long) {
        waiting.removeAll { it.id == id }
    }

    private fun mayRun(
        request: LimitRequest,
        now: Instant,
    ): Boolean = now < leaseEnd && request.tokens <= held.coerceAtLeast(0) && running.size < slots

    private fun admit(
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        val charge = Charge(request.tokens, now)
        running[request.id] = charge
        unreported += charge
        held -= request.tokens
        spent += request.tokens
        recentUse.add(now, request.tokens)
        recentCalls.add(now, 1)
        lastUse = now
        remaining = (remaining - request.tokens).coerceAtLeast(0)
        return LimitDecision.Admitted(request.id, remaining)
    }

    /** True if the last grant was too small; otherwise no limit is known to be used, and only an answer is late. */
    private fun isWaitImposed(now: Instant): Boolean = now < notBefore

    private fun refuse(
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        val reason =
            when {
                !isWaitImposed(now) -> LimitReason.UNANSWERED
                running.size >= slots && held >= request.tokens -> LimitReason.IN_FLIGHT
                else -> LimitReason.TOKENS
            }
        val retryAfter = (notBefore - now).coerceIn(policy.minWait, policy.window)
        return LimitDecision.Refused(reason, retryAfter, remaining)
    }

    /** Corrects the charge of request [id] to [tokens], its real count. */
    fun finished(
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        val charge = running.remove(id) ?: return
        val unused = charge.estimate - tokens
        val reportedAt = charge.reportedAt
        if (reportedAt == null) {
            // The charge has not been reported, so the unused tokens stay in this bucket until the lease ends.
            unreported.remove(charge)
            spent -= unused
            if (now < leaseEnd) held += unused
        } else if (unused > 0) {
            refunds += reportedAt to unused
        } else {
            spent -= unused
            if (now < leaseEnd) held += unused
        }
        recentUse.refund(now, charge.at, unused)
    }

    /** Returns the decisions on waiting requests that can be decided now, in order of arrival. */
    fun settle(now: Instant): List<SettledRequest> {
        if (waiting.isEmpty()) return emptyList()
        if (now >= leaseEnd) held = 0
        val settled = ArrayList<SettledRequest>()
        while (waiting.isNotEmpty() && mayRun(waiting.first(), now)) {
            val request = waiting.removeFirst()
            settled += SettledRequest(organisation, request.id, admit(request, now))
        }
        val late = waiting.filter { now >= if (isWaitImposed(now)) it.waitUntil else it.answerUntil }
        if (late.isEmpty()) return settled
        waiting.removeAll(late.toSet())
        return settled + late.map { SettledRequest(organisation, it.id, refuse(it, now)) }
    }

    /** Applies a grant. A grant for any other than the unanswered budget request, such as a duplicate, is ignored. */
    fun applyGrant(
        grant: LimitMessage.Grant,
        now: Instant,
    ) {
        val unanswered = sent ?: return
        if (grant.sequence != unanswered.request.sequence) return
        sent = null
        if (now >= leaseEnd) held = 0
        leaseEnd = unanswered.firstAt + policy.lease
        if (now < leaseEnd) held += grant.tokens
        slots = grant.slots
        remaining = grant.free
        notBefore = if (grant.waitMs == 0) now else now + grant.waitMs.milliseconds
    }

    /** Prepares for a new allocator: the unanswered report to the previous one is sent again. */
    fun allocatorChanged() {
        restoreUnanswered()
        lastRequestAt = Instant.DISTANT_PAST
        notBefore = Instant.DISTANT_PAST
    }

    private fun restoreUnanswered() {
        val unanswered = sent ?: return
        // The previous allocator may have booked this report. Booking it twice overstates use for one window.
        sent = null
        spent += unanswered.request.spent
        for (refund in unanswered.request.refunds) {
            refunds += (unanswered.firstAt - refund.ageMs.milliseconds + policy.slot) to refund.tokens
        }
    }

    /** Returns the budget request that is due, or null; a repeated one is equal to the first. */
    fun nextBudgetRequest(now: Instant): LimitMessage.BudgetRequest? {
        if (now >= leaseEnd && held != 0L) held = 0
        sent?.let { unanswered ->
            if (now - unanswered.firstAt >= policy.lease) {
                restoreUnanswered()
            } else {
                if (now - unanswered.lastAt < policy.resendInterval) return null
                unanswered.lastAt = now
                return unanswered.request
            }
        }
        if (!isRequestDue(now)) return null
        val request = newBudgetRequest(now)
        sent = Sent(request, now, now)
        lastRequestAt = now
        return request
    }

    private val isScarce: Boolean get() = remaining < limit.tokens / SCARCE_DIVISOR

    private fun isRequestDue(now: Instant): Boolean {
        if (waiting.isNotEmpty() && now >= notBefore) return true
        if (!hasUnreportedState) return false
        // The slots of running requests need a renewal only before the lease ends.
        val isUrgent = isScarce && (spent != 0L || refunds.isNotEmpty() || held != 0L)
        val interval = if (isUrgent || held < 0) policy.scarceReportInterval else policy.normalReportInterval
        if (now - lastRequestAt >= interval) return true
        // Less than half of the use expected in the prefetch time is left: requests budget before a request must wait.
        val isFrequent = recentCalls.total(now) >= MIN_PREFETCH_CALLS
        val isLow =
            isFrequent && !isScarce && held < prefetchTokens(now) / 2 && now - lastRequestAt >= PREFETCH_TIME / 2
        return isLow && now >= notBefore
    }

    private fun prefetchTokens(now: Instant): Long =
        if (recentCalls.total(now) < MIN_PREFETCH_CALLS) 0 else recentUse.total(now) / 2

    private fun newBudgetRequest(now: Instant): LimitMessage.BudgetRequest {
        val needed = waiting.sumOf { it.tokens }
        val prefetch = if (isScarce) 0 else prefetchTokens(now)
        val isInUse = waiting.isNotEmpty() || now - lastUse < policy.scarceReportInterval * 2
        held = if (isInUse) held.coerceAtMost(needed + 2 * prefetch) else held.coerceAtMost(0)
        val want = (needed - held).coerceAtLeast(0)
        val least = waiting.firstOrNull()?.let { (it.tokens - held).coerceAtLeast(0) } ?: 0
        val returned = refunds.map { (at, tokens) -> LimitRefund(ageMs(at, now), tokens) }
        val request =
            LimitMessage.BudgetRequest(
                organisation = organisation,
                sequence = ++sequence,
                spent = spent,
                held = held.coerceAtLeast(0),
                least = minOf(least, want),
                want = want,
                extra = (needed + prefetch - held - want).coerceAtLeast(0),
                running = running.size,
                slots = if (isInUse) running.size + waiting.size else running.size,
                refunds = returned,
            )
        unreported.forEach { it.reportedAt = now }
        unreported.clear()
        refunds.clear()
        spent = 0
        // Charges above the grant are part of the report; a negative balance here would count them twice.
        held = held.coerceAtLeast(0)
        if (!isInUse) slots = running.size
        return request
    }

    /** Returns the age of a reported charge, plus one slot because the two reports may have different latencies. */
    private fun ageMs(
        at: Instant,
        now: Instant,
    ): Int = (now - at + policy.slot).inWholeMilliseconds.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}
