package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class LimitLogTest {
    private val start = Instant.fromEpochMilliseconds(0)

    private fun report(
        perSecond: Double?,
        endpoint: String = "e1",
        startedAt: Long = 1,
    ) = EndpointLimitReport(EndpointId(endpoint), startedAt, perSecond, 3.milliseconds)

    /** Guards against a limit of which an operator cannot tell since when and from whom this process knows it. */
    @Test
    fun `the beginning, change and end of a limit are logged with source and age`() {
        val log = LimitLog()
        val steps =
            listOf(
                report(2.0) to null,
                report(3.0) to ProcessId("g2"),
                report(null) to null,
                report(4.0) to null,
            )
        assertEquals(
            listOf(
                "e1 names a limit of 2.0 requests a second, by an answer to this process 3ms ago",
                "e1 changes its limit from 2.0 to 3.0 requests a second, reported by g2 3ms ago",
                "e1 no longer names a limit; it was 3.0, by an answer to this process 3ms ago",
                "e1 names a limit of 4.0 requests a second, by an answer to this process 3ms ago",
            ),
            steps.flatMap { (change, source) -> log.textsOf(listOf(change)) { source } },
        )
        val restarted = log.textsOf(listOf(report(5.0, startedAt = 2))) { null }
        assertEquals(
            listOf("e1 names a limit of 5.0 requests a second, by an answer to this process 3ms ago"),
            restarted,
        )
    }

    /** Guards against limits of many endpoints that use up the rate limit of the log. */
    @Test
    fun `many changes take few lines`() {
        val texts = LimitLog().textsOf((1..3_800).map { report(1.0, "e$it") }) { null }
        assertEquals(9, texts.size)
        assertEquals("3792 other limits have changed, which the state dump shows", texts.last())
    }

    /** Guards against a line for each answer of an endpoint, and against bytes that break the log. */
    @Test
    fun `an unreadable limit takes one line in ten seconds`() {
        val unreadable = UnreadableLimits()
        val texts =
            (0..20_000 step 100).mapNotNull {
                unreadable.textOf(EndpointId("e1"), NamedLimit.Unreadable("a\u001bb$it"), start + it.milliseconds)
            }
        val line = "e1 names a limit that cannot be read and changes nothing:"
        assertEquals(listOf("$line \"a?b0\"", "$line \"a?b10000\"", "$line \"a?b20000\""), texts)
    }
}
