package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition

/**
 * Whether the store lists the entry of this process.
 *
 * @property position position in the store of the answer that tells it
 */
internal data class OwnEntry(
    val position: StorePosition = StorePosition(),
    val isListed: Boolean = false,
)

/** Returns what [changes] of the gateway processes tell of the entry of [self], or this if they tell nothing new. */
internal fun OwnEntry.after(
    changes: FleetChanges,
    isList: Boolean,
    self: ProcessId,
): OwnEntry {
    if (changes.position < position) return this
    val last =
        changes.changes.lastOrNull {
            (it as? FleetChange.PeerListed)?.peer?.id == self || (it as? FleetChange.PeerGone)?.peer == self
        }
    if (last == null && !isList) return this
    return OwnEntry(changes.position, last is FleetChange.PeerListed)
}

/**
 * Writes the entry of this process, and writes it again whenever the store lacks it at a later position than that of
 * the last write, as after a restore from a copy that is older than the write.
 */
internal suspend fun keepRegistered(
    dependencies: FleetDependencies,
    ownEntry: StateFlow<OwnEntry>,
) {
    while (true) {
        val written = register(dependencies)
        val missing = ownEntry.first { !it.isListed && it.position > written }
        logger.warn(
            "restored store: own entry is missing at {}, written at {}, and is written again",
            textOf(missing.position),
            textOf(written),
        )
        dependencies.restorationMetrics.rewritten(1)
        delay(dependencies.registrationDelay())
    }
}

private suspend fun register(dependencies: FleetDependencies): StorePosition {
    var failures = 0
    while (true) {
        dependencies.store.register(dependencies.self).onRight { return it }
        failures += 1
        delay(dependencies.backoff.delayBefore(failures))
    }
}

private val logger = LogManager.getLogger("org.cicadaturn.tasks.gateway.Registration")
