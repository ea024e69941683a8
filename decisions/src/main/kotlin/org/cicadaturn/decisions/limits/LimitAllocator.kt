package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Age range of one element in a copy of the window. */
internal val COPY_SLOT: Duration = 5.seconds

/** Time between copies while changes are small. */
private val COPY_INTERVAL: Duration = 1.seconds

/** A copy is sent immediately when the unconfirmed tokens exceed their bound divided by this number. */
private const val EARLY_COPY_DIVISOR = 2

/** Most copies whose confirmation is awaited; a newer copy includes the older ones. */
private const val MAX_UNCONFIRMED_COPIES = 64

/** Wait for a confirmation by the standby, which takes a round trip between entry processes. */
private val CONFIRMATION_WAIT: Duration = 20.milliseconds

/** Longest wait because of the burst bound; other processes may return unused budget earlier. */
private val MAX_BURST_WAIT: Duration = 500.milliseconds

/** Wait because of the limit on requests in flight; when one of them ends is not known. */
private val SLOT_WAIT: Duration = 500.milliseconds

/**
 * Grants the budget of one organisation to the entry processes that request it.
 *
 * Spent tokens count in the window. Tokens that were granted and not yet reported count until their lease ends, and
 * then as spent. No grant is made beyond the part of the limit that belongs to the live processes; the part of a
 * process that is not connected stays reserved for it. The allocator has one owner and is not safe for concurrent use.
 */
