package org.cicadaturn.tasks.entry

import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.decisions.request.ChatRequestInfo
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class TokenUsageTest {
    private fun usage(): TokenUsage {
        val chat = ChatRequestInfo("draft", promptTokens = 7, maxTokens = 93, stream = true, prefix = "")
        val request = CallerRequest(RequestId("r"), "POST", "/v1/chat/completions", emptyMap(), ByteArray(0), chat)
        val organisation = Organisation(OrganisationId("survey"), emptyList(), 1, 1_000)
        val service = Service(ServiceId("draft"), ServiceKind.MODEL, idempotent = true, deadline = 1.seconds)
        return TokenUsage(RoutedRequest(request, organisation, service, 1.seconds, 100, true, null))
    }

    private fun buffered(body: String) = Answer.Buffered(200, emptyList(), body.encodeToByteArray())

    /** Guards against a charge that is not corrected to the token count in the answer. */
    @Test
    fun countIsReadFromBufferedAnswer() {
        val usage = usage()
        usage.counted(buffered("""{"usage":{"prompt_tokens":7,"total_tokens": 42}}"""))
        assertEquals(42, usage.tokens())
    }

    /** Guards against a refund of tokens whose use is not known. */
    @Test
    fun estimateIsKeptIfUsageIsUnknown() {
        val withoutCount = usage().also { it.counted(buffered("{}")) }
        assertEquals(100, withoutCount.tokens())
        val lost = usage().also { it.attemptMayHaveRun() }
        assertEquals(100, lost.tokens())
        lost.counted(buffered("""{"total_tokens":42}"""))
        assertEquals(100, lost.tokens())
    }

    /** Guards against a charge for a request that has not run. */
    @Test
    fun requestThatHasNotRunUsesNothing() {
        assertEquals(0, usage().tokens())
    }

    /** Guards against events that are missed or counted twice because they are split between two parts. */
    @Test
    fun streamIsCountedByEvents() =
        runTest {
            val text = "data: role\n\ndata: a\n\ndata: b\n\ndata: stop\n\ndata: [DONE]\n\n"
            for (size in 1..text.length) {
                val usage = usage()
                val parts = text.chunked(size)
                val streamed =
                    Answer.Streamed(200, emptyList(), isChat = true) { write ->
                        parts.forEach { write(it.encodeToByteArray()) }
                        null
                    }
                (usage.counted(streamed) as Answer.Streamed).relay { }
                assertEquals(9, usage.tokens(), "parts of $size characters")
            }
        }
}
