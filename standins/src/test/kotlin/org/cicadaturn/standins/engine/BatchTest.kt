package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.ColdOverload
import org.cicadaturn.schema.generated.Digest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

/** Tests the batching model. */
class BatchTest {
    /** Guards against a batch above its maximum size and against admission of a low priority before a high one. */
    @Test
    fun `requests are admitted by priority and then by order of arrival`() {
        val batch =
            warm(BatchSettings(maxBatch = 2))
                .submit(request(1, priority = 0))
                .submit(request(2, priority = 5))
                .submit(request(3, priority = 0))
                .submit(request(4, priority = 5))
                .submit(request(5, priority = 9))
                .beginStep(start)
                .state
        assertEquals(listOf(5L, 2L), batch.running.map { it.request.id })
        assertEquals(listOf(4L, 1L, 3L), batch.waiting.map { it.id })
    }

    /** Guards against a step time that does not grow with the batch and the computed prompt tokens. */
    @Test
    fun `step time grows with requests and prompt tokens`() {
        val settings =
            BatchSettings(baseStep = 20.milliseconds, stepPerRequest = 2.milliseconds, prefillPerToken = 1.milliseconds)
        val first = warm(settings).submit(request(1, promptTokens = 10)).beginStep(start)
        assertEquals(32.milliseconds, first.endsAt - start)
        val second =
            first.state
                .endStep()
                .state
                .submit(request(2, promptTokens = 5))
                .beginStep(start)
        assertEquals(29.milliseconds, second.endsAt - start)
        assertEquals(
            24.milliseconds,
            second.state
                .endStep()
                .state
                .beginStep(start)
                .endsAt - start,
        )
    }

    /** Guards against a cached prefix that is computed again, and against a prefix that is not cached. */
    @Test
    fun `cached prefix shortens the prefill`() {
        val settings =
            BatchSettings(baseStep = 1.milliseconds, stepPerRequest = Duration.ZERO, prefillPerToken = 1.milliseconds)
        val blocks = listOf(Digest("a"), Digest("b"))
        val first = warm(settings).submit(request(1, promptTokens = 40, blocks = blocks)).beginStep(start)
        assertEquals(41.milliseconds, first.endsAt - start)
        val again =
            first.state
                .endStep()
                .state
                .submit(request(2, promptTokens = 40, blocks = blocks))
                .beginStep(start)
        assertEquals(9.milliseconds, again.endsAt - start)
        assertEquals(32, again.state.counters.cachedTokens)
        val full =
            again.state
                .endStep()
                .state
                .submit(request(3, promptTokens = 32, blocks = blocks))
                .beginStep(start)
        assertEquals(2.milliseconds, full.endsAt - start)
    }

    /** Guards against a resumed answer that skips the computation of its earlier tokens. */
    @Test
    fun `resumed request computes its earlier answer tokens and generates the rest`() {
        val settings =
            BatchSettings(baseStep = 1.milliseconds, stepPerRequest = Duration.ZERO, prefillPerToken = 1.milliseconds)
        val step =
            warm(
                settings,
            ).submit(request(1, promptTokens = 10, firstToken = 2, answerTokens = 4)).beginStep(start)
        assertEquals(13.milliseconds, step.endsAt - start)
        val first = step.state.endStep()
        val second =
            first.state
                .beginStep(start)
                .state
                .endStep()
        assertEquals(listOf(TokenEvent(1, 2, false), TokenEvent(1, 3, true)), first.tokens + second.tokens)
        assertEquals(0, second.state.requestCount)
    }

    /** Guards against a cancelled request that stays in the batch or still gets tokens. */
    @Test
    fun `cancelled request leaves the batch and gets no token`() {
        val begun =
            warm(BatchSettings(maxBatch = 1))
                .submit(request(1))
                .submit(request(2))
                .beginStep(start)
                .state
        val cancelled = begun.cancel(1)
        assertEquals(emptyList<TokenEvent>(), cancelled.endStep().tokens)
        assertEquals(
            listOf(2L),
            cancelled
                .endStep()
                .state
                .beginStep(start)
                .state.running
                .map { it.request.id },
        )
        assertEquals(0, cancelled.cancel(2).requestCount)
        assertEquals(2, cancelled.cancel(2).counters.cancelled)
        assertSame(cancelled, cancelled.cancel(99))
    }

    /** Guards against overload during a cold start that is not counted or does not slow the engine down. */
    @Test
    fun `load above the cold bound is counted and slows the steps down`() {
        val settings =
            BatchSettings(
                coldBound = 2,
                coldSlowdown = 8,
                prefillPerToken = Duration.ZERO,
                stepPerRequest = Duration.ZERO,
            )
        val atBound = newBatch(settings).submit(request(1)).submit(request(2))
        assertEquals(ColdOverload(), atBound.counters.coldOverload)
        assertEquals(20.milliseconds, atBound.beginStep(start).endsAt - start)
        val above = atBound.submit(request(3)).submit(request(4))
        assertEquals(ColdOverload(requests = 2, peak = 2), above.counters.coldOverload)
        assertEquals(160.milliseconds, above.beginStep(start).endsAt - start)
        assertEquals(
            ColdOverload(),
            above
                .copy(cold = null, counters = atBound.counters)
                .submit(request(5))
                .counters.coldOverload,
        )
    }

    /** Guards against a cold bound that does not grow with finished requests, and against an endless cold start. */
    @Test
    fun `cold bound grows with finished requests until the engine is warm`() {
        var batch = newBatch(BatchSettings(coldBound = 2, coldStep = 2, warmAfter = 5))
        val bounds =
            (1L..5L).map { id ->
                batch =
                    batch
                        .submit(request(id, answerTokens = 1))
                        .beginStep(start)
                        .state
                        .endStep()
                        .state
                batch.slowdownThreshold
            }
        assertEquals(listOf(2, 3, 3, 4, Int.MAX_VALUE), bounds)
        assertNull(batch.cold)
        val cold = batch.resetToCold()
        assertNotNull(cold.cold)
        assertEquals(2, cold.slowdownThreshold)
        assertEquals(2, cold.counters.coldStarts)
        assertEquals(0, cold.cache.size)
    }

    /** Guards against an unbounded queue of waiting requests. */
    @Test
    fun `request to a full queue is refused`() {
        val batch = warm(BatchSettings(maxWaiting = 1)).submit(request(1)).submit(request(2))
        assertEquals(1, batch.requestCount)
        assertEquals(1, batch.counters.refused)
    }

    /** Guards against steps that make progress during a stall. */
    @Test
    fun `step that begins during a stall ends after it`() {
        val batch = warm(BatchSettings()).submit(request(1)).stallUntil(start + 2.seconds)
        val usual = batch.stallUntil(start).beginStep(start).endsAt
        assertEquals(usual + 2.seconds, batch.beginStep(start).endsAt)
    }

    private fun warm(settings: BatchSettings) = newBatch(settings.copy(warmAfter = 0))

    private fun request(
        id: Long,
        priority: Int = 0,
        promptTokens: Int = 1,
        blocks: List<Digest> = emptyList(),
        firstToken: Int = 0,
        answerTokens: Int = 10,
    ) = BatchRequest(id, priority, promptTokens, blocks, firstToken, answerTokens)
}
