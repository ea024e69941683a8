package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.hours

class InjectedFaultTest {
    /** Guards against an exploration that misses a violated rule: each case has an injected fault. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    fun `the exploration finds the injected fault`(
        name: String,
        exploration: Exploration,
        expected: String,
    ) {
        val violation = explore(exploration).violation
        println("injected fault, $name: $violation")
        assertNotNull(violation, "not found")
        assertTrue(expected in violation.orEmpty(), violation)
    }

    companion object {
        private val first = ScriptedRequest(process = 0)
        private val other = ScriptedRequest(process = 1)
        private val endingsChecked = Exploration(listOf(first, other), faults = 1, ticks = 2)
        private val rulesOnly = endingsChecked.copy(areEndingsChecked = false)
        private val late = rulesOnly.copy(faults = 0, ticks = 4)
        private val threeRequests = rulesOnly.copy(script = listOf(first, other, first))

        @JvmStatic
        fun faults(): List<Arguments> =
            listOf(
                arguments(
                    "the store ignores the expected version",
                    rulesOnly.copy(faults = 0, isStoreConditional = false),
                    " ran after [",
                ),
                arguments(
                    "unknown is taken as not run",
                    rulesOnly.copy(isUnknownReportedAsNotRun = true),
                    "though it ran",
                ),
                arguments("run before the claim is durable", rulesOnly.copy(stepper = runAtWrite), " ran after ["),
                arguments("released is taken as done", rulesOnly.copy(stepper = releasedAsDone), "answer of no run"),
                arguments(
                    "lost answer is taken as success",
                    rulesOnly.copy(stepper = unansweredAsWritten),
                    "not durable",
                ),
                arguments(
                    "lost answer is taken as no effect",
                    endingsChecked.copy(stepper = unansweredAsNoEffect),
                    "left the claim",
                ),
                arguments("answer before it is durable", rulesOnly.copy(stepper = answerAtEnd), "not durable"),
                arguments(
                    "a cached copy counts as proof",
                    threeRequests.copy(stepper = alwaysFresh),
                    "not run after a run",
                ),
                arguments(
                    "an abandoned claim is forgotten",
                    endingsChecked.copy(stepper = forgetReleases),
                    "left the claim",
                ),
                arguments("the deadline is not checked before the run", late.copy(stepper = noDeadline), "deadline"),
                arguments("another body gets the answer", otherBody().copy(stepper = ignoreBody), "answer of no run"),
            )

        private fun otherBody() = rulesOnly.copy(script = listOf(first, other.copy(body = "other body")))

        private val runAtWrite: Stepper =
            injected@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                if (next.actions.none { it is LedgerAction.Write }) return@injected next
                val claiming =
                    next.state.attempts.values
                        .filter { it.phase == AttemptPhase.Claiming }
                val running = claiming.associate { it.key.key to it.copy(phase = AttemptPhase.Running) }
                val runs = claiming.map { LedgerAction.Run(it.call, it.key.key, it.id) }
                val started = next.state.copy(attempts = next.state.attempts + running)
                next.copy(state = started, actions = next.actions + runs)
            }

        private val releasedAsDone: Stepper =
            injected@{ state, event, now, policy ->
                val read = (event as? LedgerEvent.ReadDone)?.answer as? ReadAnswer.Value
                val records =
                    read?.records?.map {
                        val done = it.copy(state = ClaimState.DONE, answer = answerOf(it.attempt))
                        if (it.state == ClaimState.RELEASED) done else it
                    }
                val changed = records?.let { LedgerEvent.ReadDone(read.copy(records = it)) }
                step(state, changed ?: event, now, policy)
            }

        private val unansweredAsWritten: Stepper =
            injected@{ state, event, now, policy ->
                val expected = (state.store as? StoreActivity.Writing)?.expected?.number ?: 0
                val written = LedgerEvent.WriteDone(WriteAnswer.Written(Version(expected + 1)))
                val isLost = event == LedgerEvent.WriteDone(WriteAnswer.Unanswered)
                step(state, if (isLost) written else event, now, policy)
            }

        private val unansweredAsNoEffect: Stepper =
            injected@{ state, event, now, policy ->
                val isLost = event == LedgerEvent.WriteDone(WriteAnswer.Unanswered)
                step(state, if (isLost) LedgerEvent.WriteDone(WriteAnswer.NoEffect) else event, now, policy)
            }

        private val answerAtEnd: Stepper =
            injected@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                val result = (event as? LedgerEvent.Ended)?.result as? CallResult.Answered ?: return@injected next
                val call =
                    state.attempts.values
                        .first { it.id == event.attempt }
                        .call
                if (call !in next.state.calls) return@injected next
                val answer = LedgerAction.Answer(call, ConfirmationResult.Answered(result.answer, repeated = false))
                next.copy(state = next.state.copy(calls = next.state.calls - call), actions = next.actions + answer)
            }

        private val alwaysFresh: Stepper =
            injected@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                val calls = next.state.calls.mapValues { it.value.copy(arrivedInTurn = 0) }
                next.copy(state = next.state.copy(calls = calls, isViewStale = false))
            }

        private val forgetReleases: Stepper =
            injected@{ state, event, now, policy ->
                val next = step(state, event, now, policy)
                val kept = next.state.attempts.filterValues { it.phase !is AttemptPhase.Releasing }
                next.copy(state = next.state.copy(attempts = kept))
            }

        private val noDeadline: Stepper =
            injected@{ state, event, now, policy ->
                val endless = state.calls.mapValues { it.value.copy(deadline = now + 1.hours) }
                step(if (event is LedgerEvent.WriteDone) state.copy(calls = endless) else state, event, now, policy)
            }

        private val ignoreBody: Stepper =
            injected@{ state, event, now, policy ->
                val requested = event as? LedgerEvent.Requested ?: return@injected step(state, event, now, policy)
                val same = requested.copy(key = requested.key.copy(body = requested.key.key))
                step(state, same, now, policy)
            }
    }
}
