package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.ExpertProfile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What one gateway does with endpoints that name limits. */
class EndpointLimitTest {
    private val e0 = EndpointId("e0")

    private fun balancer(
        vararg endpoints: String,
        gateways: Int = 1,
        coldRate: Double = 0.0,
    ) = limitedBalancer("g0").also {
        it.update(limitedView(endpoints.map { id -> limitedEndpoint(id) }, names(gateways), coldRate), START)
    }

    private fun names(gateways: Int) = List(gateways) { "g$it" }

    private fun EndpointBalancer.sendTo(
        now: Instant,
        isRetry: Boolean = false,
        canWait: Boolean = true,
    ): String? {
        arrived(SERVICE, now)
        val choice = choose(limitedRequest(isRetry, canWait), now)
        return (choice as? EndpointChoice.Chosen)
            ?.endpoint
            ?.id
            ?.also {
                finished(it, EndpointUse.Abandoned, now)
            }?.text
    }

    /** Returns the times of the requests that are sent if one is tried every 10 ms. */
    private fun EndpointBalancer.sendTimes(
        from: Instant,
        time: Duration,
        send: EndpointBalancer.(Instant) -> String? = { sendTo(it) },
    ): List<Instant> =
        (0 until time.inWholeMilliseconds step 10).map { from + it.milliseconds }.filter {
            send(it) !=
                null
        }

    /** Guards against requests beyond the limit by attempts that are not first attempts of callers that may wait. */
    @ParameterizedTest
    @CsvSource("false,true", "true,true", "false,false", "true,false")
    fun `every kind of request counts`(
        isRetry: Boolean,
        canWait: Boolean,
    ) {
        val balancer = balancer("e0")
        balancer.limitNamed(e0, NamedLimit.Rate(2.0), START)
        val times = balancer.sendTimes(START, 20.seconds) { sendTo(it, isRetry, canWait) }
        assertTrue(times.size in 36..40, "${times.size} requests in 20 s")
    }

    /** Guards against requests to a limited endpoint because the others are failing. */
    @Test
    fun `an endpoint without budget is no fallback`() {
        val balancer = balancer("e0", "e1")
        balancer.limitNamed(e0, NamedLimit.Rate(0.0), START)
        repeat(5) { balancer.finished(EndpointId("e1"), EndpointUse.Failed, START) }
        val sent = (0 until 300).mapNotNull { balancer.sendTo(START + (10 * it).milliseconds, canWait = false) }
        assertEquals(setOf("e1"), sent.toSet())
    }

    /** Guards against a limit that is exceeded in its first seconds by what was sent before it was known. */
    @Test
    fun `requests before the limit count`() {
        val balancer = balancer("e0")
        repeat(40) { balancer.sendTo(START + (50 * it).milliseconds) }
        balancer.limitNamed(e0, NamedLimit.Rate(2.0), START + 2.seconds)
        val times = balancer.sendTimes(START + 2.seconds, 6.seconds)
        assertTrue(
            times.first() >= START + 5.seconds,
            "the next request is sent ${times.first() - START} after the first",
        )
    }

    /** Guards against a process that uses after its start what its predecessor has used. */
    @Test
    fun `a process that has just started begins without budget`() {
        val balancer = balancer("e0")
        balancer.limitNamed(e0, NamedLimit.Rate(0.5), START + 10.milliseconds)
        assertTrue(balancer.sendTimes(START + 10.milliseconds, 1990.milliseconds).isEmpty())
        assertEquals(1, balancer.sendTimes(START + 2.seconds, 1.seconds).size)
    }

    /** Guards against a process that sends at once in place of one that has gone, which may have sent just before. */
    @Test
    fun `a process that becomes a sender begins without budget`() {
        val all = names(8)
        val balancers = all.associateWith { limitedBalancer(it) }
        balancers.values.forEach { balancer ->
            balancer.update(limitedView(listOf(limitedEndpoint("e0")), all), START)
            balancer.limitNamed(e0, NamedLimit.Rate(0.0), START + 5.seconds)
        }
        val senders = senders(balancers, START + 50.seconds)
        val left = all - senders.first()
        val change = START + 50.seconds
        balancers.values.forEach { it.update(limitedView(listOf(limitedEndpoint("e0")), left), change) }
        val added = (senders(balancers - senders.first(), change) - senders).single()
        val times = balancers.getValue(added).sendTimes(change, 9.seconds)
        assertEquals(listOf(change + 8.seconds), times)
    }

