package org.cicadaturn.daemons.soak

import org.cicadaturn.daemons.site.AttemptEnd
import org.cicadaturn.daemons.site.AttemptSeen
import org.cicadaturn.daemons.site.DEMANDS
import org.cicadaturn.daemons.site.MapsDiffer
import org.cicadaturn.daemons.site.OK
import org.cicadaturn.daemons.site.RunEnd
import org.cicadaturn.daemons.site.RunSeen
import org.cicadaturn.daemons.site.SiteEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Service after the faults of a round.
 *
 * @property first time from the end of the faults to the first answer; null if there was none
 * @property nineTenths time from the end of the faults to the first of twenty requests of which 18 were served
 * @property due requests that were sent later than [RECOVERY] after the faults
 * @property served number of [due] that were served
 * @property outcomes number of attempts with each outcome for the requests of [due]
 */
internal data class RecoverySeen(
    val first: Duration?,
    val nineTenths: Duration?,
    val due: Int,
    val served: Int,
    val outcomes: Map<String, Int>,
)

/** What a soak with [events] and the events [siteEvents] of its site shows. */
internal class SoakReport(
    private val events: List<SoakEvent>,
    siteEvents: List<SiteEvent>,
) {
    private val faults = events.filterIsInstance<FaultSeen>().sortedBy { it.from }
    private val starts = events.filterIsInstance<StartSeen>()
    private val rounds = events.filterIsInstance<RoundSeen>()
    private val attempts = siteEvents.filterIsInstance<AttemptSeen>()
    private val runs = siteEvents.filterIsInstance<RunSeen>().filter { it.end != RunEnd.REFUSED }.groupBy { it.id }
    private val unsafe = attempts.filter { it.route in UNSAFE_ROUTES }

    /** Ends of processes by themselves, each with the faults around it. */
    val ends: List<String> =
        events.filterIsInstance<EndSeen>().map { end ->
            val around =
                faults
                    .filter {
                        it.from <= end.endedAt && it.until >= end.startedAt - 1.seconds
                    }.map { it.name }
            "${end.gateway} ended with ${end.code} after ${end.endedAt - end.startedAt}, faults $around:\n    " +
                end.lastLines.joinToString("\n    ")
        }

    /** Gateways that were not ready within [RECOVERY] after the faults of a round. */
    val unready: List<String> = rounds.flatMap { it.unready }

    val recoveries: List<RecoverySeen> = rounds.map(::recoveryIn)

    /** Requests that may run once and ran more often. */
    val twice: List<List<RunSeen>> = unsafe.mapNotNull { runs[it.id] }.filter { it.size > 1 }

    /** Requests that may run once, whose answer says that they have not run, and that ran. */
    val refusedAndRun: List<AttemptSeen> = unsafe.filter { it.status in REFUSALS && it.id in runs }

    /** Answers that are not those of the endpoints. */
    val wrong: List<AttemptSeen> = attempts.filter { it.end == AttemptEnd.WRONG }

    /** Passes that began while the ranks of a group used different maps. */
    val mapsDiffer: List<MapsDiffer> = siteEvents.filterIsInstance<MapsDiffer>()

    private fun recoveryIn(round: RoundSeen): RecoverySeen {
        val servedNumbers = attempts.filter { it.isServed() }.map { numberOf(it) }.toSet()
        val demands =
            events
                .filterIsInstance<DemandSeen>()
                .filter { it.at >= round.faultsEnd && it.at < round.until }
                .sortedBy { it.at }
        val due = demands.filter { it.at > round.faultsEnd + RECOVERY }
        val steady =
            demands.windowed(WINDOW).firstOrNull { w ->
                w.count { it.number in servedNumbers } >= WINDOW * 0.9
            }
        return RecoverySeen(
            first =
                attempts.filter { it.isServed() && it.sentAt >= round.faultsEnd }.minOfOrNull {
                    it.endedAt -
                        round.faultsEnd
                },
            nineTenths = steady?.let { it.first().at - round.faultsEnd },
            due = due.size,
            served = due.count { it.number in servedNumbers },
            outcomes = outcomesOf(attempts.filter { attempt -> due.any { it.number == numberOf(attempt) } }),
        )
    }

    private fun AttemptSeen.isServed() = end == AttemptEnd.WHOLE && status == OK

    private fun outcomesOf(attempts: List<AttemptSeen>): Map<String, Int> =
        attempts.groupingBy { "${it.status} ${it.end}" }.eachCount().toSortedMap()

    private fun numberOf(attempt: AttemptSeen): Int = attempt.id.split('-')[1].toInt()

    fun print() {
        for (fault in faults) println("  ${fault.from} to ${fault.until}: ${fault.name}")
        ends.forEach { println("  $it") }
        val slowest = starts.mapNotNull { start -> start.readyAt?.let { it - start.at } }.maxOrNull()
        println(
            "${starts.size} processes, ${ends.size} ended by themselves, slowest start $slowest, not ready $unready, " +
                "twice ${twice.size}, refused and run ${refusedAndRun.size}, wrong ${wrong.size}, maps differ ${mapsDiffer.size}; $recoveries",
        )
    }

    private companion object {
        val UNSAFE_ROUTES = DEMANDS.filter { !it.isStream && it.method != "GET" }.map { it.route }
        val REFUSALS = setOf(408, 421, 429, 503)
        const val WINDOW = 20
    }
}
