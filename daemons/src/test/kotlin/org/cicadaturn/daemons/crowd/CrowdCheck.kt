package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.MACHINE_DESCRIPTORS
import org.junit.jupiter.api.Assertions.assertTrue
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Process of the system that a crowd connects to. */
internal interface CrowdedProcess : AutoCloseable {
    /** Folder of its log. */
    val directory: Path
    val isAlive: Boolean
    val exitCode: Int?
    val usage: ProcessUsage

    /** Starts the process with all that it needs, and waits until it serves. */
    fun start()

    /** Returns true if an ordinary request on a new connection gets the whole answer of an endpoint in [limit]. */
    fun isServed(limit: Duration): Boolean
}

/** Sends ordinary requests, each on a new connection, until one is answered; returns false if none is in [limit]. */
internal fun CrowdedProcess.awaitAnswer(limit: Duration): Boolean {
    val start = TimeSource.Monotonic.markNow()
    while (isAlive && start.elapsedNow() < limit) {
        if (isServed(CALL_TIMEOUT)) return true
        Thread.sleep(RETRY_MILLIS)
    }
    return false
}

private const val RETRY_MILLIS = 200L
private val CALL_TIMEOUT = 10.seconds

/**
 * Checks that a process serves after a crowd.
 *
 * The figures that are printed are for reports. Only the process, its memory, its descriptors and one ordinary request
 * after the crowd decide.
 */
internal object CrowdCheck {
    /** Part of the names of the scripts to run; all by default. */
    private val chosen = System.getProperty("crowd.script", "")

    /** Returns the [scripts] that the property `crowd.script` chooses. */
    fun chosenOf(scripts: List<CrowdScript>): List<CrowdScript> = scripts.filter { chosen in it.name }

    /** Runs the crowd of [script] at the port that [portOf] returns, before [process], which this function starts. */
    fun <T : CrowdedProcess> run(
        script: CrowdScript,
        process: T,
        portOf: (T) -> Int,
    ) = process.use {
        process.start()
        val before = process.usage.descriptors()
        val seen = observe(process, Crowd(portOf(process), script))
        val end = "$script, opened again ${seen.reopened} times, log in ${process.directory}"
        assertTrue(process.isAlive, "exit code ${process.exitCode} in the crowd, $end")
        val isServed = process.awaitAnswer(AFTERWARDS)
        assertTrue(process.isAlive, "exit code ${process.exitCode} after the crowd, $end")
        val left = awaitDescriptors(process, before + OTHER_DESCRIPTORS)
        val peak = process.usage.peakMegabytes()
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
        process: CrowdedProcess,
        crowd: Crowd,
    ): Observation {
        var most = 0
        var served = 0
        var asked = 0
        val start = TimeSource.Monotonic.markNow()
        crowd.start().use {
            while (process.isAlive && start.elapsedNow() < CROWD_TIME) {
                Thread.sleep(SAMPLE_MILLIS)
                most = maxOf(most, runCatching { process.usage.descriptors() }.getOrDefault(0))
                if (start.elapsedNow() < PROBE_INTERVAL * (asked + 1)) continue
                asked += 1
                if (process.isServed(PROBE_TIMEOUT)) served += 1
            }
        }
        return Observation(most, served, asked, crowd.reopened)
    }

    /** Waits until at most [bound] descriptors are open, and returns the number that is open then. */
    private fun awaitDescriptors(
        process: CrowdedProcess,
        bound: Int,
    ): Int {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < AFTERWARDS && process.usage.descriptors() > bound) Thread.sleep(SAMPLE_MILLIS)
        return process.usage.descriptors()
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
