package org.cicadaturn.daemons.system

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointDump
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EntryDump
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.standins.PlatformStandin
import org.cicadaturn.standins.engine.EngineSettings
import org.cicadaturn.standins.engine.ModelEngine
import org.cicadaturn.standins.engine.startModelEngine
import org.cicadaturn.standins.orders.OrderService
import org.cicadaturn.standins.orders.startOrderService
import org.cicadaturn.standins.startPlatformStandin
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.decodeConfiguration
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.endpoint.EndpointDependencies
import org.cicadaturn.tasks.endpoint.endpointNode
import org.cicadaturn.tasks.entry.EntryDependencies
import org.cicadaturn.tasks.entry.entryNode
import org.cicadaturn.tasks.listening
import org.cicadaturn.tasks.store.HttpObjectStore
import org.cicadaturn.tasks.store.httpObjectStore
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeout for a test that hangs; no assertion depends on its value. */
internal val HANG_TIMEOUT: Duration = 40.seconds

/** Waits until [condition] holds; fails with [what] if it does not hold in time. */
internal suspend fun eventually(
    what: String,
    condition: suspend () -> Boolean,
) {
    withTimeoutOrNull(HANG_TIMEOUT) {
        while (!condition()) delay(POLL_MILLIS)
    } ?: throw AssertionError("timed out waiting for $what after $HANG_TIMEOUT")
}

/** Process of the system with its metrics. */
internal class RunningNode(
    val node: Node,
    val registry: PrometheusRegistry,
) {
    fun address(name: String): NetworkAddress = node.listeners.getValue(name)

    /** Returns the value of the counter [name] with one label, or 0. */
    fun counter(
        name: String,
        label: String,
    ): Long =
        registry
            .scrape()
            .filterIsInstance<CounterSnapshot>()
            .firstOrNull { it.metadata.name == name }
            ?.dataPoints
            ?.filter { point -> point.labels.any { it.value == label } }
            ?.sumOf { it.value.toLong() }
            ?: 0
}

