package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.json.Json
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of running, waiting and possible requests of an endpoint. */
internal data class EndpointLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/** Request at an endpoint and what the endpoint has done of it. */
internal class Handling(
    val id: String,
    val request: TextRequest,
    val headers: Map<String, String>,
    val out: OutputStream,
) {
    var lastEvent = 0
    var end = RunEnd.ABANDONED
}

/** What endpoints of a service do; [handle] returns false if the connection cannot be used again. */
internal interface EndpointService {
    val name: String
    val maxConnections: Int

    fun load(): EndpointLoad

    /** Returns the document of a report, or null if the endpoint answers only requests of callers. */
    fun documentAt(request: TextRequest): String?

    suspend fun handle(handling: Handling): Boolean
}

/** Endpoint [id] of [service], which has an entry in [store] and tells [journal] about each run. */
internal class SiteEndpoint(
    val id: String,
    private val zone: String,
    private val service: EndpointService,
    private val store: StoreServer,
    private val journal: SiteJournal,
    private val random: Random,
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
        """{"service":"${service.name}","address":"${server.address}","zone":"$zone","version":"v1",""" +
            """"slots":${service.load().slots},"state":"ready","cold_remaining_ms":0,"sequence":$sequence,"born":$born}"""

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
        val load = service.load()
        return if (load.waiting < LONG_QUEUE) service.maxConnections else load.running + load.waiting + 2
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
        val load = service.load().let { "${it.running},${it.waiting},${it.slots}" }
        val headers = keepAlive + mapOf("Cicadaturn-Server-Load" to load)
        val out = socket.getOutputStream()
        if (target != null && target != id) return refuse(out, MISDIRECTED, headers)
        if (requestId == null) return report(request, out, headers)
        val signature = mapOf("Cicadaturn-Request-Id" to requestId, "Cicadaturn-Response-Signature" to "$id.$requestId")
        val handling = Handling(requestId, request, headers + signature, out)
        val from = journal.now()
        try {
            return service.handle(handling)
        } catch (e: IOException) {
            handling.end = RunEnd.ABANDONED
            return false
        } finally {
            journal.record(RunSeen(requestId, id, from, journal.now(), handling.lastEvent, handling.end))
        }
    }

    private fun report(
        request: TextRequest,
        out: OutputStream,
        headers: Map<String, String>,
    ): Boolean {
        val document = service.documentAt(request)
        val status = if (document == null) CONFLICT else OK
        val type = mapOf("Content-Type" to "application/json")
        out.write(messageOf("HTTP/1.1 $status X", headers + type, document ?: "{}"))
        return true
    }

    private companion object {
        val HEARTBEAT = 1_200.milliseconds

        /** Number of waiting requests from which an endpoint accepts hardly any new connection. */
        const val LONG_QUEUE = 4
        const val MISDIRECTED = 421
    }
}

private const val UNAVAILABLE = 503

private fun refuse(
    out: OutputStream,
    status: Int,
    headers: Map<String, String>,
): Boolean {
    out.write(messageOf("HTTP/1.1 $status X", headers + ("Cicadaturn-Not-Executed" to "1")))
    return true
}

