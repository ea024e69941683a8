package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.RestorationStep
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.StorePosition

/**
 * Returns the texts to log for [changes]: one for each change, or only the number of changes if there are many. Entries
 * that are among the [known] endpoints are left out: endpoints write theirs again each second or so without a change.
 *
 * The log takes 50 lines a second after a burst of 1,000. With a line for each entry, the first list of a large fleet
 * would use up the burst, and the changes and requests of the next 20 s would not be logged.
 */
internal fun logTextsOf(
    changes: FleetChanges,
    known: List<LiveEndpoint>,
): List<String> {
    val listed = known.toSet()
    val news = changes.changes.filter { it !is FleetChange.EndpointListed || it.endpoint !in listed }
    if (news.size > MAX_LOGGED_CHANGES) return listOf("${news.size} entries, which the state dump shows")
    return news.map { if (it is FleetChange.Configured) "version ${it.configuration.version}" else "$it" }
}

/** Returns the text to log for [step]. */
internal fun textOf(step: RestorationStep): String =
    when (step) {
        is RestorationStep.Restored ->
            "${step.part} was at ${textOf(step.from)}, is at ${textOf(step.to)}; " +
                "kept ${namesOf(step.kept)}; withheld ${namesOf(step.withheld)}"
        is RestorationStep.Dropped -> "${step.part} dropped ${namesOf(step.entries)}, not written again in time"
    }

private fun namesOf(entries: List<String>): String {
    if (entries.isEmpty()) return "nothing"
    val others = entries.size - MAX_LOGGED_CHANGES
    return entries.take(MAX_LOGGED_CHANGES).joinToString() + if (others > 0) " and $others others" else ""
}

/** Returns the text to log for [position]. */
internal fun textOf(position: StorePosition): String = "era ${position.era} revision ${position.revision}"

/** A tenth of the burst that the log takes; a list of each part fits into it several times. */
private const val MAX_LOGGED_CHANGES = 100
