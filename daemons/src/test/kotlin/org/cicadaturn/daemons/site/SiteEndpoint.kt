package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
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

/**
 * What the endpoints of [service] do.
 *
 * @property documentAt returns the document of a report, or null if there is none for the request
 * @property handle answers a request of a caller; returns false if the connection cannot be used again
 */
internal data class EndpointBehaviour(
    val service: String,
    val maxConnections: Int,
    val load: () -> EndpointLoad,
    val documentAt: (TextRequest) -> String?,
    val handle: suspend (Handling) -> Boolean,
)

/** Endpoint [id] with an entry in [store], which tells [journal] about each run. */
internal class SiteEndpoint(
    val id: String,
    private val zone: String,
    private val behaviour: EndpointBehaviour,
    private val store: StoreServer,
    private val journal: SiteJournal,
    private val random: Random,
    private val shapes: ShapeChoice,
    private val scope: CoroutineScope,
) {
    private val connections = AtomicInteger()
    private val server = LoopbackServer(scope, ::serve)
    private val born = System.currentTimeMillis()

    fun start() {
        server.start()
        scope.launch {
            var sequence = 0
            while (true) {
                store.update { it.write(ObjectKey(SERVERS, id), Json.parseToJsonElement(entry(sequence))) }
                sequence += 1
                delay(HEARTBEAT)
            }
        }
    }

    private fun entry(sequence: Int): String =
        """{"service":"${behaviour.service}","address":"${server.address}","zone":"$zone","version":"v1",""" +
            """"slots":${behaviour.load().slots},"state":"ready","cold_remaining_ms":0,"sequence":$sequence,"born":$born}"""

    private suspend fun serve(socket: Socket) {
        try {
            if (connections.incrementAndGet() > limit()) return socket.reset()
            val idleTime = 1_000 + random.nextInt(3_000)
            // Some connections end without an announcement of their idle time.
            val isAnnounced = idleTime >= 2_000 && random.nextInt(100) < 70
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
        val handling = Handling(requestId, request, headers + signature, shapes(), socket)
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
        val document = behaviour.documentAt(request)
        val status = if (document == null) CONFLICT else OK
        val type = mapOf("Content-Type" to "application/json")
        val shape = shapes()
        out.write(messageOf("$status X", headers + type, document ?: "{}", shape))
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
