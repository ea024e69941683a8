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

/** Messages that wait for the task; a full queue suspends the sender, which slows the request or the link. */
private const val QUEUE = 1024

/** Messages that are taken before the task acts on them together. */
private const val BATCH = 64

/** Frames that wait for one link; the oldest is dropped when full, because every message but a grant is repeated. */
private const val OUTBOX_FRAMES = 64

/** Time between steps while requests wait or run; any message causes a step at once. */
private val TICK: Duration = 50.milliseconds

/** A request waits this long for budget before it is refused; the spread keeps callers from returning together. */
private val WAIT_MS = 200..800

/** A request waits this much longer for an allocator that is late to answer, as its machine is busy. */
private val ANSWER_WAIT: Duration = 2.seconds

private const val SEQUENCE_RANGE = 65_536L

/** Keeps the limits of organisations together with the other entry processes. */
internal interface OrganisationLimits {
    /**
     * Decides on a request of [tokens], the estimate of prompt and answer.
     *
     * Waits up to 800 ms, and not past [deadline], for budget of the other entry processes, and up to 2.8 s where
     * their answer is late. After
     * [LimitDecision.Admitted] the caller must call [finished].
     */
    suspend fun admit(
        organisation: OrganisationId,
        tokens: Long,
        deadline: Instant,
    ): LimitDecision

    /** Ends the request [id] and corrects its charge to [tokens]; 0 if it has not run. */
    suspend fun finished(
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
    )

    /** Exchanges messages with the entry process at the other end of [link] until it is cancelled. */
    suspend fun serve(link: FrameLink)

    /** Takes [frame] of [peer] if it is about limits. */
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

    class Up(
        val peer: ProcessId,
        val outbox: SendChannel<Frame>,
    ) : Event

    class Down(
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
 * Owns the limits of this entry process; [run] is the only coroutine that touches them.
 *
 * [members] is the number of entry processes that share the limits, this one included. While some of them are not
 * connected, their part of each limit stays unused here.
 */
internal class LimitsTask(
    private val self: ProcessId,
    private val members: Int,
    private val clock: Clock,
    private val random: Random,
    policy: LimitPolicy = LimitPolicy(),
) : OrganisationLimits {
    private val events = Channel<Event>(QUEUE)
    private val node = LimitNode(self, policy, random.nextLong(SEQUENCE_RANGE))
    private val waiting = HashMap<Long, CompletableDeferred<LimitDecision>>()
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
            // The request may have been admitted in the meantime; nobody else would return its charge.
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
        val outbox = Channel<Frame>(OUTBOX_FRAMES, BufferOverflow.DROP_OLDEST)
        try {
            events.send(Event.Up(peer, outbox))
            for (frame in outbox) if (!link.send(frame)) break
        } finally {
            withContext(NonCancellable) { events.send(Event.Down(peer, outbox)) }
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

    /** Takes the limits of [configuration] into force. */
    suspend fun configure(configuration: Configuration) {
        events.send(Event.Configured(configuration))
    }

    /** Works until it is cancelled. */
    suspend fun run() {
        updateView()
        while (true) {
            next()?.let(::handle)
            var more = BATCH
            while (more-- > 0) handle(events.tryReceive().getOrNull() ?: break)
            act()
        }
    }

    /** Returns the next event, or null when a step is due without one. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun next(): Event? {
        if (!node.isActive) return events.receive()
        return select {
            events.onReceive { it }
            onTimeout(TICK) { null }
        }
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.Admit -> admit(event)
            is Event.Finished -> finish(event)
            is Event.Received -> event.messages.forEach { node.receive(event.peer, it, clock.now()) }
            is Event.Configured -> node.configure(limitsOf(event.configuration), clock.now())
            is Event.Up -> connect(event.peer, outboxes[event.peer].orEmpty() + event.outbox)
            is Event.Down -> connect(event.peer, outboxes[event.peer].orEmpty() - event.outbox)
        }
    }

    private fun admit(event: Event.Admit) {
        val now = clock.now()
        val until = minOf(event.deadline, now + random.nextInt(WAIT_MS.first, WAIT_MS.last + 1).milliseconds)
        val answerUntil = minOf(event.deadline, until + ANSWER_WAIT)
        val request = LimitRequest(event.id, event.tokens, until, answerUntil)
        val decision = node.request(event.organisation, request, now)
        if (decision is LimitDecision.Waiting) waiting[event.id] = event.reply else event.reply.complete(decision)
    }

    private fun finish(event: Event.Finished) {
        waiting.remove(event.id)
        node.withdraw(event.organisation, event.id)
        node.finished(event.organisation, event.id, event.tokens, clock.now())
    }

    private fun connect(
        peer: ProcessId,
        links: List<SendChannel<Frame>>,
    ) {
        if (links.isEmpty()) outboxes.remove(peer) else outboxes[peer] = links
        updateView()
    }

    private fun updateView() {
        node.updateMembership(MembershipView(members, outboxes.keys + self), clock.now())
    }

    private fun act() {
        val step = node.step(clock.now())
        step.settled.forEach { waiting.remove(it.id)?.complete(it.decision) }
        step.messages.groupBy(AddressedMessage::to).forEach { (peer, batch) ->
            outboxes[peer]?.last()?.trySend(Frame.Limits(batch.map { it.message }))
        }
    }
}

private fun limitsOf(configuration: Configuration): Map<OrganisationId, OrganisationLimit> =
    configuration.organisations.associate { it.id to OrganisationLimit(it.tokensPerMinute, it.requestsInFlight) }
