package org.cicadaturn.decisions.routing

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.constraints.IntRange
import org.cicadaturn.schema.generated.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OutlierDetectorProperties {
    /** Random numbers, each of which determines one event and the time before it. */
    @Provide
    fun steps(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(0, 9999)
            .withDistribution(RandomDistribution.uniform())
            .list()
            .ofMinSize(1)
            .ofMaxSize(300)

    private val detector = outlierDetector(OutlierOptions(failures = 3))

    private fun endpoints(count: Int) = List(count) { EndpointId("endpoint-$it") }

    private fun fail(
        endpoint: EndpointId,
        at: Duration,
        times: Int = 3,
    ) = repeat(times) { detector.failed(endpoint, start + at) }

    private fun answer(
        endpoint: EndpointId,
        at: Duration,
        times: Int,
        time: Duration = 50.milliseconds,
    ) = repeat(times) { detector.answered(endpoint, time, start + at) }

    private fun health(
        endpoint: EndpointId,
        at: Duration,
    ) = detector.health(endpoint, start + at)

    /** Guards against a fault that all endpoints share taking more than a third of them out of use. */
    @Property(tries = 300, seed = "31")
    fun atMostAThirdIsEjected(
        @ForAll @IntRange(min = 1, max = 20) count: Int,
        @ForAll("steps") steps: List<Int>,
    ) {
        val detector = outlierDetector(OutlierOptions(failures = 2, slowSamples = 3))
        var members = endpoints(count)
        detector.updateMembers(members.toSet(), start)
        var now = start
        for (step in steps) {
            now += (step % 90).milliseconds
            val endpoint = members[step % members.size]
            when {
                step < 7_000 -> detector.failed(endpoint, now)
                step < 9_500 -> detector.answered(endpoint, (step % 7 * 200).milliseconds, now)
                members.size > 1 -> {
                    members = members - endpoint
                    detector.updateMembers(members.toSet(), now)
                }
            }
            val ejected = detector.ejected(now)
            assertTrue(ejected.size * 3 <= members.size, "${ejected.size} of ${members.size} ejected")
        }
    }

    /** Guards against a failing endpoint staying in use, and against an answer in between being ignored. */
    @Test
    fun consecutiveFailuresEject() {
        val (a, b) = endpoints(6)
        detector.updateMembers(endpoints(6).toSet(), start)
        fail(a, 0.seconds)
        fail(b, 0.seconds, times = 2)
        answer(b, 0.seconds, times = 1)
        fail(b, 0.seconds, times = 2)
        assertEquals(EndpointHealth.EJECTED, health(a, 1.seconds))
        assertEquals(EndpointHealth.HEALTHY, health(b, 1.seconds))
    }

    /** Guards against a return without probation, and against ejections that do not grow. */
    @Test
    fun ejectionsGrowAndEndOnProbation() {
        val endpoint = endpoints(3).first()
        detector.updateMembers(endpoints(3).toSet(), start)
        fail(endpoint, 0.seconds)
        assertEquals(EndpointHealth.EJECTED, health(endpoint, 4.9.seconds))
        assertEquals(EndpointHealth.PROBATION, health(endpoint, 5.seconds))
        fail(endpoint, 6.seconds, times = 1)
        assertEquals(EndpointHealth.EJECTED, health(endpoint, 15.9.seconds))
        assertEquals(EndpointHealth.PROBATION, health(endpoint, 16.seconds))
        answer(endpoint, 17.seconds, times = 5)
        assertEquals(EndpointHealth.HEALTHY, health(endpoint, 17.seconds))
        fail(endpoint, 20.seconds)
        assertEquals(EndpointHealth.EJECTED, health(endpoint, 39.9.seconds))
        assertEquals(EndpointHealth.PROBATION, health(endpoint, 40.seconds))
    }

    /** Guards against an endpoint that failed long ago being ejected as long as one that fails repeatedly. */
    @Test
    fun ejectionIsShortAgainAfterHealthyTime() {
        val endpoint = endpoints(3).first()
        detector.updateMembers(endpoints(3).toSet(), start)
        fail(endpoint, 0.seconds)
        answer(endpoint, 6.seconds, times = 5)
        fail(endpoint, 400.seconds)
        assertEquals(EndpointHealth.PROBATION, health(endpoint, 405.seconds))
    }

    /** Guards against a slow endpoint staying in use, and against ordinary differences ejecting one. */
    @Test
    fun firstTokenTimeFarAboveTheMedianEjects() {
        val all = endpoints(6)
        detector.updateMembers(all.toSet(), start)
        all.drop(2).forEach { answer(it, 0.seconds, times = 10) }
        answer(all[0], 1.seconds, times = 20, time = 250.milliseconds)
        answer(all[1], 1.seconds, times = 20, time = 900.milliseconds)
        assertEquals(EndpointHealth.HEALTHY, health(all[0], 1.seconds))
        assertEquals(EndpointHealth.EJECTED, health(all[1], 1.seconds))
    }

    /** Guards against a burst of requests to an endpoint on probation, and against one that stays nearly idle. */
    @Test
    fun ownLimitGrowsOnProbation() {
        val endpoint = endpoints(3).first()
        detector.updateMembers(endpoints(3).toSet(), start)
        val limits = mutableListOf(detector.ownLimit(endpoint, start))
        fail(endpoint, 0.seconds)
        limits += detector.ownLimit(endpoint, start + 1.seconds)
        repeat(6) {
            limits += detector.ownLimit(endpoint, start + 5.seconds)
            answer(endpoint, 5.seconds, times = 1)
        }
        assertEquals(listOf(Int.MAX_VALUE, 0, 1, 2, 4, 8, 16, Int.MAX_VALUE), limits)
    }
}
