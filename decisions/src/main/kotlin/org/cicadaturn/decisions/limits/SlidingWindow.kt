package org.cicadaturn.decisions.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Sum of tokens over a sliding time window that is divided into slots.
 *
 * A slot is removed when its youngest possible charge is older than the window, so the resolution can only overstate
 * use. The window has one owner and is not safe for concurrent use. A clock that runs backwards is treated as stopped.
 */
internal class SlidingWindow(
    private val length: Duration,
    slot: Duration,
) {
    private class Slot(
        val index: Long,
        var tokens: Long,
    )

    private val slotMs = slot.inWholeMilliseconds
    private val lengthMs = length.inWholeMilliseconds
    private val slots = ArrayDeque<Slot>()
    private var sum = 0L
    private var latest = Long.MIN_VALUE

    /** Charges [tokens] at [at], which may be before the time of an earlier charge. */
    fun add(
        at: Instant,
        tokens: Long,
    ) {
        if (tokens <= 0) return
        val index = indexOf(at)
        var i = slots.size
        while (i > 0 && slots[i - 1].index > index) i--
        if (i > 0 && slots[i - 1].index == index) slots[i - 1].tokens += tokens else slots.add(i, Slot(index, tokens))
        sum += tokens
    }

    /**
     * Refunds [tokens] of a charge made at [at] and returns how many were refunded.
     *
     * Nothing is refunded for a charge that has left the window; otherwise the refund would reduce other charges.
     * Tokens are taken from the slot of [at], then from older slots. Younger slots are used only when the older ones
     * are empty: a refund there would understate use after the slot of the original charge has left the window.
     */
    fun refund(
        now: Instant,
        at: Instant,
        tokens: Long,
    ): Long {
        removeExpired(now)
        val index = indexOf(at)
        if (expiryOf(index) <= latest) return 0
        var left = tokens
        for (i in slots.indices.reversed()) if (slots[i].index <= index) left -= take(slots[i], left)
        for (slot in slots) if (slot.index > index) left -= take(slot, left)
        return tokens - left
    }

    private fun take(
        slot: Slot,
        max: Long,
    ): Long {
        val taken = minOf(slot.tokens, max).coerceAtLeast(0)
        slot.tokens -= taken
        sum -= taken
        return taken
    }

    /** Returns the tokens that count at [now]. */
    fun total(now: Instant): Long {
        removeExpired(now)
        return sum
    }

    /** Returns the time until [tokens] of the current charges have left, or the window length if there are fewer. */
    fun timeToFree(
        now: Instant,
        tokens: Long,
    ): Duration {
        removeExpired(now)
        var freed = 0L
        for (slot in slots) {
            freed += slot.tokens
            if (freed >= tokens) return (expiryOf(slot.index) - now.toEpochMilliseconds()).coerceAtLeast(0).milliseconds
        }
        return length
    }

    /** Returns the tokens by age in groups of [groupLength], the youngest first; each slot is aged from its end. */
    fun byAge(
        now: Instant,
        groupLength: Duration,
    ): List<Long> {
        removeExpired(now)
        val groups = LongArray(((lengthMs + slotMs) / groupLength.inWholeMilliseconds).toInt() + 1)
        for (slot in slots) {
            val age = (now.toEpochMilliseconds() - (slot.index + 1) * slotMs).coerceAtLeast(0)
            val group = (age / groupLength.inWholeMilliseconds).toInt().coerceAtMost(groups.lastIndex)
            groups[group] += slot.tokens
        }
        return groups.toList().dropLastWhile { it == 0L }
    }

    private fun removeExpired(now: Instant) {
        latest = maxOf(latest, now.toEpochMilliseconds())
        while (slots.isNotEmpty() && expiryOf(slots.first().index) <= latest) sum -= slots.removeFirst().tokens
    }

    private fun expiryOf(index: Long): Long = (index + 1) * slotMs + lengthMs

    private fun indexOf(at: Instant): Long = Math.floorDiv(at.toEpochMilliseconds(), slotMs)
}
