@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ConfirmationsTest {
    private fun scenario(
        options: ConfirmationOptions = ConfirmationOptions(),
        body: suspend TestScope.(ConfirmationHarness) -> Unit,
    ) = runTest { body(ConfirmationHarness(this, options)) }

    private fun answer(
        text: String,
        repeated: Boolean,
    ) = ConfirmationResult.Answered(StoredAnswer(200, body = text), repeated)

    /** Guards against a second run for a duplicate that arrives while the first request runs. */
    @Test
    fun `duplicates of a running request get its answer through any process`() =
        scenario { harness ->
            val processes = listOf(harness.process(), harness.process(), harness.process())
            val first = async { harness.run(processes[0], duration = 2.seconds) }
            advanceTimeBy(100.milliseconds)
            val others = (0..5).map { async { harness.run(processes[it % 3], duration = 2.seconds) } }
            assertEquals(answer("run 1 of body", repeated = false), first.await())
            assertEquals(List(6) { answer("run 1 of body", repeated = true) }, others.awaitAll())
            assertEquals(1, harness.runs.size)
        }

    /** Guards against two runs if two processes claim the same key at the same time. */
    @Test
    fun `two processes that claim at the same time run the call once`() =
        scenario { harness ->
            val results = listOf(harness.process(), harness.process()).map { async { harness.run(it) } }.awaitAll()
            assertEquals(setOf(Outcome.DONE), results.map { outcomeFor(it) }.toSet())
            assertEquals(1, harness.runs.size)
        }

    /** Guards against a run with the second body and against the first answer as a reply to it. */
    @Test
    fun `another body is refused as not run, during the call and after it`() =
        scenario { harness ->
            val process = harness.process()
            val first = async { harness.run(process, duration = 1.seconds) }
            advanceTimeBy(500.milliseconds)
            val refused = listOf(process, harness.process()).map { harness.run(it, body = "other") }
            first.await()
            val later = harness.run(process, body = "other")
            for (result in refused + later) {
                assertEquals(RefusalCode.KEY_REUSED, (result as ConfirmationResult.Refused).code)
                assertEquals(Outcome.NOT_RUN, outcomeFor(result))
            }
            assertEquals(listOf("body"), harness.runs)
        }

    /**
     * Guards against a second run after a crash of the process that held the claim.
     *
     * The claim takes effect in the store after 6 ms, the call runs from 8 to 28 ms, and its outcome takes effect in
     * the store after 30 ms.
     */
    @Test
    fun `after a crash the outcome is done, unknown or the key is free`() {
        val cases =
            listOf(
                1.milliseconds to (Outcome.DONE to 1),
                5.milliseconds to (Outcome.DONE to 1),
                7.milliseconds to (Outcome.UNKNOWN to 0),
                15.milliseconds to (Outcome.UNKNOWN to 1),
                29.milliseconds to (Outcome.UNKNOWN to 1),
                31.milliseconds to (Outcome.DONE to 1),
            )
        for ((time, expected) in cases) {
            scenario { harness ->
                val process = harness.process()
                val lost = async { harness.run(process) }
                advanceTimeBy(time)
                runCurrent()
                process.scope.cancel()
                assertEquals(Outcome.UNKNOWN, outcomeFor(lost.await()), "the caller of the crashed process")
                val repeated = harness.run(harness.process())
                assertEquals(expected, outcomeFor(repeated) to harness.runs.size, "crashed after $time")
            }
        }
    }

    /** Guards against a cancelled request that cancels a call that has started. */
    @Test
    fun `a cancelled request does not stop a call that has started`() =
        scenario { harness ->
            val process = harness.process()
            val caller = launch { harness.run(process, duration = 1.seconds) }
            advanceTimeBy(500.milliseconds)
            caller.cancel()
            advanceTimeBy(1.seconds)
            assertEquals(ClaimState.DONE, harness.record()?.state)
            assertEquals(answer("run 1 of body", repeated = true), harness.run(process))
        }

    /** Guards against a call that starts after its request was cancelled, so that no caller gets its answer. */
    @Test
    fun `a request that is cancelled before its claim is durable starts no call`() =
        scenario { harness ->
            harness.store.nextPutFaults += slow(1.seconds)
            val process = harness.process()
            val caller = launch { harness.run(process) }
            advanceTimeBy(500.milliseconds)
            caller.cancel()
            advanceTimeBy(2.seconds)
            assertEquals(0, harness.runs.size)
            assertEquals(ClaimState.RELEASED, harness.record()?.state)
        }

    /** Guards against the refusal of a recorded answer, and against new claims, while the store is unavailable. */
    @Test
    fun `a finished confirmation is answered from memory while the store is unavailable`() =
        scenario { harness ->
            val process = harness.process()
            harness.run(process)
            harness.store.getFault = notSent()
            harness.store.putFault = notSent()
            assertEquals(answer("run 1 of body", repeated = true), harness.run(process))
            val elsewhere = harness.run(harness.process())
            assertEquals(RefusalCode.STORE_UNAVAILABLE, (elsewhere as ConfirmationResult.Refused).code)
            assertEquals(Outcome.UNKNOWN, outcomeFor(elsewhere))
        }

    /** Guards against an outcome that is lost because its writes fail for a long time. */
    @Test
    fun `an outcome is written when the store is available again after a long outage`() =
        scenario { harness ->
            val process = harness.process()
            harness.store.nextPutFaults += slow(Duration.ZERO)
            harness.store.putFault = notSent()
            assertEquals(Outcome.UNKNOWN, outcomeFor(harness.run(process)))
            advanceTimeBy(30.minutes)
            val puts = harness.store.puts
            harness.store.putFault = { it() }
            advanceTimeBy(10.seconds)
            assertEquals(ClaimState.DONE, harness.record()?.state)
            assertTrue(puts < 500, "$puts writes in 30 minutes show no backoff")
        }

    /** Guards against a graceful stop that loses an outcome or accepts new requests. */
    @Test
    fun `drain refuses new requests and waits for outcomes`() =
        scenario { harness ->
            val process = harness.process()
            val running = async { harness.run(process, duration = 2.seconds) }
            advanceTimeBy(100.milliseconds)
            val drained = async { process.confirmations.drain() }
            advanceTimeBy(100.milliseconds)
            val refused = harness.run(process, body = "body") as ConfirmationResult.Refused
            assertEquals(RefusalCode.STOPPING, refused.code)
            assertEquals(Outcome.UNKNOWN, outcomeFor(refused))
            assertFalse(drained.isCompleted)
            running.await()
            drained.await()
            assertEquals(ClaimState.DONE, harness.record()?.state)
        }

    /** Guards against an exception of the call or the store client that stops a shard or releases a claim. */
    @Test
    fun `a call or store client that throws leaves the outcome unknown`() =
        scenario { harness ->
            val process = harness.process()
            harness.store.nextPutFaults += { error("injected") }
            val key = ConfirmationKey(Digest("key"), Digest("body"))
            val deadline = harness.clock.now() + 10.seconds
            val result = process.confirmations.run(key, ConfirmationHarness.service, deadline) { error("injected") }
            assertEquals(Outcome.UNKNOWN, outcomeFor(result))
            assertEquals(Outcome.UNKNOWN, outcomeFor(harness.run(process)))
            assertEquals(0, harness.runs.size)
        }

    /** Guards against memory use that grows with every shard, and against a stale copy of an idle shard. */
    @Test
    fun `the copy of an idle shard is dropped and read again`() =
        scenario { harness ->
            val process = harness.process()
            harness.run(process)
            advanceTimeBy(10.minutes)
            harness.store.getFault = notSent()
            assertEquals(Outcome.UNKNOWN, outcomeFor(harness.run(process)))
            harness.store.getFault = { it() }
            assertEquals(answer("run 1 of body", repeated = true), harness.run(process))
        }

    /** Guards against unbounded queues, and against a refusal by a full queue that states an outcome for the key. */
    @Test
    fun `requests that find a queue full are refused as overloaded`() =
        scenario(ConfirmationOptions(policy = LedgerPolicy(maxCalls = 100))) { harness ->
            val process = harness.process()
            val results =
                (1..3_000)
                    .map {
                        async {
                            harness.run(
                                process,
                                result = CallResult.Unknown("lost"),
                            )
                        }
                    }.awaitAll()
            val refused = results.filterIsInstance<ConfirmationResult.Refused>()
            assertTrue(refused.isNotEmpty())
            assertEquals(
                setOf(RefusalCode.OVERLOADED to Outcome.UNKNOWN),
                refused.map { it.code to outcomeFor(it) }.toSet(),
            )
            assertEquals(1, harness.runs.size)
        }

    /** Guards against a state dump without the shards whose outcomes are not durable. */
    @Test
    fun `the status of a shard shows what is not settled`() =
        scenario { harness ->
            val process = harness.process()
            val running = async { harness.run(process, duration = 1.seconds) }
            advanceTimeBy(500.milliseconds)
            val status = process.confirmations.shards().single()
            assertEquals(listOf(1, 1, 0, 0), listOf(status.waiting, status.running, status.unsettled, status.failures))
            running.await()
        }
}
