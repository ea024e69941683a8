package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.LeavingNotice
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests which lines are logged about endpoints that leave or ask for a pause. */
class NoticeLogTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val endpoint =
        LiveEndpoint(
            EndpointId("e0"),
            ServiceId("s"),
            NetworkAddress("127.0.0.1", 1),
            FailureDomainId("a"),
            AdmissionState.IN_SERVICE,
            slots = 1,
            coldFor = Duration.ZERO,
            startedAt = 7,
        )
    private val log = NoticeLog()

    private fun textsOf(
        notice: EndpointNotice,
        after: Duration = Duration.ZERO,
        isNew: Boolean = false,
    ) = log.textsOf(BalancerMessage.Noticed(endpoint, notice, "r1"), isNew, start + after)

    /** Guards against lines without the source, the request or the time, and against a line for each answer. */
    @Test
    fun `a departure is logged once and a pause at most once a second`() {
        val leaving = EndpointNotice(leaving = LeavingNotice.Announced)
        val answer = "by its answer to request r1"
        assertEquals(listOf("e0 started at 7 leaves and gets no requests, $answer"), textsOf(leaving, isNew = true))
        assertEquals(emptyList<String>(), textsOf(leaving))
        val pause = EndpointNotice(pause = PauseNotice.Requested(2.5.seconds))
        val lines = (0..20).flatMap { textsOf(pause, 100.milliseconds * it) }
        assertEquals(List(3) { "e0 gets no requests for 2.5s, $answer" }, lines)
        val long = EndpointNotice(pause = PauseNotice.Requested(1.hours, isShortened = true))
        assertEquals(listOf("e0 gets no requests for 1h, $answer; it asked for more"), textsOf(long, 9.seconds))
    }

    /** Guards against values that are ignored in silence, fill the log or end a line of it. */
    @Test
    fun `a value that cannot be read is logged once in ten seconds`() {
        val notice = EndpointNotice(LeavingNotice.Unreadable("may\nbe"), PauseNotice.Unreadable("-1"))
        val lines = (0..99).flatMap { textsOf(notice, 100.milliseconds * it) }
        assertEquals(
            listOf("e0 states whether it leaves as \"may?be\", which is not read, by its answer to request r1"),
            lines,
        )
        val pause = EndpointNotice(pause = PauseNotice.Unreadable("Thu, 01 Jan 1970 00:00:00 GMT"))
        val expected =
            "e0 states a pause as \"Thu, 01 Jan 1970 00:00:00 GMT\", which is not read, by its answer to request r1"
        assertEquals(listOf(expected), textsOf(pause, 10.seconds))
    }

    /** Guards against a message of a peer with many departures that fills the log. */
    @Test
    fun `the departures that a peer reports are logged up to a number`() {
        val lines = log.textsOf(List(20) { DepartureReport(EndpointId("e$it"), 1) }, ProcessId("g2"))
        assertEquals("e0 started at 1 leaves and gets no requests, reported by g2", lines.first())
        assertEquals("12 other endpoints leave, reported by g2", lines.last())
        assertEquals(9, lines.size)
    }
}
