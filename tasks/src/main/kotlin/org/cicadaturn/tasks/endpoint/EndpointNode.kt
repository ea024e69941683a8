package org.cicadaturn.tasks.endpoint

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.admission.AdmissionLimits
import org.cicadaturn.decisions.admission.GateState
import org.cicadaturn.decisions.admission.admissionGate
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.EndpointDump
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.ConfigurationExchange
import org.cicadaturn.tasks.configuration.ConfigurationTask
import org.cicadaturn.tasks.configuration.configurationView
import org.cicadaturn.tasks.configuration.decodeConfiguration
import org.cicadaturn.tasks.confirmation.confirmations
import org.cicadaturn.tasks.control.LocalDrainTask
import org.cicadaturn.tasks.control.localDrainRoute
import org.cicadaturn.tasks.http.httpRuntime
import org.cicadaturn.tasks.listen.ListenFailure
import org.cicadaturn.tasks.listen.ListenTarget
import org.cicadaturn.tasks.listen.NodeListeners
import org.cicadaturn.tasks.observe.AdminContent
import org.cicadaturn.tasks.observe.ConnectionMetrics
import org.cicadaturn.tasks.observe.adminServer
import org.cicadaturn.tasks.observe.endpointMetrics
import org.cicadaturn.tasks.observe.processMetrics
import org.cicadaturn.tasks.reportUncaught
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.Wire
import org.cicadaturn.tasks.wireIdentity
import org.cicadaturn.tasks.wireTimes
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time for the last frames of finished requests to reach the sockets before they are closed. */
private val FLUSH_DELAY: Duration = 50.milliseconds

/**
 * Dependencies of an endpoint process.
 *
 * @property store object store of the platform
 * @property clock clock of the process
 * @property incarnation random identifier of this run of the process
 * @property registry registry for metrics
 */
public class EndpointDependencies(
    public val store: ObjectStore,
    public val clock: Clock,
    public val incarnation: Incarnation,
    public val registry: PrometheusRegistry,
)

/** Starts an endpoint process, which serves one back end and may not listen yet. */
public fun endpointNode(
    file: EndpointFile,
    dependencies: EndpointDependencies,
): Node = RunningEndpoint(file, dependencies).also { it.start() }

