package org.cicadaturn.tasks.entry

import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.configuration.ConfigurationExchange
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.Wire
import org.cicadaturn.tasks.wire.WireError

/**
 * Maintains one link to each admitted endpoint.
 *
 * Links to drained endpoints are kept, because the configuration that puts them back in service is sent over the link.
 */
internal class EndpointConnections(
    private val wire: Wire,
    private val configurationManager: ConfigurationManager,
    private val directory: Directory,
    private val makeBackoff: () -> Backoff,
) {
    private val log = LogManager.getLogger("entry")

    private class Connection(
        val address: NetworkAddress,
        val job: Job,
    )

    /** Opens and closes links as [configurations] changes, until it is cancelled. */
    suspend fun run(configurations: StateFlow<ConfigurationInForce?>) {
        coroutineScope {
            val connections = HashMap<EndpointId, Connection>()
            configurations.filterNotNull().collect { inForce ->
                directory.configured(inForce.index)
                val wanted =
                    inForce.index.configuration.endpoints
                        .associateBy { it.id }
                val removed = connections.filter { (id, c) -> wanted[id]?.address != c.address }
                removed.forEach { (id, c) ->
                    connections.remove(id)
                    c.job.cancel()
                }
                wanted.values.filter { it.id !in connections }.forEach { e ->
                    connections[e.id] = Connection(e.address, launch { keepConnected(e) })
                }
            }
        }
    }

    private suspend fun keepConnected(endpoint: Endpoint) {
        val backoff = makeBackoff()
        var failures = 0
        while (true) {
            val reason =
                wire.connect(endpoint.address, Role.ENDPOINT) { link ->
                    failures = 0
                    serve(link, endpoint.id)
                }
            log.debug("entry: link to {} ended: {}", endpoint.id, reason.message)
            if (failures == 0 && reason !is WireError.ConnectFailed) {
                log.info("entry: lost endpoint {}: {}", endpoint.id, reason.message)
            }
            failures++
            delay(backoff.delayBefore(failures))
        }
    }

    private suspend fun serve(
        link: FrameLink,
        endpoint: EndpointId,
    ) {
        val exchange = ConfigurationExchange(link, configurationManager)
        val session =
            LinkSession(
                link = link,
                onConnectionFrame = { frame -> handle(frame, endpoint, exchange, link) },
                onViolation = { log.error("entry: endpoint {} violated the protocol of a stream: {}", endpoint, it) },
            )
        coroutineScope {
            val exchanging = launch { exchange.run() }
            directory.connected(endpoint, session)
            try {
                session.run()
            } finally {
                exchanging.cancel()
                withContext(NonCancellable) { directory.disconnected(endpoint, session) }
            }
        }
    }

    private suspend fun handle(
        frame: Frame,
        endpoint: EndpointId,
        exchange: ConfigurationExchange,
        link: FrameLink,
    ) {
        when (frame) {
            is Frame.Load -> {
                directory.reported(endpoint, frame.report)
            }

            is Frame.GoAway -> {
                log.info("entry: endpoint {} takes no new work: {}", endpoint, frame.message)
                directory.leaving(endpoint)
            }

            else -> {
                val known = exchange.accept(frame)
                if (!known) link.close(WireError.UnexpectedFrame("${frame::class.simpleName} from an endpoint"))
            }
        }
    }
}
