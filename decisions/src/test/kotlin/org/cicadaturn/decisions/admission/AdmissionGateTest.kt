package org.cicadaturn.decisions.admission

import org.cicadaturn.decisions.admission.AdmissionDecision.Admit
import org.cicadaturn.decisions.admission.AdmissionDecision.Queue
import org.cicadaturn.decisions.admission.AdmissionDecision.Refuse
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.RefusalCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class AdmissionGateTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val limits = AdmissionLimits(warmBound = 4, coldBound = 1, coldStep = 2)
    private val gate = admissionGate(limits)

    private fun request(
        number: Long,
        confirmation: Boolean = false,
        priority: Int = 0,
        deadline: Duration = 10.seconds,
    ) = AdmissionRequest(Ticket(number), confirmation, priority, 100, start + deadline)

    private fun arrive(
        number: Long,
        at: Duration = Duration.ZERO,
        confirmation: Boolean = false,
        priority: Int = 0,
        deadline: Duration = 10.seconds,
    ) = gate.arrive(request(number, confirmation, priority, deadline), start + at)

    private fun finish(
        number: Long,
        at: Duration = Duration.ZERO,
        ending: Ending = Ending.FINISHED,
    ) = gate.finish(Ticket(number), ending, start + at).decisions

    /** Runs [count] requests one after another for one millisecond each. */
    private fun warm(
        count: Int,
        firstNumber: Long = 1_000,
    ) = repeat(count) {
        arrive(firstNumber + it, it.milliseconds)
        finish(firstNumber + it, (it + 1).milliseconds)
    }

    /** Guards against a bound that grows with anything but finished requests, or beyond the warm bound. */
    @Test
    fun boundGrowsWithFinishedRequests() {
        val bounds =
            (0..8).map { step ->
                if (step > 0) warm(1, step.toLong())
                gate.state().bound
            }
        assertEquals(listOf(1, 1, 2, 2, 3, 3, 4, 4, 4), bounds)
        assertEquals(EngineState.WARM, gate.state().engine)
    }

    /** Guards against failed and cancelled requests that count as warm-up. */
    @ParameterizedTest
    @EnumSource(names = ["FAILED", "CANCELLED"])
    fun onlyFinishedRequestsCountAsWarmUp(ending: Ending) {
        repeat(20) {
            arrive(it.toLong(), (it * 2).seconds, deadline = 100.seconds)
            finish(it.toLong(), (it * 2).seconds + 1.milliseconds, ending)
        }
        assertEquals(1, gate.state().bound)
    }

    /** Guards against a restarted engine that gets the load of a warm one. */
    @Test
    fun newEngineRunBeginsAColdStart() {
        gate.applyEngineReport(run = 7, cold = true, start)
        warm(8)
        gate.applyEngineReport(run = 7, cold = false, start + 1.seconds)
        assertEquals(4, gate.state().bound)
        gate.applyEngineReport(run = 8, cold = false, start + 1.seconds)
        assertEquals(1, gate.state().bound)
    }

    /** Guards against a missed cold report, and against a cold start on each repetition of a cold report. */
    @Test
    fun repeatedColdReportBeginsOneColdStart() {
        gate.applyEngineReport(run = 7, cold = true, start)
        warm(8)
        gate.applyEngineReport(run = 7, cold = true, start + 1.seconds)
        assertEquals(4, gate.state().bound)
        gate.applyEngineReport(run = 7, cold = false, start + 1.seconds)
        gate.applyEngineReport(run = 7, cold = true, start + 2.seconds)
        assertEquals(1, gate.state().bound)
    }

    /** Guards against finished requests of an earlier engine run that count as warm-up of the current one. */
    @Test
    fun requestsOfAnEarlierRunDoNotCountAsWarmUp() {
        warm(8)
        (1L..4L).forEach { arrive(it, 1.seconds) }
        gate.markCold(start + 1.seconds)
        (1L..4L).forEach { finish(it, 2.seconds) }
        assertEquals(1, gate.state().bound)
        assertEquals(0, gate.state().finished)
    }

    /** Guards against a crashing engine that keeps its warm bound until its next report. */
    @Test
    fun failureBurstBeginsAColdStart() {
        warm(8)
        (1L..3L).forEach { arrive(it, 1.seconds) }
        (1L..3L).forEach { finish(it, 1.seconds + (it * 10).milliseconds, Ending.FAILED) }
        assertEquals(1, gate.state().bound)
    }

    /** Guards against a burst that is missed because an earlier failure began the window. */
    @Test
    fun failureBurstIsDetectedInAnyWindow() {
        warm(8)
        (1L..4L).forEach { arrive(it, 1.seconds) }
        finish(1, 1.seconds, Ending.FAILED)
        (2L..4L).forEach { finish(it, 1.9.seconds + (it * 100).milliseconds, Ending.FAILED) }
        assertEquals(1, gate.state().bound)
    }

    /** Guards against rare failures that count as a crash. */
    @Test
    fun scatteredFailuresDoNotBeginAColdStart() {
        warm(8)
        repeat(10) {
            val number = it.toLong()
            arrive(number, (it + 1).seconds, deadline = 100.seconds)
            finish(number, (it + 1).seconds + 1.milliseconds, Ending.FAILED)
        }
        assertEquals(4, gate.state().bound)
    }

    /** Guards against service of a draft before a confirmation, or of a lower priority before a higher one. */
    @Test
    fun queueIsOrderedByClassPriorityAndArrival() {
        arrive(1)
        arrive(2)
        arrive(3, priority = 5)
        arrive(4, confirmation = true)
        arrive(5, priority = 5)
        val served = mutableListOf<Long>()
        var running = 1L
        repeat(4) {
            // A cancelled request adds no run time, so no request is shed because of an estimate.
            val decision = finish(running, it.milliseconds, Ending.CANCELLED).single() as Admit
            running = decision.ticket.number
            served += running
        }
        assertEquals(listOf(4L, 3L, 5L, 2L), served)
    }

    /** Guards against a request that waits longer than the queue limit, and against a needless timer. */
    @Test
    fun waitEndsAtTheQueueLimit() {
        arrive(1)
        val queued = arrive(2, 10.milliseconds).decision as Queue
        assertEquals(start + 210.milliseconds, queued.until)
        assertEquals(queued.until, gate.nextExpiry())
        assertEquals(emptyList<AdmissionDecision>(), gate.advance(queued.until - 1.milliseconds).decisions)
        val refused = gate.advance(queued.until).decisions.single() as Refuse
        assertEquals(RefusalCode.OVERLOADED, refused.code)
        assertNull(gate.nextExpiry())
    }

    /** Guards against admission of a request whose deadline passed while it waited. */
    @Test
    fun waitEndsAtTheDeadline() {
        arrive(1)
        arrive(2, deadline = 50.milliseconds)
        val refused = finish(1, 50.milliseconds).single() as Refuse
        assertEquals(RefusalCode.DEADLINE, refused.code)
        val late = arrive(3, 60.milliseconds, deadline = 60.milliseconds).decision as Refuse
        assertEquals(RefusalCode.DEADLINE, late.code)
    }

    /** Guards against requests that cannot finish in time and delay others that can. */
    @Test
    fun requestsThatCannotFinishInTimeAreRefused() {
        arrive(1)
        finish(1, 100.milliseconds)
        arrive(2, 100.milliseconds)
        val late = arrive(3, 100.milliseconds, deadline = 140.milliseconds).decision as Refuse
        assertEquals(RefusalCode.DEADLINE, late.code)
        assertEquals(Queue::class, arrive(4, 100.milliseconds).decision::class)
    }

    /** Guards against a long queue of requests that cannot be served within the queue limit. */
    @Test
    fun requestsThatWouldWaitTooLongAreRefusedImmediately() {
        arrive(1)
        finish(1, 150.milliseconds)
        arrive(2, 150.milliseconds)
        assertEquals(Queue::class, arrive(3, 150.milliseconds).decision::class)
        val refused = arrive(4, 150.milliseconds).decision as Refuse
        assertEquals(RefusalCode.OVERLOADED, refused.code)
        val confirmation = arrive(5, 150.milliseconds, confirmation = true)
        assertEquals(Queue::class, confirmation.decision::class)
        assertEquals(listOf(Ticket(3)), confirmation.change.decisions.map { it.ticket })
    }

    /** Guards against a long estimate, as after a stall, that causes refusals although places are free. */
    @Test
    fun longEstimateDoesNotRefuseWhilePlacesAreFree() {
        arrive(1, deadline = 100.seconds)
        finish(1, 60.seconds)
        assertEquals(Admit(Ticket(2)), arrive(2, 60.seconds, deadline = 61.seconds).decision)
    }

    /** Guards against new requests at a closed gate, and against running requests that are dropped on close. */
    @Test
    fun closedGateRefusesNewRequests() {
        arrive(1)
        arrive(2)
        val change = gate.close(RefusalCode.LEAVING, start + 1.milliseconds)
        assertEquals(RefusalCode.LEAVING, (change.decisions.single() as Refuse).code)
        assertEquals(RefusalCode.LEAVING, (arrive(3, 1.milliseconds).decision as Refuse).code)
        assertEquals(1, gate.state().running)
        finish(1, 2.milliseconds)
        gate.reopen()
        assertEquals(Admit(Ticket(4)), arrive(4, 3.milliseconds).decision)
    }
}
