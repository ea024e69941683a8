package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.gateway.PauseNotice.Requested
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.decisions.ratelimit.START
import org.cicadaturn.decisions.ratelimit.limitedBalancer
import org.cicadaturn.decisions.ratelimit.limitedEndpoint
import org.cicadaturn.decisions.ratelimit.limitedRequest
import org.cicadaturn.decisions.ratelimit.limitedView
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.RoutedService
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Which endpoints get requests after they have said that they leave or have asked for a pause. */
class EndpointNoticesTest {
    private val leaving = EndpointNotice(leaving = LeavingNotice.Announced)
    private val e0 = limitedEndpoint("e0")
    private val e1 = limitedEndpoint("e1")

    private fun balancerOf(vararg endpoints: LiveEndpoint): EndpointBalancer =
        limitedBalancer("g0").also { it.list(START, *endpoints) }

    private fun EndpointBalancer.list(
        now: Instant,
        vararg endpoints: LiveEndpoint,
    ) = update(limitedView(endpoints.toList(), listOf("g0")), now)

    private fun EndpointBalancer.requestPause(
        endpoint: LiveEndpoint,
        time: Duration,
        now: Instant,
    ) = notices.noticed(endpoint, EndpointNotice(pause = Requested(time)), now)

    /** Returns the endpoint of a request at [now], which ends at once, or null if it finds none. */
    private fun EndpointBalancer.send(
        now: Instant,
        isRetry: Boolean = false,
    ): EndpointId? {
        val chosen = choose(limitedRequest(isRetry), now) as? EndpointChoice.Chosen ?: return null
        finished(chosen.endpoint.id, EndpointUse.Answered(1.milliseconds), now)
        return chosen.endpoint.id
    }

    private fun EndpointBalancer.sendMany(
        from: Instant,
        time: Duration,
        perSecond: Int,
    ): List<EndpointId?> =
        (0..<(perSecond * time.inWholeMilliseconds / 1_000)).map {
            send(
                from + (it * 1_000.0 / perSecond).milliseconds,
            )
        }

    private fun causeAt(
        balancer: EndpointBalancer,
        now: Instant,
    ): Unavailability? = (balancer.choose(limitedRequest(), now) as? EndpointChoice.None)?.cause

    /** Guards against requests to an endpoint whose answers say that it leaves while its entry is ready. */
    @Test
    fun `an endpoint that says in an answer that it leaves gets no requests`() {
        val balancer = balancerOf(e0, e1)
        assertTrue(balancer.notices.noticed(e0, leaving, START))
        assertEquals(setOf(e1.id), balancer.sendMany(START, 10.seconds, 50).toSet())
    }

    /** Guards against an endpoint that is used again after an older state of the store, an outage or a lapse. */
    @Test
    fun `an endpoint leaves until a later start of it`() {
        val balancer = balancerOf(e0.copy(state = AdmissionState.DRAINED))
        balancer.list(START + 1.seconds, e0)
        assertEquals(Unavailability.LEAVING, causeAt(balancer, START + 1.seconds))
        balancer.list(START + 2.seconds)
        balancer.list(START + 20.minutes, e0)
        assertEquals(Unavailability.LEAVING, causeAt(balancer, START + 20.minutes))
        balancer.list(START + 21.minutes, e0.copy(startedAt = 2))
        assertEquals(e0.id, balancer.send(START + 21.minutes))
        balancer.list(START + 22.minutes, e0)
        assertEquals(Unavailability.LEAVING, causeAt(balancer, START + 22.minutes))
    }

    /** Guards against a late answer of an ended process that takes its successor out of service. */
    @Test
    fun `an answer of an earlier start says nothing about the present one`() {
        val balancer = balancerOf(e0.copy(startedAt = 2))
        balancer.notices.noticed(e0, leaving, START)
        balancer.requestPause(e0, 9.seconds, START)
        assertEquals(e0.id, balancer.send(START))
    }

    /** Guards against a process that hears of a departure but does not pass it on, or passes it on without end. */
    @Test
    fun `each departure is told once and holds where it is reported`() {
        val first = balancerOf(e0, e1)
        val second = balancerOf(e0, e1)
        first.notices.noticed(e0, leaving, START)
        first.notices.noticed(e0, leaving, START)
        val news = first.notices.takeDepartures()
        assertEquals(listOf(DepartureReport(e0.id, 1)), news)
        assertEquals(news, second.notices.departuresReported(news, START))
        assertEquals(emptyList<DepartureReport>(), second.notices.departuresReported(news, START))
        assertEquals(news, second.notices.takeDepartures())
        assertTrue(!first.notices.hasNews && !second.notices.hasNews)
        assertEquals(news, second.notices.departures())
        assertEquals(setOf(e1.id), second.sendMany(START, 5.seconds, 50).toSet())
    }

    /** Guards against a report that comes before the list that names its endpoint. */
    @Test
    fun `a departure holds for an endpoint that is listed later`() {
        val balancer = balancerOf(e1)
        balancer.notices.departuresReported(listOf(DepartureReport(e0.id, 1)), START)
        balancer.list(START + 5.seconds, e0, e1)
        assertEquals(setOf(e1.id), balancer.sendMany(START + 5.seconds, 5.seconds, 50).toSet())
    }

