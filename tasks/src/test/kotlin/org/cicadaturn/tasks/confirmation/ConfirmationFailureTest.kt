@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerEvent
import org.cicadaturn.decisions.confirmation.LedgerStep
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.tasks.PlantedFailure
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.processScope
import org.cicadaturn.tasks.virtualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that a defect in a task of the confirmations loses and doubles none, in virtual time. */
class ConfirmationFailureTest {
    private val store = FakeStore()
    private val runs = mutableListOf<String>()
    private val failures = mutableListOf<String>()

    /** One shard, so that all keys meet the task that fails. */
    private val options = ConfirmationOptions(shards = 1)

    private fun TestScope.confirmationsOf(
        scope: CoroutineScope = processScope(),
        newAttemptId: () -> AttemptId = { AttemptId("attempt ${runs.size}") },
        observer: ConfirmationObserver = {},
        decide: LedgerDecision = ::step,
    ): Confirmations {
        val clock = virtualClock()
        val supervisor = Supervisor(clock, onFailure = failures::add)
        return ConfirmationTasks(
            ShardContext(store, clock, newAttemptId, scope, options, observer, supervisor, decide),
        )
    }

    /** Returns a ledger that fails on the first event of the kind [isMeant]. */
    private fun failingOnce(isMeant: (LedgerEvent) -> Boolean): LedgerDecision {
        val failure = PlantedFailure()
        return { state, event, now, policy ->
            if (isMeant(event)) failure()
            step(state, event, now, policy)
        }
    }

    private suspend fun TestScope.run(
        confirmations: Confirmations,
        key: String = "key",
    ): ConfirmationResult? =
        withTimeoutOrNull(30.seconds) {
            val deadline = virtualClock().now() + 20.seconds
            confirmations.run(ConfirmationKey(Digest(key), Digest("body")), ServiceId("booking"), deadline) {
                runs += key
                delay(20.milliseconds)
                CallResult.Answered(StoredAnswer(200, body = "run ${runs.size}"))
            }
        }

    private fun answered(
        number: Int,
        repeated: Boolean,
    ) = ConfirmationResult.Answered(StoredAnswer(200, body = "run $number"), repeated)

    /** Guards against a shard that answers no request any more after one that it could not take in. */
    @Test
    fun `a request that a shard cannot take in is refused without proof and the next one runs`() =
        runTest {
            val failure = PlantedFailure()
            val confirmations =
                confirmationsOf(
                    newAttemptId = {
                        failure()
                        AttemptId("attempt")
                    },
                )
            val refused = assertInstanceOf(ConfirmationResult.Refused::class.java, run(confirmations))
            assertEquals(ClaimProof.NOT_READ, refused.proof)
            assertEquals(answered(1, repeated = false), run(confirmations))
            assertEquals(listOf("key"), runs)
        }

    /** Guards against a claim that waits for ever for an answer of the store that the ledger could not use. */
    @Test
    fun `a confirmation runs once although the ledger cannot use an answer of the store`() {
        val kinds = listOf<(LedgerEvent) -> Boolean>({ it is LedgerEvent.ReadDone }, { it is LedgerEvent.WriteDone })
        for (isMeant in kinds) {
            runTest {
                store.objects.clear()
                runs.clear()
                val confirmations = confirmationsOf(decide = failingOnce(isMeant))
                assertEquals(answered(1, repeated = false), run(confirmations))
                assertEquals(answered(1, repeated = true), run(confirmations))
                assertEquals(listOf("key"), runs)
            }
        }
    }

    /** Guards against a call that has run being reported as not run, or run again, after its result was lost. */
    @Test
    fun `a call whose result the ledger cannot use is unknown and is not run again`() =
        runTest {
            val confirmations = confirmationsOf(decide = failingOnce { it is LedgerEvent.Ended })
            assertInstanceOf(ConfirmationResult.Unknown::class.java, run(confirmations))
            assertInstanceOf(ConfirmationResult.Unknown::class.java, run(confirmations))
            assertEquals(answered(2, repeated = false), run(confirmations, "other"))
            assertEquals(listOf("key", "other"), runs)
        }

    /** Guards against an event that is lost, or applied twice, if its shard can use neither it nor a substitute. */
    @Test
    fun `a shard that fails for a while goes on with its state`() =
        runTest {
            var failsUntil = 0.seconds
            var decisions = 0
            val confirmations =
                confirmationsOf(
                    decide = { state, event, now, policy ->
                        decisions++
                        check(testScheduler.currentTime >= failsUntil.inWholeMilliseconds) { "planted failure" }
                        step(state, event, now, policy)
                    },
                )
            val first = async { run(confirmations) }
            delay(5.milliseconds)
            failsUntil = 3.seconds
            assertEquals(answered(1, repeated = false), first.await())
            assertEquals(answered(1, repeated = true), run(confirmations))
            assertEquals(listOf("key"), runs)
            // Pauses of 50 ms that double allow about two decisions in each of seven runs in 3 s.
            assertTrue(decisions < 40, "$decisions decisions: the shard does not pause after failures")
        }

    /** Guards against an answer that is lost, or a shard that waits for ever, if the metrics fail. */
    @Test
    fun `a confirmation is answered although the observer fails each time`() =
        runTest {
            val confirmations = confirmationsOf(observer = { error("planted failure") })
            assertEquals(answered(1, repeated = false), run(confirmations))
            assertEquals(listOf("key"), runs)
        }

    /** Guards against a router that ends with the first shard that it cannot start. */
    @Test
    fun `requests are routed after a shard could not be started`() =
        runTest {
            val real = processScope()
            var usesUntilFailure = Int.MAX_VALUE
            val scope =
                object : CoroutineScope {
                    override val coroutineContext: CoroutineContext
                        get() {
                            check(usesUntilFailure-- != 0) { "planted failure" }
                            return real.coroutineContext
                        }
                }
            val confirmations = confirmationsOf(scope)
            // The first use is the reply of the request, the second one the start of its shard.
            usesUntilFailure = 1
            assertInstanceOf(ConfirmationResult.Unknown::class.java, run(confirmations))
            assertEquals(answered(1, repeated = false), run(confirmations))
        }

    /** Guards against a planned stop that waits for ever for a call whose result was lost. */
    @Test
    fun `a drain ends after a call whose result the ledger could not use`() =
        runTest {
            val confirmations = confirmationsOf(decide = failingOnce { it is LedgerEvent.Ended })
            launch { run(confirmations) }
            delay(10.milliseconds)
            assertNotNull(withTimeoutOrNull(10.seconds) { confirmations.drain() })
            assertEquals(1, failures.size)
        }
}
