package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.LimitRefund
import org.cicadaturn.schema.generated.OrganisationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Requests of one organisation that wait at one entry process; a further one is refused at once. */
private const val MAX_WAITING = 1_000

/** Time for whose use an entry process asks ahead, so that requests need not wait for a round trip. */
private val PREFETCH: Duration = 2.seconds

/**
 * Requests in twice the prefetch time from which on an entry process asks ahead. At the design scale a process has
 * a request of one organisation every 40 s, for which asking ahead would only add messages.
 */
private const val STEADY_CALLS = 3

/** Budget is scarce when less than one part in this many is free. */
private const val SCARCE_PART = 5

/**
 * Is the part of one organisation's budget that this entry process holds.
 *
 * A request is charged by its estimate when it is admitted and corrected to the real count when it finishes. A
 * grant may be used until its lease ends, counted from the sending of the ask, so the allocator's end of the lease
 * is never earlier. The bucket has one owner.
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
        val ask: LimitMessage.BudgetRequest,
        val firstAt: Instant,
        var lastAt: Instant,
    )

    private val running = HashMap<Long, Charge>()
    private val unreported = ArrayList<Charge>()
    private val waiting = ArrayDeque<LimitRequest>()
    private val recentUse = SlidingWindow(PREFETCH * 2, policy.slot)
    private val recentCalls = SlidingWindow(PREFETCH * 2, policy.slot)
    private val refunds = ArrayList<Pair<Instant, Long>>()
    private var held = 0L
    private var slots = 0
    private var leaseEnd = Instant.DISTANT_PAST
    private var spent = 0L
    private var sequence = firstSequence
    private var sent: Sent? = null
    private var lastAsk = Instant.DISTANT_PAST
    private var notBefore = Instant.DISTANT_PAST
    private var lastUse = Instant.DISTANT_PAST

    /** Tokens that the organisation has left over all entry processes, as last heard. */
    var remaining: Long = limit.tokens
        private set

    /** True if there is nothing to settle or to report. */
    val isIdle: Boolean
        get() = waiting.isEmpty() && sent == null && !hasNews

    private val hasNews: Boolean
        get() = spent != 0L || refunds.isNotEmpty() || held != 0L || running.isNotEmpty() || slots > 0

    /** Decides on [request], or lets it wait for a grant. */
    fun request(
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        if (request.tokens > limit.tokens) return LimitDecision.Refused(LimitReason.TOO_LARGE, policy.window, remaining)
        if (waiting.isEmpty() && mayRun(request, now)) return admit(request, now)
        val isHopeless = maxOf(now, notBefore) > request.waitUntil
        if (isHopeless || waiting.size >= MAX_WAITING) return refuse(request, now)
        waiting.addLast(request)
        return LimitDecision.Waiting(remaining)
    }

    /** Forgets a request that waits, because its caller has gone. */
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

    private fun refuse(
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        val reason = if (running.size >= slots && held >= request.tokens) LimitReason.IN_FLIGHT else LimitReason.TOKENS
        val retryAfter = (notBefore - now).coerceIn(policy.shortestWait, policy.window)
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
            // The allocator has not heard of the charge: the rest is still held, as long as its lease lasts.
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

    /** Decides on the requests that wait and can be decided now, in order of arrival. */
    fun settle(now: Instant): List<SettledRequest> {
        if (waiting.isEmpty()) return emptyList()
        if (now >= leaseEnd) held = 0
        val settled = ArrayList<SettledRequest>()
        while (waiting.isNotEmpty() && mayRun(waiting.first(), now)) {
            val request = waiting.removeFirst()
            settled += SettledRequest(organisation, request.id, admit(request, now))
        }
        // Without a wait from the allocator the budget is not used up; its answer is only late.
        val isTold = now < notBefore
        val late = waiting.filter { now >= if (isTold) it.waitUntil else it.answerUntil }
        if (late.isEmpty()) return settled
        waiting.removeAll(late.toSet())
        return settled + late.map { SettledRequest(organisation, it.id, refuse(it, now)) }
    }

    /** Takes a grant; an answer to another ask than the present one, such as a repeated one, is ignored. */
    fun granted(
        grant: LimitMessage.Grant,
        now: Instant,
    ) {
        val present = sent ?: return
        if (grant.sequence != present.ask.sequence) return
        sent = null
        if (now >= leaseEnd) held = 0
        leaseEnd = present.firstAt + policy.lease
        if (now < leaseEnd) held += grant.tokens
        slots = grant.slots
        remaining = grant.free
        notBefore = if (grant.waitMs == 0) now else now + grant.waitMs.milliseconds
    }

    /** Prepares for another allocator: what was sent to the last one is reported again. */
    fun allocatorChanged() {
        restore()
        lastAsk = Instant.DISTANT_PAST
        notBefore = Instant.DISTANT_PAST
    }

    private fun restore() {
        val lost = sent ?: return
        // The last allocator may have booked this ask; counting it twice overstates use for one window.
        sent = null
        spent += lost.ask.spent
        lost.ask.refunds.forEach { refunds += (lost.firstAt - it.ageMs.milliseconds + policy.slot) to it.tokens }
    }

    /** Returns the ask that is due, or null; a repeated ask is equal to the first. */
    fun nextAsk(now: Instant): LimitMessage.BudgetRequest? {
        if (now >= leaseEnd && held != 0L) held = 0
        sent?.let { present ->
            if (now - present.firstAt >= policy.lease) {
                restore()
            } else {
                if (now - present.lastAt < policy.resend) return null
                present.lastAt = now
                return present.ask
            }
        }
        if (!isAskDue(now)) return null
        val ask = newAsk(now)
        sent = Sent(ask, now, now)
        lastAsk = now
        return ask
    }

    private val isScarce: Boolean get() = remaining < limit.tokens / SCARCE_PART

    private fun isAskDue(now: Instant): Boolean {
        if (waiting.isNotEmpty() && now >= notBefore) return true
        if (!hasNews) return false
        // Running requests and their slots need a renewal only before the lease ends.
        val isUrgent = isScarce && (spent != 0L || refunds.isNotEmpty() || held != 0L)
        val every = if (isUrgent || held < 0) policy.reportScarce else policy.reportPlentiful
        if (now - lastAsk >= every) return true
        // Half of what is used in a prefetch time is left: ask before a request has to wait.
        val isSteady = recentCalls.total(now) >= STEADY_CALLS
        val isLow = isSteady && !isScarce && held < useAhead(now) / 2 && now - lastAsk >= PREFETCH / 2
        return isLow && now >= notBefore
    }

    private fun useAhead(now: Instant): Long =
        if (recentCalls.total(now) < STEADY_CALLS) 0 else recentUse.total(now) / 2

    private fun newAsk(now: Instant): LimitMessage.BudgetRequest {
        val needed = waiting.sumOf { it.tokens }
        val ahead = if (isScarce) 0 else useAhead(now)
        val isInUse = waiting.isNotEmpty() || now - lastUse < policy.reportScarce * 2
        held = if (isInUse) held.coerceAtMost(needed + 2 * ahead) else held.coerceAtMost(0)
        val want = (needed - held).coerceAtLeast(0)
        val least = waiting.firstOrNull()?.let { (it.tokens - held).coerceAtLeast(0) } ?: 0
        val returned = refunds.map { (at, tokens) -> LimitRefund(ageMs(at, now), tokens) }
        val ask =
            LimitMessage.BudgetRequest(
                organisation = organisation,
                sequence = ++sequence,
                spent = spent,
                held = held.coerceAtLeast(0),
                least = minOf(least, want),
                want = want,
                extra = (needed + ahead - held - want).coerceAtLeast(0),
                running = running.size,
                slots = if (isInUse) running.size + waiting.size else running.size,
                refunds = returned,
            )
        unreported.forEach { it.reportedAt = now }
        unreported.clear()
        refunds.clear()
        spent = 0
        // Charges above the grant are in the report; keeping the debt here would count them twice.
        held = held.coerceAtLeast(0)
        if (!isInUse) slots = running.size
        return ask
    }

    /** Age of a reported charge, rounded up by a slot because the two reports may take unequal time. */
    private fun ageMs(
        at: Instant,
        now: Instant,
    ): Int = (now - at + policy.slot).inWholeMilliseconds.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}
