package org.cicadaturn.standins.orders

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlin.time.Duration

/** Asks the listener to close for [length]; [reply] completes as soon as it is closed. */
internal class Refusal(
    val length: Duration,
    val reply: CompletableDeferred<Unit>,
)

/** Sends messages to the tasks of the service and awaits their replies; calls fail once [owner] has ended. */
internal class OrderTaskHandle(
    private val inbox: Channel<OrderMessage>,
    private val refusals: Channel<Refusal>,
    private val owner: Job,
) {
    suspend fun <T> ask(message: (CompletableDeferred<T>) -> OrderMessage): T =
        replyOf { reply -> inbox.send(message(reply)) }

    suspend fun refuse(length: Duration): Unit = replyOf { reply -> refusals.send(Refusal(length, reply)) }

    private suspend fun <T> replyOf(send: suspend (CompletableDeferred<T>) -> Unit): T {
        val reply = CompletableDeferred<T>(owner)
        try {
            send(reply)
            return reply.await()
        } finally {
            reply.cancel()
        }
    }
}