    /** Guards against requests within a pause, and against all requests at once after it. */
    @Test
    fun `a pause holds and the load comes back gradually`() {
        for (pause in listOf(0.9.seconds, 2.5.seconds, 30.seconds)) {
            val balancer = balancerOf(e0, e1)
            balancer.requestPause(e0, pause, START)
            assertEquals(setOf(e1.id), balancer.sendMany(START, pause - 1.milliseconds, 200).toSet(), "$pause")
            val back = balancer.sendMany(START + pause, 8.seconds, 200)
            val perSecond = back.chunked(200).map { second -> second.count { it == e0.id } }
            assertTrue(perSecond[0] in 1..10, "$pause: $perSecond")
            assertTrue(perSecond[0] < perSecond[1] && perSecond[1] < perSecond[2], "$pause: $perSecond")
            assertTrue(perSecond.last() >= 80, "$pause: $perSecond")
        }
    }

    /** Guards against a shorter pause, or an answer without one, that ends a longer pause. */
    @Test
    fun `of several pauses the one that ends last holds`() {
        val balancer = balancerOf(e0)
        balancer.requestPause(e0, 5.seconds, START)
        balancer.requestPause(e0, 1.seconds, START + 1.seconds)
        balancer.notices.noticed(e0, EndpointNotice(), START + 2.seconds)
        assertEquals(null, balancer.send(START + 4.9.seconds))
        assertEquals(e0.id, balancer.send(START + 5.seconds))
    }

    /** Guards against a pause that ends because the entry of the endpoint lapses for a while. */
    @Test
    fun `a pause holds for an entry that lapses and returns and ends with a new start`() {
        val balancer = balancerOf(e0)
        balancer.requestPause(e0, 30.seconds, START)
        balancer.list(START + 1.seconds)
        balancer.list(START + 2.seconds, e0)
        assertEquals(Unavailability.PAUSED, causeAt(balancer, START + 2.seconds))
        balancer.list(START + 3.seconds, e0.copy(startedAt = 2))
        assertEquals(e0.id, balancer.send(START + 3.seconds))
    }

    /** Guards against an endpoint that gets nothing after its pause, as the pause counted as failures. */
    @Test
    fun `a refusal with a pause does not count against the health of its endpoint or service`() {
        val balancer = balancerOf(e0)
        repeat(50) {
            val sentAt = START + 1.seconds * it
            assertEquals(e0.id, (balancer.choose(limitedRequest(), sentAt) as EndpointChoice.Chosen).endpoint.id)
            balancer.finished(e0.id, EndpointUse.Refused(hadFreePlaces = true, isPause = true), sentAt)
            balancer.requestPause(e0, 500.milliseconds, sentAt)
        }
        val end = START + 49.seconds + 500.milliseconds
        assertEquals(e0.id, balancer.send(end, isRetry = true))
    }

    /** Guards against a limit that is exceeded after a pause, or a pause that is not kept beside a limit. */
    @Test
    fun `a pause and a limit both hold`() {
        val balancer = balancerOf(e0)
        balancer.limitNamed(e0.id, NamedLimit.Rate(1.0), START)
        balancer.requestPause(e0, 3.seconds, START)
        val sent = balancer.sendMany(START, 11.seconds, 20).withIndex().filter { it.value != null }
        assertTrue(sent.all { it.index >= 60 }, "$sent")
        assertTrue(sent.size in 6..10, "$sent")
    }

    private fun groupedBalancer(): EndpointBalancer {
        val profile = ExpertProfile(1, 4, 2, 1, 100.milliseconds, 200.milliseconds, 5.milliseconds, 1.milliseconds)
        val ranks = listOf("a0", "a1", "b0", "b1").map { limitedEndpoint(it) }
        val view = limitedView(ranks, listOf("g0"))
        val services = listOf(RoutedService(ranks.first().service, 400, 0.0, profile))
        val balancer = limitedBalancer("g0")
        balancer.update(view.copy(configuration = view.configuration?.copy(services = services)), START)
        ranks.forEach { balancer.groupReported(it.id, GroupReport(it.id.text.take(1), 1, isOpen = true), START) }
        return balancer
    }

    /** Guards against a group that gets nothing, or counts as down, because of the word of one of its ranks. */
    @Test
    fun `in a group, a rank that leaves or pauses binds requests to that rank only`() {
        for (notice in listOf(leaving, EndpointNotice(pause = Requested(9.seconds)))) {
            val balancer = groupedBalancer()
            balancer.finished(EndpointId("a0"), EndpointUse.Refused(hadFreePlaces = true, isPause = true), START)
            balancer.notices.noticed(limitedEndpoint("a0"), notice, START)
            val used = balancer.sendMany(START, 2.seconds, 100).toSet()
            assertEquals(setOf("a1", "b0", "b1"), used.mapTo(HashSet()) { it?.text }, "$notice")
        }
    }

    /** Guards against an operator who cannot see why an endpoint gets nothing, or until when. */
    @Test
    fun `the reasons for which endpoints get nothing are told`() {
        val balancer = balancerOf(e0, e1, limitedEndpoint("e2"))
        balancer.notices.noticed(e0, leaving, START)
        balancer.requestPause(e1, 9.seconds, START)
        val withheld = balancer.withheld(START + 1.seconds).sortedBy { it.endpoint.text }
        val departure = Departure(1, DepartureSource.ANSWER, START)
        val expected =
            listOf(
                WithheldEndpoint(e0.id, WithholdReason.LEAVING, null, departure),
                WithheldEndpoint(e1.id, WithholdReason.PAUSED, 8.seconds),
            )
        assertEquals(expected, withheld)
    }
}
