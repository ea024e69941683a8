package org.cicadaturn.tasks.limits

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.limits.AddressedMessage
import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.limits.LimitNode
import org.cicadaturn.decisions.limits.LimitPolicy
import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.decisions.limits.MembershipView
import org.cicadaturn.decisions.limits.OrganisationLimit
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.tasks.wire.FrameLink
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of events that may wait for the task; a full queue suspends the request or the link that sends one. */
private const val EVENT_QUEUE = 1024

/** Maximum number of further events that are handled before the next step. */
private const val MAX_BATCH = 64

/**
 * Number of frames that may wait for a link.
 *
 * A full queue drops the oldest frame, because every message except a grant is repeated.
 */
private const val OUTBOX_QUEUE = 64

/** Interval between steps while requests wait or run; an event causes a step at once. */
private val STEP_INTERVAL: Duration = 50.milliseconds

/** Time that a request waits for budget before it is refused; random, so that callers do not retry at the same time. */
private val BUDGET_WAIT_MS = 200..800

/**
 * Shortest additional wait for the process that allocates the budget, if it is late to answer because its host is busy.
 * A request whose caller allows more time waits for half of it, which leaves the other half for the request itself.
 */
private val ALLOCATOR_WAIT: Duration = 2.seconds

/** Bound of the random first sequence number of budget requests. */
private const val SEQUENCE_RANGE = 65_536L

/** Enforces the limits of organisations, which this process shares with the other entry processes. */
internal interface OrganisationLimits {
    /**
     * Decides on a request of [tokens], the estimate for the prompt and the answer.
     *
     * Waits up to 800 ms for budget from the other entry processes, or longer if their answer is late, but not
     * past [deadline]. After [LimitDecision.Admitted] the caller must call [finished].
     */
    suspend fun admit(
        organisation: OrganisationId,
        tokens: Long,
        deadline: Instant,
    ): LimitDecision

    /** Ends the request [id] and corrects its charge to [tokens], which is 0 if it has not run. */
    suspend fun finished(
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
    )

    /** Exchanges messages with the entry process at the other end of [link] until it is cancelled. */
    suspend fun serve(link: FrameLink)

    /** Handles [frame] from [peer] if it carries limit messages; returns false for any other frame. */
    suspend fun accept(
        peer: ProcessId,
        frame: Frame,
    ): Boolean
}

private sealed interface Event {
    class Admit(
        val organisation: OrganisationId,
        val id: Long,
        val tokens: Long,
        val deadline: Instant,
        val reply: CompletableDeferred<LimitDecision>,
    ) : Event

    class Finished(
        val organisation: OrganisationId,
        val id: Long,
        val tokens: Long,
    ) : Event

    class Connected(
        val peer: ProcessId,
        val outbox: SendChannel<Frame>,
    ) : Event

    class Disconnected(
        val peer: ProcessId,
        val outbox: SendChannel<Frame>,
    ) : Event

    class Received(
        val peer: ProcessId,
        val messages: List<LimitMessage>,
    ) : Event

    class Configured(
        val configuration: Configuration,
    ) : Event
}

/**
 * Owns the limits of this entry process; only the coroutine that runs [run] accesses them.
 *
 * [members] is the number of entry processes that share the limits, including this one. This process does not use the
 * shares of members that it is not connected to.
 */