private class RunningEndpoint(
    private val file: EndpointFile,
    private val dependencies: EndpointDependencies,
) : Node {
    private val log = LogManager.getLogger("endpoint")
    private val settings = file.endpoint
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val supervisor = Supervisor(dependencies.clock)
    private val selector = SelectorManager(Dispatchers.IO)
    private val httpRuntime = httpRuntime(::reportUncaught)
    private val client = backendClient()
    private val configurationManager = ConfigurationTask(supervisor = supervisor)
    private val gate = GateTask(admissionGate(limits()), dependencies.clock)
    private val stopping = MutableStateFlow(false)
    private val localDrain = LocalDrainTask(configurationManager.inForce)
    private val engineReachable = MutableStateFlow(true)
    private val entries = MutableStateFlow(emptyList<ProcessId>())
    private val report =
        MutableStateFlow(
            reportOf(gate.state.value, null, reachable = true, isStopping = false, isLocallyDrained = false),
        )
    private val metrics = endpointMetrics(dependencies.registry)
    private val commonMetrics = processMetrics(dependencies.registry)
    private val confirmations =
        confirmations(
            dependencies.store,
            dependencies.clock,
            { AttemptId("${file.process.id}-${UUID.randomUUID()}") },
            scope,
            supervisor = supervisor,
        )
    private lateinit var ownListeners: NodeListeners

    override val listeners: Map<String, NetworkAddress> get() = ownListeners.addresses

    override suspend fun awaitListeners(): Either<ListenFailure, Unit> =
        ownListeners.await().onRight {
            log.info(
                "endpoint: {} listens on {}",
                settings.id,
                listeners.getValue("listen"),
            )
        }

    private val backend = httpBackend(client, settings.backend)
    private val runner =
        RequestRunner(
            service = ServiceId(settings.service),
            gate = gate,
            backend = backend,
            confirmations = storedConfirmations(confirmations, backend, gate),
            configurationManager = configurationManager,
            clock = dependencies.clock,
        )

    fun start() {
        supervisor.start(scope, "configuration") { configurationManager.run() }
        supervisor.start(scope, "local drain") { localDrain.run() }
        supervisor.start(scope, "gate") { gate.run() }
        supervisor.start(scope, "reports") { publishReports() }
        supervisor.start(scope, "gate state") { updateGate() }
        supervisor.start(scope, "configuration from the store") { loadConfigurationFromStore() }
        if (settings.kind == "engine") {
            supervisor.start(scope, "engine probe") {
                probeEngine(settings.probeInterval, gate, httpLoadReader(client, settings.backend)) {
                    engineReachable.value = it
                }
            }
        }
        ownListeners = startListeners()
    }

    private fun startListeners(): NodeListeners {
        val identity = wireIdentity(Role.ENDPOINT, file.process, file.wire, dependencies.incarnation)
        val wire =
            Wire(selector, identity, wireTimes(file.wire)) { commonMetrics.wireErrors.labelValues(it.kind).inc() }
        val content = AdminContent(::isReady, { Json.encodeToString(dump()) }, dependencies.registry)
        val connectionMetrics = ConnectionMetrics("endpoint", dependencies.registry, dependencies.clock)
        val routes = listOf(localDrainRoute(configurationManager.inForce, localDrain))
        val admin = file.process.adminListen
        return NodeListeners(
            scope,
            mapOf(
                "listen" to
                    ListenTarget(settings.listen) { wire.listen(settings.listen, setOf(Role.ENTRY), scope, ::serve) },
                "admin" to
                    ListenTarget(admin) { adminServer(httpRuntime, admin, content, connectionMetrics, routes) },
            ),
        )
    }

    private fun isReady(): Boolean = !stopping.value && ownListeners.areOpen

    private suspend fun serve(link: FrameLink) {
        val exchange = ConfigurationExchange(link, configurationManager)
        entries.update { it + link.peer.process }
        try {
            EntryLinkTask(link, runner, exchange, report, stopping, settings.reportInterval).run()
        } finally {
            entries.update { it - link.peer.process }
        }
    }

    /** Reads the store until a configuration is in force, if no entry process offers one within the wait for peers. */
    private suspend fun loadConfigurationFromStore() {
        withTimeoutOrNull(file.store.peerWait) { configurationManager.inForce.filterNotNull().first() }
        while (configurationManager.inForce.value == null) {
            dependencies.store.get(CONFIGURATION_KEY).onRight { stored ->
                decodeConfiguration(stored.value).onRight { configurationManager.offer(it, ConfigurationSource.STORE) }
            }
            delay(file.store.peerWait)
        }
    }

    /** Closes the gate while the process stops or the endpoint is out of service, and reopens it afterwards. */
    private suspend fun updateGate() {
        combine(configurationManager.inForce, stopping, localDrain.isActive) { inForce, isStopping, isLocallyDrained ->
            refusalCode(inForce, isStopping, isLocallyDrained)
        }.collect { gate.close(it) }
    }

    private fun refusalCode(
        inForce: ConfigurationInForce?,
        isStopping: Boolean,
        isLocallyDrained: Boolean,
    ): RefusalCode? {
        if (isStopping) return RefusalCode.STOPPING
        if (isLocallyDrained) return RefusalCode.LEAVING
        val index = inForce?.index ?: return null
        val own = index.endpoint(EndpointId(settings.id))
        val isOutOfService = own == null || !index.isInService(own)
        return if (isOutOfService || index.isDrained(FailureDomainId(file.process.failureDomain))) {
            RefusalCode.LEAVING
        } else {
            null
        }
    }

    private suspend fun publishReports() {
        combine(
            gate.state,
            configurationManager.inForce,
            engineReachable,
            stopping,
            localDrain.isActive,
        ) { state, inForce, isReachable, isStopping, isLocallyDrained ->
            reportOf(state, inForce, isReachable, isStopping, isLocallyDrained)
        }.collect { next ->
            metrics.running.set(next.running.toDouble())
            metrics.queued.set(next.queued.toDouble())
            metrics.bound.set(next.bound.toDouble())
            report.update { next.copy(sequence = it.sequence + 1) }
        }
    }

    private fun reportOf(
        state: GateState,
        inForce: ConfigurationInForce?,
        reachable: Boolean,
        isStopping: Boolean,
        isLocallyDrained: Boolean,
    ): LoadReport =
        LoadReport(
            endpoint = EndpointId(settings.id),
            service = ServiceId(settings.service),
            sequence = 0,
            engine = if (reachable) state.engine else EngineState.UNREACHABLE,
            running = state.running,
            queued = state.queued,
            bound = state.bound,
            tokens = state.tokens,
            accepting = inForce != null && refusalCode(inForce, isStopping, isLocallyDrained) == null,
        )

    private fun dump(): EndpointDump =
        EndpointDump(
            process = ProcessId(file.process.id),
            incarnation = dependencies.incarnation,
            failureDomain = FailureDomainId(file.process.failureDomain),
            stopping = stopping.value,
            configuration = configurationView(configurationManager.inForce.value),
            load = report.value,
            entries = entries.value,
        )

    override suspend fun stop(): Int {
        log.info("endpoint: stopping, {} requests running", gate.state.value.running)
        stopping.value = true
        val idle =
            withTimeoutOrNull(file.process.stopTimeout) {
                gate.state.first { it.running == 0 && it.queued == 0 }
                confirmations.drain()
            }
        val cut = if (idle == null) gate.state.value.running + gate.state.value.queued else 0
        delay(FLUSH_DELAY)
        ownListeners.close()
        scope.cancel()
        client.close()
        selector.close()
        httpRuntime.close()
        log.info("endpoint: stopped, {} requests cut", cut)
        return cut
    }

    private fun limits(): AdmissionLimits =
        AdmissionLimits(
            warmBound = settings.warmBound,
            coldBound = if (settings.kind == "engine") settings.coldBound else settings.warmBound,
            coldStep = settings.coldStep,
            queueWait = settings.queueWait,
        )
}
