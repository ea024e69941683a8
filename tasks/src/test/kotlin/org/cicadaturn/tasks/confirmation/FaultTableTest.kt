@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fault during one request, with the expected outcome for its caller and for a repetition through another process. */
data class FaultCase(
    val name: String,
    val outcome: Outcome,
    val runs: Int,
    val recordState: ClaimState?,
    val repeatedOutcome: Outcome,
    val totalRuns: Int,
    val deadline: Duration = 10.seconds,
    val result: CallResult? = null,
    val fault: FakeStore.() -> Unit = {},
) {
    override fun toString(): String = name
}

class FaultTableTest {
    /**
     * Guards against a second run, a lost answer and a wrong outcome for the caller after each fault of the table.
     *
     * The repetition is sent a minute later, when the store works again; the first process still runs.
     */
    @ParameterizedTest
    @MethodSource("cases")
    fun `each fault has its outcome`(case: FaultCase) =
        runTest {
            val harness = ConfirmationHarness(this)
            case.fault(harness.store)
            val result = harness.run(harness.process(), deadline = case.deadline, result = case.result)
            assertEquals(case.outcome, outcomeFor(result), result.toString())
            assertEquals(case.runs, harness.runs.size, "runs")
            harness.store.getFault = { it() }
            harness.store.putFault = { it() }
            testScheduler.advanceTimeBy(60.seconds)
            assertEquals(case.recordState, harness.record()?.state, "record")
            val repetition = harness.run(harness.process())
            assertEquals(case.repeatedOutcome, outcomeFor(repetition), repetition.toString())
            assertEquals(case.totalRuns, harness.runs.size, "total runs")
        }

    companion object {
        private val unreachable = CallResult.NotRun(RefusalCode.UNREACHABLE, "no connection")
        private val broken = CallResult.Unknown("connection lost")

        private fun answered(
            name: String,
            fault: FakeStore.() -> Unit,
        ) = FaultCase(name, Outcome.DONE, 1, ClaimState.DONE, Outcome.DONE, 1, fault = fault)

        private fun notRunAtFirst(
            name: String,
            outcome: Outcome,
            recordState: ClaimState?,
            deadline: Duration = 10.seconds,
            result: CallResult? = null,
            fault: FakeStore.() -> Unit = {},
        ) = FaultCase(name, outcome, 0, recordState, Outcome.DONE, 1, deadline, result, fault)

        @JvmStatic
        fun cases(): List<FaultCase> = claimFaults() + outcomeFaults() + callFaults()

        private fun claimFaults() =
            listOf(
                answered("no fault") {},
                answered("the claim's answer is lost after its effect") { nextPutFaults += lostAfterEffect() },
                answered("the claim is lost before its effect") { nextPutFaults += lostBeforeEffect() },
                answered("the claim does not reach the store in two attempts") {
                    nextPutFaults += listOf(notSent(), notSent())
                },
                notRunAtFirst("the store is unavailable", Outcome.UNKNOWN, recordState = null) {
                    getFault = notSent()
                    putFault = notSent()
                },
                notRunAtFirst("reads work and writes do not reach the store", Outcome.NOT_RUN, recordState = null) {
                    putFault = notSent()
                },
                notRunAtFirst(
                    "the claim is lost before its effect, then the store is unavailable",
                    Outcome.UNKNOWN,
                    ClaimState.RELEASED,
                ) {
                    nextPutFaults +=
                        { call ->
                            getFault = notSent()
                            lostBeforeEffect<Version>()(call)
                        }
                },
                notRunAtFirst(
                    "the claim's answer is lost, then the store is unavailable",
                    Outcome.UNKNOWN,
                    ClaimState.RELEASED,
                ) {
                    nextPutFaults +=
                        { call ->
                            getFault = notSent()
                            lostAfterEffect<Version>()(call)
                        }
                },
                notRunAtFirst(
                    "the read is slower than the deadline",
                    Outcome.UNKNOWN,
                    recordState = null,
                    deadline = 1.seconds,
                ) {
                    getFault = slow(3.seconds)
                },
                notRunAtFirst(
                    "the claim is slower than the deadline",
                    Outcome.NOT_RUN,
                    ClaimState.RELEASED,
                    1.seconds,
                ) {
                    nextPutFaults += slow(3.seconds)
                },
            )

        private fun outcomeFaults() =
            listOf(
                answered("the outcome's answer is lost after its effect") {
                    nextPutFaults += listOf(slow(Duration.ZERO), lostAfterEffect())
                },
                answered("the outcome is lost before its effect") {
                    nextPutFaults += listOf(slow(Duration.ZERO), lostBeforeEffect())
                },
                FaultCase(
                    "the store is unavailable after the claim",
                    Outcome.UNKNOWN,
                    1,
                    ClaimState.DONE,
                    Outcome.DONE,
                    1,
                ) {
                    nextPutFaults += slow(Duration.ZERO)
                    putFault = notSent()
                },
                FaultCase(
                    "the outcome is slower than the deadline",
                    Outcome.UNKNOWN,
                    1,
                    ClaimState.DONE,
                    Outcome.DONE,
                    1,
                    deadline = 500.milliseconds,
                ) { nextPutFaults += listOf(slow(Duration.ZERO), slow(3.seconds)) },
            )

        private fun callFaults() =
            listOf(
                notRunAtFirst(
                    "the back end is unavailable",
                    Outcome.NOT_RUN,
                    ClaimState.RELEASED,
                    result = unreachable,
                ),
                notRunAtFirst(
                    "the release's answer is lost",
                    Outcome.NOT_RUN,
                    ClaimState.RELEASED,
                    result = unreachable,
                ) {
                    nextPutFaults += listOf(slow(Duration.ZERO), lostAfterEffect())
                },
                FaultCase(
                    "the back end's outcome is unknown",
                    Outcome.UNKNOWN,
                    1,
                    ClaimState.CLAIMED,
                    Outcome.UNKNOWN,
                    1,
                    result = broken,
                ),
            )
    }
}
