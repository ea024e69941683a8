package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.schema.generated.LiveEndpoint

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

/** A tenth of the burst that the log takes; a list of each part fits into it several times. */
private const val MAX_LOGGED_CHANGES = 100