internal class LimitAllocator(
    private val organisation: OrganisationId,
    var limit: OrganisationLimit,
    private val policy: LimitPolicy,
    start: Instant,
    isWindowKnown: Boolean,
) {
    private class Account {
        var sequence: Long? = null
        var held = 0L
        var slots = 0
        var leaseEnd: Instant = Instant.DISTANT_FUTURE
        var assumedSpent = 0L
        var assumedSpentAt: Instant = Instant.DISTANT_PAST
        var answer: LimitMessage.Grant? = null
    }

    private val window = SlidingWindow(policy.window, policy.slot)
    private val recent = SlidingWindow(policy.burstWindow, policy.slot)
    private val assumedUse = SlidingWindow(policy.window, policy.slot)
    private val accounts = HashMap<ProcessId, Account>()
    private var heldTokens = 0L
    private var heldSlots = 0
    private var nextLeaseEnd = Instant.DISTANT_FUTURE
    private var uncertainUntil = if (isWindowKnown) start else start + policy.window + policy.lease
    private var granted = 0L
    private var confirmed = 0L

    /** Sequence number of each unconfirmed copy, with the total of granted tokens when it was made. */
    private val copies = ArrayDeque<Pair<Long, Long>>()
    private var copySequence = 0L
    private var lastCopy = Instant.DISTANT_PAST
    private var hasUncopiedChanges = false

    /** Granted tokens that the standby has not confirmed. */
    private val unconfirmed: Long get() = granted - confirmed
    private val maxUnconfirmed: Long get() = (limit.tokens * policy.tolerance).toLong()

    init {
        if (!isWindowKnown) assumeEvenUse(start)
    }

    /**
     * Assumes that the limit was spent evenly over the last window, of which nothing is known.
     *
     * Budget then becomes free at the rate of the limit. The tolerance is free immediately, so that the first requests
     * of a new process need not wait.
     */
    private fun assumeEvenUse(start: Instant) {
        val n = (policy.window / policy.slot).toInt()
        val all = (limit.tokens * (1 - policy.tolerance)).toLong()
        repeat(n) { i ->
            val share = all * (i + 1) / n - all * i / n
            assumedUse.add(start - policy.slot * (i + 1), share)
        }
    }

    /** Books the report in [request] and returns the answer; a repeated request gets the same one and is not booked. */
    fun answer(
        from: ProcessId,
        request: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): LimitMessage.Grant {
        expireLeases(now)
        val account = accounts.getOrPut(from) { Account() }
        account.answer?.let { if (account.sequence == request.sequence) return it }
        book(account, request, now)
        val wait = timeUntilGrant(request, share, now)
        val tokens = if (wait == Duration.ZERO) grantSize(request, share, now) else 0
        val slots = slotsFor(account, request, share)
        account.sequence = request.sequence
        account.leaseEnd = now + policy.lease
        nextLeaseEnd = minOf(nextLeaseEnd, account.leaseEnd)
        setHeld(account, request.held + tokens, slots)
        granted += tokens
        if (share.live == 1) confirmed = granted
        hasUncopiedChanges = hasUncopiedChanges || tokens > 0 || request.spent > 0
        val free = free(share, now).coerceAtLeast(0)
        val waitMs = waitTime(request, tokens, slots, wait, free).inWholeMilliseconds.toInt()
        return LimitMessage
            .Grant(organisation, request.sequence, tokens, slots, waitMs, free)
            .also { account.answer = it }
    }

    private fun book(
        account: Account,
        request: LimitMessage.BudgetRequest,
        now: Instant,
    ) {
        // Tokens held at the end of a lease were booked as spent; the report shows how many of them were really spent.
        val known = minOf(request.spent, account.assumedSpent).coerceAtLeast(0)
        refund(now, account.assumedSpentAt, account.assumedSpent - known)
        account.assumedSpent = 0
        add(now, request.spent - known)
        request.refunds.forEach { refund(now, now - it.ageMs.milliseconds, it.tokens) }
        setHeld(account, request.held, request.running)
    }

    private fun add(
        at: Instant,
        tokens: Long,
    ) {
        window.add(at, tokens)
        recent.add(at, tokens)
    }

    private fun refund(
        now: Instant,
        at: Instant,
        tokens: Long,
    ) {
        window.refund(now, at, tokens)
        recent.refund(now, at, tokens)
    }

    /** Returns zero if tokens may be granted for [request], otherwise the estimated time until then. */
    private fun timeUntilGrant(
        request: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): Duration {
        val least = maxOf(1, minOf(request.least, request.want))
        val free = free(share, now)
        if (free < least) return timeToFree(least - free, now)
        val burst = burstFree(share, now)
        if (burst < least) return recent.timeToFree(now, least - burst).coerceIn(policy.minWait, MAX_BURST_WAIT)
        if (share.live > 1 && unconfirmed > 0 && unconfirmed + least > maxUnconfirmed) return CONFIRMATION_WAIT
        return Duration.ZERO
    }

    /** Returns the tokens to grant for [request]: those it wants, and a share of the extra ones if enough are free. */
    private fun grantSize(
        request: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): Long {
        val free = minOf(free(share, now), burstFree(share, now))
        val needed = minOf(request.want, free)
        val spare = minOf(request.extra, (free - needed) / (2 * share.live)).coerceAtLeast(0)
        if (share.live == 1) return needed + spare
        val allowed = maxUnconfirmed - unconfirmed
        // Without unconfirmed tokens, one request above the bound is granted, or it could never run.
        val least = if (unconfirmed == 0L) request.least else 0
        return minOf(needed + spare, maxOf(allowed, least)).coerceAtLeast(0)
    }

    private fun slotsFor(
        account: Account,
        request: LimitMessage.BudgetRequest,
        share: LiveShare,
    ): Int {
        val all = share.of(limit.inFlight.toLong()).toInt().coerceAtLeast(1)
        val free = (minOf(all, limit.inFlight) - (heldSlots - account.slots)).coerceAtLeast(0)
        val needed = maxOf(request.running, minOf(request.slots, free))
        val spare = if (request.slots == 0) 0 else (free - needed).coerceAtLeast(0) / (2 * share.live)
        return needed + minOf(spare, 1 + request.slots / 4)
    }

    private fun waitTime(
        request: LimitMessage.BudgetRequest,
        tokens: Long,
        slots: Int,
        wait: Duration,
        free: Long,
    ): Duration =
        when {
            tokens < request.want && wait > Duration.ZERO -> wait
            tokens < request.want && free > 0 -> CONFIRMATION_WAIT
            tokens < request.want -> policy.minWait
            slots < request.slots -> SLOT_WAIT
            else -> Duration.ZERO
        }

    /** Returns the tokens that may still be granted; negative after the live part shrank or a count was corrected. */
    fun free(
        share: LiveShare,
        now: Instant,
    ): Long {
        expireLeases(now)
        return budget(share, now) - window.total(now) - heldTokens
    }

    /** Returns the tokens that the burst bound permits; after a pause, one request of any size may run. */
    private fun burstFree(
        share: LiveShare,
        now: Instant,
    ): Long {
        val used = recent.total(now) + heldTokens
        if (used == 0L) return share.of(limit.tokens)
        val maxInBurst = share.of(limit.tokens) * policy.burstFactor * (policy.burstWindow / policy.window)
        return maxInBurst.toLong() - used
    }

    private fun budget(
        share: LiveShare,
        now: Instant,
    ): Long {
        val part = share.of(limit.tokens)
        if (now >= uncertainUntil) return part
        // A minority cannot know the use of the others, which reserve its part only after one window.
        if (!share.isMajority) return (part * policy.minorityShare).toLong()
        return part - assumedUse.total(now)
    }

    private fun timeToFree(
        missing: Long,
        now: Instant,
    ): Duration {
        val windows = if (now < uncertainUntil) listOf(window, assumedUse) else listOf(window)
        val earliest = windows.minOf { it.timeToFree(now, missing) }
        val nextReport = if (heldTokens > 0) policy.scarceReportInterval else policy.window
        return minOf(earliest, nextReport).coerceAtLeast(policy.minWait)
    }

    private fun setHeld(
        account: Account,
        tokens: Long,
        slots: Int,
    ) {
        heldTokens += tokens - account.held
        heldSlots += slots - account.slots
        account.held = tokens
        account.slots = slots
    }

    /** Revokes the grants whose lease has ended; their tokens count as spent at the end of the lease. */
    private fun expireLeases(now: Instant) {
        if (now < nextLeaseEnd) return
        for (account in accounts.values) {
            if (account.leaseEnd > now) continue
            if (account.held > 0) {
                add(account.leaseEnd, account.held)
                account.assumedSpent = account.held
                account.assumedSpentAt = account.leaseEnd
            }
            setHeld(account, 0, 0)
            account.leaseEnd = Instant.DISTANT_FUTURE
        }
        nextLeaseEnd = accounts.values.minOfOrNull { it.leaseEnd } ?: Instant.DISTANT_FUTURE
    }

    /** True if a copy must be sent or its confirmation is awaited. */
    val isCopyDue: Boolean get() = hasUncopiedChanges || unconfirmed > 0

    /** Returns the copy that is due for the standby, or null. */
    fun nextCopy(now: Instant): LimitMessage.WindowCopy? {
        val age = now - lastCopy
        val isLargeChange = unconfirmed > maxUnconfirmed / EARLY_COPY_DIVISOR
        val isDue =
            (hasUncopiedChanges && (isLargeChange || age >= COPY_INTERVAL)) ||
                (unconfirmed > 0 && age >= policy.resendInterval)
        return if (isDue) copy(now) else null
    }

    /** Returns a copy of all use, in which granted tokens count as spent now. */
    fun copy(now: Instant): LimitMessage.WindowCopy {
        expireLeases(now)
        val slots = window.byAge(now, COPY_SLOT).toMutableList()
        if (slots.isEmpty()) slots += 0L
        slots[0] += heldTokens
        lastCopy = now
        hasUncopiedChanges = false
        copies.addLast(++copySequence to granted)
        if (copies.size > MAX_UNCONFIRMED_COPIES) copies.removeFirst()
        return LimitMessage.WindowCopy(organisation, copySequence, slots, known = now >= uncertainUntil)
    }

    /** Records that the standby has received copy [sequence]. */
    fun confirm(sequence: Long) {
        while (copies.isNotEmpty() && copies.first().first <= sequence) confirmed = copies.removeFirst().second
    }

    /** Makes a copy due immediately, because the standby has changed. */
    fun requireCopy() {
        copies.clear()
        hasUncopiedChanges = true
        lastCopy = Instant.DISTANT_PAST
    }

    /**
     * Adds the use in [copy], which was received at [receivedAt].
     *
     * Use that both sides know is counted twice, but grants on both sides of a partition are never understated.
     */
    fun merge(
        copy: LimitMessage.WindowCopy,
        receivedAt: Instant,
    ) {
        // The resolution of the copy may place a charge up to 5 s late, but never early.
        copy.slots.forEachIndexed { i, tokens -> add(receivedAt - COPY_SLOT * i, tokens) }
        // A copy from a new process that does not know the window must not make the window known to another one.
        if (copy.known) uncertainUntil = Instant.DISTANT_PAST
    }
}
