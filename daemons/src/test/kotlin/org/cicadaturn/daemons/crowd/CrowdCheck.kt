package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.MACHINE_DESCRIPTORS
import org.junit.jupiter.api.Assertions.assertTrue
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Checks that a gateway process serves after a crowd.
 *
 * The figures that are printed are for reports. Only the process, its memory, its descriptors and one ordinary request
 * after the crowd decide.
 */
internal object CrowdCheck {
    /** Part of the names of the scripts to run; all by default. */
    private val chosen = System.getProperty("crowd.script", "")

    /** Returns the [scripts] that the property `crowd.script` chooses. */
    fun chosenOf(scripts: List<CrowdScript>): List<CrowdScript> = scripts.filter { chosen in it.name }

    /** Runs the crowd of [script] at the port that [portOf] returns, before [gateway], which this function starts. */
    fun run(
        script: CrowdScript,
        gateway: CrowdedGateway = CrowdedGateway(),
        portOf: (CrowdedGateway) -> Int,
    ) = gateway.use {
        gateway.start()
        val before = gateway.usage.descriptors()
        val seen = observe(gateway, Crowd(portOf(gateway), script))
        val end = "$script, opened again ${seen.reopened} times, log in ${gateway.directory}"
        assertTrue(gateway.isAlive, "exit code ${gateway.exitCode} in the crowd, $end")
        val isServed = gateway.awaitAnswer(AFTERWARDS)
        assertTrue(gateway.isAlive, "exit code ${gateway.exitCode} after the crowd, $end")
        val left = awaitDescriptors(gateway, before + OTHER_DESCRIPTORS)
        val peak = gateway.usage.peakMegabytes()
        println(
            "crowd $script: peak $peak MB, descriptors $before before, ${seen.mostDescriptors} at most, " +
                "$left after, ${seen.served} of ${seen.asked} requests served meanwhile, " +
                "served after: $isServed, opened again ${seen.reopened} times",
        )
        assertTrue(isServed, "ordinary request after the crowd, $end")
        assertTrue(peak <= MACHINE_MEGABYTES, "$peak MB, $end")
        assertTrue(seen.mostDescriptors <= MACHINE_DESCRIPTORS, "${seen.mostDescriptors} descriptors, $end")
        assertTrue(left <= before + OTHER_DESCRIPTORS, "$left descriptors after the crowd, $before before, $end")
    }

    private class Observation(
        val mostDescriptors: Int,
        val served: Int,
        val asked: Int,
        val reopened: Int,
    )

    private fun observe(
        gateway: CrowdedGateway,
        crowd: Crowd,
    ): Observation {
        var most = 0
        var served = 0
        var asked = 0
        val start = TimeSource.Monotonic.markNow()
        crowd.start().use {
            while (gateway.isAlive && start.elapsedNow() < CROWD_TIME) {
                Thread.sleep(SAMPLE_MILLIS)
                most = maxOf(most, runCatching { gateway.usage.descriptors() }.getOrDefault(0))
                if (start.elapsedNow() < PROBE_INTERVAL * (asked + 1)) continue
                asked += 1
                if (gateway.isServed(PROBE_TIMEOUT)) served += 1
            }
        }
        return Observation(most, served, asked, crowd.reopened)
    }

    /** Waits until at most [bound] descriptors are open, and returns the number that is open then. */
    private fun awaitDescriptors(
        gateway: CrowdedGateway,
        bound: Int,
    ): Int {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < AFTERWARDS && gateway.usage.descriptors() > bound) Thread.sleep(SAMPLE_MILLIS)
        return gateway.usage.descriptors()
    }

    /** Memory of a machine of the deployment premia-ne. */
    private const val MACHINE_MEGABYTES = 430

    /** Descriptors for connections to endpoints, peers and the store that were opened meanwhile. */
    private const val OTHER_DESCRIPTORS = 40
    private const val SAMPLE_MILLIS = 100L
    private val CROWD_TIME = 7.seconds
    private val PROBE_INTERVAL = 1.seconds
    private val PROBE_TIMEOUT = 4.seconds

    /** Longest time for connections to time out and for the process to be found unable to serve. */
    private val AFTERWARDS = 60.seconds

    fun emptyDirectory(): Path = Files.createTempDirectory(Path.of("target/crowd").createDirectories(), "gateway")
}
