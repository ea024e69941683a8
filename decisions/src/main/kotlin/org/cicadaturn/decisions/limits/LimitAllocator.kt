package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Age range of one number in a copy of the window. */
internal val COPY_GRAIN: Duration = 5.seconds

/** Time between copies of small changes. */
private val COPY_INTERVAL: Duration = 1.seconds

/** A copy is sent at once when more than one part in this many of the open tolerance is unconfirmed. */
private const val COPY_EARLY = 2

/** Copies whose confirmation is awaited; older ones are covered by younger ones. */
private const val MAX_COPIES = 64

/** Wait for a confirmation of the standby, which takes a round trip between entry processes. */
private val CONFIRM_WAIT: Duration = 20.milliseconds

/** Longest wait that is given for the bound on bursts, because what others hold may come back before. */
private val RETRY_SOON: Duration = 500.milliseconds

/** Longest wait that is given for requests in flight, whose end is not known. */
private val SLOT_WAIT: Duration = 500.milliseconds

/**
 * Hands out the budget of one organisation to the entry processes that ask.
 *
 * What was spent counts in the window, what was granted and is not reported yet counts until its lease ends, and
 * then as spent. Both together never pass the part of the limit that belongs to the live processes; the part of a
 * process that is not heard stays reserved for it. The allocator has one owner.
 */
