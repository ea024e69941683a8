package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Instant

/**
 * Is what one step of a [LimitNode] brought.
 *
 * @property messages messages for other entry processes, in order
 * @property settled requests that waited and are decided
 */
public data class LimitStep(
    val messages: List<AddressedMessage>,
    val settled: List<SettledRequest>,
)

/** Shows one organisation at one entry process; [free] is set at the allocator only. */
public data class LimitState(
    val organisation: OrganisationId,
    val allocator: ProcessId,
    val remaining: Long,
    val free: Long?,
)

/**
 * Holds the limits at one entry process: the bucket of each organisation in use, and the allocator of each
 * organisation that rendezvous hashing places here.
 *
 * It is a state machine without effects: events come in with the time, [step] returns what has to be sent. It has
 * one owner.
 *
 * @property self this process
 * @property policy constants
 * @property firstSequence first sequence number of asks, drawn at random, so that a restarted process does not
 * repeat the numbers of its last run
 */
public class LimitNode(
    private val self: ProcessId,
    private val policy: LimitPolicy,
    private val firstSequence: Long,
) {
    private class Tracked(
        var limit: OrganisationLimit,
    ) {
        var place: LimitPlace? = null
        var standbySince: Instant? = null
        var copy: LimitMessage.WindowCopy? = null
        var copyAt: Instant = Instant.DISTANT_PAST
        var allocator: LimitAllocator? = null
        var bucket: EntryBucket? = null
    }

    private val tracked = LinkedHashMap<OrganisationId, Tracked>()
    private val active = LinkedHashSet<OrganisationId>()
    private val outbox = ArrayList<AddressedMessage>()
    private var view = MembershipView(1, setOf(self))

    /** True if a later [step] may have something to send or to settle. */
    public val isActive: Boolean get() = active.isNotEmpty() || outbox.isNotEmpty()

    /** Replaces the limits; buckets of organisations that stay keep their state. */
    public fun configure(
        limits: Map<OrganisationId, OrganisationLimit>,
        now: Instant,
    ) {
        val removed = tracked.keys - limits.keys
        removed.forEach {
            tracked.remove(it)
            active.remove(it)
        }
        limits.forEach { (id, limit) ->
            val present = tracked.getOrPut(id) { Tracked(limit) }
            present.limit = limit
            present.allocator?.limit = limit
            present.bucket?.limit = limit
        }
        updatePlaces(now)
    }

    /** Replaces the view of the entry processes; state moves to the processes that allocate from now on. */
    public fun updateMembership(
        view: MembershipView,
        now: Instant,
    ) {
        require(self in view.live) { "the view must hold this process $self" }
        if (view == this.view) return
        this.view = view
        updatePlaces(now)
    }

    private fun updatePlaces(now: Instant) {
        placesOf(tracked.keys, view.live).forEach { (id, place) ->
            val present = tracked.getValue(id)
            if (place != present.place) move(id, present, place, now)
        }
    }

    private fun move(
        id: OrganisationId,
        present: Tracked,
        place: LimitPlace,
        now: Instant,
    ) {
        val old = present.place
        present.place = place
        if (old != null && old.allocator != place.allocator) {
            present.bucket?.allocatorChanged()
            if (old.allocator == self) handOver(present, place.allocator, now)
        }
        if (place.allocator == self && old?.allocator != self) takeOver(id, present, old, now)
        if (place.standby != self) {
            present.standbySince = null
            present.copy = null
        } else if (old?.standby != self) {
            present.standbySince = now
        }
        if (place.allocator == self && old?.standby != place.standby) present.allocator?.requireCopy()
        active += id
    }

    private fun handOver(
        present: Tracked,
        next: ProcessId,
        now: Instant,
    ) {
        present.allocator?.let { outbox += AddressedMessage(next, it.copy(now)) }
        present.allocator = null
    }

    private fun takeOver(
        id: OrganisationId,
        present: Tracked,
        old: LimitPlace?,
        now: Instant,
    ) {
        val copy = present.copy
        val since = present.standbySince
        val heardAll = old?.standby == self && since != null && now - since >= policy.window
        val allocator = LimitAllocator(id, present.limit, policy, now, isWindowKnown = heardAll)
        if (copy != null) allocator.merge(copy, present.copyAt)
        present.allocator = allocator
    }

    /** Decides on [request] of [organisation]; an unknown organisation is refused. */
    public fun request(
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        val present =
            tracked[organisation]
                ?: return LimitDecision.Refused(LimitReason.TOO_LARGE, policy.window, 0)
        val bucket =
            present.bucket
                ?: EntryBucket(organisation, present.limit, policy, firstSequence).also { present.bucket = it }
        active += organisation
        return bucket.request(request, now)
    }

    /** Notes that request [id] ended and used [tokens]; 0 if it has not run. */
    public fun finished(
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        tracked[organisation]?.bucket?.finished(id, tokens, now)
        active += organisation
    }

    /** Forgets a request that waits. */
    public fun withdraw(
        organisation: OrganisationId,
        id: Long,
    ) {
        tracked[organisation]?.bucket?.withdraw(id)
    }

    /** Takes [message] from the entry process [from]. */
    public fun receive(
        from: ProcessId,
        message: LimitMessage,
        now: Instant,
    ) {
        when (message) {
            is LimitMessage.BudgetRequest -> answer(from, message, now)
            is LimitMessage.Grant -> granted(from, message, now)
            is LimitMessage.WindowCopy -> copied(from, message, now)
            is LimitMessage.WindowCopyAck -> confirmed(from, message)
        }
    }

    private fun answer(
        from: ProcessId,
        ask: LimitMessage.BudgetRequest,
        now: Instant,
    ) {
        // An ask by another view gets no answer: two allocators must not grant the same budget.
        val allocator = tracked[ask.organisation]?.allocator ?: return
        outbox += AddressedMessage(from, allocator.answer(from, ask, view.share, now))
        active += ask.organisation
    }

    private fun granted(
        from: ProcessId,
        grant: LimitMessage.Grant,
        now: Instant,
    ) {
        val present = tracked[grant.organisation] ?: return
        if (present.place?.allocator == from) present.bucket?.granted(grant, now)
        active += grant.organisation
    }

    private fun copied(
        from: ProcessId,
        copy: LimitMessage.WindowCopy,
        now: Instant,
    ) {
        val present = tracked[copy.organisation] ?: return
        val place = present.place ?: return
        if (place.allocator == self) {
            present.allocator?.merge(copy, now)
        } else if (place.allocator == from && place.standby == self) {
            present.copy = copy
            present.copyAt = now
            outbox += AddressedMessage(from, LimitMessage.WindowCopyAck(copy.organisation, copy.sequence))
        }
    }

    private fun confirmed(
        from: ProcessId,
        ack: LimitMessage.WindowCopyAck,
    ) {
        val present = tracked[ack.organisation] ?: return
        if (present.place?.standby == from) present.allocator?.confirm(ack.sequence)
    }

    /** Returns what is to be sent and what was decided; call it after each event and while [isActive], in time. */
    public fun step(now: Instant): LimitStep {
        val settled = ArrayList<SettledRequest>()
        val idle = ArrayList<OrganisationId>()
        for (id in active) {
            val present = tracked[id]
            if (present == null || !work(present, settled, now)) idle += id
        }
        active.removeAll(idle.toSet())
        val messages = outbox.toList()
        outbox.clear()
        return LimitStep(messages, settled)
    }

    /** Returns true if there is more to do for [present] later. */
    private fun work(
        present: Tracked,
        settled: MutableList<SettledRequest>,
        now: Instant,
    ): Boolean {
        val place = present.place ?: return false
        val bucket = present.bucket
        if (bucket != null) {
            val isOwn = place.allocator == self
            // Requests whose wait has ended are not asked for; an own allocator answers at once, before they end.
            if (!isOwn) settled += bucket.settle(now)
            val ask = bucket.nextAsk(now)
            if (ask != null && !isOwn) outbox += AddressedMessage(place.allocator, ask)
            if (ask != null &&
                isOwn
            ) {
                present.allocator?.answer(self, ask, view.share, now)?.let { bucket.granted(it, now) }
            }
            if (isOwn) settled += bucket.settle(now)
        }
        val allocator = present.allocator
        if (allocator != null && place.standby != null) {
            allocator.nextCopy(now)?.let { outbox += AddressedMessage(place.standby, it) }
        }
        return bucket?.isIdle == false || allocator?.isCopyDue == true
    }

    /** Returns the state of the organisations in use, for a state dump. */
    public fun states(now: Instant): List<LimitState> =
        tracked.mapNotNull { (id, present) ->
            val place = present.place ?: return@mapNotNull null
            if (present.bucket == null && present.allocator == null) return@mapNotNull null
            val remaining = present.bucket?.remaining ?: present.limit.tokens
            LimitState(id, place.allocator, remaining, present.allocator?.free(view.share, now))
        }
}
