@file:OptIn(ExperimentalCoroutinesApi::class)

package org.cicadaturn.standins.engine

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.cicadaturn.schema.generated.ColdOverload
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EngineCounters
import org.cicadaturn.schema.generated.EngineLoad
import org.cicadaturn.schema.generated.EngineOrder
import org.cicadaturn.schema.generated.EngineOrderKind
import org.cicadaturn.schema.generated.PromptCache
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Settings of a warm engine whose steps always take 10 ms. */
private val constantStep =
    BatchSettings(
        baseStep = 10.milliseconds,
        stepPerRequest = 0.milliseconds,
        prefillPerToken = 0.milliseconds,
        warmAfter = 0,
    )

/** Tests the coroutine that owns the engine's state, in virtual time. */
class EngineTaskTest {
    /** Guards against tokens that are lost between the batch and the caller, and against a wrong token rate. */
    @Test
    fun `each step yields one token`() =
        engineTest(EngineSettings(batch = constantStep)) { handle ->
            val positions = async { handle.tokensOf(chatParameters(answerTokens = 5, firstToken = 2)) }
            assertEquals(listOf(2, 3, 4), positions.await())
            assertEquals(30, currentTime)
        }

    /** Guards against a time scale that is ignored. */
    @Test
    fun `time scale shortens the steps`() =
        engineTest(EngineSettings(batch = constantStep, timeScale = 0.1)) { handle ->
            handle.tokensOf(chatParameters(answerTokens = 5))
            assertEquals(5, currentTime)
        }

    /** Guards against a request that stays in the batch after its caller was cancelled, at any stage of the request. */
    @Test
    fun `cancelling the caller drops its request`() =
        engineTest(EngineSettings(batch = constantStep.copy(maxBatch = 1))) { handle ->
            val running = launch { handle.tokensOf(chatParameters(answerTokens = 1000)) }
            val waiting = launch { handle.tokensOf(chatParameters(answerTokens = 1000)) }
            testScheduler.advanceTimeBy(15)
            val unanswered =
                launch(start = CoroutineStart.UNDISPATCHED) { handle.tokensOf(chatParameters(answerTokens = 1000)) }
            listOf(running, waiting, unanswered).forEach { it.cancelAndJoin() }
            runCurrent()
            val counters = handle.counters()
            assertEquals(0, counters.running + counters.waiting)
            assertEquals(counters.batch.submitted, counters.batch.cancelled)
            assertEquals(listOf(0, 1), handle.tokensOf(chatParameters(answerTokens = 2)))
        }

    /** Guards against a cancellation by attempt that leaves the request running or ends another one. */
    @Test
    fun `cancellation by attempt ends that request`() =
        engineTest(EngineSettings(batch = constantStep)) { handle ->
            val one = async { handle.tokensOf(chatParameters(answerTokens = 9, attempt = "one")) }
            val two = async { handle.tokensOf(chatParameters(answerTokens = 9, attempt = "two")) }
            testScheduler.advanceTimeBy(35)
            assertTrue(handle.cancel("one"))
            assertEquals(1, handle.counters().running)
            assertFalse(handle.cancel("one"))
            assertEquals(listOf(0, 1, 2), one.await())
            assertEquals((0..8).toList(), two.await())
        }

    /** Guards against an attempt that runs twice concurrently, acceptance of unknown models and an unbounded queue. */
    @Test
    fun `requests that the engine can't accept are refused`() =
        engineTest(EngineSettings(batch = constantStep.copy(maxBatch = 1, maxWaiting = 1))) { handle ->
            val running = launch { handle.tokensOf(chatParameters(attempt = "one")) }
            testScheduler.advanceTimeBy(5)
            assertEquals("attempt_reused", handle.refusalOf(chatParameters(attempt = "one")))
            assertEquals("model_not_found", handle.refusalOf(chatParameters(model = "absent")))
            val waiting = launch { handle.tokensOf(chatParameters()) }
            runCurrent()
            assertEquals("overloaded", handle.refusalOf(chatParameters()))
            assertEquals(1, handle.counters().batch.refused)
            listOf(running, waiting).forEach { it.join() }
        }

    /** Guards against load above the cold bound that is not counted, and against counted load within the bound. */
    @Test
    fun `load above the cold bound is counted`() =
        engineTest(EngineSettings(batch = constantStep.copy(warmAfter = 3, coldBound = 2))) { handle ->
            val withinBound = List(2) { launch { handle.tokensOf(chatParameters()) } }
            runCurrent()
            assertEquals(ColdOverload(), handle.counters().batch.coldOverload)
            val aboveBound = List(3) { launch { handle.tokensOf(chatParameters()) } }
            (withinBound + aboveBound).forEach { it.join() }
            assertEquals(ColdOverload(requests = 3, peak = 3), handle.counters().batch.coldOverload)
            assertFalse(handle.counters().cold)
            handle.ask { EngineMessage.ResetToCold(restart = false, it) }
            assertTrue(handle.counters().cold)
            assertEquals(1, handle.counters().run)
        }

    /** Guards against a restart that keeps requests or the run number. */
    @Test
    fun `restart drops all requests and increments the run number`() =
        engineTest(EngineSettings(batch = constantStep, run = 7)) { handle ->
            val dropped = async { handle.tokensOf(chatParameters(answerTokens = 9)) }
            testScheduler.advanceTimeBy(25)
            handle.ask { EngineMessage.ResetToCold(restart = true, it) }
            assertEquals(listOf(0, 1), dropped.await())
            assertEquals(8, handle.counters().run)
            assertEquals(listOf(0, 1), handle.tokensOf(chatParameters(answerTokens = 2)))
        }

