package org.cicadaturn.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withContext
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Clock and pauses in model time; one second of model time takes [scale] seconds of real time. */
internal class ModelTime(
    private val clock: Clock,
    private val scale: Double,
    private val wait: suspend (Duration) -> Unit,
) {
    private val origin = clock.now()

    fun now(): Instant = origin + (clock.now() - origin) / scale

    suspend fun pause(length: Duration) = wait(length * scale)
}

/** Sends messages to the engine task and awaits its replies; calls fail once [owner] has ended. */
internal class EngineTaskHandle(
    private val inbox: Channel<EngineMessage>,
    private val owner: Job,
) {
    suspend fun <T> ask(message: (CompletableDeferred<T>) -> EngineMessage): T {
        val reply = CompletableDeferred<T>(owner)
        try {
            inbox.send(message(reply))
            return reply.await()
        } finally {
            reply.cancel()
        }
    }

    /** Submits [request], passes the result to [use], and drops the request if it is unfinished when [use] ends. */
    suspend fun submit(
        request: ChatParameters,
        use: suspend (SubmitResult) -> Unit,
    ) {
        val reply = CompletableDeferred<SubmitResult>(owner)
        try {
            inbox.send(EngineMessage.Submit(request, reply))
            use(reply.await())
        } finally {
            reply.cancel()
            // The task may have received the request even if the send or the wait was cancelled.
            withContext(NonCancellable) { inbox.send(EngineMessage.Abandon(reply)) }
        }
    }
}
