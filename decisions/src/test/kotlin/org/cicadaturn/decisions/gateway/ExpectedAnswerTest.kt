package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

class ExpectedAnswerTest {
    private val stream = ExpectedAnswer("r", followsOthers = false, continuesAnswer = false, events = ExpectedEvents())
    private val body = stream.copy(events = null)
    private val sound =
        AnswerHead(200, BodyFraming.CHUNKED, listOf("text/event-stream"), requestId = "r", isSigned = true)

    private fun assertUnsound(
        expected: ExpectedAnswer,
        head: AnswerHead,
        isOutOfStep: Boolean = false,
    ) {
        val verdict = assertInstanceOf(AnswerVerdict.Unsound::class.java, expected.verdictOn(head))
        assertEquals(isOutOfStep, verdict.isOutOfStep, verdict.defect)
    }

    /** Guards against an answer that decides by its type whether its events are verified. */
    @Test
    fun `a success is read as the route expects it, whatever it declares`() {
        assertEquals(AnswerVerdict.Events(ExpectedEvents()), stream.verdictOn(sound))
        assertEquals(AnswerVerdict.Body(isIncremental = true), body.verdictOn(sound))
        for (types in listOf(emptyList(), listOf("text/plain"), listOf("text/event-streams"), sound.contentTypes * 2)) {
            assertUnsound(stream, sound.copy(contentTypes = types))
            assertEquals(AnswerVerdict.Body(isIncremental = false), body.verdictOn(sound.copy(contentTypes = types)))
        }
        for (status in 204..299) assertUnsound(stream, sound.copy(status = status))
        for (status in 200..203) {
            val verdict = stream.verdictOn(sound.copy(status = status))
            assertEquals(AnswerVerdict.Events(ExpectedEvents()), verdict, "$status")
            assertUnsound(stream, sound.copy(status = status, contentTypes = listOf("text/plain")))
            assertUnsound(stream, sound.copy(status = status, isSigned = false), isOutOfStep = true)
        }
        assertEquals(AnswerVerdict.Failure, stream.verdictOn(sound.copy(status = 500, contentTypes = emptyList())))
    }

    /** Guards against an answer to another request, and against one whose end cannot be found. */
    @Test
    fun `an answer that may not be the own one is out of step`() {
        assertUnsound(body, sound.copy(requestId = "other"), isOutOfStep = true)
        assertUnsound(body, sound.copy(requestId = null), isOutOfStep = true)
        assertUnsound(body, sound.copy(isSigned = false), isOutOfStep = true)
        assertUnsound(body, sound.copy(isEncoded = true), isOutOfStep = true)
        assertUnsound(body, sound.copy(framing = BodyFraming.UNKNOWN), isOutOfStep = true)
        val failure = AnswerHead(500, BodyFraming.LENGTH)
        assertEquals(AnswerVerdict.Failure, body.verdictOn(failure))
        assertUnsound(body.copy(followsOthers = true), failure, isOutOfStep = true)
    }

    /** Guards against a second body behind a part of a first one. */
    @Test
    fun `a body does not continue an answer`() {
        assertUnsound(body.copy(continuesAnswer = true), sound)
        assertEquals(AnswerVerdict.Events(ExpectedEvents()), stream.copy(continuesAnswer = true).verdictOn(sound))
    }

    private operator fun List<String>.times(n: Int): List<String> = List(n) { this }.flatten()
}
