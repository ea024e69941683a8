package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.call
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Serves [view] to the peer at [link] until it closes the connection. */
internal suspend fun servePeer(
    link: HttpLink,
    view: suspend () -> FleetView,
) {
    while (true) {
        val request = link.receive() as? HttpPart.Request ?: return
        while (true) {
            val part = link.receive() ?: return
            if (part == HttpPart.End) break
            if (part !is HttpPart.Data) return
        }
        val isKnown = request.head.path == VIEW_PATH
        val body = if (isKnown) encode(view()) else ByteArray(0)
        val head = ResponseHead(if (isKnown) OK else NOT_FOUND, listOf(Header("Content-Type", "application/cbor")))
        if (!link.sendResponse(head, body)) return
    }
}

/**
 * Returns a function that asks peers for their view, a few in random order, and returns the first answer.
 *
 * @param self address of this process, which is not asked
 * @param seeds addresses of peers that are tried before any is known
 */
internal fun peerRelay(
    connector: HttpConnector,
    self: NetworkAddress,
    seeds: List<NetworkAddress>,
    random: Random,
): suspend (List<GatewayPeer>) -> FleetView? =
    { peers ->
        val addresses = (peers.map { it.address } + seeds).filter { it != self }.distinct().shuffled(random)
        addresses.take(PEERS_ASKED).firstNotNullOfOrNull { ask(connector, it) }
    }

private suspend fun ask(
    connector: HttpConnector,
    address: NetworkAddress,
): FleetView? =
    withTimeoutOrNull(PEER_TIMEOUT) {
        val link = connector.connect(address, PEER_TIMEOUT) ?: return@withTimeoutOrNull null
        try {
            val head = RequestHead("GET", VIEW_PATH, listOf(Header("Host", address.ip)))
            val answer = link.call(head, ByteArray(0), PEER_TIMEOUT, VIEW_BYTES)
            answer?.takeIf { it.head.status == OK }?.let { decode(it.body) }
        } finally {
            link.close()
        }
    }

@OptIn(ExperimentalSerializationApi::class)
private fun encode(view: FleetView): ByteArray = cbor.encodeToByteArray(FleetView.serializer(), view)

@OptIn(ExperimentalSerializationApi::class)
private fun decode(bytes: ByteArray): FleetView? =
    try {
        cbor.decodeFromByteArray(FleetView.serializer(), bytes)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

private const val VIEW_PATH = "/fleet"

/** A view of the size to design for, 3,800 endpoints, has about 1 MB. */
private const val VIEW_BYTES = 8 * 1024 * 1024

/** Peers that are asked in one round; a round must end within the relay interval of a second or so. */
private const val PEERS_ASKED = 3
private val PEER_TIMEOUT = 400.milliseconds
private const val OK = 200
private const val NOT_FOUND = 404
