package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor
import org.apache.logging.log4j.LogManager
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.LimitNews
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PledgeAnswer
import org.cicadaturn.schema.generated.PledgeRequest
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.call
import org.cicadaturn.tasks.http.connect
import org.cicadaturn.tasks.http.receiveInternalRequest
import org.cicadaturn.tasks.http.sendInternalAnswer
import org.cicadaturn.tasks.http.valueOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a process answers to the requests of its peers.
 *
 * @property view returns the fleet view of this process
 * @property pledge answers a request for a pledge
 * @property receiveNews takes news about crashes and returns what the peer should know
 * @property receiveLimits takes news about limits that endpoints name and returns what the peer should know
 * @property storeReport returns the next answers of the store to this process, or null if it reports to enough peers
 */
internal class PeerService(
    val view: suspend () -> FleetView,
    val pledge: (PledgeRequest) -> PledgeAnswer,
    val receiveNews: suspend (QuarantineNews) -> QuarantineNews,
    val receiveLimits: suspend (LimitNews) -> LimitNews,
    val storeReport: suspend (StoreReportRequest) -> StoreReport?,
)

/** Answers the requests of a peer with [service] until [link] is closed. */
internal suspend fun servePeer(
    link: HttpLink,
    service: PeerService,
) {
    while (true) {
        val request = link.receiveInternalRequest() ?: return
        val path = request.head.path
        val answer = answerTo(path, request.body, service)
        val status = if (answer != null) OK else NOT_FOUND
        // Only the path of a document that this process knows has an answer, so no other path gets into the head.
        val headers = if (answer != null) listOf(Header("Content-Type", typeOf(path))) else emptyList()
        val head = ResponseHead(status, headers)
        if (!link.sendInternalAnswer(head, answer ?: ByteArray(0))) return
    }
}

/** Returns the body of the answer to a request for [path], or null if the request is not understood. */
private suspend fun answerTo(
    path: String,
    body: ByteArray,
    service: PeerService,
): ByteArray? =
    when (path) {
        VIEW_PATH -> encode(FleetView.serializer(), service.view())
        PLEDGE_PATH ->
            decode(PledgeRequest.serializer(), body)?.let { encode(PledgeAnswer.serializer(), service.pledge(it)) }
        QUARANTINE_PATH -> {
            val news = decode(QuarantineNews.serializer(), body)
            news?.let { encode(QuarantineNews.serializer(), service.receiveNews(it)) }
        }
        LIMITS_PATH -> {
            val news = decode(LimitNews.serializer(), body)
            if (news == null) logger.info("limits: a message of a peer cannot be read and is ignored")
            news?.let { encode(LimitNews.serializer(), service.receiveLimits(it)) }
        }
        REPORT_PATH -> {
            val request = decode(StoreReportRequest.serializer(), body)
            request?.let { service.storeReport(it) }?.let { encode(StoreReport.serializer(), it) }
        }
        else -> null
    }

/** Sends [request] to [peer] and returns its answer, or null if there is none. */
internal suspend fun fetchStoreReport(
    connector: HttpConnector,
    peer: GatewayPeer,
    request: StoreReportRequest,
): StoreReport? {
    val body = encode(StoreReportRequest.serializer(), request)
    return callPeer(connector, peer.address, "POST", REPORT_PATH, body, PEER_TIMEOUT + request.wait)
        ?.let { decode(StoreReport.serializer(), it) }
}

/** Sends [news] to [peer] and returns its answer, or null if there is none. */
internal suspend fun exchangeNews(
    connector: HttpConnector,
    peer: GatewayPeer,
    news: QuarantineNews,
): QuarantineNews? =
    callPeer(connector, peer.address, "POST", QUARANTINE_PATH, encode(QuarantineNews.serializer(), news))
        ?.let { decode(QuarantineNews.serializer(), it) }

/** Sends [news] to [peer] and returns its answer, or null if there is none. */
internal suspend fun exchangeLimits(
    connector: HttpConnector,
    peer: GatewayPeer,
    news: LimitNews,
): LimitNews? =
    callPeer(connector, peer.address, "POST", LIMITS_PATH, encode(LimitNews.serializer(), news))
        ?.let { decode(LimitNews.serializer(), it) }

