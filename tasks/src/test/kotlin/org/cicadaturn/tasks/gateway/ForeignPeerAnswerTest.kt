package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LimitNews
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PledgeAnswer
import org.cicadaturn.schema.generated.PledgeRequest
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.http.HttpRuntime
import org.cicadaturn.tasks.http.ListenerBounds
import org.cicadaturn.tasks.http.connectionAccounts
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.http.httpRuntime
import org.cicadaturn.tasks.http.listen
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests calls to the address of a peer that is answered by something else, or by a part of an answer. */
@OptIn(ExperimentalSerializationApi::class)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ForeignPeerAnswerTest {
    private val runtime: HttpRuntime = httpRuntime {}
    private val connector = httpConnector(runtime)

    @AfterAll
    fun close() = runtime.close()

    private class PeerCall(
        val name: String,
        val document: String,
        val sound: ByteArray,
        val isBelieved: suspend (GatewayPeer) -> Boolean,
    )

    private fun <T> encode(
        strategy: SerializationStrategy<T>,
        value: T,
    ) = Cbor.encodeToByteArray(strategy, value)

    private val self = GatewayPeer(ProcessId("me"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))
    private val view =
        FleetView(
            endpointsPosition = StorePosition(0, 7),
            configurationPosition = StorePosition(0, 7),
            domainsPosition = StorePosition(0, 7),
        )

    private val calls =
        listOf(
            PeerCall("pledge", "pledge", encode(PledgeAnswer.serializer(), PledgeAnswer(true, emptyList()))) {
                requestPledges(connector, self, listOf(it), token = 1)
            },
            PeerCall("view", "fleet", encode(FleetView.serializer(), view)) {
                peerViewFetcher(connector, self.address, emptyList(), Random(1))(listOf(it)) != null
            },
            PeerCall("news", "quarantine", encode(QuarantineNews.serializer(), QuarantineNews(isQuery = true))) {
                exchangeNews(connector, it, QuarantineNews()) != null
            },
            PeerCall("limits", "limits", encode(LimitNews.serializer(), LimitNews(isQuery = true))) {
                exchangeLimits(connector, it, LimitNews()) != null
            },
            PeerCall(
                "report",
                "store-report",
                encode(StoreReport.serializer(), StoreReport(1, Duration.ZERO)),
            ) {
                fetchStoreReport(connector, it, StoreReportRequest(0, Duration.ZERO)) != null
            },
        )

    private val foreignBodies =
        mapOf(
            "nothing" to ByteArray(0),
            "an empty object" to "{}".encodeToByteArray(),
            "a page" to "<html><body>It works!</body></html>".encodeToByteArray(),
            "an empty map" to byteArrayOf(0xa0.toByte()),
            "a request for a pledge" to encode(PledgeRequest.serializer(), PledgeRequest(1)),
        )

    private fun answerOf(
        body: ByteArray,
        type: String,
        hasLength: Boolean = true,
        status: String = "200 OK",
    ): ByteArray {
        val length = if (hasLength) "Content-Length: ${body.size}\r\n" else ""
        return "HTTP/1.1 $status\r\nContent-Type: $type\r\n$length\r\n".encodeToByteArray() + body
    }

    private fun typeOf(call: PeerCall) = "application/cbor; document=${call.document}"

    private fun unsoundAnswers(call: PeerCall): Map<String, ByteArray> {
        val others = (calls - call).associate { "the answer to ${it.name}" to answerOf(it.sound, typeOf(it)) }
        val cuts = call.sound.indices.associate { "cut at $it" to call.sound.copyOf(it) }
        val random = Random(call.name.length)
        val noise = (0 until NOISE_BODIES).associate { "noise $it" to random.nextBytes(random.nextInt(1, 64)) }
        return others +
            (foreignBodies + noise).mapValues { answerOf(it.value, "application/cbor") } +
            cuts.mapValues { answerOf(it.value, typeOf(call), hasLength = false) } +
            mapOf(
                "another type" to answerOf(call.sound, "text/html"),
                "status 206" to answerOf(call.sound, typeOf(call), status = "206 Partial Content"),
            )
    }

    private fun isBelieved(
        call: PeerCall,
        answer: ByteArray,
    ): Boolean =
        ScriptedEndpoint { _, output ->
            output.write(answer)
            false
        }.use { endpoint ->
            val peer =
                GatewayPeer(ProcessId("g"), NetworkAddress("127.0.0.1", endpoint.port), FailureDomainId("a"))
            runBlocking(runtime.dispatcher) { call.isBelieved(peer) }
        }

    /** Guards against a lease that is kept, or a fleet or quarantine that is empty, for an answer of no peer. */
    @TestFactory
    fun `an answer that no peer gives to the call is not believed`(): List<DynamicTest> =
        calls.map { call ->
            DynamicTest.dynamicTest(call.name) {
                assertEquals(true, isBelieved(call, answerOf(call.sound, typeOf(call))), "the answer of a peer")
                val believed = unsoundAnswers(call).filterValues { isBelieved(call, it) }.keys
                assertEquals(emptySet<String>(), believed)
            }
        }

    /** Guards against answers that a process gives and its peers refuse. */
    @Test
    fun `what a process answers is believed by its peers`() {
        val service =
            PeerService(
                view = { view },
                pledge = { PledgeAnswer(true, emptyList()) },
                receiveNews = { it },
                receiveLimits = { it },
                storeReport = { StoreReport(1, Duration.ZERO) },
            )
        val believed =
            runBlocking(runtime.dispatcher) {
                val scope = CoroutineScope(SupervisorJob() + runtime.dispatcher)
                val listener =
                    listen(runtime, scope, NetworkAddress("127.0.0.1", 0), bounds) { servePeer(it, service) }
                val peer = GatewayPeer(ProcessId("g"), listener.address, FailureDomainId("a"))
                calls.filter { it.isBelieved(peer) }.map { it.name }.also {
                    listener.close()
                    scope.cancel()
                }
            }
        assertEquals(calls.map { it.name }, believed)
    }

    /** Guards against an answer that declares a document by a path that only its request contains. */
    @Test
    fun `an answer without a document declares no type`() {
        val requests =
            listOf(
                "GET /other HTTP/1.1",
                "GET /fleet/ HTTP/1.1",
                "GET /store-report HTTP/1.1",
                "GET /fleet HTTP/1.1",
            )
        val service =
            PeerService(
                view = { view },
                pledge = { PledgeAnswer(true, emptyList()) },
                receiveNews = { it },
                receiveLimits = { it },
                storeReport = { null },
            )
        val heads =
            runBlocking(runtime.dispatcher) {
                val scope = CoroutineScope(SupervisorJob() + runtime.dispatcher)
                val listener =
                    listen(runtime, scope, NetworkAddress("127.0.0.1", 0), bounds) { servePeer(it, service) }
                withContext(Dispatchers.IO) { requests.map { headOf(listener.address.port, it) } }.also {
                    listener.close()
                    scope.cancel()
                }
            }
        val types = heads.map { head -> head.filter { it.startsWith("content-type:", ignoreCase = true) } }
        assertEquals(listOf("404", "404", "404", "200"), heads.map { it.first().split(' ')[1] })
        assertEquals(listOf(0, 0, 0, 1), types.map { it.size }, "$types")
    }

    /** Returns the lines of the head of the answer to [request] at [port]. */
    private fun headOf(
        port: Int,
        request: String,
    ): List<String> =
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("$request\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
            socket
                .getInputStream()
                .bufferedReader()
                .lineSequence()
                .takeWhile { it.isNotEmpty() }
                .toList()
        }

    /** Guards against a task that ends with an exception and is not started again, such as that of the lease. */
    @TestFactory
    fun `a call with an unreadable answer of the right type ends without an exception`(): List<DynamicTest> =
        calls.map { call ->
            DynamicTest.dynamicTest(call.name) {
                val random = Random(call.name.length)
                repeat(NOISE_BODIES) {
                    val changed = call.sound.copyOf()
                    changed[random.nextInt(changed.size)] = random.nextInt().toByte()
                    isBelieved(call, answerOf(random.nextBytes(random.nextInt(1, 64)), typeOf(call)))
                    isBelieved(call, answerOf(changed, typeOf(call)))
                }
            }
        }

    private companion object {
        const val NOISE_BODIES = 200
        val bounds = ListenerBounds({ 16_384 }, { 5.seconds }, connectionAccounts(ConnectionLimits(100, 1_000_000)))
    }
}
