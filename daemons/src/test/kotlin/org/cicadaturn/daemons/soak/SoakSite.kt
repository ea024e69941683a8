package org.cicadaturn.daemons.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.site.BOUNDS
import org.cicadaturn.daemons.site.ENDPOINTS
import org.cicadaturn.daemons.site.EndpointMachine
import org.cicadaturn.daemons.site.EndpointPlan
import org.cicadaturn.daemons.site.GatewayProcess
import org.cicadaturn.daemons.site.Ingress
import org.cicadaturn.daemons.site.ObjectKey
import org.cicadaturn.daemons.site.Roughness
import org.cicadaturn.daemons.site.SiteEndpoint
import org.cicadaturn.daemons.site.SiteTraffic
import org.cicadaturn.daemons.site.StoreContent
import org.cicadaturn.daemons.site.StoreServer
import org.cicadaturn.daemons.site.gatewayAddresses
import org.cicadaturn.daemons.site.randomsFor
import org.cicadaturn.daemons.site.seedsOf
import org.cicadaturn.daemons.site.siteCallers
import org.cicadaturn.daemons.site.siteConfiguration
import org.cicadaturn.daemons.site.siteEndpoints
import org.cicadaturn.daemons.site.write
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a soak consists of.
 *
 * @property seed determines requests and faults
 * @property groups number of groups that the twelve engines form
 * @property rounds number of times that faults come and service has to come back
 * @property faultsPerRound number of faults that come before the closing one of a round
 * @property busyProcesses processes beside the soak that use a core each
 */
internal data class SoakPlan(
    val seed: Int,
    val gateways: Int,
    val groups: Int,
    val rounds: Int,
    val faultsPerRound: Int,
    val faults: List<NamedFault>,
    val closingFaults: List<NamedFault>,
    val busyProcesses: Int = 0,
)

/** Time after the last fault from which a quarter of the requests must be served: recovery_s of the deployments. */
internal val RECOVERY = 12.seconds

/** Machine of an endpoint behind [proxy]. */
internal class SoakMachine(
    val proxy: LoopbackProxy,
) {
    val state = MutableStateFlow(EndpointMachine())

    /** Kills the endpoint, whose connections are closed. */
    fun stop() {
        state.update { it.copy(isUp = false) }
        proxy.pass(Passage(accepts = false))
        proxy.cut()
    }

    /** Takes the machine down without a close of its connections; new ones hang. */
    fun losePower() {
        state.update { it.copy(isUp = false) }
        proxy.pass(Passage(forwards = false))
        proxy.silence()
    }

    fun start() {
        state.update { EndpointMachine(it.starts + 1) }
        proxy.pass(Passage())
    }
}