    private fun senders(
        balancers: Map<String, EndpointBalancer>,
        now: Instant,
    ) = balancers.filterValues { it.limitStatus(now).single().ownPerSecond > 0 }.keys.toList()

    /** Guards against a limit of zero that never ends because no answer can say so, and against too many such requests. */
    @ParameterizedTest
    @CsvSource("0.0,1,10", "0.01,1,10", "0.0,350,10", "1e300,1,800")
    fun `any limit has a rule`(
        limit: Double,
        gateways: Int,
        expected: Int,
    ) {
        val balancers = names(gateways).map { limitedBalancer(it) }
        val view = limitedView(listOf(limitedEndpoint("e0")), names(gateways))
        balancers.forEach { it.update(view, START) }
        balancers.forEach { it.limitNamed(e0, NamedLimit.Rate(limit), START) }
        val sent =
            (0 until 40_000L step 50).sumOf { ms ->
                balancers.sumOf { b -> if (b.sendTo(START + ms.milliseconds) == null) 0 else 5L } / 5
            }
        // One request in 4 s by all gateways together shows whether a limit of zero is still named.
        assertTrue(sent in expected / 5L..expected.toLong(), "$sent requests in 40 s")
    }

    /** Guards against a limit that is lost or invented because an answer names none that can be read. */
    @Test
    fun `an unreadable limit keeps the last one`() {
        val balancer = balancer("e0", "e1")
        listOf(NamedLimit.Unreadable("much"), NamedLimit.Rate(Double.NaN), NamedLimit.Rate(-1.0)).forEach {
            balancer.limitNamed(e0, it, START)
            assertTrue(balancer.limitStatus(START).isEmpty(), "$it")
        }
        balancer.limitNamed(e0, NamedLimit.Rate(3.0), START + 1.seconds)
        balancer.limitNamed(e0, NamedLimit.Unreadable("much"), START + 2.seconds)
        val status = balancer.limitStatus(START + 3.seconds).single()
        assertEquals(3.0 to 1.seconds, status.perSecond to status.confirmedBefore)
    }

    /** Guards against a limit that outlives its naming, and against a herd of all requests at its end. */
    @Test
    fun `after a limit the rate grows from it`() {
        val balancer = balancer("e0", gateways = 2)
        balancer.limitNamed(e0, NamedLimit.Rate(4.0), START)
        balancer.sendTimes(START, 5.seconds)
        val end = START + 5.seconds
        balancer.limitNamed(e0, NamedLimit.None, end)
        assertTrue(balancer.limitStatus(end).isEmpty())
        val times = balancer.sendTimes(end, 6.seconds)
        val halves = (0 until 12).map { half -> times.count { ((it - end) / 500.milliseconds).toInt() == half } }
        // Half of the limit is one request in half a second; 50 are tried in each.
        halves.forEachIndexed { i, sent -> assertTrue(sent <= 2 * (1 shl minOf(i, 10)), "$halves") }
        assertTrue(halves.last() == 50 && halves[7] >= 45, "$halves")
    }

    /** Guards against a limit that binds another process than the one that named it. */
    @Test
    fun `a restart of the endpoint ends its limit`() {
        val balancer = balancer("e0")
        balancer.limitNamed(e0, NamedLimit.Rate(0.0), START)
        balancer.update(limitedView(listOf(limitedEndpoint("e0", startedAt = 2)), names(1)), START + 1.seconds)
        assertEquals("e0", balancer.sendTo(START + 1.seconds))
        val old = EndpointLimitReport(e0, 1, 0.0, 0.seconds)
        balancer.limitsReported(listOf(old), START + 2.seconds)
        assertEquals("e0", balancer.sendTo(START + 2.seconds))
    }

