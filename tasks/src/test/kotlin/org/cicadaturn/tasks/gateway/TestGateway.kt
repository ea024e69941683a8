package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.runBlocking
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.LeavingNotice
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.GatewaySettings
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.RoutedService
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceShare
import org.cicadaturn.schema.generated.StoreSettings
import org.cicadaturn.schema.generated.Tenancy
import org.cicadaturn.tasks.FatalErrorHandler
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.experts.RankClient
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.httpRuntime
import org.cicadaturn.tasks.http.valueOf
import org.cicadaturn.tasks.listening
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Gateway on loopback in front of [endpoints]; if they are null, its store is unavailable.
 *
 * @param bodyBytes longest body of a request
 * @param streamService service of the routes of streams; the others have the service s
 * @param promptOf returns the prompt of a request with the given headers
 * @param id identifier of the gateway
 * @param peerPort port for peers; 0 for any
 * @param peers gateways that its store lists
 * @param eventNumbers setting of that name
 */
internal class TestGateway(
    endpoints: List<TestEndpoint>?,
    stopTimeout: Duration = 8.seconds,
    bodyBytes: Int = 2_000,
    promptOf: (List<Header>) -> List<PromptSegmentId> = ::testPrompt,
    onFatalError: FatalErrorHandler = {},
    random: Random = Random(1),
    retrySlack: Double = 100.0,
    streamService: String = "s",
    journal: RequestJournal = {},
    id: String = "g1",
    peerPort: Int = 0,
    peers: List<GatewayPeer> = emptyList(),
    eventNumbers: String = "learned",
) : AutoCloseable {
    val runtime = httpRuntime(onFatalError)
    private val dependencies =
        GatewayDependencies(
            runtime = runtime,
            store =
                FixedFleetStore(
                    endpoints?.let { contentFor(it, bodyBytes, streamService) + peers.map(FleetChange::PeerListed) },
                ),
            rankClient = { _, _, _ -> NoRankClient },
            dialect = testDialect(promptOf),
            clock = Clock.System,
            suspendAwareClock = Clock.System,
            wallClock = Clock.System,
            random = random,
            requestStop = {},
            journal = journal,
        )
    private val node: Node =
        runBlocking {
            gatewayNode(testFile(stopTimeout, retrySlack, id, peerPort, eventNumbers), dependencies).listening()
        }
    val port: Int get() = node.listeners.getValue("listen").port
    val readyPort: Int get() = node.listeners.getValue("ready").port
    val adminPort: Int get() = node.listeners.getValue("admin").port

    init {
        if (endpoints != null) awaitReady()
    }

    private fun awaitReady() {
        val start = System.nanoTime()
        while (exchange(readyPort, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status != 200) {
            check(System.nanoTime() - start < READY_TIMEOUT_NANOS) { "the gateway was not ready within 10 s" }
        }
    }

    suspend fun stop() {
        node.stop()
    }

    override fun close() {
        runtime.close()
    }

    private companion object {
        const val READY_TIMEOUT_NANOS = 10_000_000_000L
    }
}

/**
 * Answer as received; [isComplete] is false if the connection ended within it.
 *
 * @property stray first line that stands where a chunk should begin, or null if there is none
 */
internal class RawAnswer(
    val status: Int,
    val head: String,
    val body: String,
    val isComplete: Boolean,
    val stray: String? = null,
)

/** Sends [bytes] on a new connection and returns the first answer. */
internal fun exchange(
    port: Int,
    bytes: String,
): RawAnswer =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 10_000
        socket.getOutputStream().write(bytes.encodeToByteArray())
        socket.getOutputStream().flush()
        readAnswer(socket)
    }

internal fun readAnswer(socket: Socket): RawAnswer {
    val input = socket.getInputStream()
    val head = readHead(input) ?: return RawAnswer(0, "", "", false)
    val status = head.substringAfter(' ').take(3).toInt()
    if (!head.contains("chunked", ignoreCase = true)) {
        val body = input.readNBytes(lengthIn(head))
        return RawAnswer(status, head, body.decodeToString(), body.size == lengthIn(head))
    }
    val body = StringBuilder()
    while (true) {
        val line = readLine(input) ?: return RawAnswer(status, head, body.toString(), false)
        val size = line.toIntOrNull(16) ?: return RawAnswer(status, head, body.toString(), false, stray = line)
        val chunk = input.readNBytes(size)
        readLine(input) ?: return RawAnswer(status, head, body.toString(), false)
        if (size == 0) return RawAnswer(status, head, body.toString(), true)
        body.append(chunk.decodeToString())
    }
}

/** Returns the next line from [input] without its end, or null if the input ends before. */
internal fun readLine(input: java.io.InputStream): String? {
    val line = StringBuilder()
    while (!line.endsWith("\r\n")) {
        val next = input.read()
        if (next < 0) return null
        line.append(next.toChar())
    }
    return line.dropLast(2).toString()
}

private object NoRankClient : RankClient {
    override suspend fun report(
        endpoint: LiveEndpoint,
        isFresh: Boolean,
    ) = null

    override suspend fun selections(endpoint: LiveEndpoint) = null

    override suspend fun map(endpoint: LiveEndpoint) = null

    override suspend fun connect(
        endpoint: LiveEndpoint,
        timeout: Duration,
    ) = null

    override suspend fun order(
        endpoint: LiveEndpoint,
        order: org.cicadaturn.decisions.experts.RankOrder,
        epoch: Long,
        token: Long,
        timeout: Duration,
    ) = org.cicadaturn.decisions.experts.OrderAnswer.LOST
}

