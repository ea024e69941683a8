package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.RouteKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AttemptPolicyTest {
    private fun history(
        kind: RouteKind,
        endpointsTried: Int = 1,
        maxEndpoints: Int = 2,
        mayHaveRun: Boolean = false,
        isAnswerBegun: Boolean = false,
        isResumable: Boolean = false,
        holdTimeLeft: Duration = Duration.ZERO,
    ) = AttemptHistory(
        kind,
        isResumable,
        endpointsTried,
        maxEndpoints,
        0,
        mayHaveRun,
        canAskAgain = false,
        isAnswerBegun,
        1.seconds,
        holdTimeLeft,
    )

    private data class Case(
        val end: AttemptEnd,
        val history: AttemptHistory,
        val step: NextStep,
    )

    private val once = RouteKind.AT_MOST_ONCE
    private val idempotent = RouteKind.IDEMPOTENT
    private val stream = RouteKind.STREAM

    private val cases =
        listOf(
            Case(AttemptEnd.NOT_SENT, history(once, endpointsTried = 0, maxEndpoints = 1), NextStep.REPEAT),
            Case(AttemptEnd.NOT_EXECUTED, history(once, maxEndpoints = 1), NextStep.REFUSE),
            Case(AttemptEnd.NOT_EXECUTED, history(once), NextStep.REPEAT),
            Case(AttemptEnd.NOT_EXECUTED, history(once, maxEndpoints = 1, holdTimeLeft = 1.seconds), NextStep.HOLD),
            Case(
                AttemptEnd.NOT_EXECUTED,
                history(idempotent, endpointsTried = 2, mayHaveRun = true, holdTimeLeft = 1.seconds),
                NextStep.FAIL,
            ),
            Case(AttemptEnd.FAILED, history(once, mayHaveRun = true), NextStep.PASS_FAILURE),
            Case(AttemptEnd.BROKEN, history(once, mayHaveRun = true), NextStep.FAIL),
            Case(AttemptEnd.STALLED, history(once, mayHaveRun = true), NextStep.FAIL),
            Case(AttemptEnd.BROKEN, history(idempotent, mayHaveRun = true), NextStep.REPEAT),
            Case(AttemptEnd.BROKEN, history(idempotent, mayHaveRun = true, isAnswerBegun = true), NextStep.CUT),
            Case(AttemptEnd.FAILED, history(idempotent, endpointsTried = 2, mayHaveRun = true), NextStep.PASS_FAILURE),
            Case(AttemptEnd.NOT_EXECUTED, history(idempotent, endpointsTried = 2, mayHaveRun = true), NextStep.FAIL),
            Case(AttemptEnd.NOT_EXECUTED, history(idempotent, endpointsTried = 2), NextStep.REFUSE),
            Case(AttemptEnd.BROKEN, history(stream, mayHaveRun = true), NextStep.FAIL),
            Case(AttemptEnd.BROKEN, history(stream, mayHaveRun = true, isAnswerBegun = true), NextStep.CUT),
            Case(
                AttemptEnd.BROKEN,
                history(stream, mayHaveRun = true, isAnswerBegun = true, isResumable = true),
                NextStep.REPEAT,
            ),
        ) + listOf(AttemptEnd.NOT_EXECUTED, AttemptEnd.BROKEN).flatMap(::begunStreams)

    /** Cases of a stream that has begun and was sent to as many endpoints as it may be sent to. */
    private fun begunStreams(end: AttemptEnd): List<Case> {
        val history =
            history(
                stream,
                endpointsTried = 2,
                mayHaveRun = true,
                isAnswerBegun = true,
                isResumable = true,
                holdTimeLeft = 1.seconds,
            ).copy(canAskAgain = true)
        return listOf(
            Case(end, history, NextStep.HOLD),
            Case(end, history.copy(holdTimeLeft = Duration.ZERO), NextStep.CUT),
            Case(end, history.copy(canAskAgain = false), NextStep.CUT),
            Case(end, history.copy(isResumable = false), NextStep.CUT),
        )
    }

    /** Guards against a repetition that runs a request twice, and against a refusal that falsely says "not run". */
    @TestFactory
    fun `each outcome leads to a safe step`() =
        cases.map {
            DynamicTest.dynamicTest(
                "${it.end} of ${it.history}",
            ) { assertEquals(it.step, nextStep(it.end, it.history)) }
        }

    /** Guards against callers that are told to return before a time at which, as is known, they cannot be served. */
    @Test
    fun `a known time is stated in full and a guess only up to a share of the time left`() {
        assertEquals(900.milliseconds, retryDelay(3.seconds, 5.seconds))
        assertEquals(2_500.milliseconds, retryDelay(60.seconds, 5.seconds))
        assertEquals(100.milliseconds, retryDelay(3.seconds, Duration.ZERO))
        assertEquals(5.seconds, retryDelay(3.seconds, 5.seconds, notBefore = 4.seconds))
        assertEquals(5.seconds, retryDelay(60.seconds, 5.seconds, notBefore = 4.seconds))
        assertEquals(100.milliseconds, retryDelay(3.seconds, 20.milliseconds, notBefore = 10.milliseconds))
    }

    /** Guards against a spread that keeps callers from a retry in their time, and against a time before the known one. */
    @Test
    fun `a delay beyond a known time leaves time for a retry`() {
        assertEquals(900.milliseconds, retryDelay(3.seconds, 1_600.milliseconds, notBefore = 800.milliseconds))
        assertEquals(2_500.milliseconds, retryDelay(3.seconds, 4.seconds, notBefore = 2.seconds))
        assertEquals(2_100.milliseconds, retryDelay(3.seconds, 2_100.milliseconds, notBefore = 2.seconds))
        assertEquals(4.seconds, retryDelay(3.seconds, 4.seconds, notBefore = 3.seconds))
    }

    /** Guards against repetitions that are sent too late to be answered before the deadline. */
    @Test
    fun `nothing is repeated shortly before the deadline`() {
        val late = history(idempotent).copy(remaining = 5.milliseconds)
        assertEquals(NextStep.REFUSE, nextStep(AttemptEnd.NOT_EXECUTED, late))
    }

    /** Guards against first attempts that count as late, which leaves no request that can be in time in an overload. */
    @Test
    fun `a caller that allows a little less than the route has spent no time yet`() {
        assertEquals(Duration.ZERO, timeSpent(timeout = 8.seconds, timeLimit = 6_850.milliseconds))
        assertEquals(Duration.ZERO, timeSpent(timeout = 8.seconds, timeLimit = 9.seconds))
        assertEquals(2_500.milliseconds, timeSpent(timeout = 8.seconds, timeLimit = 5_500.milliseconds))
    }
}
