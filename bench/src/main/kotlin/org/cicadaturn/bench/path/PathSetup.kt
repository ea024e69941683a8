package org.cicadaturn.bench.path

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Digest
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
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.schema.generated.StoreSettings
import org.cicadaturn.schema.generated.WireSettings
import org.cicadaturn.standins.orders.startOrderService
import org.cicadaturn.standins.startPlatformStandin
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.endpoint.EndpointDependencies
import org.cicadaturn.tasks.endpoint.endpointNode
import org.cicadaturn.tasks.entry.EntryDependencies
import org.cicadaturn.tasks.entry.entryNode
import org.cicadaturn.tasks.listening
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.httpObjectStore
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DOMAIN = "a"
private const val SERVICE = "orders"
private const val WIRE_KEY = "key-of-the-path-benchmark"
private const val UNLIMITED_REQUESTS = 100_000
private val loopback = NetworkAddress("127.0.0.1", 0)

/** Bearer key of the organisation in whose name the benchmark sends calls. */
internal const val PATH_BENCH_KEY: String = "path-bench"

/**
 * One entry process and one endpoint process in front of one order service.
 *
 * @property direct address of the order service
 * @property path address of the entry process
 */
internal class PathSetup(
    val direct: NetworkAddress,
    val path: NetworkAddress,
    private val nodes: List<Node>,
) {
    suspend fun close() {
        nodes.forEach { it.stop() }
    }
}

/** Starts the entry, the endpoint and the stand-ins within this process and waits until they answer calls. */
internal suspend fun startPathSetup(scope: CoroutineScope): PathSetup {
    val platform = startPlatformStandin(scope)
    val orders = startOrderService(scope)
    val store = httpObjectStore(platform.address, 5.seconds, FailureDomainId(DOMAIN))
    val endpoint = endpointNode(endpointFile(platform.address, orders.address), endpointDependencies(store)).listening()
    val configuration = configuration(endpoint.listeners.getValue("listen"))
    store.put(CONFIGURATION_KEY, encodeConfiguration(configuration), expected = null)
    val entry = entryNode(entryFile(platform.address), entryDependencies(store)).listening()
    val setup = PathSetup(orders.address, entry.listeners.getValue("listen"), listOf(entry, endpoint))
    PathCaller(PATH_BENCH_KEY).use { caller ->
        while (!caller.call(setup.path)) delay(50.milliseconds)
    }
    return setup
}

private fun endpointDependencies(store: ObjectStore): EndpointDependencies =
    EndpointDependencies(store, Clock.System, Incarnation(1), PrometheusRegistry())

private fun entryDependencies(store: ObjectStore): EntryDependencies =
    EntryDependencies(store, Clock.System, Incarnation(1), PrometheusRegistry(), sampledChooser(Random(1)), Random(2))

private fun processSettings(id: String): ProcessSettings =
    ProcessSettings(id, "host-$id", DOMAIN, loopback, "text", "warn", stopTimeout = 5.seconds)

private val wireSettings = WireSettings(WIRE_KEY, 1.seconds, 1.seconds, 3.seconds)

private fun storeSettings(address: NetworkAddress): StoreSettings =
    StoreSettings(address, 2.seconds, 30.seconds, 3.seconds, 5.seconds)

private fun endpointFile(
    platform: NetworkAddress,
    backend: NetworkAddress,
): EndpointFile =
    EndpointFile(
        process = processSettings("order-1"),
        wire = wireSettings,
        store = storeSettings(platform),
        endpoint =
            EndpointSettings(
                id = "order-1",
                service = SERVICE,
                listen = loopback,
                backend = backend,
                kind = "plain",
                warmBound = UNLIMITED_REQUESTS,
                coldBound = 1,
                coldStep = 1,
                queueWait = 200.milliseconds,
                probeInterval = 1.seconds,
                reportInterval = 1.seconds,
            ),
    )

private fun entryFile(platform: NetworkAddress): EntryFile =
    EntryFile(
        process = processSettings("entry-1"),
        wire = wireSettings,
        store = storeSettings(platform),
        entry =
            EntrySettings(
                listen = loopback,
                peerListen = loopback,
                peers = emptyList(),
                maxBody = 65_536,
                maxHeader = 16_384,
                maxInFlight = UNLIMITED_REQUESTS,
                maxAttempts = 1,
                retryShare = 0,
                queueWait = 1.seconds,
                streamStall = 5.seconds,
                slowReaderTimeout = 30.seconds,
            ),
    )

private fun configuration(address: NetworkAddress): Configuration {
    val domain = FailureDomainId(DOMAIN)
    val key: Digest = digestOf(PATH_BENCH_KEY)
    return Configuration(
        revision = Revision(1),
        acceptedAt = Clock.System.now(),
        acceptedBy = "bench",
        services = listOf(Service(ServiceId(SERVICE), ServiceKind.PLAIN, emptyList(), idempotent = false, 10.seconds)),
        failureDomains = listOf(FailureDomain(domain, AdmissionState.IN_SERVICE)),
        endpoints =
            listOf(
                Endpoint(
                    EndpointId("order-1"),
                    HostId("host-order-1"),
                    domain,
                    ServiceId(SERVICE),
                    address,
                    AdmissionState.IN_SERVICE,
                ),
            ),
        organisations = listOf(Organisation(OrganisationId("bench"), listOf(key), UNLIMITED_REQUESTS, Long.MAX_VALUE)),
    )
}