private fun testDialect(promptOf: (List<Header>) -> List<PromptSegmentId>) =
    GatewayDialect(
        requestId = "X-Id",
        deadlineMillis = "X-Deadline",
        organisation = "X-Organisation",
        expectedEndpoint = "X-Endpoint",
        lastEventId = "Last-Event-Id",
        signature = "X-Signature",
        notExecuted = "X-Not-Executed",
        keyScheme = "Bearer",
        promptOf = promptOf,
        loadOf = { null },
        limitOf = ::testLimit,
        noticeOf = ::testNotice,
    )

private fun testNotice(head: ResponseHead): EndpointNotice {
    val leaving = head.headers.valueOf("X-Leaving")
    val seconds = head.headers.valueOf("X-Pause")?.takeIf { head.status == 503 }
    return EndpointNotice(
        when (leaving) {
            null -> LeavingNotice.None
            "1" -> LeavingNotice.Announced
            else -> LeavingNotice.Unreadable(leaving)
        },
        when (seconds) {
            null -> PauseNotice.None
            else ->
                seconds.toDoubleOrNull()?.let { PauseNotice.Requested(it.seconds) } ?: PauseNotice.Unreadable(seconds)
        },
    )
}

private fun testLimit(headers: List<Header>): NamedLimit {
    val values = headers.filter { it.name.equals("X-Limit", ignoreCase = true) }.map { it.value }
    val numbers = values.mapNotNull { it.toDoubleOrNull() }
    return when {
        values.isEmpty() -> NamedLimit.None
        numbers.isEmpty() -> NamedLimit.Unreadable(values.joinToString())
        else -> NamedLimit.Rate(numbers.min())
    }
}

internal fun testPrompt(headers: List<Header>): List<PromptSegmentId> =
    headers
        .valueOf("X-Prompt")
        .orEmpty()
        .split(' ')
        .filter { it.isNotEmpty() }
        .map { PromptSegmentId(it) }

private val anyPort = NetworkAddress("127.0.0.1", 0)

private fun testFile(
    stopTimeout: Duration,
    retrySlack: Double,
    id: String,
    peerPort: Int,
    eventNumbers: String,
) = GatewayFile(
    process = ProcessSettings(id, "h1", "a", anyPort, "text", "info", stopTimeout, null),
    store = StoreSettings(anyPort, 1.seconds, 10.seconds, 3.seconds, 5.seconds),
    gateway =
        GatewaySettings(
            anyPort,
            anyPort,
            anyPort.copy(port = peerPort),
            emptyList(),
            1.5,
            5.0,
            0.2,
            retrySlack,
            10.seconds,
            bodyMemory = 16 * 1024 * 1024,
            connectionMemory = 16 * 1024 * 1024,
            descriptors = 4_096.0,
            eventNumbers = eventNumbers,
        ),
)

private fun contentFor(
    endpoints: List<TestEndpoint>,
    bodyBytes: Int,
    streamService: String,
): List<FleetChange> {
    val routes =
        listOf(
            route("safe", RouteKind.IDEMPOTENT, attempts = 2),
            // No other endpoint stands by before the timeout, whatever the load of the machine that runs the tests.
            route("patient-safe", RouteKind.IDEMPOTENT, attempts = 2, latencyTarget = 1.seconds),
            route("once", RouteKind.AT_MOST_ONCE, attempts = 1),
            route("patient", RouteKind.AT_MOST_ONCE, attempts = 1, timeout = 9.seconds),
            route("stream", RouteKind.STREAM, attempts = 2, resumable = true, service = streamService),
            route(
                "long-stream",
                RouteKind.STREAM,
                attempts = 2,
                resumable = true,
                service = streamService,
                timeout = 9.seconds,
            ),
            route(
                "three-stream",
                RouteKind.STREAM,
                attempts = 3,
                resumable = true,
                service = streamService,
                timeout = 9.seconds,
            ),
            route("stream-once", RouteKind.STREAM, attempts = 2, service = streamService),
        )
    val configuration =
        RoutingConfiguration(
            version = 1,
            routes = routes,
            services = setOf("s", streamService).map { RoutedService(ServiceId(it), 400) },
            tenancies = listOf(Tenancy(OrganisationId("org"), listOf("key"))),
            limits = CallerLimits(bodyBytes = bodyBytes),
        )
    return listOf(FleetChange.Configured(configuration)) +
        endpoints.mapIndexed { i, e ->
            FleetChange.EndpointListed(
                LiveEndpoint(
                    id = EndpointId("e$i"),
                    service = ServiceId(e.service),
                    address = NetworkAddress("127.0.0.1", e.port),
                    // The first endpoint is in the failure domain of the gateway and is therefore chosen first.
                    failureDomain = FailureDomainId(if (i == 0) "a" else "b"),
                    state = AdmissionState.IN_SERVICE,
                    slots = 1,
                    coldFor = Duration.ZERO,
                ),
            )
        }
}

private fun route(
    name: String,
    kind: RouteKind,
    attempts: Int,
    resumable: Boolean = false,
    timeout: Duration = 3.seconds,
    service: String = "s",
    latencyTarget: Duration = 100.milliseconds,
) = Route(
    name = name,
    host = "shop.example",
    pathPrefix = "/$name/",
    kind = kind,
    resumable = resumable,
    shares = listOf(ServiceShare(ServiceId(service), 1)),
    timeout = timeout,
    latencyTarget = latencyTarget,
    attempts = attempts,
)
