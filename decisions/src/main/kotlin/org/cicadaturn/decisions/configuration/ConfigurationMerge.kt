package org.cicadaturn.decisions.configuration

import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision

/** Names where a configuration came from. */
public enum class ConfigurationSource {
    STORE,
    PEER,
}

/**
 * Is the configuration that a process acts on.
 *
 * @property index the configuration, indexed
 * @property source where this revision came from
 * @property current true if the store confirmed, since the last failure to reach it, that this revision is the newest
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
 * Returns what is in force after [offered] came from [source].
 *
 * Only a higher revision replaces the one in force, whatever the source, so that a stale watch, a lagging
 * peer or a compacted history cannot make a change revert.
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
 * Is what a process knows of configurations.
 *
 * @property inForce configuration that the process acts on; null until there is one
 * @property isAwaitingStore true while only the store may give the first configuration
 * @property peerConfiguration highest configuration that peers gave meanwhile
 */
public data class ConfigurationState(
    val inForce: ConfigurationInForce? = null,
    val isAwaitingStore: Boolean = false,
    val peerConfiguration: Configuration? = null,
)

/**
 * Returns the state after [offered] came from [source].
 *
 * A process that starts empty beside a peer that is behind would act on an older revision than its earlier run
 * did. So peers' configurations are held back until the store has answered or [stopAwaitingStore] gives up waiting for it.
 */
public fun offerConfiguration(
    state: ConfigurationState,
    offered: Configuration,
    source: ConfigurationSource,
): ConfigurationState {
    if (source == ConfigurationSource.PEER && state.isAwaitingStore) {
        val held = state.peerConfiguration
        return if (held == null || offered.revision > held.revision) state.copy(peerConfiguration = offered) else state
    }
    val inForce = mergeConfiguration(state.inForce, offered, source)
    return if (state.isAwaitingStore) {
        stopAwaitingStore(
            state.copy(inForce = inForce),
        )
    } else {
        state.copy(inForce = inForce)
    }
}

/** Returns the state once peers' configurations count, the held one included. */
public fun stopAwaitingStore(state: ConfigurationState): ConfigurationState {
    val inForce =
        state.peerConfiguration?.let { mergeConfiguration(state.inForce, it, ConfigurationSource.PEER) }
            ?: state.inForce
    return ConfigurationState(inForce)
}
