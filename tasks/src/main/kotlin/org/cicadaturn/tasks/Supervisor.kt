package org.cicadaturn.tasks

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.retry.exponentialBackoff
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps the tasks of a process running after failures, which it counts and logs. Vital tasks are used by the coroutines of
 * one thread.
 *
 * A failure of a single message is reported by [attempt]: the task rejects the message and goes on with its state, so
 * that one request or entry that meets a defect ends no process. A failure of the task itself makes [start] run it
 * again, after a pause that grows. A task without which the process cannot serve is vital: the process is not ready
 * while it pauses, and is asked to stop if it goes on failing.
 *
 * @param onFailure called with the name of a task for each of its failures
 * @param requestStop called when a vital task goes on failing
 */
public class Supervisor(
    private val clock: Clock,
    private val onFailure: (String) -> Unit = {},
    private val requestStop: () -> Unit = {},
) {
    private val pausing = MutableStateFlow(emptySet<String>())

    /** Names of the vital tasks that have failed several times and wait to run again. */
    public val pausedTasks: StateFlow<Set<String>> = pausing

    /**
     * Starts [run] in [scope] and runs it again each time that it fails; [beforeRestart] is called after each failure.
     *
     * Coroutines that [run] launches in its receiver end with it. State outside of [run] is kept.
     */
    public fun start(
        scope: CoroutineScope,
        task: String,
        isVital: Boolean = false,
        beforeRestart: () -> Unit = {},
        run: suspend CoroutineScope.() -> Unit,
    ): Job =
        scope.launch {
            var failures = 0
            var lastFailure = Instant.DISTANT_PAST
            while (true) {
                try {
                    return@launch coroutineScope(run)
                } catch (e: Throwable) {
                    // A cancellation of something that the task waited for is a failure like any other.
                    currentCoroutineContext().ensureActive()
                    failures = if (clock.now() - lastFailure > QUIET_TIME) 1 else failures + 1
                    report(task, "will run again, failure $failures", e)
                }
                lastFailure = clock.now()
                beforeRestart()
                if (failures > 1) pause(task, failures, isVital)
            }
        }

    private suspend fun pause(
        task: String,
        failures: Int,
        isVital: Boolean,
    ) {
        if (isVital) pausing.value += task
        if (isVital && failures == MAX_FAILURES) {
            logger.error("supervisor: task {} failed {} times, the process stops", task, failures)
            requestStop()
        }
        try {
            delay(pauses.delayBefore(failures - 1))
        } finally {
            if (isVital) pausing.value -= task
        }
    }

    /**
     * Returns the result of [action], which handles [subject] for [task], or null after reporting that it failed. The
     * caller then rejects what it was about. The log names a text, or the class of any other subject.
     */
    public inline fun <T : Any> attempt(
        task: String,
        subject: Any,
        action: () -> T,
    ): T? =
        try {
            action()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            report(task, "rejects ${subject as? String ?: subject::class.simpleName}", e)
            null
        }

    /** Counts and logs that [task] failed with [cause], and what it does next; throws an error that ends the process. */
    @PublishedApi
    internal fun report(
        task: String,
        next: String,
        cause: Throwable,
    ) {
        if (fatalErrorIn(cause) != null) throw cause
        onFailure(task)
        logger.error("supervisor: task {} failed and {}", task, next, cause)
    }

    private companion object {
        val logger = LogManager.getLogger(Supervisor::class.java)

        /** Time without a failure after which earlier failures of a task no longer count. */
        val QUIET_TIME: Duration = 30.seconds

        /**
         * Failures until the process is asked to stop; their pauses take 61 s, in which it is not ready. The cause may be
         * common to all processes, such as an entry in the store; a restart would not remove it, and what the processes
         * have learned would be lost. A task whose own state is damaged never runs again, so the process still ends.
         */
        const val MAX_FAILURES = 20

        /**
         * Pauses from the second failure on. The longest one exceeds the time after which another process takes over a
         * lease that is not renewed.
         */
        val pauses = exponentialBackoff(50.milliseconds, 5.seconds)
    }
}
