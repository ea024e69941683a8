package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.quarantine.suspect
import org.cicadaturn.decisions.routing.entryRank
import org.cicadaturn.schema.generated.QuarantinedSegment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Writes quarantined segments that a restored store lacks to it again.
 *
 * Rendezvous hashing gives the processes a different order for each entry. The first writes at once, each next one a
 * turn later if the entry is still missing, so that an entry usually costs one call whatever the number of processes.
 */
internal suspend fun rewriteMissing(dependencies: QuarantineDependencies) {
    val state = dependencies.fleet.state
    while (true) {
        val missing = state.first { it.missingQuarantine.isNotEmpty() }.missingQuarantine
        val (entry, turn) = missing.map { it to turnOf(it, dependencies) }.minBy { (_, turn) -> turn }
        val wait = TURN * turn + TURN * SPREAD * dependencies.random.nextDouble()
        if (dependencies.awaitEntry(entry, wait)) continue
        dependencies.store.quarantine(entry).fold(
            { error -> logger.warn("restored store: {} not written again: {}", nameOf(entry), error.message) },
            { logger.warn("restored store: {} was missing in QUARANTINE and is written again", nameOf(entry)) },
        )
        dependencies.awaitEntry(entry, TURN)
    }
}

/** Returns true once the store lists [entry] or its time is over, or false if that is not so within [wait]. */
private suspend fun QuarantineDependencies.awaitEntry(
    entry: QuarantinedSegment,
    wait: Duration,
): Boolean = withTimeoutOrNull(wait) { fleet.state.first { entry !in it.missingQuarantine } } != null

/** Returns the position of this process among those that write [entry]; the last ones share a position. */
private fun turnOf(
    entry: QuarantinedSegment,
    dependencies: QuarantineDependencies,
): Int {
    val peers = dependencies.fleet.state.value.view.peers
    return entryRank(dependencies.self, peers.map { it.id }, nameOf(entry)).coerceAtMost(MAX_TURN)
}

private fun nameOf(entry: QuarantinedSegment): String = "${entry.service}.${entry.suspect.name}"

private val logger = LogManager.getLogger("org.cicadaturn.tasks.gateway.QuarantineRewriting")

/** Longer than a write and the change that tells the others of it usually take. */
private val TURN = 1.seconds

/** Part of a turn over which the processes of the same turn are spread. */
private const val SPREAD = 0.5

/** Turns in which one process writes; in the one after them all that are left do. */
private const val MAX_TURN = 8
