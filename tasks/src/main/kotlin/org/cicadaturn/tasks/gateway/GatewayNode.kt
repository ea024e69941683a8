package org.cicadaturn.tasks.gateway

import arrow.core.Either
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.decisions.dispatch.GroupReport
import org.cicadaturn.decisions.dispatch.dispatcher
import org.cicadaturn.decisions.experts.placementLease
import org.cicadaturn.decisions.gateway.BalancerOptions
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.RouteTable
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.gateway.endpointBalancer
import org.cicadaturn.decisions.gateway.fleetWatchTimes
import org.cicadaturn.decisions.gateway.reportTimes
import org.cicadaturn.decisions.gateway.routeTable
import org.cicadaturn.decisions.gateway.sharedWatchTimes
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.decisions.retry.fullJitterBackoff
import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.GatewaySettings
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.PledgeAnswer
import org.cicadaturn.schema.generated.PledgeRequest
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.experts.Lease
import org.cicadaturn.tasks.experts.LeaseDependencies
import org.cicadaturn.tasks.experts.RankClient
import org.cicadaturn.tasks.experts.startExpertBalancer
import org.cicadaturn.tasks.experts.storeLease
import org.cicadaturn.tasks.fatalErrorIn
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpRuntime
import org.cicadaturn.tasks.http.ListenerBounds
import org.cicadaturn.tasks.http.allowedDescriptors
import org.cicadaturn.tasks.http.connectionAccounts
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.listen.ListenFailure
import org.cicadaturn.tasks.listen.NodeListeners
import org.cicadaturn.tasks.observe.ConnectionMetrics
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Dependencies of a gateway process.
 *
 * @property rankClient returns the client for the ranks of groups, which uses the given connections and memory
 * @property clock monotonic clock with an arbitrary origin
 * @property suspendAwareClock clock that also advances while the machine is suspended
 * @property wallClock time of day
 * @property requestStop called when a task without which this process cannot serve goes on failing
 * @property stopRequestedAt returns when this process was asked to stop, by [clock], or null if that is not known
 * @property journal receives a line for each decision about a request
 * @property allowedDescriptors returns the number of descriptors that the process may open, or null if that is not known
 */
public class GatewayDependencies(
    public val runtime: HttpRuntime,
    public val store: FleetStore,
    public val rankClient: (HttpConnector, ConnectionPool, BodyMemory) -> RankClient,
    public val dialect: GatewayDialect,
    public val clock: Clock,
    public val suspendAwareClock: Clock,
    public val wallClock: Clock,
    public val random: Random,
    public val requestStop: () -> Unit,
    public val stopRequestedAt: () -> Instant? = { null },
    public val journal: RequestJournal = requestJournal(),
    public val allowedDescriptors: () -> Int? = ::allowedDescriptors,
)

/**
 * Starts a gateway process, which forwards the requests of callers to the endpoints listed in the platform's store and may
 * not listen yet.
 */
public suspend fun gatewayNode(
    file: GatewayFile,
    dependencies: GatewayDependencies,
): Node {
    val node = GatewayNode(file, dependencies)
    withContext(dependencies.runtime.dispatcher) { node.start() }
    return node
}

/** Returns the limits on the connections of callers, which get half of the [descriptors]. */
private fun callerLimits(
    settings: GatewaySettings,
    descriptors: Int,
): ConnectionLimits = ConnectionLimits(connectionsOf(descriptors, part = 2), settings.connectionMemory.toLong())

/**
 * Returns the limits on the connections of the platform, peers and operators, which get a quarter of [descriptors]; the
 * last quarter is for connections to endpoints. 349 peers at the design size have a watch and a message each at a time.
 */
private fun otherLimits(descriptors: Int): ConnectionLimits =
    ConnectionLimits(connectionsOf(descriptors, part = 4), OTHER_MEMORY_BYTES)

private fun connectionsOf(
    descriptors: Int,
    part: Int,
): Int = ((descriptors - FILE_DESCRIPTORS) / part).coerceAtLeast(MIN_CONNECTIONS)

