package org.cicadaturn.tasks.entry

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.fullJitterBackoff
import org.cicadaturn.decisions.retry.watchTimes
import org.cicadaturn.decisions.routing.EndpointChooser
import org.cicadaturn.decisions.routing.endpointDirectory
import org.cicadaturn.decisions.routing.retryBudget
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.EntryDump
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.configuration.ConfigurationTask
import org.cicadaturn.tasks.configuration.StoreWatch
import org.cicadaturn.tasks.configuration.configurationView
import org.cicadaturn.tasks.control.Control
import org.cicadaturn.tasks.control.ControlDependencies
import org.cicadaturn.tasks.control.LocalDrainTask
import org.cicadaturn.tasks.control.control
import org.cicadaturn.tasks.control.controlRoutes
import org.cicadaturn.tasks.gateway.BodyMemory
import org.cicadaturn.tasks.http.ListenerBounds
import org.cicadaturn.tasks.http.ServerBounds
import org.cicadaturn.tasks.http.ServerHandler
import org.cicadaturn.tasks.http.connectionAccounts
import org.cicadaturn.tasks.http.httpRuntime
import org.cicadaturn.tasks.http.startServer
import org.cicadaturn.tasks.limits.LimitsTask
import org.cicadaturn.tasks.listen.ListenFailure
import org.cicadaturn.tasks.listen.ListenTarget
import org.cicadaturn.tasks.listen.NodeListeners
import org.cicadaturn.tasks.observe.AdminContent
import org.cicadaturn.tasks.observe.ConnectionMetrics
import org.cicadaturn.tasks.observe.adminServer
import org.cicadaturn.tasks.observe.entryMetrics
import org.cicadaturn.tasks.observe.processMetrics
import org.cicadaturn.tasks.reportUncaught
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.wire.Wire
import org.cicadaturn.tasks.wireIdentity
import org.cicadaturn.tasks.wireTimes
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val INITIAL_BACKOFF: Duration = 100.milliseconds
private val MAX_STORE_BACKOFF: Duration = 10.seconds
private val MAX_LINK_BACKOFF: Duration = 2.seconds

/** Additional duration of a round trip to another failure domain; 0.5 to 1.5 ms one way are usual. */
private val REMOTE_ROUND_TRIP_COST: Duration = 2.milliseconds

/** Connections without a request that callers may keep open beside those with one. */
private const val IDLE_CONNECTIONS = 1_000

/** Length of a request line that is decoded, beside twice the limit on headers, whose line ends count here. */
private const val MAX_REQUEST_LINE_BYTES = 16_384
private const val HEAP_PART = 4

/** Time after which an idle connection of a caller is closed. */
private val CALLER_IDLE_TIMEOUT: Duration = 45.seconds

/** Time for the head of a request from its first byte on. */
private val CALLER_HEAD_TIMEOUT: Duration = 10.seconds

/**
 * Dependencies of an entry process.
 *
 * @property store object store of the platform
 * @property clock clock of the process
 * @property incarnation random identifier of this run of the process
 * @property registry registry for metrics
 * @property chooser routing policy
 * @property random random source for jitter
 */
public class EntryDependencies(
    public val store: ObjectStore,
    public val clock: Clock,
    public val incarnation: Incarnation,
    public val registry: PrometheusRegistry,
    public val chooser: EndpointChooser,
    public val random: Random,
)

/** Starts an entry process, which may not listen yet. */
public fun entryNode(
    file: EntryFile,
    dependencies: EntryDependencies,
): Node = RunningEntry(file, dependencies).also { it.start() }

