package org.cicadaturn.standins.engine

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.cicadaturn.schema.generated.Digest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random
import kotlin.time.Instant

/** Tests the batching model with random sequences of requests, cancellations and steps. */
class BatchProperties {
    /** Guards against repeated or missing tokens, tokens after a cancellation, lost requests and exceeded limits. */
    @Property(seed = "4021", tries = 300)
    fun `each request gets its tokens once and in order`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 5) maxBatch: Int,
    ) {
        val random = Random(seed)
        val settings = BatchSettings(maxBatch = maxBatch, maxWaiting = 8, cacheBlocks = 6, warmAfter = 5)
        val requests = HashMap<Long, BatchRequest>()
        val tokens = HashMap<Long, MutableList<TokenEvent>>()
        val cancelled = HashSet<Long>()
        var batch = newBatch(settings)
        repeat(120) { round ->
            when (random.nextInt(4)) {
                0, 1 -> {
                    val request = randomRequest(round.toLong(), random)
                    if (!batch.isQueueFull()) requests[request.id] = request
                    batch = batch.submit(request)
                }
                2 -> {
                    val id = requests.keys.randomOrNull(random) ?: return@repeat
                    if (batch.cancel(id) !== batch) cancelled += id
                    batch = batch.cancel(id)
                }
                else -> {
                    val end = batch.beginStep(Instant.fromEpochSeconds(round.toLong())).state.endStep()
                    batch = end.state
                    end.tokens.forEach { event ->
                        assertTrue(event.id !in cancelled) { "cancelled request ${event.id} got a token" }
                        tokens.getOrPut(event.id) { mutableListOf() } += event
                    }
                }
            }
            assertTrue(batch.running.size <= maxBatch)
            assertTrue(batch.waiting.size <= settings.maxWaiting)
            assertTrue(batch.cache.size <= settings.cacheBlocks)
            assertTrue(batch.waiting.zipWithNext().all { (a, b) -> a.priority >= b.priority })
            val counters = batch.counters
            assertEquals(counters.submitted, counters.finished + counters.cancelled + batch.requestCount)
        }
        tokens.forEach { (id, events) ->
            val request = requests.getValue(id)
            assertEquals(List(events.size) { request.firstToken + it }, events.map { it.position })
            assertTrue(events.dropLast(1).none { it.last })
            assertEquals(events.last().last, events.last().position == request.answerTokens - 1)
        }
    }

    /** Guards against a cache above its capacity, and against a cached block whose preceding blocks were evicted. */
    @Property(seed = "4022", tries = 300)
    fun `cache holds at most its capacity and no block without its preceding blocks`(
        @ForAll @Size(max = 40) promptNumbers: List<Int>,
        @ForAll @IntRange(min = 1, max = 8) capacity: Int,
    ) {
        var cache = PrefixCache(capacity)
        promptNumbers.map { it.mod(31) }.forEach { number ->
            // The prompts share their first two blocks and differ in the rest.
            val blocks = List(1 + number % 5) { if (it < 2) Digest("shared$it") else Digest("p$number.$it") }
            cache = cache.with(blocks)
            assertTrue(cache.size <= capacity)
            assertEquals(minOf(blocks.size, capacity), cache.cachedPrefixLength(blocks))
            cache.parents.forEach { (block, parent) ->
                assertTrue(parent == null || parent in cache.parents) { "block $block is held without $parent" }
                assertEquals(block, cache.prefixEndingWith(block)?.last())
            }
        }
    }

    private fun randomRequest(
        id: Long,
        random: Random,
    ): BatchRequest {
        val first = random.nextInt(3)
        val blocks = List(random.nextInt(4)) { Digest("b${random.nextInt(3)}.$it") }
        return BatchRequest(id, random.nextInt(3), 1 + blocks.size * 16, blocks, first, first + 1 + random.nextInt(5))
    }
}
