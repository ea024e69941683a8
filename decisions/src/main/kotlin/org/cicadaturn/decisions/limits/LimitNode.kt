package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.time.Instant

/**
 * Result of one step of a [LimitNode].
 *
 * @property messages messages for other entry processes, in order
 * @property settled final decisions on requests that waited
 */
public data class LimitStep(
    val messages: List<AddressedMessage>,
    val settled: List<SettledRequest>,
)

/** State of one organisation at one entry process; [free] is set only at the allocator. */
public data class LimitState(
    val organisation: OrganisationId,
    val allocator: ProcessId,
    val remaining: Long,
    val free: Long?,
)

/**
 * Limits at one entry process: the bucket of each organisation in use, and the allocator of each organisation that
 * rendezvous hashing assigns to this process.
 *
 * This is a state machine without side effects: each event is passed with the current time, and [step] returns the
 * messages to send. It has one owner and is not safe for concurrent use.
 *
 * @property self this process
 * @property policy constants of the limits
 * @property firstSequence first sequence number of budget requests; drawn at random, so that a restarted process does
 * not repeat the numbers of its previous run
 */
public class LimitNode(
    private val self: ProcessId,
    private val policy: LimitPolicy,
    private val firstSequence: Long,
) {
    private class OrganisationState(
        var limit: OrganisationLimit,
    ) {
        var placement: AllocatorPlacement? = null
        var standbySince: Instant? = null
        var copy: LimitMessage.WindowCopy? = null
        var copyAt: Instant = Instant.DISTANT_PAST
        var allocator: LimitAllocator? = null
        var bucket: EntryBucket? = null
    }

    private val organisations = LinkedHashMap<OrganisationId, OrganisationState>()
    private val active = LinkedHashSet<OrganisationId>()
    private val outbox = ArrayList<AddressedMessage>()
    private var view = MembershipView(1, setOf(self))

    /** True if a later [step] may return messages or decisions. */
    public val isActive: Boolean get() = active.isNotEmpty() || outbox.isNotEmpty()

    /** Replaces the limits; organisations that remain keep their state. */
    public fun configure(
        limits: Map<OrganisationId, OrganisationLimit>,
        now: Instant,
    ) {
        val removed = organisations.keys - limits.keys
        removed.forEach {
            organisations.remove(it)
            active.remove(it)
        }
        limits.forEach { (id, limit) ->
            val state = organisations.getOrPut(id) { OrganisationState(limit) }
            state.limit = limit
            state.allocator?.limit = limit
            state.bucket?.limit = limit
        }
        updatePlacements(now)
    }

    /** Replaces the membership view; the use known here is handed over to new allocators. */
    public fun updateMembership(
        view: MembershipView,
        now: Instant,
    ) {
        require(self in view.live) { "the membership view must contain this process $self" }
        if (view == this.view) return
        this.view = view
        updatePlacements(now)
    }

    private fun updatePlacements(now: Instant) {
        placementsOf(organisations.keys, view.live).forEach { (id, placement) ->
            val state = organisations.getValue(id)
            if (placement != state.placement) changePlacement(id, state, placement, now)
        }
    }

    private fun changePlacement(
        id: OrganisationId,
        state: OrganisationState,
        placement: AllocatorPlacement,
        now: Instant,
    ) {
        val old = state.placement
        state.placement = placement
        if (old != null && old.allocator != placement.allocator) {
            state.bucket?.allocatorChanged()
            if (old.allocator == self) handOver(state, placement.allocator, now)
        }
        if (placement.allocator == self && old?.allocator != self) takeOver(id, state, old, now)
        if (placement.standby != self) {
            state.standbySince = null
            state.copy = null
        } else if (old?.standby != self) {
            state.standbySince = now
        }
        if (placement.allocator == self && old?.standby != placement.standby) state.allocator?.requireCopy()
        active += id
    }

    private fun handOver(
        state: OrganisationState,
        next: ProcessId,
        now: Instant,
    ) {
        state.allocator?.let { outbox += AddressedMessage(next, it.copy(now)) }
        state.allocator = null
    }

    private fun takeOver(
        id: OrganisationId,
        state: OrganisationState,
        old: AllocatorPlacement?,
        now: Instant,
    ) {
        val copy = state.copy
        val since = state.standbySince
        val sawWholeWindow = old?.standby == self && since != null && now - since >= policy.window
        val allocator = LimitAllocator(id, state.limit, policy, now, isWindowKnown = sawWholeWindow)
        if (copy != null) allocator.merge(copy, state.copyAt)
        state.allocator = allocator
    }

    /** Decides on [request] of [organisation]; a request of an unknown organisation is refused. */
    public fun request(
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        val state =
            organisations[organisation]
                ?: return LimitDecision.Refused(LimitReason.TOO_LARGE, policy.window, 0)
        val bucket =
            state.bucket
                ?: EntryBucket(organisation, state.limit, policy, firstSequence).also { state.bucket = it }
        active += organisation
        return bucket.request(request, now)
    }

    /** Records that request [id] ended and used [tokens], which is 0 if it has not run. */
    public fun finished(
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        organisations[organisation]?.bucket?.finished(id, tokens, now)
        active += organisation
    }

    /** Removes a waiting request. */
    public fun withdraw(
        organisation: OrganisationId,
        id: Long,
    ) {
        organisations[organisation]?.bucket?.withdraw(id)
    }

    /** Processes [message] from the entry process [from]. */
    public fun receive(
        from: ProcessId,
        message: LimitMessage,
        now: Instant,
    ) {
        when (message) {
            is LimitMessage.BudgetRequest -> receiveBudgetRequest(from, message, now)
            is LimitMessage.Grant -> receiveGrant(from, message, now)
            is LimitMessage.WindowCopy -> receiveCopy(from, message, now)
            is LimitMessage.WindowCopyAck -> receiveCopyAck(from, message)
        }
    }

    private fun receiveBudgetRequest(
        from: ProcessId,
        request: LimitMessage.BudgetRequest,
        now: Instant,
    ) {
        // A request from a process with another membership view is not answered, because two allocators must not grant
        // the same budget.
        val allocator = organisations[request.organisation]?.allocator ?: return
        outbox += AddressedMessage(from, allocator.answer(from, request, view.share, now))
        active += request.organisation
    }

    private fun receiveGrant(
        from: ProcessId,
        grant: LimitMessage.Grant,
        now: Instant,
    ) {
        val state = organisations[grant.organisation] ?: return
        if (state.placement?.allocator == from) state.bucket?.applyGrant(grant, now)
        active += grant.organisation
    }

    private fun receiveCopy(
        from: ProcessId,
        copy: LimitMessage.WindowCopy,
        now: Instant,
    ) {
        val state = organisations[copy.organisation] ?: return
        val placement = state.placement ?: return
        if (placement.allocator == self) {
            state.allocator?.merge(copy, now)
        } else if (placement.allocator == from && placement.standby == self) {
            state.copy = copy
            state.copyAt = now
            outbox += AddressedMessage(from, LimitMessage.WindowCopyAck(copy.organisation, copy.sequence))
        }
    }

    private fun receiveCopyAck(
        from: ProcessId,
        ack: LimitMessage.WindowCopyAck,
    ) {
        val state = organisations[ack.organisation] ?: return
        if (state.placement?.standby == from) state.allocator?.confirm(ack.sequence)
    }

    /**
     * Returns the messages to send and the decisions on requests that waited.
     *
     * Must be called after each event, and periodically while [isActive].
     */
    public fun step(now: Instant): LimitStep {
        val settled = ArrayList<SettledRequest>()
        val idle = ArrayList<OrganisationId>()
        for (id in active) {
            val state = organisations[id]
            if (state == null || !advance(state, settled, now)) idle += id
        }
        active.removeAll(idle.toSet())
        val messages = outbox.toList()
        outbox.clear()
        return LimitStep(messages, settled)
    }

    /** Performs due work for [state] and returns true if there is more to do later. */
    private fun advance(
        state: OrganisationState,
        settled: MutableList<SettledRequest>,
        now: Instant,
    ): Boolean {
        val placement = state.placement ?: return false
        val bucket = state.bucket
        if (bucket != null) {
            val isOwn = placement.allocator == self
            // With a remote allocator, expired requests are refused first, so that no budget is requested for them.
            // A local allocator answers immediately, so requests are decided after its answer.
            if (!isOwn) settled += bucket.settle(now)
            val request = bucket.nextBudgetRequest(now)
            if (request != null && !isOwn) outbox += AddressedMessage(placement.allocator, request)
            if (request != null && isOwn) {
                state.allocator?.answer(self, request, view.share, now)?.let { bucket.applyGrant(it, now) }
            }
            if (isOwn) settled += bucket.settle(now)
        }
        val allocator = state.allocator
        if (allocator != null && placement.standby != null) {
            allocator.nextCopy(now)?.let { outbox += AddressedMessage(placement.standby, it) }
        }
        return bucket?.isIdle == false || allocator?.isCopyDue == true
    }

    /** Returns the state of the organisations in use for a state dump. */
    public fun states(now: Instant): List<LimitState> =
        organisations.mapNotNull { (id, state) ->
            val placement = state.placement ?: return@mapNotNull null
            if (state.bucket == null && state.allocator == null) return@mapNotNull null
            val remaining = state.bucket?.remaining ?: state.limit.tokens
            LimitState(id, placement.allocator, remaining, state.allocator?.free(view.share, now))
        }
}
