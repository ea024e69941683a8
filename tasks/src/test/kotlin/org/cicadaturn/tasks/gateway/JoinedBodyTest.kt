package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the bodies that callers receive if an endpoint breaks off one that has begun. */
class JoinedBodyTest {
    private fun run(tag: String) = (1..5).joinToString("") { "id: $it\ndata: $tag$it\n\n" }

    private fun answerOf(
        type: String,
        first: String,
        second: String,
    ): RawAnswer {
        val headers = "Content-Type: $type\r\nContent-Length:"
        ScriptedEndpoint { r, out -> !out.text(okHead(r, "$headers ${first.length + 1}") + first) }.use { breaks ->
            ScriptedEndpoint { r, out -> out.text(okHead(r, "$headers ${second.length}") + second) }.use { answers ->
                return TestGateway(listOf(breaks, answers)).use { exchange(it.port, request("/safe/x")) }
            }
        }
    }

    /** Guards against events of two runs in one answer on a route of bodies, whose events are not verified. */
    @Test
    fun `an event stream on a route of bodies is not joined with that of another endpoint`() {
        val answer = answerOf("text/event-stream", run("a").substringBefore("id: 3"), run("b"))
        assertTrue(run("a").startsWith(answer.body), answer.body)
        assertFalse(answer.isComplete)
    }

    /** Guards against two bodies in one answer where the first is too long to be kept until it is complete. */
    @Test
    fun `a long body is not joined with that of another endpoint`() {
        val answer = answerOf("text/plain", "a".repeat(300_000), "b".repeat(300_000))
        assertEquals("a".repeat(300_000), answer.body)
        assertFalse(answer.isComplete)
    }
}