    /** Guards against a limit that is forgotten because an entry lapsed while the store was away. */
    @Test
    fun `an entry that lapses and returns keeps its limit`() {
        val balancer = balancer("e0")
        balancer.limitNamed(e0, NamedLimit.Rate(0.0), START)
        balancer.update(limitedView(emptyList(), names(1)), START + 1.seconds)
        balancer.update(limitedView(listOf(limitedEndpoint("e0")), names(1)), START + 3.seconds)
        assertEquals(null, balancer.sendTo(START + 3.seconds))
        balancer.update(limitedView(emptyList(), names(1)), START + 70.seconds)
        assertTrue(balancer.limitReports(START + 70.seconds).isEmpty())
    }

    /** Guards against a limit of one rank that keeps the other ranks of its group from running requests. */
    @Test
    fun `a limit of a rank leaves its group alone`() {
        val profile = ExpertProfile(2, 32, 4, 2, 100.milliseconds, 100.milliseconds, 10.milliseconds, 1.milliseconds)
        val view = limitedView(List(4) { limitedEndpoint("e$it") }, names(1))
        val configuration = requireNotNull(view.configuration)
        val services = configuration.services.map { it.copy(experts = profile) }
        val balancer = limitedBalancer("g0")
        balancer.update(view.copy(configuration = configuration.copy(services = services)), START)
        repeat(4) { balancer.groupReported(EndpointId("e$it"), GroupReport("group", 1, isOpen = true), START) }
        balancer.limitNamed(e0, NamedLimit.Rate(0.0), START)
        val sent = (0 until 100).map { balancer.sendTo(START + (10 * it).milliseconds) }
        assertEquals(setOf("e1", "e2", "e3"), sent.toSet())
        assertEquals(null, balancer.downSince(SERVICE))
        assertTrue(!balancer.isIsolated(START + 1.seconds))
    }

    /** Guards against a limit that lets more requests to a cold endpoint through than its cold bound. */
    @ParameterizedTest
    @CsvSource("100,2,6", "2,30,4")
    fun `the lower of limit and cold bound counts`(
        limit: Double,
        coldRate: Double,
        most: Int,
    ) {
        val balancer = balancer("e0", coldRate = coldRate)
        balancer.limitNamed(e0, NamedLimit.Rate(limit), START)
        val times = balancer.sendTimes(START, 10.seconds)
        val worst = times.maxOf { first -> times.count { it >= first && it - first < 1.seconds } }
        assertTrue(worst in 1..most, "$worst requests in a second")
    }

    /** Guards against load on an endpoint in need while others are idle, and against others that are overloaded for it. */
    @Test
    fun `a limited endpoint is used when the others are half full`() {
        val balancer = balancer("e0", "e1")
        balancer.limitNamed(e0, NamedLimit.Rate(5.0), START)
        val now = START + 1.seconds
        assertEquals("e1", balancer.sendTo(now))
        balancer.loadReported(EndpointId("e1"), LoadSample(50, 0, 64), now)
        assertEquals("e0", balancer.sendTo(now))
    }

    /** Guards against a limit whose end nobody notices because other endpoints have less load. */
    @Test
    fun `a limit that was not confirmed lately is confirmed`() {
        val balancer = balancer("e0", "e1")
        balancer.limitNamed(e0, NamedLimit.Rate(5.0), START)
        val sent = (0 until 400).mapNotNull { balancer.sendTo(START + (10 * it).milliseconds) }
        assertTrue(sent.count { it == "e0" } > 0)
    }

    /** Guards against an answer without a cause or time that callers could use. */
    @Test
    fun `a choice without budget tells when there will be some`() {
        val balancer = balancer("e0")
        balancer.limitNamed(e0, NamedLimit.Rate(0.5), START)
        val choice = balancer.choose(limitedRequest(), START) as EndpointChoice.None
        assertEquals(Unavailability.AT_NAMED_LIMIT, choice.cause)
        val budget = requireNotNull(choice.budget)
        assertEquals(0.5, budget.perSecond)
        assertEquals(2_000.0, (budget.nextAt - START).inWholeMilliseconds.toDouble(), 1.0)
    }
}