/** Complete system within this JVM, connected over loopback sockets. */
internal class TestSystem(
    val options: SystemOptions,
    val platform: PlatformStandin,
    val callers: TestCallers,
    private val scope: CoroutineScope,
) {
    val engines = LinkedHashMap<String, ModelEngine>()
    val orderServices = LinkedHashMap<String, OrderService>()
    val endpoints = LinkedHashMap<String, RunningNode>()
    val entries = LinkedHashMap<String, RunningNode>()
    val store: HttpObjectStore = httpObjectStore(platform.address, 5.seconds, FailureDomainId("operators"))
    private var incarnations = 0L

    /** Address where callers reach the entry process [id]. */
    fun entry(id: String): NetworkAddress = entries.getValue(id).address("listen")

    suspend fun startEndpoint(endpoint: EndpointOptions) {
        val registry = PrometheusRegistry()
        val client =
            httpObjectStore(platform.address, options.storeTimeout, FailureDomainId(endpoint.failureDomain))
        val file = endpointFile(options, endpoint, platform.address, backendOf(endpoint))
        val dependencies = EndpointDependencies(client, Clock.System, Incarnation(++incarnations), registry)
        endpoints[endpoint.id] = RunningNode(endpointNode(file, dependencies).listening(), registry)
    }

    suspend fun startEntry(entry: EntryOptions) {
        val registry = PrometheusRegistry()
        val client = httpObjectStore(platform.address, options.storeTimeout, FailureDomainId(entry.failureDomain))
        val peers = entry.peers.map { entries.getValue(it).address("peer") }
        val random = Random(++incarnations)
        val dependencies =
            EntryDependencies(
                store = client,
                clock = Clock.System,
                incarnation = Incarnation(incarnations),
                registry = registry,
                chooser = sampledChooser(Random(random.nextLong())),
                random = random,
            )
        entries[entry.id] =
            RunningNode(
                entryNode(entryFile(options, entry, platform.address, peers), dependencies).listening(),
                registry,
            )
    }

    private suspend fun backendOf(endpoint: EndpointOptions): NetworkAddress =
        when (val backend = endpoint.backend) {
            is Backend.Engine ->
                engines
                    .getOrPut(endpoint.id) { startModelEngine(scope, EngineSettings(batch = backend.batch)) }
                    .address

            Backend.Orders ->
                orderServices
                    .getOrPut(endpoint.id) { startOrderService(scope) }
                    .address

            is Backend.Scripted -> backend.address
        }

    /** Stores the edited configuration under the next revision, as a confirmed plan does; returns the revision. */
    suspend fun changeConfiguration(edit: (Configuration) -> Configuration): Revision {
        val stored = store.get(CONFIGURATION_KEY).getOrNull()
        val before = stored?.let { decodeConfiguration(it.value).getOrNull() } ?: emptyConfiguration()
        val after = edit(before).copy(revision = Revision(before.revision.number + 1))
        store.put(CONFIGURATION_KEY, encodeConfiguration(after), stored?.version).fold(
            { throw AssertionError("the configuration was not stored: ${it.message}") },
            { },
        )
        return after.revision
    }

    /** Stores a configuration with all endpoint processes at their current addresses. */
    suspend fun configure(): Revision =
        changeConfiguration { before ->
            before.copy(
                endpoints = options.endpoints.map { endpointOf(it) },
                failureDomains = domains().map { FailureDomain(FailureDomainId(it), AdmissionState.IN_SERVICE) },
            )
        }

    /** Stores a configuration in which [domain] has [state]. */
    suspend fun setDomain(
        domain: String,
        state: AdmissionState,
    ): Revision =
        changeConfiguration { before ->
            before.copy(
                failureDomains =
                    before.failureDomains.map { if (it.id.text == domain) it.copy(state = state) else it },
            )
        }

    private fun domains(): List<String> = options.endpoints.map { it.failureDomain }.distinct()

    private fun endpointOf(endpoint: EndpointOptions): Endpoint =
        Endpoint(
            id = EndpointId(endpoint.id),
            host = HostId("host-${endpoint.id}"),
            failureDomain = FailureDomainId(endpoint.failureDomain),
            service = ServiceId(endpoint.backend.service),
            address = endpoints.getValue(endpoint.id).address("listen"),
            state = AdmissionState.IN_SERVICE,
        )

    suspend fun entryDump(id: String): EntryDump = decode(dump(entries.getValue(id)))

    suspend fun endpointDump(id: String): EndpointDump = decode(dump(endpoints.getValue(id)))

    private suspend fun dump(node: RunningNode): String = control.get(node.address("admin").url("/dump")).bodyAsText()

    /** Waits until the entry process [id] is connected to each of [wanted] and has a report that it accepts work. */
    suspend fun awaitEndpoints(
        id: String,
        wanted: Collection<String> = options.endpoints.map { it.id },
    ) {
        eventually("connections of $id to $wanted") {
            val ready = entryDump(id).endpoints.filter { it.connected && it.load?.accepting == true }
            ready.map { it.endpoint.text }.containsAll(wanted)
        }
    }

    /** Waits until the processes named in [entryIds] and [endpointIds] have [revision] or a higher one in force. */
    suspend fun awaitRevision(
        revision: Revision,
        entryIds: Collection<String> = entries.keys,
        endpointIds: Collection<String> = endpoints.keys,
    ) {
        entryIds.forEach { id ->
            eventually("revision $revision at $id") { entryDump(id).configuration.revision >= revision }
        }
        endpointIds.forEach { id ->
            eventually("revision $revision at $id") { endpointDump(id).configuration.revision >= revision }
        }
    }

    /** Posts a control call to a stand-in. */
    suspend fun callControl(
        standin: NetworkAddress,
        path: String,
        body: String,
    ) {
        val status = control.post(standin.url(path)) { setBody(body) }.status.value
        check(status in 200..299) { "control call $path gave $status" }
    }

    /** Returns the number of runs of each idempotency key, over all order services. */
    suspend fun runsByKey(): Map<String, Long> =
        orderServices.values
            .flatMap { it.runs().keys }
            .groupBy { it.key }
            .mapValues { (_, runs) -> runs.sumOf { it.runs } }

    /** Returns the total number of runs of all order services. */
    suspend fun totalRuns(): Long = orderServices.values.sumOf { it.runs().total }

    /**
     * Stops the endpoint process [id] without waiting for its requests.
     *
     * With a `stopTimeout` of 0, a stop immediately cancels all coroutines and sockets of the process.
     */
    suspend fun killEndpoint(id: String) {
        check(options.stopTimeout == Duration.ZERO) {
            "killEndpoint needs a system with stopTimeout 0, but it is ${options.stopTimeout}"
        }
        endpoints.getValue(id).node.stop()
    }

    suspend fun close() {
        coroutineScope {
            (entries.values + endpoints.values).map { async { it.node.stop() } }.awaitAll()
        }
        engines.values.forEach { it.close() }
        orderServices.values.forEach { it.close() }
        store.close()
        callers.close()
        control.close()
        platform.close()
        scope.cancel()
    }

    private val control = HttpClient(io.ktor.client.engine.cio.CIO) { engine { requestTimeout = 0 } }
}

/** Starts a system with [options]; returns once every entry process is connected to all endpoint processes. */
internal suspend fun startSystem(options: SystemOptions = SystemOptions()): TestSystem {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val system = TestSystem(options, startPlatformStandin(scope), TestCallers(), scope)
    options.endpoints.forEach { system.startEndpoint(it) }
    system.configure()
    options.entries.forEach { system.startEntry(it) }
    options.entries.forEach { system.awaitEndpoints(it.id) }
    return system
}

/** Runs [test] with a new system and stops the system afterwards. */
internal fun withSystem(
    options: SystemOptions = SystemOptions(),
    test: suspend CoroutineScope.(TestSystem) -> Unit,
) {
    runBlocking(Dispatchers.Default) {
        val system = startSystem(options)
        try {
            test(system)
        } finally {
            system.close()
        }
    }
}

private fun emptyConfiguration(): Configuration =
    Configuration(
        revision = Revision(0),
        acceptedAt = Clock.System.now(),
        acceptedBy = "test",
        services =
            listOf(
                Service(ServiceId(DRAFTS), ServiceKind.MODEL, listOf(MODEL), idempotent = true, deadline = 30.seconds),
                Service(ServiceId(ORDERS), ServiceKind.PLAIN, emptyList(), idempotent = false, deadline = 20.seconds),
            ),
        organisations =
            listOf(Organisation(OrganisationId("org"), listOf(digestOf(BEARER_KEY)), 10_000, 1_000_000_000)),
    )

private const val POLL_MILLIS = 5L
