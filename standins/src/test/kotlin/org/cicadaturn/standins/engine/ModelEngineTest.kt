package org.cicadaturn.standins.engine

import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.cicadaturn.schema.generated.ChatChunk
import org.cicadaturn.schema.generated.ChatCompletion
import org.cicadaturn.schema.generated.EngineLoad
import org.cicadaturn.schema.generated.ModelList
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout

private val fast = EngineSettings(timeScale = 0.01)

/** Tests the HTTP interface of the stand-in engine; the timeout only ends a test that hangs. */
@Timeout(60)
class ModelEngineTest {
    /** Guards against an answer without streaming that differs from the tokens of its prompt. */
    @Test
    fun `answer without streaming has the tokens of its prompt`() =
        withEngine({ startModelEngine(this, fast) }) { client ->
            val request = chat("Draft a note on soil.", 20)
            val answer = engineJson.decodeFromString<ChatCompletion>(client.chat(request).bodyAsText())
            assertEquals(
                expectedText(request),
                answer.choices
                    .single()
                    .message.content,
            )
            assertEquals(20, answer.usage.completionTokens)
        }

    /** Guards against missing, repeated or mixed-up tokens in concurrent streams, and against a missing end. */
    @Test
    fun `each concurrent stream has its own tokens and its end`() =
        withEngine({ startModelEngine(this, fast) }) { client ->
            val requests = (1..8).map { chat("Prompt number $it", 10 + it, stream = true) }
            val streams = requests.map { async { client.events(it).toList() } }.map { it.await() }
            requests.zip(streams).forEach { (request, events) ->
                assertEquals(DONE, events.last())
                assertEquals(expectedText(request), textOf(events))
                assertEquals(
                    "length",
                    chunksOf(events)
                        .last()
                        .choices
                        .single()
                        .finishReason,
                )
            }
        }

    /** Guards against a resumed stream that repeats or omits a token. */
    @Test
    fun `resumed stream continues at the given token`() =
        withEngine({ startModelEngine(this, fast) }) { client ->
            val request = chat("Resume me.", 16, stream = true)
            (0..15).forEach { from ->
                val events = client.events(request, "X-Resume-From" to "$from").toList()
                assertEquals(expectedText(request, from), textOf(events))
            }
            assertEquals(416, client.chat(request, "X-Resume-From" to "16").status.value)
        }

    /** Guards against a request that stays in the batch after its caller has closed the connection. */
    @Test
    fun `closing the connection removes the request from the batch`() {
        val manual = ManualPause()
        val singleRequestBatch = fast.copy(batch = BatchSettings(maxBatch = 1))
        withEngine({ startModelEngine(this, singleRequestBatch, pause = manual::pause) }) { client ->
            val received = Channel<String>(Channel.UNLIMITED)
            val streamed = launch { client.events(chat("Long", 1000, stream = true)).collect { received.send(it) } }
            manual.end()
            received.receive()
            streamed.cancelAndJoin()
            val unstreamed = launch { client.chat(chat("Also gone", 1000)) }
            client.awaitCounters { it.batch.submitted == 2L }
            unstreamed.cancelAndJoin()
            val next = chat("Next", 3)
            val answer = async { client.chat(next).bodyAsText() }
            client.awaitCounters { it.batch.cancelled == 2L && it.batch.submitted == 3L }
            manual.end(4)
            assertEquals(
                expectedText(next),
                engineJson
                    .decodeFromString<ChatCompletion>(answer.await())
                    .choices
                    .single()
                    .message.content,
            )
        }
    }

    /** Guards against a cancelled stream that ends like a complete one. */
    @Test
    fun `cancelled stream is incomplete`() {
        val manual = ManualPause()
        withEngine({ startModelEngine(this, fast, pause = manual::pause) }) { client ->
            val received = Channel<String>(Channel.UNLIMITED)
            val request = chat("Cancel me.", 1000, stream = true)
            val failure =
                async {
                    runCatching {
                        client
                            .events(
                                request,
                                "X-Attempt-Id" to "a1",
                            ).collect { received.send(it) }
                    }.exceptionOrNull()
                }
            manual.end()
            received.receive()
            assertEquals(200, client.post("/cancel/a1", "").status.value)
            assertEquals(404, client.post("/cancel/a1", "").status.value)
            assertTrue(failure.await() is IOException, "got ${failure.await()}")
            received.close()
            assertTrue(DONE !in received.toList())
        }
    }

    /** Guards against answers of the control and report paths that differ from their documented form. */
    @Test
    fun `reports, orders and control calls answer as documented`() =
        withEngine({ startModelEngine(this, fast.copy(run = 5)) }) { client ->
            val models = engineJson.decodeFromString<ModelList>(client.get("/v1/models").bodyAsText())
            assertEquals(listOf("draft"), models.data.map { it.id })
            val load = engineJson.decodeFromString<EngineLoad>(client.get("/load").bodyAsText())
            assertEquals(EngineLoad(0, 0, cold = true, run = 5), load)
            assertEquals(
                200,
                client.post("/orders", """{"kind":"CHANGE_ROLE","fencing":4,"name":"decode"}""").status.value,
            )
            assertEquals(
                409,
                client.post("/orders", """{"kind":"CHANGE_ROLE","fencing":3,"name":"prefill"}""").status.value,
            )
            assertEquals(400, client.post("/orders", """{"kind":"OTHER"}""").status.value)
            assertEquals(204, client.post("/control/stall", """{"millis":0}""").status.value)
            assertEquals(204, client.post("/control/cold", """{"restart":true}""").status.value)
            assertEquals(6, client.engine.counters().run)
            assertEquals(
                "decode",
                client.engine
                    .counters()
                    .assignment.role,
            )
        }

    /** Guards against a cache transfer that loses blocks or is accepted under another digest. */
    @Test
    fun `exported prompt cache can be imported after a restart`() =
        withEngine({ startModelEngine(this, fast) }) { client ->
            val request = chat("A long prompt. ".repeat(20), 2)
            val digest = requireNotNull(client.chat(request).headers["X-Cache-Digest"])
            val cache = client.get("/cache/$digest").bodyAsText()
            assertEquals(404, client.get("/cache/absent").status.value)
            assertEquals(204, client.post("/control/cold", """{"restart":true}""").status.value)
            assertEquals(404, client.get("/cache/$digest").status.value)
            assertEquals(400, client.put("/cache/other", cache).status.value)
            assertEquals(204, client.put("/cache/$digest", cache).status.value)
            assertEquals(cache, client.get("/cache/$digest").bodyAsText())
        }

    private fun chunksOf(events: List<String>): List<ChatChunk> =
        events.filter { it != DONE }.map { engineJson.decodeFromString<ChatChunk>(it) }

    private fun textOf(events: List<String>): String =
        chunksOf(events).joinToString("") {
            it.choices
                .single()
                .delta.content
                .orEmpty()
        }
}
