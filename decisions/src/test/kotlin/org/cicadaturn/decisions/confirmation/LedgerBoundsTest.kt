package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LedgerBoundsTest {
    private var state = LedgerState()
    private var now = worldStart
    private var policy = LedgerPolicy()
    private var wakeAt: Instant? = null

    private fun send(event: LedgerEvent): List<LedgerAction> {
        val next = step(state, event, now, policy)
        state = next.state
        wakeAt = next.wakeAt
        return next.actions
    }

    private fun request(
        number: Long,
        key: String = "key $number",
    ): List<LedgerAction> {
        val confirmationKey = ConfirmationKey(Digest(key), Digest("body"))
        return send(LedgerEvent.Requested(CallId(number), confirmationKey, AttemptId("a$number"), now + 30.seconds))
    }

    private fun readDone(vararg records: ConfirmationRecord) =
        send(LedgerEvent.ReadDone(ReadAnswer.Value(Version(1), records.toList())))

    private fun written(version: Long) = send(LedgerEvent.WriteDone(WriteAnswer.Written(Version(version))))

    private fun ended(
        number: Long,
        answer: StoredAnswer,
    ) = send(LedgerEvent.Ended(Digest("key $number"), AttemptId("a$number"), CallResult.Answered(answer)))

    private fun record(
        key: String,
        state: ClaimState = ClaimState.DONE,
        age: Duration = 1.minutes,
        answer: StoredAnswer? = null,
    ) = ConfirmationRecord(Digest(key), Digest("body"), AttemptId("of $key"), state, now - age, answer)

    private fun answerOfLength(bytes: Int) = StoredAnswer(status = 200, body = "A".repeat(bytes))

    private fun List<LedgerAction>.write() = filterIsInstance<LedgerAction.Write>().single()

    private fun List<LedgerAction>.result() = filterIsInstance<LedgerAction.Answer>().single().result

    /** Guards against a separate write for each claim under load, which would overload the store. */
    @Test
    fun `claims and outcomes that arrive during a write share the next one`() {
        request(1)
        assertEquals(listOf("key 1"), readDone().write().records.map { it.key.text })
        assertTrue((2L..9L).flatMap { request(it) }.isEmpty(), "a store call was made while one was in progress")
        val actions = written(2)
        assertEquals(1, actions.filterIsInstance<LedgerAction.Run>().size)
        assertEquals(9, actions.write().records.size)
        ended(1, answerOfLength(8))
        val next = written(3)
        assertEquals(8, next.filterIsInstance<LedgerAction.Run>().size)
        assertEquals(1, next.write().records.count { it.state == ClaimState.DONE })
        val answers = written(4).filterIsInstance<LedgerAction.Answer>()
        assertEquals(listOf(CallId(1)), answers.map { it.call })
    }

    /** Guards against writes above the rate limit of a shard, and against claims that wait forever for a write. */
    @Test
    fun `writes beyond the burst wait for the interval`() {
        policy = LedgerPolicy(writeBurst = 2, writeInterval = 200.milliseconds)
        request(1)
        readDone()
        written(2)
        assertEquals(1, request(2).filterIsInstance<LedgerAction.Write>().size)
        written(3)
        now += 50.milliseconds
        assertTrue(request(3).isEmpty())
        assertEquals(worldStart + 200.milliseconds, wakeAt)
        now = worldStart + 199.milliseconds
        assertTrue(send(LedgerEvent.TimerFired).isEmpty())
        now = worldStart + 200.milliseconds
        assertEquals(3, send(LedgerEvent.TimerFired).write().records.size)
    }

    /** Guards against a shard that grows without limit, and against a record that is removed too early. */
    @Test
    fun `records past the retention time are removed by the next write`() {
        val kept = record("young", age = 24.hours - 1.seconds)
        val claimed = record("young claim", ClaimState.CLAIMED, age = 24.hours - 1.seconds)
        val old = listOf(record("old", age = 24.hours), record("old claim", ClaimState.CLAIMED, age = 24.hours))
        request(1)
        val written = readDone(kept, claimed, *old.toTypedArray()).write().records
        assertEquals(listOf("young", "young claim", "key 1"), written.map { it.key.text })
    }

    /** Guards against answering from a cached copy after another process may have removed the record. */
    @Test
    fun `a cached record past the retention time is read again`() {
        request(1)
        readDone(record("repeated", answer = answerOfLength(8)))
        written(2)
        ended(1, answerOfLength(8))
        written(3)
        assertTrue(request(2, "repeated").result() is ConfirmationResult.Answered)
        now += 24.hours
        assertEquals(listOf(LedgerAction.Read), request(3, "repeated"))
    }

    /** Guards against a value above the limit of the store, and against a refusal as not run without a read. */
    @Test
    fun `a full shard refuses claims as not run and still answers retries`() {
        val records = (1..60).map { record("full $it", answer = answerOfLength(16_000)) }
        request(1)
        val refused = readDone(*records.toTypedArray()).result() as ConfirmationResult.Refused
        assertEquals(RefusalCode.STORE_UNAVAILABLE to ClaimProof.PROVEN_FREE, refused.code to refused.proof)
        assertTrue(request(2, "full 7").result() is ConfirmationResult.Answered)
        assertEquals(listOf(LedgerAction.Read), request(3), "a refusal needs a read for this request")
    }

    /** Guards against a shard that stays full of released records. */
    @Test
    fun `released records are removed when the shard is full`() {
        val records = (1..6_000).map { record("released $it", ClaimState.RELEASED) }
        request(1)
        assertEquals(listOf("key 1"), readDone(*records.toTypedArray()).write().records.map { it.key.text })
    }

    /** Guards against an outcome that is lost because the shard became full while the calls ran. */
    @Test
    fun `an outcome without room is stored without its answer`() {
        request(1)
        readDone(*(1..55).map { record("full $it", answer = answerOfLength(15_500)) }.toTypedArray())
        (2L..20L).forEach { request(it) }
        written(2)
        written(3)
        val answer = answerOfLength(16_000)
        (1L..20L).forEach { ended(it, answer) }
        written(4)
        val stored = (state.store as StoreActivity.Writing).records
        val bytes = stored.values.sumOf { recordBytes(it) }
        assertTrue(bytes <= policy.valueBytes, "$bytes bytes")
        val own = (1L..20L).map { stored.getValue(Digest("key $it")) }
        assertTrue(own.all { it.state == ClaimState.DONE })
        assertTrue(own.any { it.answer == null } && own.any { it.answer != null })
        val results = written(5).filterIsInstance<LedgerAction.Answer>().map { it.result }
        assertTrue(
            results.all { it == ConfirmationResult.Answered(answer, repeated = false) },
            "each request that ran its call gets its answer",
        )
    }

    /** Guards against a shard that is too long because of a long answer; a retry learns that the call is done. */
    @Test
    fun `a long answer reaches its caller but is not stored`() {
        val longBody = answerOfLength(32 * 1024)
        val longHeaders = StoredAnswer(200, listOf(Header("X-Long", "x".repeat(5_000))), "AAAA")
        for ((number, answer) in listOf(1L to longBody, 2L to longHeaders)) {
            request(number)
            if (number == 1L) readDone()
            written(number * 10)
            assertNull(
                ended(number, answer)
                    .write()
                    .records
                    .last()
                    .answer,
            )
            assertEquals(ConfirmationResult.Answered(answer, repeated = false), written(number * 10 + 1).result())
            assertEquals(ConfirmationResult.DoneWithoutAnswer, request(number + 100, "key $number").result())
        }
    }

    /** Guards against endless writes of the same value that the store rejects as too long. */
    @Test
    fun `claims that exceed a lower limit of the store are refused`() {
        request(1)
        readDone(*(1..50).map { record("full $it", answer = answerOfLength(15_500)) }.toTypedArray())
        val actions = send(LedgerEvent.WriteDone(WriteAnswer.TooLarge(500_000)))
        assertEquals(RefusalCode.STORE_UNAVAILABLE, (actions.result() as ConfirmationResult.Refused).code)
        assertTrue(state.attempts.isEmpty())
    }

    /** Guards against a claim that is missed because a read returned an outdated copy of the store. */
    @Test
    fun `a read of an older version than the known one is ignored`() {
        request(1)
        readDone()
        written(7)
        send(LedgerEvent.Cancelled(CallId(1)))
        request(2, "held elsewhere")
        send(LedgerEvent.WriteDone(WriteAnswer.Conflict))
        readDone()
        assertEquals(Version(7), state.view?.version)
        assertTrue(state.isViewStale)
    }

    /** Guards against requests that accumulate during an outage, and against a refusal only at the deadline. */
    @Test
    fun `a request is refused early while the store counts as unavailable`() {
        request(1)
        repeat(3) {
            send(LedgerEvent.ReadDone(ReadAnswer.Failed))
            now = requireNotNull(state.retryAt)
            send(LedgerEvent.TimerFired)
        }
        val arrivedAt = now
        request(2)
        assertTrue(requireNotNull(wakeAt) <= arrivedAt + policy.outageWait)
        now = arrivedAt + policy.outageWait
        val refused =
            send(
                LedgerEvent.TimerFired,
            ).filterIsInstance<LedgerAction.Answer>().last { it.call == CallId(2) }.result
        assertEquals(RefusalCode.STORE_UNAVAILABLE, (refused as ConfirmationResult.Refused).code)
        assertEquals(ClaimProof.NOT_READ, refused.proof)
    }

    /** Guards against unbounded memory when requests arrive faster than the store answers. */
    @Test
    fun `requests above the limit are refused as overloaded without proof about the key`() {
        policy = LedgerPolicy(maxCalls = 2)
        request(1)
        request(2)
        val refused = request(3).result() as ConfirmationResult.Refused
        assertEquals(RefusalCode.OVERLOADED to ClaimProof.NOT_READ, refused.code to refused.proof)
    }
}
