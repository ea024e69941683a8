package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a site consists of.
 *
 * @property seed determines the requests, faults and stops, but not their order
 * @property groups number of groups that the twelve engines form
 * @property roughness factor of the usual faults
 * @property overlap probability that a stop begins within another one
 * @property tail standard deviation of the logarithm of the number of events of a stream
 * @property unframed share of the answers of endpoints that have neither a length nor chunks; see [shapeChoice]
 */
internal data class SitePlan(
    val seed: Int,
    val gateways: Int,
    val groups: Int,
    val roughness: Double,
    val overlap: Double,
    val tail: Double,
    val unframed: Double,
)

/** Gateway processes with a store, endpoints and callers at the rates of the deployment premia-ne, on loopback. */
internal class Site(
    private val plan: SitePlan,
    directory: Path,
) : AutoCloseable {
    private val dispatcher = Executors.newCachedThreadPool().asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    val journal = SiteJournal()
    val store = StoreServer(scope)
    private val randomFor = randomsFor(plan.seed)
    private val addresses = gatewayAddresses(plan.gateways)
    private val gateways =
        addresses.map { GatewayProcess(it, directory, store.address, seedsOf(addresses), BOUNDS) }
    private val ingress = Ingress(gateways)
    private val endOfJvm = Thread { gateways.forEach { it.kill() } }
    private val callers = siteCallers(ingress, journal, randomFor, scope)

    /** Starts everything but the traffic and waits until all gateways are ready. */
    suspend fun start() {
        Runtime.getRuntime().addShutdownHook(endOfJvm)
        store.start()
        store.update { it.write(ObjectKey("config", "main"), Json.parseToJsonElement(siteConfiguration(version = 3))) }
        val endpoints = EndpointPlan(plan.groups, Roughness.of(plan.roughness), plan.unframed)
        siteEndpoints(endpoints, randomFor, scope, journal::record) { parts ->
            SiteEndpoint(parts, store, journal, scope)
        }.forEach { it.start() }
        gateways.forEach { it.start() }
        ingress.start(scope)
        callers.forEach { it.start() }
        withTimeout(START_LIMIT) { while (!gateways.all { it.isReady() }) delay(100.milliseconds) }
        delay(1.seconds)
    }

    /** Lets callers send requests, and stops gateways one after the other, for [length]; waits for the last answers. */
    suspend fun run(length: Duration) {
        val end = journal.now() + length
        val stops = scope.launch { RollingStops(gateways, journal, randomFor(1), plan.overlap).run(end) }
        SiteTraffic(callers, journal, randomFor(2), plan.tail).sendUntil(end)
        stops.join()
        delay(LAST_ANSWERS)
        // Runs that are still in progress tell their end when they are cancelled.
        scope.coroutineContext.job.cancelAndJoin()
    }

    override fun close() {
        gateways.forEach { it.kill() }
        runBlocking { scope.coroutineContext.job.cancelAndJoin() }
        dispatcher.close()
        Runtime.getRuntime().removeShutdownHook(endOfJvm)
    }

    private companion object {
        val START_LIMIT = 40.seconds
        val LAST_ANSWERS = 9.seconds
    }
}
