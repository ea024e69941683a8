package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PartReport
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StoreReportsTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val validity = 2.seconds
    private val part = FleetPart.CONFIGURATION
    private val reports = storeReports { validity.takeIf { _ -> it != FleetPart.PEERS } }

    init {
        reports.answered(part, StorePosition(0, 10), isChanged = true, start)
    }

    private fun report(
        revision: Long,
        age: Duration = Duration.ZERO,
        held: Duration = Duration.ZERO,
    ) = StoreReport(1, held, configuration = PartReport(StorePosition(0, revision), age))

    /** Guards against a confirmation that outlives the answer of the store it reports. */
    @Test
    fun `a confirmation is as old as the answer of the store`() {
        reports.reported(report(10, age = 500.milliseconds, held = 1.seconds), start, start + 1.seconds)
        assertEquals(start + 500.milliseconds + validity, reports.confirmedUntil(part))
    }

    /** Guards against a report that was held up by the network and counts as new. */
    @Test
    fun `time on the way counts as age`() {
        reports.reported(report(10, held = 100.milliseconds), start, start + 1.seconds)
        assertEquals(start + 100.milliseconds + validity, reports.confirmedUntil(part))
    }

    /** Guards against the reliance on a peer whose clocks make its answers appear to come from the future. */
    @Test
    fun `a confirmation is never newer than its receipt`() {
        reports.reported(report(10, age = (-5).seconds), start, start + 1.seconds)
        assertEquals(start + 1.seconds + validity, reports.confirmedUntil(part))
    }

    /** Guards against a gateway that trusts its watch although a peer knows of a change that it has missed. */
    @Test
    fun `a change that only the peer knows ends the confirmation soon`() {
        reports.reported(report(10), start, start)
        reports.reported(report(11), start + 100.milliseconds, start + 100.milliseconds)
        assertEquals(start + 600.milliseconds, reports.confirmedUntil(part))
    }

    /** Guards against a confirmation by a peer that lies behind and so does not know of a change. */
    @Test
    fun `a peer that lies behind confirms no more than its last answer`() {
        reports.answered(part, StorePosition(0, 20), isChanged = true, start)
        reports.reported(report(10, age = 3.seconds), start, start)
        assertEquals(start - 1.seconds, reports.confirmedUntil(part))
    }

    /** Guards against a change in a restored store that is read late, as a peer confirms what was before the restore. */
    @Test
    fun `a peer that lies behind an era confirms nothing`() {
        reports.answered(part, StorePosition(1, 5), isChanged = true, start)
        reports.reported(report(10), start, start)
        assertEquals(Instant.DISTANT_PAST, reports.confirmedUntil(part))
    }

    /** Guards against a restore that is learned of late, as its revisions are lower than the known ones. */
    @Test
    fun `a report of a newer era with a lower revision is a change`() {
        val answer = StoreReport(1, Duration.ZERO, configuration = PartReport(StorePosition(1, 3), Duration.ZERO))
        reports.reported(report(10), start, start)
        reports.reported(answer, start, start)
        assertEquals(start + 500.milliseconds, reports.confirmedUntil(part))
    }

    /** Guards against processes that confirm each other's reports while the store answers none of them. */
    @Test
    fun `reports of a peer are not reported`() {
        reports.reported(report(10), start + 5.seconds, start + 5.seconds)
        val answer = reports.answer(Duration.ZERO, start + 6.seconds)
        assertEquals(1L, answer.count)
        assertEquals(PartReport(StorePosition(0, 10), 6.seconds), answer.configuration)
        assertNull(answer.endpoints)
    }

    /** Guards against an old answer of the store that counts as new because it came a second time. */
    @Test
    fun `an older answer confirms nothing`() {
        reports.answered(part, StorePosition(0, 9), isChanged = false, start + 1.seconds)
        assertEquals(
            PartReport(StorePosition(0, 10), 1.seconds),
            reports.answer(Duration.ZERO, start + 1.seconds).configuration,
        )
    }

    /** Guards against a change that this process has from a peer and that its later report to others leaves out. */
    @Test
    fun `a state that was relayed counts as a change`() {
        reports.relayed(FleetView(configurationPosition = StorePosition(0, 15)))
        reports.answered(part, StorePosition(0, 16), isChanged = false, start + 1.seconds)
        assertEquals(StorePosition(0, 15), reports.answer(Duration.ZERO, start).configuration?.changePosition)
    }

    /** Guards against reports that an answer about a part which is not shared sets off. */
    @Test
    fun `only answers about shared parts are counted`() {
        reports.answered(FleetPart.PEERS, StorePosition(0, 30), isChanged = true, start)
        assertEquals(1L, reports.count)
    }

    private fun peers(vararg names: String) =
        names.map { GatewayPeer(ProcessId(it), NetworkAddress("10.0.0.1", 80), FailureDomainId("d")) }

    /** Guards against processes that rely on each other. */
    @Test
    fun `only peers before the own name are chosen`() {
        val choice = reportingPeer(ProcessId("b"))
        assertEquals("a", choice.choose(peers("c", "b", "a"), start)?.id?.text)
        assertNull(choice.choose(peers("c", "b"), start))
    }

    /** Guards against a process that asks a peer which is gone again and again, and so never finds a live one. */
    @Test
    fun `a peer that reports nothing is left out for longer each time`() {
        val choice = reportingPeer(ProcessId("c"))
        val all = peers("a", "b")
        choice.failed(ProcessId("a"), start)
        assertEquals("b", choice.choose(all, start + 9.seconds)?.id?.text)
        assertEquals("a", choice.choose(all, start + 10.seconds)?.id?.text)
        choice.failed(ProcessId("a"), start + 10.seconds)
        assertEquals("b", choice.choose(all, start + 29.seconds)?.id?.text)
        choice.succeeded(ProcessId("a"))
        assertEquals("a", choice.choose(all, start + 29.seconds)?.id?.text)
    }
}