    /** Guards against steps during a stall, and against a stall that can't be ended or extended. */
    @Test
    fun `no step begins before the stall ends`() =
        engineTest(EngineSettings(batch = constantStep)) { handle ->
            handle.ask { EngineMessage.Stall(1.seconds, it) }
            val request = async { handle.tokensOf(chatParameters(answerTokens = 2)) }
            testScheduler.advanceTimeBy(500)
            assertEquals(0, handle.counters().batch.steps)
            handle.ask { EngineMessage.Stall(2.seconds, it) }
            testScheduler.advanceTimeBy(1_900)
            assertEquals(0, handle.counters().batch.steps)
            handle.ask { EngineMessage.Stall(0.seconds, it) }
            request.await()
            assertEquals(2_420, currentTime)
        }

    /** Guards against a load report that is newer than the lag allows. */
    @Test
    fun `load report is as old as the lag`() =
        engineTest(EngineSettings(batch = constantStep, loadLag = 100.milliseconds, run = 3)) { handle ->
            testScheduler.advanceTimeBy(1_000)
            val request = launch { handle.tokensOf(chatParameters(answerTokens = 20)) }
            testScheduler.advanceTimeBy(99)
            assertEquals(EngineLoad(0, 0, false, 3), handle.load())
            testScheduler.advanceTimeBy(2)
            assertEquals(EngineLoad(1, 0, false, 3), handle.load())
            request.join()
            assertEquals(EngineLoad(1, 0, false, 3), handle.load())
            testScheduler.advanceTimeBy(101)
            assertEquals(EngineLoad(0, 0, false, 3), handle.load())
        }

    /** Guards against an imported cache that is not used for the prefill, and against an incomplete export. */
    @Test
    fun `exported cache can be imported after a restart`() {
        val blocks = blockDigests("x".repeat(200), constantStep.blockTokens)
        val prompt = chatParameters(answerTokens = 1).copy(blocks = blocks, promptTokens = 50)
        engineTest(EngineSettings(batch = constantStep)) { handle ->
            handle.tokensOf(prompt)
            val cache = requireNotNull(handle.export(blocks.last()))
            assertEquals(blocks, cache.blocks)
            handle.ask { EngineMessage.ResetToCold(restart = true, it) }
            assertNull(handle.export(blocks.last()))
            handle.ask { EngineMessage.ImportCache(cache, it) }
            handle.tokensOf(prompt)
            assertEquals(48, handle.counters().batch.cachedTokens)
        }
    }

    /** Guards against an expert map that takes effect during a step, and a new version without a cold start. */
    @Test
    fun `orders take effect between steps`() =
        engineTest(EngineSettings(batch = constantStep)) { handle ->
            val request = async { handle.tokensOf(chatParameters(answerTokens = 9)) }
            testScheduler.advanceTimeBy(25)
            handle.ask { EngineMessage.Order(EngineOrder(EngineOrderKind.EXPERT_MAP, 1, expertMap = 4), it) }
            assertEquals(0, handle.counters().assignment.expertMap)
            testScheduler.advanceTimeBy(6)
            assertEquals(4, handle.counters().assignment.expertMap)
            assertEquals(0, handle.counters().assignment.lateMaps)
            handle.ask { EngineMessage.Order(EngineOrder(EngineOrderKind.LOAD_VERSION, 1, "draft", "2"), it) }
            assertTrue(handle.counters().cold)
            request.await()
        }
}

private fun engineTest(
    settings: EngineSettings,
    test: suspend TestScope.(EngineTaskHandle) -> Unit,
) = runTest {
    val clock =
        object : Clock {
            override fun now() = Instant.fromEpochMilliseconds(currentTime)
        }
    val owner = Job(backgroundScope.coroutineContext.job)
    val inbox = Channel<EngineMessage>(ENGINE_INBOX_CAPACITY)
    val time = ModelTime(clock, settings.timeScale) { kotlinx.coroutines.delay(it) }
    (backgroundScope + owner).launch { EngineTask(settings, time, inbox).run(this) }
    test(EngineTaskHandle(inbox, owner))
}

private fun chatParameters(
    answerTokens: Int = 3,
    firstToken: Int = 0,
    attempt: String? = null,
    model: String = "draft",
) = ChatParameters(attempt, model, 0, 4, emptyList(), firstToken, answerTokens)

private suspend fun EngineTaskHandle.tokensOf(parameters: ChatParameters): List<Int> {
    var positions = emptyList<Int>()
    submit(parameters) { positions = (it as SubmitResult.Accepted).tokens.toList().map { token -> token.position } }
    return positions
}

private suspend fun EngineTaskHandle.refusalOf(parameters: ChatParameters): String {
    var type = "accepted"
    submit(parameters) { if (it is SubmitResult.Refused) type = it.type }
    return type
}

private suspend fun EngineTaskHandle.counters(): EngineCounters = ask { EngineMessage.ReadCounters(it) }

private suspend fun EngineTaskHandle.load(): EngineLoad = ask { EngineMessage.ReadLoad(it) }

private suspend fun EngineTaskHandle.cancel(attempt: String): Boolean = ask { EngineMessage.Cancel(attempt, it) }

private suspend fun EngineTaskHandle.export(last: Digest): PromptCache? = ask { EngineMessage.ExportCache(last, it) }