/**
 * Returns a function that requests the fleet view from a few peers, one after the other in random order, and returns
 * the first that it receives, or null if no peer answers.
 *
 * @param self address of this process, which is left out
 * @param seeds addresses of peers from the settings, for use before any peer is known
 */
internal fun peerViewFetcher(
    connector: HttpConnector,
    self: NetworkAddress,
    seeds: List<NetworkAddress>,
    random: Random,
): suspend (List<GatewayPeer>) -> FleetView? =
    { peers ->
        val addresses = (peers.map { it.address } + seeds).filter { it != self }.distinct().shuffled(random)
        addresses.take(MAX_PEERS_PER_ROUND).firstNotNullOfOrNull { address ->
            callPeer(connector, address, "GET", VIEW_PATH, ByteArray(0))?.let { decode(FleetView.serializer(), it) }
        }
    }

/**
 * Requests a pledge, which is a promise not to take over the lease of the holder of [token], from all [peers] except
 * [self] and from all peers that these know of; returns true if each of them has granted it.
 */
internal suspend fun requestPledges(
    connector: HttpConnector,
    self: GatewayPeer,
    peers: List<GatewayPeer>,
    token: Long,
): Boolean {
    val body = encode(PledgeRequest.serializer(), PledgeRequest(token))
    val requested = mutableSetOf(self.id)
    var remaining = peers.filter { requested.add(it.id) }
    while (remaining.isNotEmpty()) {
        val answers =
            coroutineScope {
                remaining
                    .map { async { callPeer(connector, it.address, "POST", PLEDGE_PATH, body) } }
                    .awaitAll()
                    .map { answer -> answer?.let { decode(PledgeAnswer.serializer(), it) } }
            }
        remaining
            .zip(answers)
            .firstOrNull { (_, answer) ->
                answer == null || !answer.isGranted
            }?.let { (peer, answer) ->
                logger.info("lease: {} {}", peer.id.text, if (answer == null) "does not answer" else "does not pledge")
                return false
            }
        remaining = answers.filterNotNull().flatMap { it.peers }.filter { requested.add(it.id) }
    }
    return true
}

private suspend fun callPeer(
    connector: HttpConnector,
    address: NetworkAddress,
    method: String,
    path: String,
    body: ByteArray,
    timeout: Duration = PEER_TIMEOUT,
): ByteArray? =
    withTimeoutOrNull(timeout) {
        val link = connector.connect(address, PEER_TIMEOUT) ?: return@withTimeoutOrNull null
        try {
            val answer =
                link.call(
                    RequestHead(method, path, listOf(Header("Host", address.ip))),
                    body,
                    timeout,
                    MAX_ANSWER_BYTES,
                )
            answer?.takeIf { it.head.status == OK && it.head.headers.valueOf("Content-Type") == typeOf(path) }?.body
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
    } catch (e: RuntimeException) {
        // The decoder fails with exceptions of other kinds, too, if a length in the bytes is impossible.
        null
    }

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

private val logger = LogManager.getLogger("org.cicadaturn.tasks.gateway.PeerRelay")

private const val VIEW_PATH = "/fleet"
private const val PLEDGE_PATH = "/pledge"
private const val REPORT_PATH = "/store-report"
private const val QUARANTINE_PATH = "/quarantine"
private const val LIMITS_PATH = "/limits"

/**
 * Returns the type of the answer to a request for [path], which is that of a document.
 *
 * It names the document, as all fields of some documents have defaults, so that any other could be decoded as one.
 */
private fun typeOf(path: String): String = "application/cbor; document=${path.removePrefix("/")}"

/** Longest answer in bytes; a view of 3,800 endpoints, the largest fleet planned for, has about 1 MB. */
private const val MAX_ANSWER_BYTES = 8 * 1024 * 1024

/** Number of peers that are called in one round, which must end within about a second. */
private const val MAX_PEERS_PER_ROUND = 3
private val PEER_TIMEOUT = 400.milliseconds
private const val OK = 200
private const val NOT_FOUND = 404