internal class LimitAllocator(
    private val organisation: OrganisationId,
    var limit: OrganisationLimit,
    private val policy: LimitPolicy,
    start: Instant,
    isWindowKnown: Boolean,
) {
    private class Holding {
        var sequence: Long? = null
        var held = 0L
        var slots = 0
        var leaseEnd: Instant = Instant.DISTANT_FUTURE
        var assumed = 0L
        var assumedAt: Instant = Instant.DISTANT_PAST
        var answer: LimitMessage.Grant? = null
    }

    private val window = SlidingWindow(policy.window, policy.slot)
    private val recent = SlidingWindow(policy.burstWindow, policy.slot)
    private val assumedUse = SlidingWindow(policy.window, policy.slot)
    private val holdings = HashMap<ProcessId, Holding>()
    private var heldTokens = 0L
    private var heldSlots = 0
    private var nextLeaseEnd = Instant.DISTANT_FUTURE
    private var unprovenUntil = if (isWindowKnown) start else start + policy.window + policy.lease
    private var granted = 0L
    private var confirmed = 0L
    private val copies = ArrayDeque<Pair<Long, Long>>()
    private var copySequence = 0L
    private var lastCopy = Instant.DISTANT_PAST
    private var hasNews = false

    /** Tokens whose grant the standby has not confirmed. */
    private val unconfirmed: Long get() = granted - confirmed
    private val openUnconfirmed: Long get() = (limit.tokens * policy.tolerance).toLong()

    init {
        if (!isWindowKnown) assumeEvenUse(start)
    }

    /**
     * Counts the limit as spent evenly over the last window, of which nothing is known.
     *
     * The budget then opens at the rate of the limit. Up to the tolerance is open at once, so that the first
     * requests of a fresh process need not wait.
     */
    private fun assumeEvenUse(start: Instant) {
        val n = (policy.window / policy.slot).toInt()
        val all = (limit.tokens * (1 - policy.tolerance)).toLong()
        repeat(n) { i ->
            val share = all * (i + 1) / n - all * i / n
            assumedUse.add(start - policy.slot * (i + 1), share)
        }
    }

    /** Books what [ask] reports and answers it; a repeated ask gets the same answer and books nothing. */
    fun answer(
        from: ProcessId,
        ask: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): LimitMessage.Grant {
        expire(now)
        val holding = holdings.getOrPut(from) { Holding() }
        holding.answer?.let { if (holding.sequence == ask.sequence) return it }
        book(holding, ask, now)
        val wait = grantable(ask, share, now)
        val tokens = if (wait == Duration.ZERO) sizeOf(ask, share, now) else 0
        val slots = slotsFor(holding, ask, share)
        holding.sequence = ask.sequence
        holding.leaseEnd = now + policy.lease
        nextLeaseEnd = minOf(nextLeaseEnd, holding.leaseEnd)
        hold(holding, ask.held + tokens, slots)
        granted += tokens
        if (share.live == 1) confirmed = granted
        hasNews = hasNews || tokens > 0 || ask.spent > 0
        val free = free(share, now).coerceAtLeast(0)
        val waitMs = waitFor(ask, tokens, slots, wait, free).inWholeMilliseconds.toInt()
        return LimitMessage
            .Grant(organisation, ask.sequence, tokens, slots, waitMs, free)
            .also { holding.answer = it }
    }

    private fun book(
        holding: Holding,
        ask: LimitMessage.BudgetRequest,
        now: Instant,
    ) {
        // What an ended lease left behind was booked as spent; the report tells how much of it really was.
        val known = minOf(ask.spent, holding.assumed).coerceAtLeast(0)
        refund(now, holding.assumedAt, holding.assumed - known)
        holding.assumed = 0
        add(now, ask.spent - known)
        ask.refunds.forEach { refund(now, now - it.ageMs.milliseconds, it.tokens) }
        hold(holding, ask.held, ask.running)
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

    /** Returns zero if tokens may be granted for [ask], else the time until that may be so. */
    private fun grantable(
        ask: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): Duration {
        val least = maxOf(1, minOf(ask.least, ask.want))
        val free = free(share, now)
        if (free < least) return timeToFree(least - free, now)
        val burst = burstFree(share, now)
        if (burst < least) return recent.timeToFree(now, least - burst).coerceIn(policy.shortestWait, RETRY_SOON)
        if (share.live > 1 && unconfirmed > 0 && unconfirmed + least > openUnconfirmed) return CONFIRM_WAIT
        return Duration.ZERO
    }

    /** Returns the tokens for [ask]: what is needed, and a part of what is useful while there is plenty. */
    private fun sizeOf(
        ask: LimitMessage.BudgetRequest,
        share: LiveShare,
        now: Instant,
    ): Long {
        val free = minOf(free(share, now), burstFree(share, now))
        val needed = minOf(ask.want, free)
        val spare = minOf(ask.extra, (free - needed) / (2 * share.live)).coerceAtLeast(0)
        if (share.live == 1) return needed + spare
        val open = openUnconfirmed - unconfirmed
        val first = if (unconfirmed == 0L) ask.least else 0
        return minOf(needed + spare, maxOf(open, first)).coerceAtLeast(0)
    }

    private fun slotsFor(
        holding: Holding,
        ask: LimitMessage.BudgetRequest,
        share: LiveShare,
    ): Int {
        val all = share.of(limit.inFlight.toLong()).toInt().coerceAtLeast(1)
        val free = (minOf(all, limit.inFlight) - (heldSlots - holding.slots)).coerceAtLeast(0)
        val needed = maxOf(ask.running, minOf(ask.slots, free))
        val spare = if (ask.slots == 0) 0 else (free - needed).coerceAtLeast(0) / (2 * share.live)
        return needed + minOf(spare, 1 + ask.slots / 4)
    }

    private fun waitFor(
        ask: LimitMessage.BudgetRequest,
        tokens: Long,
        slots: Int,
        wait: Duration,
        free: Long,
    ): Duration =
        when {
            tokens < ask.want && wait > Duration.ZERO -> wait
            tokens < ask.want && free > 0 -> CONFIRM_WAIT
            tokens < ask.want -> policy.shortestWait
            slots < ask.slots -> SLOT_WAIT
            else -> Duration.ZERO
        }

    /** Returns the tokens that may still be granted; negative after the live part shrank or a count was corrected. */
    fun free(
        share: LiveShare,
        now: Instant,
    ): Long {
        expire(now)
        return budget(share, now) - window.total(now) - heldTokens
    }

    /** Returns the tokens that the bound on bursts leaves; one request of any size may run after a pause. */
    private fun burstFree(
        share: LiveShare,
        now: Instant,
    ): Long {
        val used = recent.total(now) + heldTokens
        if (used == 0L) return share.of(limit.tokens)
        val most = share.of(limit.tokens) * policy.burstFactor * (policy.burstWindow / policy.window)
        return most.toLong() - used
    }

    private fun budget(
        share: LiveShare,
        now: Instant,
    ): Long {
        val part = share.of(limit.tokens)
        if (now >= unprovenUntil) return part
        // A minority cannot know what the others still use; they reserve its part only after a window.
        if (!share.isMajority) return (part * policy.unprovenShare).toLong()
        return part - assumedUse.total(now)
    }

    private fun timeToFree(
        missing: Long,
        now: Instant,
    ): Duration {
        val windows = if (now < unprovenUntil) listOf(window, assumedUse) else listOf(window)
        val earliest = windows.minOf { it.timeToFree(now, missing) }
        val lease = if (heldTokens > 0) policy.reportScarce else policy.window
        return minOf(earliest, lease).coerceAtLeast(policy.shortestWait)
    }

    private fun hold(
        holding: Holding,
        tokens: Long,
        slots: Int,
    ) {
        heldTokens += tokens - holding.held
        heldSlots += slots - holding.slots
        holding.held = tokens
        holding.slots = slots
    }

    /** Takes back what a process holds whose lease has ended; its tokens count as spent when the lease ended. */
    private fun expire(now: Instant) {
        if (now < nextLeaseEnd) return
        for (holding in holdings.values) {
            if (holding.leaseEnd > now) continue
            if (holding.held > 0) {
                add(holding.leaseEnd, holding.held)
                holding.assumed = holding.held
                holding.assumedAt = holding.leaseEnd
            }
            hold(holding, 0, 0)
            holding.leaseEnd = Instant.DISTANT_FUTURE
        }
        nextLeaseEnd = holdings.values.minOfOrNull { it.leaseEnd } ?: Instant.DISTANT_FUTURE
    }

    /** True if a copy has to be sent or its confirmation is awaited. */
    val isCopyDue: Boolean get() = hasNews || unconfirmed > 0

    /** Returns the copy that is due for the standby, or null; grants in use count as spent now. */
    fun nextCopy(now: Instant): LimitMessage.WindowCopy? {
        val age = now - lastCopy
        val isMuch = unconfirmed > openUnconfirmed / COPY_EARLY
        val isDue = (hasNews && (isMuch || age >= COPY_INTERVAL)) || (unconfirmed > 0 && age >= policy.resend)
        return if (isDue) copy(now) else null
    }

    /** Returns a copy of all use; grants in use count as spent now. */
    fun copy(now: Instant): LimitMessage.WindowCopy {
        expire(now)
        val slots = window.byAge(now, COPY_GRAIN).toMutableList()
        if (slots.isEmpty()) slots += 0L
        slots[0] += heldTokens
        lastCopy = now
        hasNews = false
        copies.addLast(++copySequence to granted)
        if (copies.size > MAX_COPIES) copies.removeFirst()
        return LimitMessage.WindowCopy(organisation, copySequence, slots, known = now >= unprovenUntil)
    }

    /** Notes that the standby holds copy [sequence]. */
    fun confirm(sequence: Long) {
        while (copies.isNotEmpty() && copies.first().first <= sequence) confirmed = copies.removeFirst().second
    }

    /** Has a copy sent at once, because another process is the standby now. */
    fun requireCopy() {
        copies.clear()
        hasNews = true
        lastCopy = Instant.DISTANT_PAST
    }

    /**
     * Adds the use in [copy], received at [receivedAt].
     *
     * The sum overstates what both sides know in common, and never understates what was granted on two sides of a
     * partition.
     */
    fun merge(
        copy: LimitMessage.WindowCopy,
        receivedAt: Instant,
    ) {
        // The grain may place a charge up to 5 s late, never early.
        copy.slots.forEachIndexed { i, tokens -> add(receivedAt - COPY_GRAIN * i, tokens) }
        // Without this a fresh process could make another fresh process believe that nothing was used.
        if (copy.known) unprovenUntil = Instant.DISTANT_PAST
    }
}
