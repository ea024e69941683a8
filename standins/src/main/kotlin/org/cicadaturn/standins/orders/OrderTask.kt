package org.cicadaturn.standins.orders

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.cicadaturn.schema.generated.DelayOrder
import org.cicadaturn.schema.generated.KeyRuns
import org.cicadaturn.schema.generated.LoseOrder
import org.cicadaturn.schema.generated.OrderConfirmation
import org.cicadaturn.schema.generated.OrderRuns
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Capacity of the inbox of the order task, in messages; senders suspend while it is full. */
internal const val ORDER_INBOX_CAPACITY = 1024

/** Maximum number of confirmations kept for later reads; the oldest one is removed first. */
private const val MAX_CONFIRMATIONS = 10_000

/** Message to the coroutine that owns the state of the order service. */
internal sealed interface OrderMessage {
    /** Announces an order before its run. The reply is the delay before the run; a stall holds the reply back. */
    class Arrive(
        val reply: CompletableDeferred<Duration>,
    ) : OrderMessage

    class Run(
        val path: String,
        val key: String?,
        val reply: CompletableDeferred<RunResult>,
    ) : OrderMessage

    class ReadRuns(
        val reply: CompletableDeferred<OrderRuns>,
    ) : OrderMessage

    class ReadConfirmation(
        val number: Long,
        val reply: CompletableDeferred<OrderConfirmation?>,
    ) : OrderMessage

    class Delay(
        val delay: DelayOrder,
        val reply: CompletableDeferred<Unit>,
    ) : OrderMessage

    class Lose(
        val lose: LoseOrder,
        val reply: CompletableDeferred<Unit>,
    ) : OrderMessage

    class Stall(
        val length: Duration,
        val reply: CompletableDeferred<Unit>,
    ) : OrderMessage

    class StallEnded(
        val epoch: Long,
    ) : OrderMessage
}

/**
 * Result of a run.
 *
 * @property confirmation confirmation for the caller
 * @property delay time between the run and the answer
 * @property cutAfter number of bytes of the answer to send before closing the connection; null for the whole answer
 */
internal data class RunResult(
    val confirmation: OrderConfirmation,
    val delay: Duration,
    val cutAfter: Int?,
)

/**
 * Owns the state of a stand-in order service: runs, confirmations and faults.
 *
 * Only the coroutine of [run] accesses the state. The memory for the counts grows with the number of distinct keys.
 */
internal class OrderTask(
    private val inbox: Channel<OrderMessage>,
    private val pause: suspend (Duration) -> Unit,
) {
    private var total = 0L
    private var withoutKey = 0L
    private var lostAnswers = 0L
    private val runsByKey = LinkedHashMap<String, Long>()
    private val confirmations = LinkedHashMap<Long, OrderConfirmation>()
    private var delay = DelayOrder()
    private var lose = LoseOrder(count = 0)

    /** Timer for the end of the stall in progress; null if there is none. */
    private var stallTimer: Job? = null

    /** Incremented by each stall, so that the end message of an earlier one is ignored. */
    private var stallEpoch = 0L

    /** Calls that wait for the end of the stall. */
    private val heldCalls = ArrayDeque<OrderMessage.Arrive>()

    /** Handles messages until it is cancelled; stall timers run in [scope]. */
    suspend fun run(scope: CoroutineScope) {
        for (message in inbox) {
            if (message is OrderMessage.Stall) beginStall(message, scope) else handle(message)
        }
    }

    private fun handle(message: OrderMessage) {
        when (message) {
            is OrderMessage.Arrive -> if (stallTimer == null) admit(message) else heldCalls.addLast(message)
            is OrderMessage.Run -> message.reply.complete(recordRun(message.path, message.key))
            is OrderMessage.ReadRuns -> message.reply.complete(runs())
            is OrderMessage.ReadConfirmation -> message.reply.complete(confirmations[message.number])
            is OrderMessage.Delay -> {
                delay = message.delay
                message.reply.complete(Unit)
            }
            is OrderMessage.Lose -> {
                lose = message.lose
                message.reply.complete(Unit)
            }
            is OrderMessage.Stall -> error("stall messages must be handled in run(), which has the scope for the timer")
            is OrderMessage.StallEnded -> if (message.epoch == stallEpoch) endStall()
        }
    }

    private fun admit(message: OrderMessage.Arrive) {
        message.reply.complete(delay.beforeMillis.milliseconds)
    }

    private fun recordRun(
        path: String,
        key: String?,
    ): RunResult {
        total++
        if (key == null) withoutKey++ else runsByKey.merge(key, 1, Long::plus)
        val confirmation = OrderConfirmation(total, path, key)
        confirmations[total] = confirmation
        if (confirmations.size > MAX_CONFIRMATIONS) confirmations.remove(total - MAX_CONFIRMATIONS)
        return RunResult(confirmation, delay.afterMillis.milliseconds, consumeAnswerLoss())
    }

    /** Returns the number of bytes after which to cut the answer, or null if this answer is not lost. */
    private fun consumeAnswerLoss(): Int? {
        if (lose.count <= 0) return null
        lose = lose.copy(count = lose.count - 1)
        lostAnswers++
        return lose.afterBytes
    }

    private fun beginStall(
        message: OrderMessage.Stall,
        scope: CoroutineScope,
    ) {
        stallTimer?.cancel()
        val epoch = ++stallEpoch
        if (message.length > Duration.ZERO) {
            stallTimer =
                scope.launch {
                    pause(message.length)
                    inbox.send(OrderMessage.StallEnded(epoch))
                }
        } else {
            endStall()
        }
        message.reply.complete(Unit)
    }

    private fun endStall() {
        stallTimer = null
        heldCalls.forEach { admit(it) }
        heldCalls.clear()
    }

    private fun runs(): OrderRuns =
        OrderRuns(total, withoutKey, lostAnswers, runsByKey.map { (key, runs) -> KeyRuns(key, runs) })
}