/** Returns the number of descriptors to use: the setting is an upper bound on what the system allows. */
private fun usedDescriptors(
    settings: GatewaySettings,
    allowed: Int?,
): Int = minOf(settings.descriptors.toInt(), allowed ?: Int.MAX_VALUE)

/** Descriptors for files and listeners. */
private const val FILE_DESCRIPTORS = 200

/** Connections that are accepted however few descriptors the process may open. */
private const val MIN_CONNECTIONS = 16
private const val OTHER_MEMORY_BYTES = 6L * 1024 * 1024

private class GatewayNode(
    private val file: GatewayFile,
    private val dependencies: GatewayDependencies,
) : Node {
    private val settings = file.gateway
    private val exceptionHandler =
        CoroutineExceptionHandler { _, cause ->
            fatalErrorIn(cause)?.let(dependencies.runtime.onFatalError)
                ?: recordFailure(cause)
        }
    private val scope = CoroutineScope(dependencies.runtime.dispatcher + SupervisorJob() + exceptionHandler)
    private val connector = httpConnector(dependencies.runtime)
    private val peer =
        GatewayPeer(ProcessId(file.process.id), settings.peerListen, FailureDomainId(file.process.failureDomain))
    private val registry = PrometheusRegistry()
    private val metrics = GatewayMetrics(registry)
    private val supervisor = Supervisor(dependencies.clock, metrics::taskFailed, dependencies.requestStop)
    private val fleet =
        startFleet(
            scope,
            FleetDependencies(
                store = dependencies.store,
                self = peer,
                fetchPeerView = peerViewFetcher(connector, settings.peerListen, settings.seeds, dependencies.random),
                watchTimes = ::watchTimesOf,
                backoff = fullJitterBackoff(MIN_STORE_BACKOFF, MAX_STORE_BACKOFF, dependencies.random),
                clock = dependencies.clock,
                sharing =
                    WatchSharing(
                        { other, request -> fetchStoreReport(connector, other, request) },
                        { sharedWatchTimes(it, file.store.watchWait, file.store.maxSilence) },
                        reportTimes(file.store.maxSilence),
                        dependencies.suspendAwareClock,
                    ),
                registrationDelay = { MAX_REGISTRATION_DELAY * dependencies.random.nextDouble() },
                restorationMetrics = RestorationMetrics(registry),
            ),
            supervisor,
        )
    private val pool = startPool()
    private val memory = BodyMemory(settings.bodyMemory)

    // Has a pool of its own, so that a surplus answer to a caller's request is never read as the answer of a rank.
    private val rankClient = dependencies.rankClient(connector, startPool(), memory)
    private val peerTasks = PeerTasks(scope, peer, fleet, connector, dependencies, supervisor)
    private val limitMetrics = LimitMetrics(registry)
    private val noticeMetrics = NoticeMetrics(registry)
    private val balancer = startRequestBalancer()
    private val limitExchange = peerTasks.startLimitExchange(balancer, limitMetrics)
    private val closedAnswers =
        ClosedAnswerCheck(connector, pool) { exitOf(it, fleet.state.value, balancer.notices::isLeaving) }
    private val exchange =
        Exchange(connector, pool, balancer, dependencies.dialect, dependencies.clock, memory, closedAnswers)
    private val lease = leaseOfPlacement()
    private val shutdown = StopSequence(file.process.stopTimeout, dependencies.clock) { balancer.isIsolated.value }
    private val times = startRequestTimeRecord(scope, dependencies.clock, supervisor)
    private val requestEnds =
        RequestEndLog(dependencies.journal, metrics, dependencies.dialect, dependencies.clock, shutdown, times)
    private val quarantineMetrics = QuarantineMetrics(registry)
    private val quarantine = peerTasks.startQuarantine(balancer, quarantineMetrics)
    private val admin =
        GatewayAdmin(registry, ::isReady, { fleet.state.value }, quarantine::status, balancer, noticeMetrics)
    private val handler =
        RequestHandler(
            RequestDependencies(
                fleet = fleet.state,
                routes = ::table,
                balancer = balancer,
                exchange = exchange,
                quarantine = quarantine,
                metrics = quarantineMetrics,
                dialect = dependencies.dialect,
                clock = dependencies.clock,
                random = dependencies.random,
                journal = dependencies.journal,
                shutdown = shutdown,
                times = times,
                eventNumbers = startEventNumberRecord(settings.eventNumbers, scope, supervisor),
            ),
        )
    private var routes: RouteTable? = null
    private val connectionMetrics = ConnectionMetrics("gateway", registry, dependencies.clock)
    private val descriptors = descriptorsToUse()
    private val callerAccounts =
        connectionAccounts(callerLimits(settings, descriptors)) { connectionMetrics.lost("callers", it) }

    // Platform, peers and operators connect to these listeners, so they have little of the memory to themselves.
    private val otherAccounts = connectionAccounts(otherLimits(descriptors)) { connectionMetrics.lost("others", it) }
    private lateinit var ownListeners: NodeListeners

    override val listeners: Map<String, NetworkAddress> get() = ownListeners.addresses

    override suspend fun awaitListeners(): Either<ListenFailure, Unit> =
        ownListeners.await().onRight { logger.info("gateway: {} listens on {}", file.process.id, settings.listen) }

    /** Records a failure of a coroutine that serves one connection or call, which ends with it. */
    private fun recordFailure(cause: Throwable) {
        metrics.taskFailed("connection or call")
        logger.error("gateway: a connection or call failed", cause)
    }

    private fun descriptorsToUse(): Int {
        val allowed = dependencies.allowedDescriptors()
        val used = usedDescriptors(settings, allowed)
        logger.info("gateway: uses {} descriptors, the system allows {}", used, allowed ?: "an unknown number")
        return used
    }

    private fun watchTimesOf(part: FleetPart): WatchTimes =
        fleetWatchTimes(part, file.store.watchWait, file.store.maxSilence, file.store.timeout)

    private fun balancerOptions(): BalancerOptions =
        BalancerOptions(
            self = peer.id,
            localDomain = FailureDomainId(file.process.failureDomain),
            coldFactor = settings.coldFactor,
            coldSlack = settings.coldSlack,
            retryRatio = settings.retryRatio,
            retrySlack = settings.retrySlack,
            retryWindow = settings.retryWindow,
            wallClock = dependencies.wallClock,
        )

    private fun startPool(): ConnectionPool =
        startConnectionPool(scope, fleet, dependencies.clock, supervisor = supervisor) { metrics.surplusReceived() }

    private fun startRequestBalancer(): Balancer {
        val endpoints = endpointBalancer(balancerOptions(), dependencies.random)
        val askGroup: suspend (LiveEndpoint) -> GroupReport? = { endpoint ->
            rankClient.report(endpoint)?.let { GroupReport(it.group, it.state.epoch, it.isOpen) }
        }
        val dispatcher = dispatcher(endpoints, dependencies.random::nextDouble)
        return startBalancer(
            scope,
            BalancerDependencies(
                endpoints,
                dispatcher,
                fleet,
                askGroup,
                dependencies.clock,
                ::recordWithheld,
                noticeMetrics::noticed,
            ),
            supervisor,
        )
    }

    private fun recordWithheld(
        service: ServiceId,
        cause: Unavailability,
        action: LimitAction,
    ) {
        if (cause == Unavailability.AT_NAMED_LIMIT) limitMetrics.held(service, action)
        if (cause != Unavailability.AT_NAMED_LIMIT) noticeMetrics.held(service, cause, action)
    }

    private fun peerService(): PeerService =
        PeerService(fleet::ownView, ::pledge, quarantine::receive, limitExchange::receive, fleet::storeReport)

    fun start() {
        val services =
            GatewayServices(
                callers = ::serveCaller,
                callerBounds = ListenerBounds(::callerHeadBytes, { limits().idleTimeout }, callerAccounts),
                isReady = ::isReady,
                peers = peerService(),
                admin = admin,
                otherAccounts = otherAccounts,
            )
        ownListeners = startGatewayListeners(dependencies.runtime, scope, file, services)
        startExpertBalancer(scope, fleet, lease, rankClient, dependencies.clock, supervisor)
    }

    /** Returns the lease that allows one process of the fleet to balance the experts. */
    private fun leaseOfPlacement(): Lease {
        val delay = MAX_LEASE_DELAY * dependencies.random.nextDouble()
        val requestPledges: suspend (
            Long,
        ) -> Boolean = { requestPledges(connector, peer, fleet.state.value.view.peers, it) }
        // A process with a longer takeover delay reads the lease less often.
        val pollInterval = LEASE_POLL_INTERVAL + delay
        val leaseDependencies =
            LeaseDependencies(
                dependencies.store,
                PLACEMENT_LEASE,
                pollInterval,
                requestPledges,
                dependencies.clock,
                dependencies.suspendAwareClock,
            )
        return storeLease(placementLease(peer.id, delay), leaseDependencies)
    }

    private fun pledge(request: PledgeRequest): PledgeAnswer =
        PledgeAnswer(lease.pledge(request.token), fleet.state.value.view.peers)

    /** Returns the route table of the current configuration, which is built once for each configuration. */
    private fun table(): RouteTable? {
        val configuration = fleet.state.value.view.configuration ?: return null
        val known = routes
        if (known != null && known.configuration === configuration) return known
        return routeTable(configuration).also { routes = it }
    }

    private fun limits(): CallerLimits =
        fleet.state.value.view.configuration
            ?.limits ?: CallerLimits()

    private fun longestRequest(): Duration = table()?.longestTimeout ?: Duration.ZERO

    /** The limit of the configuration may be meant without the request line and the line ends. */
    private fun callerHeadBytes(): Int = 2 * limits().headerBytes

    private suspend fun serveCaller(link: HttpLink) {
        CallerConnection(
            link,
            handler,
            requestEnds,
            dependencies.clock,
            ::limits,
            ::longestRequest,
            shutdown,
            memory,
        ).serve()
    }

    /** Callers are better served elsewhere while this process reaches no group that others may reach. */
    private fun isReady(): Boolean =
        shutdown.times == null && fleet.state.value.isKnown && !balancer.isIsolated.value &&
            supervisor.pausedTasks.value.isEmpty() && ownListeners.areOpen

    override suspend fun stop(): Int =
        withContext(dependencies.runtime.dispatcher) {
            lease.release()
            // A process that does not listen everywhere has not been ready, so no readiness check has to fail first.
            val wasReady = ownListeners.areOpen
            val cut = shutdown.run(dependencies.stopRequestedAt(), wasReady) { ownListeners.close(CALLER_LISTENER) }
            // Each request that is still open writes its last line.
            withTimeoutOrNull(MAX_CANCEL_TIME) { scope.coroutineContext.job.cancelAndJoin() }
            cut
        }

    private companion object {
        val logger = LogManager.getLogger(GatewayNode::class.java)

        /** Spreads the writes of 350 gateways after a restore to 175 a second; the slowest store known takes 400. */
        val MAX_REGISTRATION_DELAY = 2.seconds

        val MIN_STORE_BACKOFF = 250.milliseconds
        val MAX_STORE_BACKOFF = 1_500.milliseconds

        /**
         * Longest random delay of a takeover of the lease, which keeps candidates from writing at the same time. The
         * delay is short, as a group may stay held until a process has taken the lease over.
         */
        val MAX_LEASE_DELAY = 800.milliseconds

        /** Shortest time between two reads of a lease that another process holds. */
        val LEASE_POLL_INTERVAL = 500.milliseconds
        const val PLACEMENT_LEASE = "placement"

        /** Longest wait for the end of cancelled tasks, none of which waits for another process. */
        val MAX_CANCEL_TIME = 100.milliseconds
    }
}
