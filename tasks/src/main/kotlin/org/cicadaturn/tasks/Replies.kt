package org.cicadaturn.tasks

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/** Returns the value of a reply, or null if there is none yet or the reply was cancelled first. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun <T> Deferred<T>.completedValueOrNull(): T? = if (isCompleted && !isCancelled) getCompleted() else null
