package org.cicadaturn.standins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.StoreCounts
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoreMode
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.StoreError
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Starts the coroutine that owns the simulated store, and returns its inbox.
 *
 * The inbox holds at most [STORE_INBOX_CAPACITY] messages; senders suspend while it is full. Delays use the clock of
 * the dispatcher of [scope]. [random] selects the answers that are lost because of `losePercent`.
 */
internal fun startStoreOwner(
    scope: CoroutineScope,
    limits: StoreLimits,
    random: Random,
): SendChannel<StoreMessage> {
    val inbox = Channel<StoreMessage>(STORE_INBOX_CAPACITY)
    val schedule: (Duration, StoreMessage) -> Unit = { wait, message ->
        scope.launch {
            delay(wait)
            inbox.send(message)
        }
    }
    val scheduleEndOfWait: (Submission, Duration) -> Unit = { submission, wait ->
        scope.launch {
            withTimeoutOrNull(wait) { submission.reply.join() }
            inbox.send(StoreMessage.EndWait(submission))
        }
    }
    scope.launch {
        val owner = StoreOwner(StoreTable(limits), random, schedule, scheduleEndOfWait)
        for (message in inbox) owner.receive(message)
    }
    return inbox
}

/** State of the simulated store and its faults; confined to the coroutine that receives the messages. */
private class StoreOwner(
    private val table: StoreTable,
    private val random: Random,
    private val schedule: (Duration, StoreMessage) -> Unit,
    private val scheduleEndOfWait: (Submission, Duration) -> Unit,
) {
    private var faults = StoreFaults()
    private var counts = StoreCounts()
    private val laggedViews = mutableMapOf<String, LaggedView>()
    private val waitingWatches = mutableListOf<Submission>()
    private val heldCalls = ArrayDeque<Submission>()

    /** Watches whose wait has passed while the store is paused. */
    private val expiredWatches = mutableListOf<Submission>()
    private val waitObservers = mutableListOf<StoreMessage.AwaitWaitingWatches>()

    fun receive(message: StoreMessage) {
        when (message) {
            is StoreMessage.Submit -> submit(message.submission)
            is StoreMessage.Execute -> execute(message.submission)
            is StoreMessage.EndWait -> endWaitOf(message.submission)
            is StoreMessage.AdvanceView -> laggedViews[message.prefix]?.advanceTo(message.version)
            is StoreMessage.SetFaults -> setFaults(message)
            is StoreMessage.ReadFaults -> message.reply.complete(faults)
            is StoreMessage.ReadCounts -> message.reply.complete(counts.copy(waiting = waitingWatches.size))
            is StoreMessage.AwaitWaitingWatches -> waitObservers += message
        }
        waitObservers.removeAll { waitingWatches.size >= it.watches && it.done.complete(Unit) }
    }

    private fun submit(submission: Submission) {
        counts = counts.withCall(submission.call)
        when {
            faults.mode == StoreMode.REFUSING -> drop(submission, StoreReply.RefuseConnection)
            faults.delay > Duration.ZERO -> schedule(faults.delay, StoreMessage.Execute(submission))
            else -> execute(submission)
        }
    }

    /** Performs the call of [submission] unless a fault in effect drops or holds it. */
    private fun execute(submission: Submission) {
        when {
            submission.domain in faults.cutOff -> drop(submission, StoreReply.NoAnswer)
            faults.mode == StoreMode.REFUSING -> drop(submission, StoreReply.CloseConnection)
            faults.mode == StoreMode.HANGING -> drop(submission, StoreReply.NoAnswer)
            faults.mode == StoreMode.PAUSED -> hold(submission)
            else -> perform(submission)
        }
    }

    /** Holds [submission] until the store is no longer paused. */
    private fun hold(submission: Submission) {
        if (heldCalls.size >= MAX_HELD_CALLS) drop(heldCalls.removeFirst(), StoreReply.NoAnswer)
        heldCalls.addLast(submission)
    }

    private fun drop(
        submission: Submission,
        reply: StoreReply,
    ) {
        counts = counts.copy(dropped = counts.dropped + 1)
        submission.reply.complete(reply)
    }

    private fun perform(submission: Submission) {
        when (val call = submission.call) {
            is StoreCall.Get -> submission.reply.complete(table.get(call.key))
            is StoreCall.ListObjects -> submission.reply.complete(StoreReply.Listed(list(call.prefix)))
            is StoreCall.Put -> answerWrite(submission, table.put(call.key, call.value, call.expected))
            is StoreCall.Delete -> answerWrite(submission, table.delete(call.key, call.expected))
            is StoreCall.Watch -> watch(submission, call)
        }
    }

    /** Returns the objects below [prefix], as a stale list if [prefix] begins with a lagging prefix. */
    private fun list(prefix: String): StoreList =
        laggedViews.entries
            .firstOrNull { prefix.startsWith(it.key) }
            ?.value
            ?.list(prefix)
            ?: table.list(prefix)

    private fun answerWrite(
        submission: Submission,
        reply: StoreReply,
    ) {
        if (reply is StoreReply.Failed && reply.error is StoreError.Conflict) {
            counts = counts.copy(conflicts = counts.conflicts + 1)
        }
        if (reply !is StoreReply.Written) {
            submission.reply.complete(reply)
            return
        }
        counts = counts.copy(effects = counts.effects + 1)
        submission.reply.complete(if (consumeAnswerLoss()) StoreReply.CloseConnection else reply)
        notifyWatches()
    }

    /** Returns true if the next answer is lost, and updates the faults and the counters accordingly. */
    private fun consumeAnswerLoss(): Boolean {
        val next = faults.loseNext > 0
        if (next) faults = faults.copy(loseNext = faults.loseNext - 1)
        val lost = next || random.nextInt(PERCENT) < faults.losePercent
        if (lost) counts = counts.copy(lostAnswers = counts.lostAnswers + 1)
        return lost
    }

    /** Passes the last change to the lagged views and answers the waiting watches whose prefix it matches. */
    private fun notifyWatches() {
        val event = table.lastChange()
        laggedViews.forEach { (prefix, view) ->
            if (!event.key.startsWith(prefix)) return@forEach
            view.addPending(event)
            schedule(view.lag, StoreMessage.AdvanceView(prefix, event.version))
        }
        waitingWatches.removeAll { submission ->
            val watch = submission.call as StoreCall.Watch
            event.key.startsWith(watch.prefix) && answerWatch(submission, watch)
        }
    }

    private fun watch(
        submission: Submission,
        call: StoreCall.Watch,
    ) {
        if (call.wait.isNegative()) {
            val error = StoreError.Rejected(BAD_REQUEST_STATUS, "wait is ${call.wait}; give no negative duration")
            submission.reply.complete(StoreReply.Failed(error))
            return
        }
        if (answerWatch(submission, call)) return
        waitingWatches += submission
        scheduleEndOfWait(submission, call.wait)
    }

    /** Answers a watch if there is a change to report; returns true if it was answered. */
    private fun answerWatch(
        submission: Submission,
        call: StoreCall.Watch,
    ): Boolean {
        val reply = table.changes(call.prefix, call.from) ?: return false
        submission.reply.complete(reply)
        return true
    }

    /**
     * Ends the wait of a watch without changes.
     *
     * A change below the prefix would have ended the wait, so the client can continue from the store's version. While
     * the store is paused, the answer is delayed until the pause ends.
     */
    private fun endWaitOf(submission: Submission) {
        if (faults.mode == StoreMode.PAUSED) {
            expiredWatches += submission
            return
        }
        if (!waitingWatches.removeIf { it === submission }) return
        submission.reply.complete(StoreReply.Changed(StoreEvents(table.version, emptyList())))
    }

    private fun setFaults(message: StoreMessage.SetFaults) {
        val old = faults
        faults = message.faults
        dropUnansweredWatches()
        if (faults.mode != StoreMode.PAUSED) executeHeldCalls()
        if (faults.lags != old.lags) resetLaggedViews()
        message.done.complete(Unit)
    }

    /**
     * Drops the waiting watches that can't be answered under the faults in effect.
     *
     * A paused store keeps its connections, so its watches keep waiting.
     */
    private fun dropUnansweredWatches() {
        waitingWatches.removeAll { submission ->
            val reply =
                when {
                    submission.domain in faults.cutOff -> StoreReply.NoAnswer
                    faults.mode == StoreMode.REFUSING -> StoreReply.CloseConnection
                    faults.mode == StoreMode.HANGING -> StoreReply.NoAnswer
                    else -> return@removeAll false
                }
            drop(submission, reply)
            true
        }
    }

    /** Executes the calls held during a pause, then ends the watches whose wait has passed during it. */
    private fun executeHeldCalls() {
        val calls = heldCalls.toList()
        heldCalls.clear()
        calls.forEach(::execute)
        expiredWatches.forEach(::endWaitOf)
        expiredWatches.clear()
    }

    private fun resetLaggedViews() {
        laggedViews.clear()
        faults.lags.forEach { laggedViews[it.prefix] = LaggedView(it.lag, table.list(it.prefix)) }
    }
}

private fun StoreCounts.withCall(call: StoreCall): StoreCounts =
    when (call) {
        is StoreCall.Get -> copy(gets = gets + 1)
        is StoreCall.ListObjects -> copy(lists = lists + 1)
        is StoreCall.Put -> copy(puts = puts + 1)
        is StoreCall.Delete -> copy(deletes = deletes + 1)
        is StoreCall.Watch -> copy(watches = watches + 1)
    }

/** Capacity of the inbox of the store's owner, in messages; senders suspend while the inbox is full. */
internal const val STORE_INBOX_CAPACITY = 1024

/**
 * Maximum number of calls held by a paused store; beyond it the oldest call stays unanswered.
 *
 * The limit corresponds to the accept queue of a paused process, which also drops calls when it is full.
 */
private const val MAX_HELD_CALLS = 1024

private const val PERCENT = 100
