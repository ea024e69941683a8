package org.cicadaturn.bench.overload

import org.cicadaturn.schema.generated.LoadPattern
import org.cicadaturn.schema.generated.OverloadBenchOptions
import org.cicadaturn.schema.generated.OverloadBenchRun
import org.cicadaturn.schema.generated.OverloadPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

class OverloadBenchTest {
    private val options = OverloadBenchOptions()

    private fun run(
        pattern: LoadPattern,
        policy: OverloadPolicy = OverloadPolicy.OWN,
        load: Int = 90,
    ): OverloadBenchRun = OverloadRun(options.copy(loadPercent = load), pattern, policy).run()

    /** Guards against results that differ between runs with the same seed. */
    @Test
    fun `the same seed gives the same result`() {
        assertEquals(run(LoadPattern.BURST), run(LoadPattern.BURST))
    }

    /** Guards against a goodput that collapses beyond capacity, as requests are served too late to be of use. */
    @Tag("known-red")
    @Test
    fun `goodput beyond capacity stays near its peak`() {
        val goodput = listOf(50, 100, 150, 200, 300, 400).map { run(LoadPattern.STEADY, load = it).goodput }
        val atPeak = goodput.max()
        assertTrue(goodput.drop(2).all { it >= 0.9 * atPeak }, "$goodput")
    }

    /** Guards against an overload that outlasts its cause. */
    @Test
    fun `requests are in aim again within seconds of the end of a burst, an outage and a slow engine`() {
        val patterns = listOf(LoadPattern.BURST, LoadPattern.GROUP_DOWN, LoadPattern.ALL_DOWN, LoadPattern.SLOW_ENGINE)
        for (pattern in patterns) assertTrue(run(pattern).recoverySeconds <= 3.0, "${run(pattern)}")
    }

    /** Guards against ranks of a group that is down, each of which is tried and refuses. */
    @Test
    fun `ranks refuse few requests while one group is down`() {
        assertTrue(run(LoadPattern.GROUP_DOWN).refusedByRanks < 0.1)
    }

    /** Guards against an organisation that floods the service at the cost of the others. */
    @Test
    fun `small organisations are served better than first come first served while one floods`() {
        val own = run(LoadPattern.FLOOD)
        val firstCome = run(LoadPattern.FLOOD, OverloadPolicy.FIRST_COME)
        assertTrue(own.smallOrganisations > firstCome.smallOrganisations, "$own\n$firstCome")
    }

    /** Guards against large requests that starve under overload. */
    @Test
    fun `the largest requests are answered at least half as often as all at twice the capacity`() {
        val run = run(LoadPattern.STEADY, load = 200)
        assertTrue(run.largeRequests >= (run.inAim + run.late) / 2, "$run")
    }
}
