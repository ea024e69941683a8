package org.cicadaturn.tasks.entry

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.configuration.ConfigurationExchange
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.limits.OrganisationLimits
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.Wire
import org.cicadaturn.tasks.wire.WireError

/** Exchanges the configuration and limit messages with another entry process until [link] ends. */
internal suspend fun exchangeWithPeer(
    link: FrameLink,
    configurationManager: ConfigurationManager,
    limits: OrganisationLimits,
) {
    coroutineScope {
        val exchange = ConfigurationExchange(link, configurationManager)
        // Decoding a large configuration must not delay limit messages.
        launch(Dispatchers.Default) { exchange.run() }
        launch { limits.serve(link) }
        for (frame in link.incoming) {
            val known = exchange.accept(frame) || limits.accept(link.peer.process, frame)
            if (!known) link.close(WireError.UnexpectedFrame("${frame::class.simpleName} from an entry"))
        }
        coroutineContext.cancelChildren()
    }
}

/** Maintains a link to the entry process at [address] until it is cancelled. */
internal suspend fun keepPeerConnected(
    wire: Wire,
    address: NetworkAddress,
    configurationManager: ConfigurationManager,
    limits: OrganisationLimits,
    backoff: Backoff,
) {
    var failures = 0
    while (true) {
        wire.connect(address, Role.ENTRY) { link ->
            failures = 0
            exchangeWithPeer(link, configurationManager, limits)
        }
        failures++
        delay(backoff.delayBefore(failures))
    }
}
