package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.seconds

class NamedLimitsTest {
    private val id = EndpointId("e0")

    private fun report(
        perSecond: Double?,
        age: Int,
        startedAt: Long = 5,
    ) = EndpointLimitReport(id, startedAt, perSecond, age.seconds)

    /** Guards against an old report that replaces a newer answer, and a new one that does not. */
    @ParameterizedTest
    @MethodSource("reports")
    fun `the newest answer counts`(case: Case) {
        val limits = namedLimits()
        limits.named(id, 5, NamedLimit.Rate(2.0), START)
        val now = START + 10.seconds
        limits.takeNews(now)
        limits.reported(case.report, now)
        assertEquals(case.expected, limits.known(id, 5)?.perSecond)
        assertEquals(case.isNews, limits.takeNews(now).isNotEmpty())
    }

    /** Guards against news that circle between gateways for ever, and against news that nobody relays. */
    @Test
    fun `each gateway tells news once`() {
        val limits = List(3) { namedLimits() }
        limits[0].named(id, 5, NamedLimit.Rate(2.0), START)
        val news = limits[0].takeNews(START)
        assertEquals(listOf(2.0), news.map { it.perSecond })
        limits[1].reportAll(news)
        val relayed = limits[1].takeNews(START)
        assertEquals(1, relayed.size)
        limits[2].reportAll(relayed)
        limits[0].reportAll(relayed)
        limits[1].reportAll(limits[2].takeNews(START))
        assertTrue((limits[0].takeNews(START) + limits[1].takeNews(START)).isEmpty())
    }

    /** Guards against an end that a late answer of the same moment undoes, as clocks have a coarse resolution. */
    @Test
    fun `of own answers the last one counts`() {
        val limits = namedLimits()
        limits.named(id, 5, NamedLimit.Rate(2.0), START)
        limits.named(id, 5, NamedLimit.None, START)
        assertEquals(null, limits.known(id, 5)?.perSecond)
        assertEquals(2.0, limits.known(id, 5)?.endedPerSecond)
    }

    /** Guards against an end that a gateway which missed the news never hears of. */
    @Test
    fun `limits that ended lately are reported to gateways that ask`() {
        val limits = namedLimits()
        limits.named(id, 5, NamedLimit.Rate(2.0), START)
        limits.named(id, 5, NamedLimit.None, START + 1.seconds)
        assertEquals(listOf(report(null, 4)), limits.reports(START + 5.seconds))
        assertTrue(limits.reports(START + 90.seconds).isEmpty())
    }

    /** Guards against an answer of an endpoint that has restarted which counts for its next start. */
    @Test
    fun `an answer of an earlier start is ignored`() {
        val limits = namedLimits()
        limits.named(id, 6, NamedLimit.Rate(2.0), START)
        limits.named(id, 5, NamedLimit.None, START + 1.seconds)
        assertEquals(2.0, limits.known(id, 6)?.perSecond)
    }

    private fun NamedLimits.reportAll(reports: List<EndpointLimitReport>) = reports.forEach { reported(it, START) }

    companion object {
        /** [expected] is the limit of the start 5 after a [report] that comes 10 s after an own answer named 2.0. */
        class Case(
            private val name: String,
            val report: EndpointLimitReport,
            val expected: Double?,
            val isNews: Boolean,
        ) {
            override fun toString() = name
        }

        private fun report(
            perSecond: Double?,
            age: Int,
            startedAt: Long = 5,
        ) = EndpointLimitReport(EndpointId("e0"), startedAt, perSecond, age.seconds)

        @JvmStatic
        fun reports() =
            listOf(
                Case("newer value", report(3.0, 5), 3.0, true),
                Case("newer, the same value", report(2.0, 5), 2.0, false),
                Case("newer end", report(null, 5), null, true),
                Case("older value", report(3.0, 15), 2.0, false),
                Case("older end", report(null, 15), 2.0, false),
                Case("end of the same age", report(null, 10), 2.0, false),
                Case("later start", report(3.0, 15, startedAt = 6), null, true),
                Case("earlier start", report(3.0, 1, startedAt = 4), 2.0, false),
                Case("not a number", report(Double.NaN, 1), 2.0, false),
                Case("less than zero", report(-1.0, 1), 2.0, false),
                Case("infinite", report(Double.POSITIVE_INFINITY, 1), 2.0, false),
                Case("age below zero by a clock that was set", report(3.0, -5), 3.0, true),
            )
    }
}
