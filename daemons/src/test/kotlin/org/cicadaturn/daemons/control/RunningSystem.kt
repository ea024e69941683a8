package org.cicadaturn.daemons.control

import arrow.core.Either
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.cicadaturn.daemons.command.ControlConnection
import org.cicadaturn.daemons.command.OperatorKey
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointSettings
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.EntrySettings
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.schema.generated.StoreSettings
import org.cicadaturn.schema.generated.WireSettings
import org.cicadaturn.standins.FakeObjectStore
import org.cicadaturn.standins.fakeObjectStore
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.endpoint.EndpointDependencies
import org.cicadaturn.tasks.endpoint.endpointNode
import org.cicadaturn.tasks.entry.EntryDependencies
import org.cicadaturn.tasks.entry.entryNode
import org.cicadaturn.tasks.listening
import org.cicadaturn.tasks.store.ObjectStore
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

private val loopback = NetworkAddress("127.0.0.1", 0)
private val domain = FailureDomainId("kolkata")
private val wire = WireSettings("correct-horse-battery", 2.seconds, 1.seconds, 3.seconds)
private val storeSettings = StoreSettings(loopback, 2.seconds, 30.seconds, 3.seconds, 50.milliseconds)

/** Timeout for a test that hangs; no assertion depends on its value. */
internal val HANG_TIMEOUT = 1.minutes

/** Entry process and endpoint process that use an in-memory store. */
internal class RunningSystem(
    val store: FakeObjectStore,
    val entry: Node,
    val endpoint: Node,
) {
    suspend fun stop() {
        entry.stop()
        endpoint.stop()
    }
}

/** Starts the processes; the store runs in [scope], and each process uses what [storeOf] returns for it. */
internal suspend fun startSystem(
    scope: CoroutineScope,
    storeOf: (ObjectStore) -> ObjectStore = { it },
): RunningSystem {
    val store = fakeObjectStore(scope)
    val endpoint =
        endpointNode(
            endpointFile(),
            EndpointDependencies(storeOf(store.client(domain)), Clock.System, incarnation(1), registry()),
        ).listening()
    val text = encodeConfiguration(configuration(endpoint.listeners.getValue("listen")))
    store.client(domain).put(CONFIGURATION_KEY, text, null).value()
    val random = Random(7404)
    val dependencies =
        EntryDependencies(
            storeOf(store.client(domain)),
            Clock.System,
            incarnation(2),
            registry(),
            sampledChooser(Random(7405)),
            random,
        )
    return RunningSystem(store, entryNode(entryFile(), dependencies).listening(), endpoint)
}

/** Returns the connection to [node] of the operator with [key]. */
internal fun connectionTo(
    node: Node,
    key: String? = "asha-key",
    format: OutputFormat = OutputFormat.TEXT,
): ControlConnection = ControlConnection(node.listeners.getValue("admin"), key?.let(::OperatorKey), 30.seconds, format)

/** Waits until [condition] holds. */
internal suspend fun eventually(condition: suspend () -> Boolean) {
    withTimeout(HANG_TIMEOUT) { while (!condition()) delay(5.milliseconds) }
}

internal fun <E, A> Either<E, A>.value(): A = fold({ throw AssertionError("unexpected failure: $it") }, { it })

private fun configuration(address: NetworkAddress): Configuration =
    Configuration(
        revision = Revision(1),
        acceptedAt = Clock.System.now(),
        acceptedBy = "installer",
        services = listOf(Service(ServiceId("orders"), ServiceKind.PLAIN, emptyList(), idempotent = false, 5.seconds)),
        failureDomains =
            listOf("kolkata", "siliguri").map { FailureDomain(FailureDomainId(it), AdmissionState.IN_SERVICE) },
        endpoints =
            listOf(
                endpoint("o1", address, AdmissionState.IN_SERVICE),
                endpoint("o2", NetworkAddress("127.0.0.1", 1), AdmissionState.DRAINED),
            ),
        operators =
            listOf(
                Operator("asha", digestOf("asha-key"), mayConfirm = true),
                Operator("reader", digestOf("reader-key"), mayConfirm = false),
            ),
    )

private fun endpoint(
    id: String,
    address: NetworkAddress,
    state: AdmissionState,
): Endpoint = Endpoint(EndpointId(id), HostId("h-$id"), domain, ServiceId("orders"), address, state)

private fun entryFile(): EntryFile =
    EntryFile(
        process("entry-1"),
        wire,
        storeSettings,
        EntrySettings(loopback, loopback, emptyList(), 65_536, 16_384, 16, 3, 10, 1.seconds, 5.seconds, 5.seconds),
    )

private fun endpointFile(): EndpointFile =
    EndpointFile(
        process("endpoint-1"),
        wire,
        storeSettings,
        EndpointSettings(
            id = "o1",
            service = "orders",
            listen = loopback,
            backend = NetworkAddress("127.0.0.1", 1),
            kind = "plain",
            warmBound = 8,
            coldBound = 2,
            coldStep = 2,
            queueWait = 200.milliseconds,
            probeInterval = 1.seconds,
            reportInterval = 50.milliseconds,
        ),
    )

private fun process(id: String): ProcessSettings =
    ProcessSettings(id, "host-1", domain.text, loopback, "text", "info", 1.seconds)

private fun incarnation(number: Long): Incarnation = Incarnation(number)

private fun registry(): PrometheusRegistry = PrometheusRegistry()

/** Returns the status of a GET request to the [listener] of [node] from a client that offers an upgrade to HTTP/2. */
internal fun statusOf(
    node: Node,
    listener: String,
    path: String,
): Int {
    val address = node.listeners.getValue(listener)
    val request =
        HttpRequest
            .newBuilder(
                URI("http://${address.ip}:${address.port}$path"),
            ).timeout(HANG_TIMEOUT.toJavaDuration())
            .build()
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
}

/** Returns a port on which nothing listened at the time of the call. */
internal fun closedPort(): Int = ServerSocket(0).use { it.localPort }
