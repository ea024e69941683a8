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

class TokenUseTest {
    private fun use(): TokenUse {
        val facts = ChatRequestInfo("draft", promptTokens = 7, maxTokens = 93, stream = true, prefix = "")
        val request = CallerRequest(RequestId("r"), "POST", "/v1/chat/completions", emptyMap(), ByteArray(0), facts)
        val organisation = Organisation(OrganisationId("survey"), emptyList(), 1, 1_000)
        val service = Service(ServiceId("draft"), ServiceKind.MODEL, idempotent = true, deadline = 1.seconds)
        return TokenUse(RoutedRequest(request, organisation, service, 1.seconds, 100, true, null))
    }

    private fun whole(body: String) = Answer.Whole(200, emptyList(), body.encodeToByteArray())

    /** Guards against a charge that is not corrected to the count in the answer. */
    @Test
    fun wholeAnswerNamesItsCount() {
        val use = use()
        use.counted(whole("""{"usage":{"prompt_tokens":7,"total_tokens": 42}}"""))
        assertEquals(42, use.tokens())
    }

    /** Guards against tokens that are given back although nothing is known of their use. */
    @Test
    fun unknownUseKeepsTheEstimate() {
        val unnamed = use().also { it.counted(whole("{}")) }
        assertEquals(100, unnamed.tokens())
        val lost = use().also { it.mayHaveRun() }
        assertEquals(100, lost.tokens())
        lost.counted(whole("""{"total_tokens":42}"""))
        assertEquals(100, lost.tokens())
    }

    /** Guards against a charge for a request that has not run. */
    @Test
    fun requestThatHasNotRunUsesNothing() {
        assertEquals(0, use().tokens())
    }

    /** Guards against events of a stream that are missed or counted twice where parts split them. */
    @Test
    fun streamIsCountedByEvents() =
        runTest {
            val text = "data: role\n\ndata: a\n\ndata: b\n\ndata: stop\n\ndata: [DONE]\n\n"
            for (size in 1..text.length) {
                val use = use()
                val parts = text.chunked(size)
                val streamed =
                    Answer.Streamed(200, emptyList()) { take ->
                        parts.forEach { take(it.encodeToByteArray()) }
                        null
                    }
                (use.counted(streamed) as Answer.Streamed).relay { }
                assertEquals(9, use.tokens(), "parts of $size characters")
            }
        }
}
