package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor
import org.apache.logging.log4j.LogManager
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PledgeAnswer
import org.cicadaturn.schema.generated.PledgeRequest
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.call
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Answers the peer at [link] until it closes the connection: with this process's [view], or to requests to pledge. */
internal suspend fun servePeer(
    link: HttpLink,
    view: suspend () -> FleetView,
    pledge: (PledgeRequest) -> PledgeAnswer,
) {
    while (true) {
        val request = link.receive() as? HttpPart.Request ?: return
        val body = bodyOf(link) ?: return
        val answer =
            when (request.head.path) {
                VIEW_PATH -> encode(FleetView.serializer(), view())
                PLEDGE_PATH ->
                    decode(
                        PledgeRequest.serializer(),
                        body,
                    )?.let { encode(PledgeAnswer.serializer(), pledge(it)) }
                else -> null
            }
        val head = ResponseHead(if (answer != null) OK else NOT_FOUND, listOf(Header("Content-Type", CBOR_TYPE)))
        if (!link.sendResponse(head, answer ?: ByteArray(0))) return
    }
}

/** Returns the body of a request, or null if it is longer than any that peers send. */
private suspend fun bodyOf(link: HttpLink): ByteArray? {
    var body = ByteArray(0)
    while (true) {
        when (val part = link.receive()) {
            HttpPart.End -> return body
            is HttpPart.Data -> body += part.bytes
            else -> return null
        }
        if (body.size > PLEDGE_BYTES) return null
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
        addresses.take(PEERS_ASKED).firstNotNullOfOrNull { address ->
            ask(connector, address, "GET", VIEW_PATH, ByteArray(0))?.let { decode(FleetView.serializer(), it) }
        }
    }

/**
 * Asks all of [peers] but [self] to pledge for the lease's holder with [token], and those that they know besides;
 * returns true if each of them has pledged.
 */
internal suspend fun askForPledges(
    connector: HttpConnector,
    self: GatewayPeer,
    peers: List<GatewayPeer>,
    token: Long,
): Boolean {
    val body = encode(PledgeRequest.serializer(), PledgeRequest(token))
    val asked = mutableSetOf(self.id)
    var open = peers.filter { asked.add(it.id) }
    while (open.isNotEmpty()) {
        val answers =
            coroutineScope {
                open
                    .map { async { ask(connector, it.address, "POST", PLEDGE_PATH, body) } }
                    .awaitAll()
                    .map { answer -> answer?.let { decode(PledgeAnswer.serializer(), it) } }
            }
        open.zip(answers).firstOrNull { (_, answer) -> answer == null || !answer.isGranted }?.let { (peer, answer) ->
            logger.info("lease: {} {}", peer.id.text, if (answer == null) "does not answer" else "does not pledge")
            return false
        }
        open = answers.filterNotNull().flatMap { it.peers }.filter { asked.add(it.id) }
    }
    return true
}

private suspend fun ask(
    connector: HttpConnector,
    address: NetworkAddress,
    method: String,
    path: String,
    body: ByteArray,
): ByteArray? =
    withTimeoutOrNull(PEER_TIMEOUT) {
        val link = connector.connect(address, PEER_TIMEOUT) ?: return@withTimeoutOrNull null
        try {
            val answer =
                link.call(
                    RequestHead(method, path, listOf(Header("Host", address.ip))),
                    body,
                    PEER_TIMEOUT,
                    VIEW_BYTES,
                )
            answer?.takeIf { it.head.status == OK }?.body
        } finally {
            link.close()
        }
    }

@OptIn(ExperimentalSerializationApi::class)
private fun <T> encode(
    strategy: SerializationStrategy<T>,
    value: T,
): ByteArray = cbor.encodeToByteArray(strategy, value)

@OptIn(ExperimentalSerializationApi::class)
private fun <T> decode(
    strategy: DeserializationStrategy<T>,
    bytes: ByteArray,
): T? =
    try {
        cbor.decodeFromByteArray(strategy, bytes)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

private val logger = LogManager.getLogger("org.cicadaturn.tasks.gateway.PeerRelay")

private const val VIEW_PATH = "/fleet"
private const val PLEDGE_PATH = "/pledge"
private const val CBOR_TYPE = "application/cbor"

/** A view of the size to design for, 3,800 endpoints, has about 1 MB. */
private const val VIEW_BYTES = 8 * 1024 * 1024

/** A request to pledge has some tens of bytes. */
private const val PLEDGE_BYTES = 4096

/** Peers that are asked in one round; a round must end within the relay interval of a second or so. */
private const val PEERS_ASKED = 3
private val PEER_TIMEOUT = 400.milliseconds
private const val OK = 200
private const val NOT_FOUND = 404
