package org.cicadaturn.tasks

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class SupervisorTest {
    /**
     * Guards against a task that fails again and again, uses the processor for it and leaves the process in service, and
     * against processes that all end within seconds for a cause that they share and that passes.
     */
    @Test
    fun `a vital task that goes on failing makes the process unready and then stops it`() =
        runTest {
            var stops = 0
            var runs = 0
            val failures = mutableListOf<String>()
            val supervisor = Supervisor(virtualClock(), { failures += it }, { stops += 1 })
            supervisor.start(processScope(), "t", isVital = true) {
                runs += 1
                error("planted failure")
            }
            delay(100.milliseconds)
            assertEquals(setOf("t"), supervisor.pausedTasks.value)
            assertEquals(0, stops)
            // From then on the process is unready almost without a break, and lives for a minute.
            repeat(60) {
                assertEquals(setOf("t"), supervisor.pausedTasks.value)
                assertEquals(0, stops)
                delay(1.seconds)
            }
            delay(2.seconds)
            assertEquals(1, stops)
            delay(1.minutes)
            assertEquals(1, stops)
            assertTrue(runs < 35, "$runs runs")
            assertEquals(List(runs) { "t" }, failures)
        }

    /** Guards against an end of all gateways for a defect in a task that serves no request. */
    @Test
    fun `another task that goes on failing leaves the process in service`() =
        runTest {
            var stops = 0
            val supervisor = Supervisor(virtualClock(), requestStop = { stops += 1 })
            supervisor.start(processScope(), "t") { error("planted failure") }
            delay(1.minutes)
            assertEquals(0, stops)
            assertTrue(supervisor.pausedTasks.value.isEmpty())
        }

    /** Guards against a process that stops, or is not ready, for single failures far apart. */
    @Test
    fun `a task that fails now and then runs again at once`() =
        runTest {
            var stops = 0
            var runs = 0
            val supervisor = Supervisor(virtualClock(), requestStop = { stops += 1 })
            supervisor.start(processScope(), "t", isVital = true) {
                runs += 1
                delay(1.minutes)
                error("planted failure")
            }
            repeat(600) {
                delay(1.seconds)
                assertTrue(supervisor.pausedTasks.value.isEmpty())
            }
            assertEquals(11, runs, "runs, ten of which have failed")
            assertEquals(0, stops)
        }

    /** Guards against a task that ends without a line, as something that it waited for was cancelled. */
    @Test
    fun `a cancellation of something else is a failure`() =
        runTest {
            var runs = 0
            val supervisor = Supervisor(virtualClock())
            supervisor.start(processScope(), "t") {
                runs += 1
                CompletableDeferred<Unit>().also { it.cancel() }.await()
            }
            delay(100.milliseconds)
            assertTrue(runs > 1, "$runs runs")
        }

    /** Guards against children of an earlier run that go on beside those of the next one. */
    @Test
    fun `the children of a run end with it`() =
        runTest {
            val failure = PlantedFailure()
            var children = 0
            val supervisor = Supervisor(virtualClock())
            supervisor.start(processScope(), "t") {
                launch {
                    children += 1
                    try {
                        awaitCancellation()
                    } finally {
                        children -= 1
                    }
                }
                delay(10.milliseconds)
                failure()
                awaitCancellation()
            }
            delay(1.seconds)
            assertEquals(1, children)
        }

    /** Guards against a task that goes on after an error that leaves no process that can be relied on. */
    @Test
    fun `a fatal error is passed on and another one is not`() {
        val supervisor = Supervisor(Clock.System)
        assertNull(supervisor.attempt("t", "a message") { error("planted failure") })
        val fatal = runCatching { supervisor.attempt("t", "a message") { throw InternalError("planted") } }
        assertTrue(fatal.exceptionOrNull() is InternalError)
    }
}