internal class LimitsTask(
    private val self: ProcessId,
    private val members: Int,
    private val clock: Clock,
    private val random: Random,
    policy: LimitPolicy = LimitPolicy(),
) : OrganisationLimits {
    private val events = Channel<Event>(EVENT_QUEUE)
    private val node = LimitNode(self, policy, random.nextLong(SEQUENCE_RANGE))
    private val waiting = HashMap<Long, CompletableDeferred<LimitDecision>>()

    /** Send queues of the links to each peer, oldest first; messages are sent over the newest link. */
    private val outboxes = HashMap<ProcessId, List<SendChannel<Frame>>>()
    private val lastId = AtomicLong()

    override suspend fun admit(
        organisation: OrganisationId,
        tokens: Long,
        deadline: Instant,
    ): LimitDecision {
        val id = lastId.incrementAndGet()
        val reply = CompletableDeferred<LimitDecision>()
        try {
            events.send(Event.Admit(organisation, id, tokens, deadline, reply))
            return reply.await()
        } catch (e: CancellationException) {
            // The request may already be admitted, and its charge would otherwise never be returned.
            withContext(NonCancellable) { events.send(Event.Finished(organisation, id, 0)) }
            throw e
        }
    }

    override suspend fun finished(
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
    ) {
        events.send(Event.Finished(organisation, id, tokens))
    }

    override suspend fun serve(link: FrameLink) {
        val peer = link.peer.process
        if (peer == self) return
        val outbox = Channel<Frame>(OUTBOX_QUEUE, BufferOverflow.DROP_OLDEST)
        try {
            events.send(Event.Connected(peer, outbox))
            for (frame in outbox) if (!link.send(frame)) break
        } finally {
            withContext(NonCancellable) { events.send(Event.Disconnected(peer, outbox)) }
        }
    }

    override suspend fun accept(
        peer: ProcessId,
        frame: Frame,
    ): Boolean {
        if (frame !is Frame.Limits) return false
        events.send(Event.Received(peer, frame.messages))
        return true
    }

    /** Applies the limits of [configuration]. */
    suspend fun configure(configuration: Configuration) {
        events.send(Event.Configured(configuration))
    }

    /** Handles events until it is cancelled. */
    suspend fun run() {
        updateMembership()
        while (true) {
            nextEvent()?.let(::handle)
            var remaining = MAX_BATCH
            while (remaining-- > 0) handle(events.tryReceive().getOrNull() ?: break)
            runStep()
        }
    }

    /** Returns the next event, or null if a step is due before one arrives. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextEvent(): Event? {
        if (!node.isActive) return events.receive()
        return select {
            events.onReceive { it }
            onTimeout(STEP_INTERVAL) { null }
        }
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.Admit -> admit(event)
            is Event.Finished -> finish(event)
            is Event.Received -> event.messages.forEach { node.receive(event.peer, it, clock.now()) }
            is Event.Configured -> node.configure(limitsOf(event.configuration), clock.now())
            is Event.Connected -> setLinks(event.peer, outboxes[event.peer].orEmpty() + event.outbox)
            is Event.Disconnected -> setLinks(event.peer, outboxes[event.peer].orEmpty() - event.outbox)
        }
    }

    private fun admit(event: Event.Admit) {
        val now = clock.now()
        val waitUntil =
            minOf(
                event.deadline,
                now + random.nextInt(BUDGET_WAIT_MS.first, BUDGET_WAIT_MS.last + 1).milliseconds,
            )
        val answerUntil = minOf(event.deadline, maxOf(waitUntil + ALLOCATOR_WAIT, now + (event.deadline - now) / 2))
        val request = LimitRequest(event.id, event.tokens, waitUntil, answerUntil)
        val decision = node.request(event.organisation, request, now)
        if (decision is LimitDecision.Waiting) waiting[event.id] = event.reply else event.reply.complete(decision)
    }

    private fun finish(event: Event.Finished) {
        waiting.remove(event.id)
        node.withdraw(event.organisation, event.id)
        node.finished(event.organisation, event.id, event.tokens, clock.now())
    }

    private fun setLinks(
        peer: ProcessId,
        links: List<SendChannel<Frame>>,
    ) {
        if (links.isEmpty()) outboxes.remove(peer) else outboxes[peer] = links
        updateMembership()
    }

    private fun updateMembership() {
        node.updateMembership(MembershipView(members, outboxes.keys + self), clock.now())
    }

    private fun runStep() {
        val step = node.step(clock.now())
        step.settled.forEach { waiting.remove(it.id)?.complete(it.decision) }
        step.messages.groupBy(AddressedMessage::to).forEach { (peer, batch) ->
            outboxes[peer]?.last()?.trySend(Frame.Limits(batch.map { it.message }))
        }
    }
}

private fun limitsOf(configuration: Configuration): Map<OrganisationId, OrganisationLimit> =
    configuration.organisations.associate { it.id to OrganisationLimit(it.tokensPerMinute, it.requestsInFlight) }
