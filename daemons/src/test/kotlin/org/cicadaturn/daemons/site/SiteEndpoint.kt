package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Number of running, waiting and possible requests of an endpoint. */
internal data class EndpointLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/**
 * Request at an endpoint and what the endpoint has done of it.
 *
 * @property shape form of the answer if the request runs
 */
internal class Handling(
    val id: String,
    val request: TextRequest,
    val headers: Map<String, String>,
    val shape: AnswerShape,
    private val socket: Socket,
) {
    val out: OutputStream = socket.getOutputStream()
    var lastEvent = 0
    var end = RunEnd.ABANDONED

    /** Breaks the answer off with a reset of the connection; returns false. */
    fun reset(): Boolean {
        end = RunEnd.BROKEN_OFF
        socket.reset()
        return false
    }

    /** Notes that the whole answer is sent; returns true if the connection may serve another request. */
    suspend fun finish(): Boolean {
        end = RunEnd.FINISHED
        if (shape.endsConnection) delay(shape.finDelay)
        return !shape.endsConnection
    }
}

/** Status and document of the answer to a call that is no request of a caller. */
internal data class ReportAnswer(
    val status: Int,
    val document: String = "{}",
)

/**
 * What the endpoints of [service] do.
 *
 * @property report answers a call that is no request of a caller
 * @property handle answers a request of a caller; returns false if the connection cannot be used again
 */
internal data class EndpointBehaviour(
    val service: String,
    val maxConnections: Int,
    val load: () -> EndpointLoad,
    val report: suspend (TextRequest) -> ReportAnswer,
    val handle: suspend (Handling) -> Boolean,
)

/** Machine of an endpoint: how often it was started, and whether it runs. */
internal data class EndpointMachine(
    val starts: Int = 1,
    val isUp: Boolean = true,
)

/**
 * Endpoint of [parts] with an entry in [store], which tells [journal] about each run.
 *
 * @param machines state of the machine; the entry is renewed only while the machine is up
 * @param advertise returns the address for the entry, for example that of a proxy in front of the endpoint
 */
internal class SiteEndpoint(
    private val parts: EndpointParts,
    private val store: StoreServer,
    private val journal: SiteJournal,
    private val scope: CoroutineScope,
    private val machines: StateFlow<EndpointMachine> = MutableStateFlow(EndpointMachine()),
    private val advertise: (String) -> String = { it },
) {
    private val id = parts.id
    private val behaviour = parts.behaviour
    private val connections = AtomicInteger()
    private val server = LoopbackServer(scope, ::serve)
    private val address by lazy { advertise(server.address) }

    fun start() {
        server.start()
        scope.launch {
            var starts = 0
            var born = 0L
            var sequence = 0
            while (true) {
                val machine = machines.first { it.isUp }
                if (machine.starts != starts) {
                    starts = machine.starts
                    born = System.currentTimeMillis()
                    sequence = 0
                }
                store.update { it.write(ObjectKey(SERVERS, id), Json.parseToJsonElement(entry(sequence, born))) }
                sequence += 1
                delay(HEARTBEAT)
            }
        }
    }

    private fun entry(
        sequence: Int,
        born: Long,
    ): String =
        """{"service":"${behaviour.service}","address":"$address","zone":"${parts.zone}","version":"v1",""" +
            """"slots":${behaviour.load().slots},"state":"ready","cold_remaining_ms":0,"sequence":$sequence,"born":$born}"""

    private suspend fun serve(socket: Socket) {
        try {
            if (connections.incrementAndGet() > limit()) return socket.reset()
            val idleTime = 1_000 + parts.random.nextInt(3_000)
            // Some connections end without an announcement of their idle time.
            val isAnnounced = idleTime >= 2_000 && parts.random.nextInt(100) < 70
            val keepAlive = if (isAnnounced) mapOf("Keep-Alive" to "timeout=${idleTime / 1_000}") else emptyMap()
            val input = socket.getInputStream().buffered()
            do {
                socket.soTimeout = idleTime
                val request = awaitRequest(input) ?: return
            } while (answer(request, socket, keepAlive))
        } finally {
            connections.decrementAndGet()
        }
    }

    private fun limit(): Int {
        val load = behaviour.load()
        return if (load.waiting < LONG_QUEUE) behaviour.maxConnections else load.running + load.waiting + 2
    }

    private fun awaitRequest(input: InputStream): TextRequest? =
        try {
            input.readRequest()
        } catch (e: SocketTimeoutException) {
            null
        }

    private suspend fun answer(
        request: TextRequest,
        socket: Socket,
        keepAlive: Map<String, String>,
    ): Boolean {
        val requestId = request.head["Cicadaturn-Request-Id"]
        val target = request.head["Cicadaturn-Target-Instance"]
        val load = behaviour.load().let { "${it.running},${it.waiting},${it.slots}" }
        val headers = keepAlive + mapOf("Cicadaturn-Server-Load" to load)
        val out = socket.getOutputStream()
        if (target != null && target != id) return refuse(out, MISDIRECTED, headers)
        if (requestId == null) return report(request, out, headers)
        val signature = mapOf("Cicadaturn-Request-Id" to requestId, "Cicadaturn-Response-Signature" to "$id.$requestId")
        val handling = Handling(requestId, request, headers + signature, parts.shapes(), socket)
        val from = journal.now()
        try {
            return behaviour.handle(handling)
        } catch (e: IOException) {
            handling.end = RunEnd.ABANDONED
            return false
        } finally {
            journal.record(RunSeen(requestId, id, from, journal.now(), handling.lastEvent, handling.end))
        }
    }

    private suspend fun report(
        request: TextRequest,
        out: OutputStream,
        headers: Map<String, String>,
    ): Boolean {
        val (status, document) = behaviour.report(request)
        val type = mapOf("Content-Type" to "application/json")
        val shape = parts.shapes()
        out.write(messageOf("$status X", headers + type, document, shape))
        if (shape.endsConnection) delay(shape.finDelay)
        return !shape.endsConnection
    }

    private companion object {
        val HEARTBEAT = 1_200.milliseconds

        /** Number of waiting requests from which an endpoint accepts hardly any new connection. */
        const val LONG_QUEUE = 2
        const val MISDIRECTED = 421
    }
}

internal const val UNAVAILABLE = 503

/** Sends a refusal, which states that the request was not executed; returns true. */
internal fun refuse(
    out: OutputStream,
    status: Int,
    headers: Map<String, String>,
): Boolean {
    out.write(messageOf("HTTP/1.1 $status X", headers + ("Cicadaturn-Not-Executed" to "1")))
    return true
}
