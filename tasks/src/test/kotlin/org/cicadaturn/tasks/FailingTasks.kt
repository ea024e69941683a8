package org.cicadaturn.tasks

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.job
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.time.Clock
import kotlin.time.Instant

/** Returns a clock of the virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.virtualClock(): Clock =
    object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
    }

/** Returns a scope like that of a process: a task that ends with an exception ends no other one. */
internal fun TestScope.processScope(): CoroutineScope =
    CoroutineScope(
        backgroundScope.coroutineContext + SupervisorJob(backgroundScope.coroutineContext.job) +
            CoroutineExceptionHandler { _, cause -> println("a task ended: $cause") },
    )

/** Fails when it is called for the first time. */
internal class PlantedFailure {
    private var isDue = true

    operator fun invoke() {
        if (!isDue) return
        isDue = false
        error("planted failure")
    }
}