private class RunningEntry(
    private val file: EntryFile,
    private val dependencies: EntryDependencies,
) : Node {
    private val log = LogManager.getLogger("entry")
    private val settings = file.entry
    private val domain = FailureDomainId(file.process.failureDomain)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val supervisor = Supervisor(dependencies.clock)
    private val selector = SelectorManager(Dispatchers.IO)
    private val httpRuntime = httpRuntime(::reportUncaught)
    private val connectionMetrics = ConnectionMetrics("entry", dependencies.registry, dependencies.clock)
    private val metrics = entryMetrics(dependencies.registry)
    private val commonMetrics = processMetrics(dependencies.registry)
    private val configurationManager = ConfigurationTask(file.store.peerWait, supervisor)
    private val directory =
        DirectoryTask(endpointDirectory(domain, REMOTE_ROUND_TRIP_COST, dependencies.chooser), dependencies.clock)
    private val registry = RegistryTask(settings.maxInFlight, retryBudget(settings.retryShare), dependencies.clock)
    private val limits =
        LimitsTask(
            ProcessId(file.process.id),
            // The setting names all other entry processes and may name this one too.
            members = (settings.peers - settings.peerListen).size + 1,
            dependencies.clock,
            Random(dependencies.random.nextLong()),
        )
    private val stopping = MutableStateFlow(false)
    private val localDrain = LocalDrainTask(configurationManager.inForce)
    private lateinit var network: PeerNetwork
    private lateinit var ownListeners: NodeListeners

    override val listeners: Map<String, NetworkAddress> get() = ownListeners.addresses

    override suspend fun awaitListeners(): Either<ListenFailure, Unit> =
        ownListeners.await().onRight {
            log.info("entry: {} listens on {}", file.process.id, listeners.getValue("listen"))
        }

    fun start() {
        supervisor.start(scope, "configuration") { configurationManager.run() }
        supervisor.start(scope, "local drain") { localDrain.run() }
        supervisor.start(scope, "directory") { directory.run() }
        supervisor.start(scope, "requests") { registry.run() }
        supervisor.start(scope, "configuration of the limits") {
            configurationManager.inForce.filterNotNull().collect { limits.configure(it.index.configuration) }
        }
        supervisor.start(scope, "configuration metrics") { updateConfigurationMetrics() }
        val times = watchTimes(file.store.watchWait, file.store.maxSilence)
        val watch = StoreWatch(dependencies.store, configurationManager, times, backoff(MAX_STORE_BACKOFF))
        supervisor.start(scope, "store watch") { watch.run() }
        connect()
        ownListeners = startListeners()
    }

    private fun startListeners(): NodeListeners {
        val content = AdminContent(::isReady, { Json.encodeToString(dump()) }, dependencies.registry)
        val routes = controlRoutes(operatorControl())
        val server = callerServer()
        val callers = ServerHandler(server::serve, server::refuse)
        val admin = file.process.adminListen
        return NodeListeners(
            scope,
            mapOf(
                "listen" to
                    ListenTarget(settings.listen) { httpRuntime.startServer(settings.listen, callerBounds(), callers) },
                "peer" to ListenTarget(settings.peerListen) { network.listen(scope, settings.peerListen) },
                "admin" to ListenTarget(admin) { adminServer(httpRuntime, admin, content, connectionMetrics, routes) },
            ),
        )
    }

    private fun connect() {
        val identity = wireIdentity(Role.ENTRY, file.process, file.wire, dependencies.incarnation)
        val wire =
            Wire(selector, identity, wireTimes(file.wire)) { commonMetrics.wireErrors.labelValues(it.kind).inc() }
        network = PeerNetwork(wire, configurationManager, limits, supervisor)
        network.start(scope, settings.peers) { backoff(MAX_LINK_BACKOFF) }
        val connections = EndpointConnections(wire, configurationManager, directory) { backoff(MAX_LINK_BACKOFF) }
        supervisor.start(scope, "endpoint connections") { connections.run(configurationManager.inForce) }
    }

    private fun callerServer(): CallerServer {
        val prefix = "${file.process.id}-${dependencies.incarnation}"
        val options = PipelineOptions(settings.maxAttempts, settings.queueWait, settings.streamStall)
        val pipeline =
            RequestPipeline(directory, registry, limits, metrics, options, dependencies.clock) {
                AttemptId("$prefix-${UUID.randomUUID()}")
            }
        val memory = BodyMemory(quarterOfHeap())
        return CallerServer(settings, configurationManager.inForce, ::isRefusing, pipeline, memory, metrics) {
            RequestId(UUID.randomUUID().toString())
        }
    }

    private fun callerBounds(): ServerBounds {
        val limits = ConnectionLimits(settings.maxInFlight + IDLE_CONNECTIONS, quarterOfHeap().toLong())
        val accounts = connectionAccounts(limits) { connectionMetrics.lost("callers", it) }
        val headBytes = 2 * settings.maxHeader + MAX_REQUEST_LINE_BYTES
        val listenerBounds = ListenerBounds({ headBytes }, { settings.slowReaderTimeout }, accounts)
        return ServerBounds(listenerBounds, CALLER_IDLE_TIMEOUT, CALLER_HEAD_TIMEOUT)
    }

    /** Returns the part of the memory that the connections of callers may take, and that their bodies may take. */
    private fun quarterOfHeap(): Int =
        (Runtime.getRuntime().maxMemory() / HEAP_PART).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()

    /** Returns a backoff with its own random source, because a source must not be shared between coroutines. */
    private fun backoff(max: Duration): Backoff =
        fullJitterBackoff(INITIAL_BACKOFF, max, Random(dependencies.random.nextLong()))

    private suspend fun updateConfigurationMetrics() {
        configurationManager.inForce.filterNotNull().collect {
            commonMetrics.revision.set(it.revision.number.toDouble())
            commonMetrics.current.set(if (it.current) 1.0 else 0.0)
        }
    }

    private fun isReady(): Boolean = configurationManager.inForce.value != null && !isRefusing() && ownListeners.areOpen

    private fun isRefusing(): Boolean = stopping.value || localDrain.isActive.value

    private fun operatorControl(): Control =
        control(
            ControlDependencies(
                process = ProcessId(file.process.id),
                store = dependencies.store,
                configurationManager = configurationManager,
                views = directory::views,
                inFlight = { registry.inFlight.value },
                localDrain = localDrain,
                clock = dependencies.clock,
                // No jitter: operators make few calls, and those may run in parallel, so they share no random source.
                backoff = { INITIAL_BACKOFF * it },
                newPlanId = { PlanId(UUID.randomUUID().toString()) },
            ),
        )

    private suspend fun dump(): EntryDump =
        EntryDump(
            process = ProcessId(file.process.id),
            incarnation = dependencies.incarnation,
            failureDomain = domain,
            stopping = stopping.value,
            configuration = configurationView(configurationManager.inForce.value),
            endpoints = directory.views(),
            requests = registry.views(),
        )

    override suspend fun stop(): Int {
        log.info("entry: stopping, {} requests in flight", registry.inFlight.value)
        stopping.value = true
        val idle = withTimeoutOrNull(file.process.stopTimeout) { registry.inFlight.first { it == 0 } }
        val cut = if (idle == null) registry.inFlight.value else 0
        metrics.cutRequests.inc(cut.toDouble())
        ownListeners.close()
        scope.cancel()
        network.close()
        selector.close()
        httpRuntime.close()
        log.info("entry: stopped, {} requests cut", cut)
        return cut
    }
}
