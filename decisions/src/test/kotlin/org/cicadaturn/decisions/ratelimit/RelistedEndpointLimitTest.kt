package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests limits of endpoints whose entry at the store lapses and comes back. */
class RelistedEndpointLimitTest {
    /** Guards against gateways that forget what they have sent to an endpoint whose entry lapsed for a moment. */
    @ParameterizedTest
    @CsvSource("1.0,4,1", "1.0,4,2", "0.25,4,1", "2.5,4,2")
    fun `an endpoint that is listed again gets no more than its limit`(
        limit: Double,
        gateways: Int,
        lapses: Int,
    ) {
        val ids = List(gateways) { "g$it" }
        val listed = limitedView(listOf(limitedEndpoint("e0")), ids)
        val lapsed = limitedView(emptyList(), ids)
        val balancers = ids.map { id -> limitedBalancer(id).also { it.update(listed, START) } }
        balancers.forEach { it.limitNamed(EndpointId("e0"), NamedLimit.Rate(limit), START + 10.seconds) }
        val lapsesAt = List(lapses) { START + 22.seconds + (1_300 * it).milliseconds }
        val times =
            (0 until 3_000).map { START + 10.seconds + (10 * it).milliseconds }.flatMap { now ->
                balancers.mapNotNull { balancer ->
                    if (now in lapsesAt) balancer.update(lapsed, now)
                    if (now - 200.milliseconds in lapsesAt) balancer.update(listed, now)
                    balancer.arrived(SERVICE, now)
                    val choice = balancer.choose(limitedRequest(), now) as? EndpointChoice.Chosen
                    choice?.let { balancer.finished(it.endpoint.id, EndpointUse.Abandoned, now) }
                    choice?.let { now }
                }
            }
        val worst = times.maxOf { first -> times.count { it >= first && it - first < 4.seconds } }
        val allowed = 1.5 * 4 * limit + 5
        assertTrue(worst <= allowed, "$worst requests in 4 s where $allowed are allowed")
    }
}
