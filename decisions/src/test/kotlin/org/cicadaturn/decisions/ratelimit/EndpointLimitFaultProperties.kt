package org.cicadaturn.decisions.ratelimit

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import org.cicadaturn.decisions.gateway.namedShare
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointLimitFaultProperties {
    enum class Fault { START, STOP, RESTART, FREEZE, CUT }

    @Provide
    fun limits(): Arbitrary<Double> = Arbitraries.of(0.0, 0.01, 0.5, 1.0, 1.6, 6.5, 20.0)

    @Provide
    fun faults(): Arbitrary<List<Fault>> = Arbitraries.of(Fault::class.java).list().ofSize(8)

    /**
     * Guards against a limit that is exceeded while gateways start, stop, freeze or are cut off, and against a gateway
     * that then uses what the others use.
     */
    @Property(tries = 300)
    fun `a limit holds over all gateways under faults`(
        @ForAll @IntRange(min = 1, max = 12) gateways: Int,
        @ForAll("limits") limit: Double,
        @ForAll("faults") faults: List<Fault>,
        @ForAll @IntRange(min = 0, max = 1000) seed: Int,
    ) {
        val random = Random(seed)
        val fleet = SimulatedFleet(random)
        val load = 40.0 + 4 * limit
        repeat(gateways) { fleet.start(load * random.nextDouble()) }
        fleet.run(1.seconds)
        fleet.name(NamedLimit.Rate(limit))
        fleet.run(3.seconds)
        val from = fleet.now
        faults.forEach { inject(fleet, it, load, random) }
        fleet.run(5.seconds)
        val calm = fleet.worst(from) { it.isCalm }
        val cut = fleet.gateways.filter { it.isCut }
        val cutNames = cut.map { it.name }.toSet()
        val informed = fleet.worst(from) { it.isInformed && it.gateway !in cutNames }
        assertTrue(calm <= limit * 6 + 5, "$calm requests of undisturbed gateways in 4 s")
        assertTrue(informed <= limit * 6 + 5, "$informed requests of gateways that knew the limit in 4 s")
        cut.forEach { gateway ->
            val own = fleet.worst(gateway.cutAt) { it.gateway == gateway.name && it.isInformed }
            val share = namedShare(limit, gateway.known).perSender
            assertTrue(own <= share, "$own requests in 4 s of a gateway that is cut off, whose share is $share")
        }
    }

    private fun inject(
        fleet: SimulatedFleet,
        fault: Fault,
        load: Double,
        random: Random,
    ) {
        val gateway = fleet.gateways.random(random)
        when (fault) {
            Fault.START -> fleet.start(load)
            Fault.STOP -> if (fleet.gateways.size > 1) fleet.stop(gateway)
            Fault.RESTART -> {
                fleet.stop(gateway)
                fleet.run(500.milliseconds)
                fleet.start(gateway.demand)
            }
            Fault.FREEZE -> {
                gateway.isFrozen = true
                fleet.run(3.seconds)
                gateway.isFrozen = false
            }
            Fault.CUT -> if (fleet.gateways.count { !it.isCut } > 1) fleet.cut(gateway)
        }
        fleet.run((random.nextInt(6) * 500).milliseconds)
    }
}
