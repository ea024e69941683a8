package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Tests which answers without a length and without chunks are complete. */
class ClosedAnswerTest {
    /** Guards against an answer that was cut and counts as complete, and against a whole one that counts as cut. */
    @ParameterizedTest
    @CsvSource(
        textBlock = """
            CLOSED_BY_ENDPOINT, false, ACCEPTS, true
            CLOSED_BY_ENDPOINT, false, UNKNOWN, true
            CLOSED_BY_ENDPOINT, false, REFUSES, false
            CLOSED_BY_ENDPOINT, true,  ACCEPTS, true
            CLOSED_BY_ENDPOINT, true,  UNKNOWN, true
            CLOSED_BY_ENDPOINT, true,  REFUSES, true
            RESET,              false, ACCEPTS, false
            RESET,              false, UNKNOWN, false
            RESET,              false, REFUSES, false
            RESET,              true,  ACCEPTS, false
            RESET,              true,  UNKNOWN, false
            RESET,              true,  REFUSES, false
            CLOSED_BY_GATEWAY,  false, ACCEPTS, false
            CLOSED_BY_GATEWAY,  true,  UNKNOWN, false
            FAILED,             false, ACCEPTS, false
            FAILED,             true,  UNKNOWN, false""",
    )
    fun `an answer is complete if its endpoint has closed the connection and not crashed`(
        end: ConnectionEnd,
        isLeaving: Boolean,
        access: EndpointAccess,
        isComplete: Boolean,
    ) {
        assertEquals(isComplete, defectOfClosedAnswer(end, isLeaving, access) == null)
    }
}
