package org.cicadaturn.decisions.configuration

import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision

/** Origin of a configuration. */
public enum class ConfigurationSource {
    STORE,
    PEER,
}

/**
 * Configuration that a process uses.
 *
 * @property index the configuration, indexed
 * @property source origin of this revision
 * @property current true if the store has confirmed that this revision is the newest, and has been reachable since then
 */
public data class ConfigurationInForce(
    val index: ConfigurationIndex,
    val source: ConfigurationSource,
    val current: Boolean,
) {
    /** Revision in force. */
    val revision: Revision get() = index.configuration.revision
}

/**
 * Returns the configuration in force after [offered] was received from [source].
 *
 * Only a higher revision replaces the one in force, whatever its source, so that a stale watch, a lagging peer or a
 * compacted history cannot revert a change.
 */
public fun mergeConfiguration(
    inForce: ConfigurationInForce?,
    offered: Configuration,
    source: ConfigurationSource,
): ConfigurationInForce {
    val fromStore = source == ConfigurationSource.STORE
    if (inForce == null || offered.revision > inForce.revision) {
        return ConfigurationInForce(configurationIndex(offered), source, current = fromStore)
    }
    if (fromStore && offered.revision == inForce.revision && !inForce.current) return inForce.copy(current = true)
    return inForce
}

/**
 * State of the configuration in one process.
 *
 * @property inForce configuration that the process uses; null if it has none yet
 * @property isAwaitingStore true while only the store may supply the first configuration
 * @property peerConfiguration highest revision received from peers in the meantime
 */
public data class ConfigurationState(
    val inForce: ConfigurationInForce? = null,
    val isAwaitingStore: Boolean = false,
    val peerConfiguration: Configuration? = null,
)

/**
 * Returns the state after [offered] was received from [source].
 *
 * A process that starts without a configuration could get an older revision from a lagging peer than it used in its
 * previous run. While [ConfigurationState.isAwaitingStore] is true, a configuration from a peer is therefore not used
 * until the store has answered or [stopAwaitingStore] is called.
 */
public fun offerConfiguration(
    state: ConfigurationState,
    offered: Configuration,
    source: ConfigurationSource,
): ConfigurationState {
    if (source == ConfigurationSource.PEER && state.isAwaitingStore) {
        val pending = state.peerConfiguration
        val isNewer = pending == null || offered.revision > pending.revision
        return if (isNewer) state.copy(peerConfiguration = offered) else state
    }
    val inForce = mergeConfiguration(state.inForce, offered, source)
    val next = state.copy(inForce = inForce)
    return if (state.isAwaitingStore) stopAwaitingStore(next) else next
}

/** Returns the state after the wait for the store has ended; a configuration received from a peer is now used. */
public fun stopAwaitingStore(state: ConfigurationState): ConfigurationState {
    val inForce =
        state.peerConfiguration?.let { mergeConfiguration(state.inForce, it, ConfigurationSource.PEER) }
            ?: state.inForce
    return ConfigurationState(inForce)
}
