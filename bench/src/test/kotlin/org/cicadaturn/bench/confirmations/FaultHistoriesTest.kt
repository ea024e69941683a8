package org.cicadaturn.bench.confirmations

import org.cicadaturn.decisions.confirmation.AttemptPhase
import org.cicadaturn.decisions.confirmation.AttemptReport
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.LedgerEvent
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.StoreActivity
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationFaultReport
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

internal class FaultHistoriesTest {
    /** Guards against a rule that is broken only by a combination of faults. */
    @Test
    fun `10000 random fault histories keep every rule`() {
        val report = faultHistories(seed = 1, histories = 10_000)
        assertNull(report.firstViolation)
        assertEquals(1, report.mostRunsOfKey)
        val violations = with(report) { listOf(lostConfirmations, falseNotRun, refusedRuns, unanswered) }
        assertEquals(listOf(0, 0, 0, 0), violations)
        assertTrue(report.faults.size >= 13 && report.faults.all { it.count >= 100 }, "a kind of fault is missing")
        assertTrue(report.told.all { it.requests >= 1_000 }, "an outcome is missing: ${report.told}")
    }

    /** Guards against checks that pass although a rule is broken. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("defects")
    fun `the histories detect an injected defect`(
        name: String,
        defects: InjectedDefects,
        detects: (ConfirmationFaultReport) -> Boolean,
    ) {
        val report = faultHistories(seed = 1, histories = 300, defects)
        println(
            "injected defect, $name: most runs ${report.mostRunsOfKey}, lost ${report.lostConfirmations}, " +
                "false not_run ${report.falseNotRun}, refused runs ${report.refusedRuns}, unanswered ${report.unanswered}",
        )
        assertTrue(detects(report), report.copy(firstViolation = null).toString())
        assertTrue(report.firstViolation.orEmpty().startsWith("history seed "), "no trace")
    }

    companion object {
        private val detectsSecondRun: (ConfirmationFaultReport) -> Boolean = { it.mostRunsOfKey > 1 }
        private val detectsLostAnswer: (ConfirmationFaultReport) -> Boolean = { it.lostConfirmations > 0 }
        private val detectsFalseNotRun: (ConfirmationFaultReport) -> Boolean = { it.falseNotRun > 0 }

        @JvmStatic
        fun defects(): List<Arguments> =
            listOf(
                arguments(
                    "the claim is not a conditional write",
                    InjectedDefects(isStoreConditional = false),
                    detectsSecondRun,
                ),
                arguments(
                    "unknown is treated as not run",
                    InjectedDefects(isUnknownReportedAsNotRun = true),
                    detectsSecondRun,
                ),
                arguments("run before the claim is durable", InjectedDefects(runAtWrite), detectsSecondRun),
                arguments("released is treated as done", InjectedDefects(releasedAsDone), detectsLostAnswer),
                arguments(
                    "an unanswered write is treated as success",
                    InjectedDefects(unansweredAsWritten),
                    detectsSecondRun,
                ),
                arguments("a cached copy counts as proof", InjectedDefects(staleAsFresh), detectsFalseNotRun),
                arguments(
                    "every refusal is reported as not run",
                    InjectedDefects(outcomeForCaller = ::refusedAsNotRun),
                    detectsFalseNotRun,
                ),
            )

        private val runAtWrite: StepFunction =
            defective@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                if (next.actions.none { it is LedgerAction.Write }) return@defective next
                val claiming =
                    next.state.attempts.values
                        .filter { it.phase == AttemptPhase.Claiming }
                val running = claiming.associate { it.key.key to it.copy(phase = AttemptPhase.Running) }
                val runs = claiming.map { LedgerAction.Run(it.call, it.key.key, it.id) }
                val started = next.state.copy(attempts = next.state.attempts + running)
                next.copy(state = started, actions = next.actions + runs)
            }

        private val releasedAsDone: StepFunction =
            defective@{ state, event, now, policy ->
                val read =
                    (event as? LedgerEvent.ReadDone)?.answer as? ReadAnswer.Value
                        ?: return@defective step(state, event, now, policy)
                val records =
                    read.records.map {
                        val answer = StoredAnswer(status = 200, body = "")
                        if (it.state == ClaimState.RELEASED) it.copy(state = ClaimState.DONE, answer = answer) else it
                    }
                step(state, LedgerEvent.ReadDone(read.copy(records = records)), now, policy)
            }

        private val unansweredAsWritten: StepFunction =
            defective@{ state, event, now, policy ->
                val expected = (state.store as? StoreActivity.Writing)?.expected?.number ?: 0
                val written = LedgerEvent.WriteDone(WriteAnswer.Written(Version(expected + 1)))
                val isLost = event == LedgerEvent.WriteDone(WriteAnswer.Unanswered)
                step(state, if (isLost) written else event, now, policy)
            }

        private val staleAsFresh: StepFunction =
            defective@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                val calls = next.state.calls.mapValues { it.value.copy(arrivedInTurn = 0) }
                next.copy(state = next.state.copy(calls = calls, isViewStale = false))
            }

        private fun refusedAsNotRun(attempts: List<AttemptReport>): Outcome =
            when {
                attempts.any { it.outcome == Outcome.DONE } -> Outcome.DONE
                attempts.any { it.outcome == Outcome.UNKNOWN } -> Outcome.UNKNOWN
                else -> Outcome.NOT_RUN
            }
    }
}
