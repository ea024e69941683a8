package org.cicadaturn.daemons.site

import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines
import kotlin.io.path.writeLines
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Report of a run of a site with the logs of its gateways in [directory]. */
internal class SiteReport(
    private val events: List<SiteEvent>,
    private val directory: Path,
) {
    val stops = events.filterIsInstance<StopSeen>()
    val attempts = events.filterIsInstance<AttemptSeen>()
    private val unanswered = unansweredIn(events, ::mayBeRead)

    /** Requests that a gateway lost, around a planned stop or beside one, with what is known of each. */
    val lost: List<String> = unanswered.filter { it.verdict == Verdict.LOST }.map { describe(it) }

    /** Answers that are not those of the endpoints. */
    val wrong: List<AttemptSeen> = attempts.filter { it.end == AttemptEnd.WRONG }

    /** Prints counts of all requests and what is known of those without a whole answer; keeps all events in a file. */
    fun print() {
        directory.resolve("events.txt").writeLines(events.map { "$it" })
        val verdicts = unanswered.groupingBy { "${it.verdict}${if (it.stop == null) " in calm" else ""}" }.eachCount()
        println(
            "${stops.size} stops, ${attempts.size} attempts, unanswered: $verdicts, outcomes: ${countsOf(attempts)}",
        )
        val late = stops.flatMap { stop -> attempts.filter { it.isLateIn(stop) } }
        println("sent later than $LATE after SIGTERM: ${countsOf(late)}")
        for (stop in stops) println("$stop, ended after ${stop.endedAt - stop.signalAt}")
        unanswered.filter { it.verdict != Verdict.CROSSED }.forEach { println(describe(it)) }
    }

    /** Returns true if a line names the request, or may have been dropped as the log was full. */
    private fun mayBeRead(attempt: AttemptSeen): Boolean =
        logLinesWith("\"${attempt.id}\"", directory).isNotEmpty() ||
            directory.listDirectoryEntries("${attempt.gateway}.*.log").any { it.readLines().size >= LOG_BURST_LINES }

    private fun countsOf(attempts: List<AttemptSeen>) =
        attempts.groupingBy { "${it.route} ${it.status} ${it.end}" }.eachCount().toSortedMap()

    private fun AttemptSeen.isLateIn(stop: StopSeen): Boolean =
        gateway == stop.gateway && sentAt > stop.signalAt + LATE && sentAt <= stop.endedAt

    private fun describe(unanswered: UnansweredAttempt): String {
        val (attempt, stop, runs) = unanswered
        val origin = stop?.signalAt ?: Duration.ZERO
        val times = "sent at ${attempt.sentAt - origin}, ended at ${attempt.endedAt - origin}"
        val reference = stop?.let { "after SIGTERM" } ?: "in calm"
        val lines =
            listOf("${unanswered.verdict}: $times $reference: $attempt") +
                runs.map { "run from ${it.from - origin} to ${it.until - origin}: $it" } +
                logLinesWith("\"${attempt.id}\"", directory)
        return lines.joinToString("\n    ")
    }

    private companion object {
        /** Time after which no new connection should reach a gateway that stops. */
        val LATE = 3.seconds

        /** Lines after which a gateway may drop further ones. */
        const val LOG_BURST_LINES = 1_000
    }
}