/** Gateway processes under faults, with a store, endpoints and callers as those of the site tests. */
internal class SoakSite(
    private val plan: SoakPlan,
    directory: Path,
) : AutoCloseable {
    private val dispatcher = Executors.newCachedThreadPool().asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val randomFor = randomsFor(plan.seed)
    val journal = SoakJournal()
    private val storeServer = StoreServer(scope)

    /** Proxy in front of the store. */
    val store = LoopbackProxy(scope)
    val machines = List(ENDPOINTS) { SoakMachine(LoopbackProxy(scope)) }
    val gateways: List<GatewaySupervisor>
    private val ingress: Ingress
    private val busy = List(plan.busyProcesses) { ProcessBuilder("sh", "-c", "while :; do :; done").start() }
    private val endOfJvm = Thread { killAll() }

    init {
        val addresses = gatewayAddresses(plan.gateways)
        val storeAddress = store.start(storeServer.address)
        val processes = addresses.map { GatewayProcess(it, directory, storeAddress, seedsOf(addresses), BOUNDS) }
        gateways = processes.map { GatewaySupervisor(it, journal, scope) }
        ingress = Ingress(processes)
    }

    /** Starts everything but the traffic and waits until all gateways are ready. */
    suspend fun start() {
        Runtime.getRuntime().addShutdownHook(endOfJvm)
        storeServer.start()
        val configuration = Json.parseToJsonElement(siteConfiguration(version = 3))
        storeServer.update { it.write(ObjectKey("config", "main"), configuration) }
        endpoints().forEach { it.start() }
        gateways.forEach { it.start() }
        ingress.start(scope)
        withTimeout(START_LIMIT) { awaitReady(gateways) }
        delay(1.seconds)
    }

    private fun endpoints(): List<SiteEndpoint> {
        // The answers have a length or chunks, as a proxy that closes connections must not make an answer look whole.
        val endpoints = EndpointPlan(plan.groups, Roughness.of(1.0), unframed = 0.0)
        return siteEndpoints(endpoints, randomFor, scope, journal.site::record, { machines[it].state }) { parts ->
            val machine = machines[parts.number]
            SiteEndpoint(parts, storeServer, journal.site, scope, machine.state, machine.proxy::start)
        }
    }

    /** Lets callers send requests beside the rounds of faults; waits for the last answers. */
    suspend fun run() {
        val callers = siteCallers(ingress, journal.site, randomFor, scope).onEach { it.start() }
        val observe =
            SiteTraffic(callers, journal.site, randomFor(2), TAIL) { journal.record(DemandSeen(it.number, it.madeAt)) }
        val traffic = scope.launch { observe.sendUntil(Duration.INFINITE) }
        delay(2.seconds)
        repeat(plan.rounds) { runRound(it) }
        traffic.cancelAndJoin()
        delay(LAST_ANSWERS)
        // Runs that are still in progress tell their end when they are cancelled.
        scope.coroutineContext.job.cancelAndJoin()
    }

    private suspend fun runRound(number: Int) {
        injectAll(number)
        val faultsEnd = journal.now()
        val unready =
            coroutineScope {
                gateways
                    .map {
                        async {
                            it.node.takeIf { _ ->
                                withTimeoutOrNull(RECOVERY) { awaitReady(listOf(it)) } ==
                                    null
                            }
                        }
                    }.awaitAll()
                    .filterNotNull()
            }
        delay(faultsEnd + RECOVERY + MEASURED - journal.now())
        journal.record(RoundSeen(faultsEnd, journal.now(), unready))
        delay(STREAM_LENGTH)
    }

    private suspend fun injectAll(round: Int) =
        coroutineScope {
            val random = randomFor(200 + 20 * round)
            val drawn = List(plan.faultsPerRound) { plan.faults.randomOrNull(random) }.filterNotNull()
            drawn.forEachIndexed { i, fault ->
                val at = random.nextInt(FAULTS_LENGTH.inWholeMilliseconds.toInt()).milliseconds
                launch { inject(fault, at, 201 + 20 * round + i) }
            }
            plan.closingFaults.randomOrNull(random)?.let { launch { inject(it, FAULTS_LENGTH, 219 + 20 * round) } }
        }

    private suspend fun inject(
        fault: NamedFault,
        at: Duration,
        part: Int,
    ) {
        delay(at)
        val from = journal.now()
        fault.inject(this, randomFor(part))
        journal.record(FaultSeen(fault.name, from, journal.now()))
    }

    private suspend fun awaitReady(awaited: List<GatewaySupervisor>) {
        while (!awaited.all { it.gateway.isReady() }) delay(100.milliseconds)
    }

    /** Restores the store after [age] to its present content. */
    suspend fun restoreStore(age: Duration) {
        val copy: StoreContent = storeServer.copy()
        delay(age)
        storeServer.restore(copy)
    }

    private fun killAll() {
        gateways.forEach { it.killNow() }
        busy.forEach { it.destroyForcibly() }
    }

    override fun close() {
        runBlocking { scope.coroutineContext.job.cancelAndJoin() }
        killAll()
        dispatcher.close()
        Runtime.getRuntime().removeShutdownHook(endOfJvm)
    }

    private companion object {
        const val TAIL = 1.0
        val START_LIMIT = 60.seconds

        /** Time after [RECOVERY] in which requests are counted. */
        val MEASURED = 4.seconds
        val LAST_ANSWERS = 9.seconds

        /** Time that most streams take; faults that come sooner would break off those that are counted. */
        val STREAM_LENGTH = 3.seconds
    }
}
