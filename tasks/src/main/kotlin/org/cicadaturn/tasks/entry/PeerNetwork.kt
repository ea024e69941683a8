package org.cicadaturn.tasks.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.plus
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.limits.LimitsTask
import org.cicadaturn.tasks.listen.Listener
import org.cicadaturn.tasks.wire.Wire
import java.util.concurrent.ScheduledThreadPoolExecutor

/**
 * Runs [limits] and the links to the other entry processes on a thread of their own.
 *
 * A budget request and its grant are passed between some ten coroutines. On the dispatcher of the requests, each of
 * them would wait behind the work for requests, and the requests would be refused before the grant arrives.
 */
internal class PeerNetwork(
    private val wire: Wire,
    private val configurationManager: ConfigurationManager,
    private val limits: LimitsTask,
    private val supervisor: Supervisor,
) {
    private val dispatcher =
        ScheduledThreadPoolExecutor(1) { Thread(it, "cicadaturn-peers").apply { isDaemon = true } }
            .asCoroutineDispatcher()

    /**
     * Maintains links to [peers] until [scope] is cancelled.
     *
     * [newBackoff] is called for each peer.
     */
    fun start(
        scope: CoroutineScope,
        peers: Collection<NetworkAddress>,
        newBackoff: () -> Backoff,
    ) {
        val ownScope = scope + dispatcher
        supervisor.start(ownScope, "limits") { limits.run() }
        peers.forEach {
            val backoff = newBackoff()
            supervisor.start(ownScope, "link to ${it.ip}:${it.port}") {
                keepPeerConnected(wire, it, configurationManager, limits, backoff)
            }
        }
    }

    /** Accepts links on [address] until [scope] is cancelled. */
    suspend fun listen(
        scope: CoroutineScope,
        address: NetworkAddress,
    ): Listener =
        wire.listen(address, setOf(Role.ENTRY), scope + dispatcher) {
            exchangeWithPeer(it, configurationManager, limits)
        }

    /** Ends the thread; the scope of [start] must be cancelled before. */
    fun close() {
        dispatcher.close()
    }
}
