package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class KeyDecisionTest {
    private val key = ConfirmationKey(Digest("key"), Digest("body"))
    private val claimed = ConfirmationRecord(key.key, key.body, AttemptId("a"), ClaimState.CLAIMED, worldStart)
    private val done = claimed.copy(state = ClaimState.DONE, answer = answerOf(claimed.attempt))
    private val released = claimed.copy(state = ClaimState.RELEASED)

    private fun decide(
        record: ConfirmationRecord?,
        isFresh: Boolean = true,
        isFinal: Boolean = false,
        isLost: Boolean = false,
    ) = decideKey(key, record, isFresh, isFinal, isLost)

    /** Guards against a second run while a claim is held, and against a released claim that blocks the key. */
    @Test
    fun `a fresh record decides by its state`() {
        assertEquals(KeyDecision.Claim, decide(null))
        assertEquals(KeyDecision.Claim, decide(released))
        assertEquals(KeyDecision.Claim, decide(released.copy(body = Digest("other"))))
        assertEquals(KeyDecision.AnswerFrom(done), decide(done))
        assertEquals(KeyDecision.AwaitHolder, decide(claimed))
        assertEquals(KeyDecision.HolderLost, decide(claimed, isLost = true))
        assertEquals(KeyDecision.OtherBody, decide(claimed.copy(body = Digest("other"))))
        assertEquals(KeyDecision.OtherBody, decide(done.copy(body = Digest("other"))))
    }

    /**
     * Guards against KEY_REUSED, which means NOT_RUN for the caller, from a stale copy: the key may have been released
     * since and claimed with this body.
     */
    @Test
    fun `a cached record only permits an attempt to claim`() {
        assertEquals(KeyDecision.Read, decide(claimed, isFresh = false))
        assertEquals(KeyDecision.Read, decide(claimed.copy(body = Digest("other")), isFresh = false))
        assertEquals(KeyDecision.Read, decide(done, isFresh = false))
        assertEquals(KeyDecision.Claim, decide(released, isFresh = false))
        assertEquals(KeyDecision.HolderLost, decide(claimed, isFresh = false, isLost = true))
    }

    /** Guards against refusing a request whose answer is cached while the store is unavailable. */
    @Test
    fun `a cached final record answers the request`() {
        assertEquals(KeyDecision.AnswerFrom(done), decide(done, isFresh = false, isFinal = true))
        val other = done.copy(body = Digest("other"))
        assertEquals(KeyDecision.OtherBody, decide(other, isFresh = false, isFinal = true))
    }

    /** Guards against NOT_RUN for a key that was not read from the store. */
    @Test
    fun `the outcome for the caller follows from all attempts`() {
        val notRead = AttemptReport(Outcome.NOT_RUN, ClaimProof.NOT_READ)
        val free = AttemptReport(Outcome.NOT_RUN, ClaimProof.PROVEN_FREE)
        val otherBody = AttemptReport(Outcome.NOT_RUN, ClaimProof.OTHER_BODY)
        val held = AttemptReport(Outcome.NOT_RUN, ClaimProof.HELD)
        val unknown = AttemptReport(Outcome.UNKNOWN, ClaimProof.HELD)
        val done = AttemptReport(Outcome.DONE, ClaimProof.HELD)
        val cases =
            listOf(
                emptyList<AttemptReport>() to Outcome.UNKNOWN,
                listOf(notRead) to Outcome.UNKNOWN,
                listOf(notRead, notRead, notRead) to Outcome.UNKNOWN,
                listOf(free) to Outcome.NOT_RUN,
                listOf(free, notRead) to Outcome.NOT_RUN,
                listOf(notRead, free) to Outcome.NOT_RUN,
                listOf(otherBody) to Outcome.NOT_RUN,
                listOf(held) to Outcome.UNKNOWN,
                listOf(free, held) to Outcome.UNKNOWN,
                listOf(free, unknown) to Outcome.UNKNOWN,
                listOf(notRead, done) to Outcome.DONE,
            )
        for ((attempts, expected) in cases) assertEquals(expected, callerOutcome(attempts), attempts.toString())
    }

    /** Guards against a refusal code that counts as proof although it can be sent before the claim is read. */
    @Test
    fun `only the code KEY_REUSED proves something about the key`() {
        val proving = RefusalCode.entries.filter { proofOfRefusal(it) != ClaimProof.NOT_READ }
        assertEquals(listOf(RefusalCode.KEY_REUSED), proving)
    }
}
