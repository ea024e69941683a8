package org.cicadaturn.tasks

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.collectLatest
import org.cicadaturn.decisions.retry.exponentialBackoff
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls [apply] with each value of this flow, and again after pauses from 50 ms to 5 s while it returns false, until
 * there is a newer value.
 */
internal suspend fun <T> Flow<T>.applyLatest(apply: suspend (T) -> Boolean): Unit =
    collectLatest { value ->
        var failures = 0
        while (!apply(value)) {
            failures += 1
            delay(pauses.delayBefore(failures))
        }
    }

/** Sends a message with [send] and returns what its receiver completes it with: true if it could be handled. */
internal suspend fun sendAndAwait(send: (CompletableDeferred<Boolean>) -> Unit): Boolean =
    CompletableDeferred<Boolean>().also(send).await()

private val pauses = exponentialBackoff(50.milliseconds, 5.seconds)
