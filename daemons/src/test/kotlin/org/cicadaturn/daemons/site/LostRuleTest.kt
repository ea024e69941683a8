package org.cicadaturn.daemons.site

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LostRuleTest {
    private val stop = StopSeen("g", signalAt = 100.seconds, endedAt = 107.5.seconds, isKilled = false)

    private fun attempt(
        sentAt: Duration,
        endedAt: Duration,
        end: AttemptEnd = AttemptEnd.CLOSED,
    ) = AttemptSeen("r", "route", "g", false, 100.seconds + sentAt, 100.seconds + endedAt, 8.seconds, 200, 1, 3, end)

    private fun run(
        until: Duration,
        end: RunEnd = RunEnd.ABANDONED,
    ) = RunSeen("r", "i-1", 99.seconds, 100.seconds + until, 3, end)

    private fun verdict(
        attempt: AttemptSeen,
        vararg runs: RunSeen,
        mayBeRead: Boolean = true,
    ): Verdict? = unansweredIn(listOf(stop, attempt) + runs) { mayBeRead }.singleOrNull()?.verdict

    /** Guards against a judge that excuses what the rule counts. */
    @Test
    fun `a cut is lost unless the endpoint, the deadline or late work is its cause`() {
        assertEquals(Verdict.LOST, verdict(attempt(-2.seconds, 1.seconds), run(1.2.seconds)))
        assertEquals(Verdict.LOST, verdict(attempt(3.1.seconds, 7.3.seconds), run(7.4.seconds)))
        assertEquals(Verdict.LOST, verdict(attempt(2.seconds, 6.seconds), run(6.1.seconds)))
        assertEquals(Verdict.AT_WORK, verdict(attempt(2.9.seconds, 7.3.seconds), run(7.4.seconds)))
        assertEquals(Verdict.BROKEN_OFF, verdict(attempt(0.seconds, 1.seconds), run(1.seconds, RunEnd.BROKEN_OFF)))
        assertEquals(Verdict.DEADLINE, verdict(attempt(-6.seconds, 2.seconds), run(2.seconds)))
        assertEquals(null, verdict(attempt(0.seconds, 1.seconds, AttemptEnd.LEFT), run(1.seconds)))
    }

    /** Guards against a judge that takes an endpoint that only stood by for the one that ended the answer. */
    @Test
    fun `the run that ended last decides who broke the answer off`() {
        val attempt = attempt(0.seconds, 3.seconds)
        val broken = run(2.9.seconds, RunEnd.BROKEN_OFF)
        val standby = run(1.5.seconds).copy(from = 101.seconds, endpoint = "i-2")
        assertEquals(Verdict.BROKEN_OFF, verdict(attempt, broken, standby))
        assertEquals(Verdict.LOST, verdict(attempt, broken, standby.copy(end = RunEnd.FINISHED)))
        assertEquals(Verdict.LOST, verdict(attempt, broken, standby.copy(until = 103.seconds)))
        assertEquals(Verdict.LOST, verdict(attempt, broken, standby.copy(until = 103.seconds, end = RunEnd.FINISHED)))
    }

    /** Guards against a judge that counts requests which no gateway has read, or not those that one has read. */
    @Test
    fun `a request that was not passed on is lost if it was read`() {
        assertEquals(Verdict.CROSSED, verdict(attempt(4.seconds, 4.1.seconds)))
        assertEquals(Verdict.UNREAD, verdict(attempt(4.seconds, 4.5.seconds), mayBeRead = false))
        assertEquals(Verdict.UNREAD, verdict(attempt(4.seconds, 4.5.seconds, AttemptEnd.RESET)))
        assertEquals(Verdict.LOST, verdict(attempt(4.seconds, 4.5.seconds)))
        assertEquals(Verdict.LOST, verdict(attempt(4.seconds, 4.5.seconds, AttemptEnd.RESET), run(4.6.seconds)))
        assertEquals(Verdict.LOST, verdict(attempt(4.seconds, 4.seconds + 50.milliseconds), run(4.1.seconds)))
    }
}
