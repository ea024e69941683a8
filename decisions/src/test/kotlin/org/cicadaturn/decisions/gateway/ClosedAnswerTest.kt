package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tests which answers without a length and without chunks are complete. */
class ClosedAnswerTest {
    /** Guards against an answer that was cut and counts as complete, and against a whole one that counts as cut. */
    @ParameterizedTest
    @CsvSource(
        textBlock = """
            CLOSED_BY_ENDPOINT, UNKNOWN,   ACCEPTS, true
            CLOSED_BY_ENDPOINT, UNKNOWN,   UNKNOWN, false
            CLOSED_BY_ENDPOINT, UNKNOWN,   REFUSES, false
            CLOSED_BY_ENDPOINT, UNKNOWN,   RESETS,  true
            CLOSED_BY_ENDPOINT, ANNOUNCED, ACCEPTS, true
            CLOSED_BY_ENDPOINT, ANNOUNCED, UNKNOWN, false
            CLOSED_BY_ENDPOINT, ANNOUNCED, REFUSES, false
            CLOSED_BY_ENDPOINT, LAPSED,    ACCEPTS, true
            CLOSED_BY_ENDPOINT, LAPSED,    UNKNOWN, false
            CLOSED_BY_ENDPOINT, LAPSED,    REFUSES, false
            CLOSED_BY_ENDPOINT, REMOVED,   ACCEPTS, true
            CLOSED_BY_ENDPOINT, REMOVED,   UNKNOWN, false
            CLOSED_BY_ENDPOINT, REMOVED,   REFUSES, false
            CLOSED_BY_ENDPOINT, REPLACED,  ACCEPTS, false
            CLOSED_BY_ENDPOINT, REPLACED,  UNKNOWN, false
            CLOSED_BY_ENDPOINT, REPLACED,  RESETS,  false
            CLOSED_BY_ENDPOINT, REPLACED,  REFUSES, false
            RESET,              LAPSED,    ACCEPTS, false
            RESET,              REMOVED,   REFUSES, false
            RESET,              UNKNOWN,   ACCEPTS, false
            RESET,              UNKNOWN,   UNKNOWN, false
            RESET,              UNKNOWN,   RESETS,  false
            RESET,              UNKNOWN,   REFUSES, false
            RESET,              ANNOUNCED, ACCEPTS, false
            RESET,              ANNOUNCED, UNKNOWN, false
            RESET,              ANNOUNCED, REFUSES, false
            CLOSED_BY_GATEWAY,  UNKNOWN,   ACCEPTS, false
            CLOSED_BY_GATEWAY,  ANNOUNCED, UNKNOWN, false
            FAILED,             UNKNOWN,   ACCEPTS, false
            FAILED,             ANNOUNCED, UNKNOWN, false""",
    )
    fun `an answer is complete if its endpoint has closed the connection and not crashed`(
        end: ConnectionEnd,
        exit: EndpointExit,
        access: EndpointAccess,
        isComplete: Boolean,
    ) {
        assertEquals(isComplete, defectOfClosedAnswer(end, exit, access, Duration.ZERO) == null)
    }

    /** Guards against the answer of a start that has crashed and counts as complete, as the next one accepts connections. */
    @Test
    fun `an answer is not complete if its endpoint may have started again before the end was read`() {
        val closed = ConnectionEnd.CLOSED_BY_ENDPOINT
        for (exit in EndpointExit.entries) {
            assertNotNull(defectOfClosedAnswer(closed, exit, EndpointAccess.ACCEPTS, 1_600.milliseconds))
        }
        // Shorter than any start of an endpoint.
        assertNull(defectOfClosedAnswer(closed, EndpointExit.UNKNOWN, EndpointAccess.ACCEPTS, 200.milliseconds))
    }
}
