package org.cicadaturn.tasks.configuration

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.decisions.configuration.ConfigurationState
import org.cicadaturn.decisions.configuration.offerConfiguration
import org.cicadaturn.decisions.configuration.stopAwaitingStore
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.ConfigurationView
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.tasks.Supervisor
import kotlin.time.Clock
import kotlin.time.Duration

/** Number of messages that may wait for the task; a full queue suspends the sender. */
private const val MESSAGE_QUEUE = 16

private const val CONFIGURATION_TASK = "configuration"

/** Holds the configuration in force in this process, whose revision never decreases. */
public interface ConfigurationManager {
    /** Configuration in force; null until the first one has been received. */
    public val inForce: StateFlow<ConfigurationInForce?>

    /** Offers a configuration that was received from [source]. */
    public suspend fun offer(
        configuration: Configuration,
        source: ConfigurationSource,
    )

    /** Records that the store is unavailable, so that the revision in force may not be the newest. */
    public suspend fun storeUnavailable()
}

private sealed interface ConfigurationMessage {
    class Offer(
        val configuration: Configuration,
        val source: ConfigurationSource,
    ) : ConfigurationMessage

    data object StoreUnavailable : ConfigurationMessage

    data object PeerWaitElapsed : ConfigurationMessage
}

/**
 * Owns the configuration in force; only the coroutine that runs [run] changes it.
 *
 * A configuration from a peer comes into force only after the store has supplied one or [peerWait] has passed. One that
 * cannot be put into force is reported to [supervisor], and the one before it stays.
 */
internal class ConfigurationTask(
    private val peerWait: Duration = Duration.ZERO,
    private val supervisor: Supervisor = Supervisor(Clock.System),
) : ConfigurationManager {
    private val log = LogManager.getLogger("config")
    private val messages = Channel<ConfigurationMessage>(MESSAGE_QUEUE)
    private val state = MutableStateFlow<ConfigurationInForce?>(null)

    // Outlives a run, so that a task that runs again keeps its configuration.
    private var known = ConfigurationState(isAwaitingStore = peerWait > Duration.ZERO)

    override val inForce: StateFlow<ConfigurationInForce?> = state.asStateFlow()

    override suspend fun offer(
        configuration: Configuration,
        source: ConfigurationSource,
    ) {
        messages.send(ConfigurationMessage.Offer(configuration, source))
    }

    override suspend fun storeUnavailable() {
        messages.send(ConfigurationMessage.StoreUnavailable)
    }

    /** Handles messages until it is cancelled; goes on with its state if it is run again after a failure. */
    suspend fun run() {
        coroutineScope {
            if (known.isAwaitingStore) {
                launch {
                    delay(peerWait)
                    messages.send(ConfigurationMessage.PeerWaitElapsed)
                }
            }
            for (message in messages) {
                supervisor.attempt(CONFIGURATION_TASK, message) { adopt(next(known, message)) } ?: reject(message)
            }
        }
    }

    /** Marks the configuration in force as one that may not be the newest if [message] offers one of the store. */
    private fun reject(message: ConfigurationMessage) {
        val isFromStore = message is ConfigurationMessage.Offer && message.source == ConfigurationSource.STORE
        if (isFromStore) adopt(next(known, ConfigurationMessage.StoreUnavailable))
    }

    private fun next(
        known: ConfigurationState,
        message: ConfigurationMessage,
    ): ConfigurationState =
        when (message) {
            is ConfigurationMessage.Offer -> offerConfiguration(known, message.configuration, message.source)
            ConfigurationMessage.PeerWaitElapsed -> if (known.isAwaitingStore) stopAwaitingStore(known) else known
            ConfigurationMessage.StoreUnavailable -> known.copy(inForce = known.inForce?.copy(current = false))
        }

    private fun adopt(next: ConfigurationState) {
        val inForce = next.inForce
        if (inForce != null && inForce.revision != state.value?.revision) {
            log.info("config: revision {} in force, from {}", inForce.revision, inForce.source)
        }
        known = next
        state.value = inForce
    }
}

/** Returns the view of [inForce] for the state dump. */
internal fun configurationView(inForce: ConfigurationInForce?): ConfigurationView =
    ConfigurationView(
        revision = inForce?.revision ?: Revision(0),
        current = inForce?.current ?: false,
        source =
            inForce
                ?.source
                ?.name
                ?.lowercase()
                .orEmpty(),
    )
