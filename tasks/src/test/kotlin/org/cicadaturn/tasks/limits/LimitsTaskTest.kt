package org.cicadaturn.tasks.limits

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.outcome.ErrorKind
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.decisions.request.ChatRequestInfo
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.tasks.entry.runWithinLimits
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.WireError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val LIMIT = 60_000L
private val survey = OrganisationId("survey")

/** One end of a link between two tasks. */
private class PipeLink(
    peerName: String,
    private val out: Channel<Frame>,
    override val incoming: Channel<Frame>,
) : FrameLink {
    override val peer =
        Frame.Hello(1, Role.ENTRY, ProcessId(peerName), Incarnation(1), FailureDomainId("a"), ByteArray(32))
    override val ended = CompletableDeferred<WireError>()

    override suspend fun send(frame: Frame): Boolean = out.trySend(frame).isSuccess

    override fun close(reason: WireError) {
        ended.complete(reason)
    }
}

/**
 * Tests of the limits in virtual time.
 *
 * A new process assumes that the whole limit was in use before its start. Tests that need the full budget wait for
 * 90 s, which is longer than the window of 60 s and the lease of 15 s together.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class LimitsTaskTest {
    private class VirtualClock(
        private val scope: TestScope,
    ) : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + scope.testScheduler.currentTime)
    }

    private fun TestScope.task(
        name: String,
        members: Int,
        inFlight: Int = 100,
    ): LimitsTask {
        val task = LimitsTask(ProcessId(name), members, VirtualClock(this), Random(1))
        backgroundScope.launch { task.run() }
        val organisation = Organisation(survey, emptyList(), inFlight, LIMIT)
        val accepted = Instant.fromEpochSeconds(0)
        backgroundScope.launch {
            task.configure(Configuration(Revision(1), accepted, "operator", organisations = listOf(organisation)))
        }
        return task
    }

    private fun CoroutineScope.connect(
        a: Pair<String, LimitsTask>,
        b: Pair<String, LimitsTask>,
        delay: Duration = Duration.ZERO,
    ) {
        val aToB = Channel<Frame>(Channel.UNLIMITED)
        val bToA = Channel<Frame>(Channel.UNLIMITED)
        val links = listOf(a.second to PipeLink(b.first, aToB, bToA), b.second to PipeLink(a.first, bToA, aToB))
        for ((task, link) in links) {
            launch { task.serve(link) }
            launch {
                for (frame in link.incoming) {
                    launch {
                        delay(delay)
                        task.accept(link.peer.process, frame)
                    }
                }
            }
        }
    }

    private suspend fun TestScope.admit(
        task: LimitsTask,
        tokens: Long,
        within: Duration = 10.seconds,
    ): LimitDecision = task.admit(survey, tokens, VirtualClock(this).now() + within)

    /** Guards against the admission of requests above the limit and against a refusal without a time to retry. */
    @Test
    fun refusesAboveTheLimit() =
        runTest {
            val task = task("a", members = 1)
            delay(30.seconds)
            assertInstanceOf(LimitDecision.Admitted::class.java, admit(task, 10_000))
            val refused = assertInstanceOf(LimitDecision.Refused::class.java, admit(task, 50_000))
            assertTrue(refused.retryAfter > Duration.ZERO)
            assertTrue(refused.remaining < LIMIT)
        }

    /** Guards against two processes that each use the full limit, and against one that never grants to the other. */
    @Test
    fun twoProcessesShareOneLimit() =
        runTest {
            val tasks = listOf("a" to task("a", members = 2), "b" to task("b", members = 2))
            backgroundScope.connect(tasks[0], tasks[1])
            delay(90.seconds)
            val used = LongArray(2)
            val end = testScheduler.currentTime + 59_000
            var i = 0
            while (testScheduler.currentTime < end) {
                i = 1 - i
                if (admit(tasks[i].second, 1_000) is LimitDecision.Admitted) used[i] += 1_000
                delay(100.milliseconds)
            }
            assertTrue(used.sum() in 1..(LIMIT * 102 / 100), "${used.sum()} tokens admitted")
            assertTrue(used.all { it > 0 }, "a process got nothing: ${used.toList()}")
        }

    /** Guards against budget and slots that are not released after a request is cancelled. */
    @Test
    fun cancelledRequestReturnsItsCharge() =
        runTest {
            val task = task("a", members = 1, inFlight = 1)
            delay(90.seconds)
            val first = admit(task, 1_000) as LimitDecision.Admitted
            val waiting = launch { admit(task, 1_000) }
            delay(50.milliseconds)
            waiting.cancel()
            waiting.join()
            task.finished(survey, first.id, 0)
            assertInstanceOf(LimitDecision.Admitted::class.java, admit(task, 1_000))
        }

    /** Guards against a 429 for a used limit when the entry process that allocates the budget has not answered. */
    @Test
    fun missingAnswerIsNotReportedAsUsedLimit() =
        runTest {
            val tasks = listOf("a", "b").associateWith { task(it, members = 2) }
            for ((name, task) in tasks) {
                val peer = tasks.keys.single { it != name }
                // Each process sends over its link, and the other one gets nothing.
                backgroundScope.launch {
                    task.serve(PipeLink(peer, Channel(Channel.UNLIMITED), Channel(Channel.UNLIMITED)))
                }
            }
            delay(90.seconds)
            val routed = routedRequest()
            val deadline = VirtualClock(this).now() + 30.seconds
            val refusals = tasks.values.map { it.runWithinLimits(routed, deadline) {} }
            // The process that allocates the budget itself runs the request.
            val refusal = refusals.filterNotNull().single()
            assertEquals(ErrorKind.OVERLOADED, refusal.kind, refusal.message)
            assertNull(refusal.rateLimit)
            assertTrue(refusal.retryAfter!! > Duration.ZERO)
        }

    /** Guards against a request that is refused although its budget comes while its caller still waits. */
    @Test
    fun aLateAnswerOfTheAllocatorAdmits() =
        runTest {
            val tasks = listOf("a" to task("a", members = 2), "b" to task("b", members = 2))
            backgroundScope.connect(tasks[0], tasks[1], delay = 1_700.milliseconds)
            delay(90.seconds)
            val decisions =
                tasks.map { (_, task) ->
                    // What the allocator has granted is confirmed by its standby until the next question.
                    delay(20.seconds)
                    admit(task, 1_000)
                }
            assertEquals(listOf(true, true), decisions.map { it is LimitDecision.Admitted }, "$decisions")
        }

    private fun routedRequest(): RoutedRequest {
        val chat = ChatRequestInfo("draft", promptTokens = 7, maxTokens = 93, stream = true, prefix = "")
        val request = CallerRequest(RequestId("r"), "POST", "/v1/chat/completions", emptyMap(), ByteArray(0), chat)
        val service = Service(ServiceId("draft"), ServiceKind.MODEL, idempotent = true, deadline = 30.seconds)
        val organisation = Organisation(survey, emptyList(), 100, LIMIT)
        return RoutedRequest(request, organisation, service, 30.seconds, 100, true, null)
    }

    /** Guards against a wait beyond the deadline of the request. */
    @Test
    fun waitEndsAtTheDeadline() =
        runTest {
            val task = task("a", members = 1, inFlight = 1)
            delay(90.seconds)
            admit(task, 1_000)
            val before = testScheduler.currentTime
            assertInstanceOf(LimitDecision.Refused::class.java, admit(task, 1_000, within = 100.milliseconds))
            val waited = testScheduler.currentTime - before
            assertTrue(waited in 100..150, "$waited ms waited")
        }
}
