package org.cicadaturn.daemons.soak

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteRecursively

/**
 * Runs gateway processes under faults that come in series and overlap.
 *
 * The properties `soak.seed`, `soak.gateways`, `soak.groups`, `soak.rounds`, `soak.per.round`, `soak.busy` and
 * `soak.faults`, a list of names that may be empty, allow other runs. The logs of the gateways stay in `target/soak`.
 */
class ProcessSoakTest {
    /** Guards against gateways that end by themselves, and service that does not come back, after faults at work. */
    @Test
    fun `gateways survive faults of processes, store and endpoints`() = soak("steady", STEADY_FAULTS)

    /** Guards against gateways that end at their start because a port, a file or a value is missing for a moment. */
    @Test
    @Tag("known-red")
    fun `gateways survive faults at their start`() = soak("start", START_FAULTS)

    private fun soak(
        name: String,
        defaults: List<NamedFault>,
    ) {
        val plan = planOf(defaults)
        println("soak $name: ${plan.copy(faults = emptyList(), closingFaults = emptyList())}")
        val (events, siteEvents) =
            SoakSite(plan, emptyDirectory("target/soak/$name-${plan.seed}")).use { site ->
                runBlocking {
                    site.start()
                    site.run()
                }
                site.journal.drain()
            }
        val report = SoakReport(events, siteEvents)
        report.print()
        assertEquals(emptyList<String>(), report.ends)
        assertEquals(emptyList<String>(), report.unready)
        for (recovery in report.recoveries) {
            assertTrue(recovery.due > 0 && recovery.served * 4 >= recovery.due) { "$recovery" }
        }
        assertEquals(emptyList<Any>(), report.twice + report.refusedAndRun + report.wrong + report.mapsDiffer)
    }

    private fun planOf(defaults: List<NamedFault>): SoakPlan {
        val names = System.getProperty("soak.faults")?.split(',')?.filter { it.isNotEmpty() }
        val all = STEADY_FAULTS + START_FAULTS
        val faults = names?.map { name -> all.single { it.name == name } } ?: defaults
        return SoakPlan(
            seed = Integer.getInteger("soak.seed", 1),
            gateways = Integer.getInteger("soak.gateways", 6),
            groups = Integer.getInteger("soak.groups", 1),
            rounds = Integer.getInteger("soak.rounds", 2),
            faultsPerRound = Integer.getInteger("soak.per.round", 5),
            faults = faults,
            closingFaults = if (names == null) CLOSING_FAULTS else faults,
            busyProcesses = Integer.getInteger("soak.busy", 0),
        )
    }

    @OptIn(ExperimentalPathApi::class)
    private fun emptyDirectory(path: String): Path = Path.of(path).also { it.deleteRecursively() }.createDirectories()
}
