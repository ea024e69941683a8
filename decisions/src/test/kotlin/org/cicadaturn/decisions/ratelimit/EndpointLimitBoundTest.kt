package org.cicadaturn.decisions.ratelimit

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class EndpointLimitBoundTest {
    /** Guards against gateways that together send more than an endpoint takes, whatever their number and traffic. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an endpoint gets what its limit allows`(case: Case) {
        val fleet = SimulatedFleet(Random(case.gateways))
        repeat(case.gateways) { fleet.start(demand = if (case.isEven) case.load / case.gateways else uneven(case, it)) }
        fleet.run(2.seconds)
        fleet.name(NamedLimit.Rate(case.limit))
        fleet.run(45.seconds)
        val worst = fleet.worst(from = START + 5.seconds)
        assertTrue(worst <= case.limit * 6 + 5, "$worst requests in 4 s")
        val rate = fleet.sent.count { it.at >= START + 7.seconds } / 40.0
        val expected = minOf(case.load, case.limit)
        if (case.isEven && case.limit >= 1) assertTrue(rate >= 0.85 * expected, "$rate requests per second")
        // Each sender may be one request ahead at the end of the time that is counted.
        val ahead = minOf(case.gateways.toDouble(), expected * 5 + 4) / 40
        assertTrue(rate <= 1.02 * maxOf(expected, 0.25) + ahead, "$rate requests per second")
    }

    companion object {
        /** [limit] is in requests per second, and so is the [load] on all gateways. */
        data class Case(
            val gateways: Int,
            val limit: Double,
            val isEven: Boolean,
        ) {
            val load = maxOf(20.0, 2.0 * gateways, minOf(2.5 * limit, 300.0))
        }

        private fun uneven(
            case: Case,
            index: Int,
        ) = if (index == 0) case.load * 0.9 else case.load * 0.1 / case.gateways

        @JvmStatic
        fun cases() =
            listOf(1, 2, 8, 40, 350).flatMap { gateways ->
                listOf(0.0, 0.01, 0.5, 1.0, 1.6, 6.5, 100.0, 1e6).flatMap { limit ->
                    listOf(true, false).map { Case(gateways, limit, it) }
                }
            }
    }
}