/** Engine [rank] of [group], which answers with the events that a request asks for as `events=N`. */
internal class EngineService(
    override val name: String,
    private val groupName: String,
    private val group: EngineGroup,
    private val rank: Int,
) : EndpointService {
    override val maxConnections = 418

    override fun load(): EndpointLoad =
        group.loads.value[rank].let { EndpointLoad(it.running, it.waiting, EngineGroup.SLOTS) }

    override fun documentAt(request: TextRequest): String? {
        if (request.method != "GET") return null
        val load = group.loads.value[rank]
        val position = """"step":${load.step},"epoch":1"""
        return when {
            request.path == "/report" -> report(load)
            request.path != "/picked" -> null
            "lists" in request.query ->
                """{$position,"map":{"version":0,"experts":${List(SETS) { expertsOfRank() }}}}"""
            else -> """{$position,"counts":${List(SETS * EXPERTS) { load.step }}}"""
        }
    }

    private fun report(load: EngineLoad): String =
        """{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,""" +
            """"waiting":${load.waiting},"running":${load.running},"kv_used":0,"kv_total":186666,""" +
            """"handles":0,"pace":1.0,"size":${group.size},"step":${load.step},"map":0,"prepared":null,""" +
            """"armed":null,"held":null,"group":{"name":"$groupName","epoch":1,"rank":$rank,"state":"open"}}"""

    private fun expertsOfRank(): List<Int> = (0 until EXPERTS).filter { it % group.size == rank }

    override suspend fun handle(handling: Handling): Boolean {
        val body = handling.request.body
        val first = 1 + (handling.request.head["Last-Event-Id"]?.toInt() ?: 0)
        val last = body.substringAfter("events=").substringBefore(';').toInt()
        val run = EngineRun(rank, first, last)
        val text = body.substringAfter("text=").substringBefore(';')
        handling.lastEvent = first - 1
        group.submit(run)
        try {
            return stream(run, handling, text)
        } finally {
            group.leave(run)
        }
    }

    private suspend fun stream(
        run: EngineRun,
        handling: Handling,
        text: String,
    ): Boolean {
        val out = handling.out
        var isBegun = false
        while (handling.lastEvent < run.last) {
            when (val signal = run.signals.receive()) {
                RunSignal.Refused -> {
                    handling.end = RunEnd.REFUSED
                    return refuse(out, UNAVAILABLE, handling.headers)
                }
                RunSignal.BrokenOff -> {
                    handling.end = RunEnd.BROKEN_OFF
                    return false
                }
                is RunSignal.Event -> {
                    if (!isBegun) out.write(streamHead(handling.headers))
                    isBegun = true
                    out.write(chunk("id: ${signal.number}\ndata: $text/${signal.number}\n\n"))
                    handling.lastEvent = signal.number
                }
            }
        }
        if (!isBegun) out.write(streamHead(handling.headers))
        out.write("0\r\n\r\n".encodeToByteArray())
        handling.end = RunEnd.FINISHED
        return true
    }

    private fun streamHead(headers: Map<String, String>): ByteArray {
        val all = headers + mapOf("Content-Type" to "text/event-stream", "Transfer-Encoding" to "chunked")
        return ("HTTP/1.1 200 OK\r\n" + all.entries.joinToString("") { "${it.key}: ${it.value}\r\n" } + "\r\n")
            .encodeToByteArray()
    }

    private fun chunk(text: String): ByteArray = "${text.length.toString(16)}\r\n$text\r\n".encodeToByteArray()

    companion object {
        const val SETS = 4
        const val EXPERTS = 72
    }
}

/** Endpoint that answers requests with 800 bytes. */
internal class PlainService(
    override val name: String,
    private val random: Random,
    private val roughness: Roughness,
) : EndpointService {
    override val maxConnections = 110
    private val slots = Semaphore(SLOTS)
    private val requests = AtomicInteger()

    override fun load(): EndpointLoad {
        val running = SLOTS - slots.availablePermits
        return EndpointLoad(running, (requests.get() - running).coerceAtLeast(0), SLOTS)
    }

    override fun documentAt(request: TextRequest): String? = null

    override suspend fun handle(handling: Handling): Boolean {
        try {
            if (requests.incrementAndGet() > SLOTS + QUEUE) {
                handling.end = RunEnd.REFUSED
                return refuse(handling.out, UNAVAILABLE, handling.headers)
            }
            slots.withPermit { delay(workTime()) }
        } finally {
            requests.decrementAndGet()
        }
        val text = handling.request.path
        handling.out.write(messageOf("HTTP/1.1 200 OK", handling.headers, text.padEnd(ANSWER_BYTES, '.')))
        handling.end = RunEnd.FINISHED
        return random.nextDouble() >= roughness.resets
    }

    // Lognormal with a mean of 21 ms, and one request in a hundred that takes five times as long.
    private fun workTime() =
        minOf(
            (
                19 * exp(0.5 * random.asJavaRandom().nextGaussian()) *
                    if (random.nextInt(100) ==
                        0
                    ) {
                        5
                    } else {
                        1
                    }
            ).milliseconds,
            1.seconds,
        )

    private companion object {
        const val SLOTS = 6
        const val QUEUE = 24
        const val ANSWER_BYTES = 800
    }
}
