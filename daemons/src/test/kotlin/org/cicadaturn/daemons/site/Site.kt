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
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.random.asKotlinRandom
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
    private val addresses = gatewayAddresses(plan.gateways)
    private val seeds = addresses.take(SEEDS).joinToString(",") { "127.0.0.1:${it.control}" }
    private val gateways = addresses.map { GatewayProcess(it, directory, store.address, seeds, BOUNDS) }
    private val ingress = Ingress(gateways)
    private val endOfJvm = Thread { gateways.forEach { it.kill() } }
    private val callers =
        List(CALLERS) { SiteCaller(it, ZONES[it % ZONES.size], ingress, journal, randomFor(100 + it), scope) }

    /** Returns a source of random numbers that several threads may use. */
    private fun randomFor(part: Int): Random = java.util.Random(plan.seed * 1_000L + part).asKotlinRandom()

    /** Starts everything but the traffic and waits until all gateways are ready. */
    suspend fun start() {
        Runtime.getRuntime().addShutdownHook(endOfJvm)
        store.start()
        store.update { it.write(ObjectKey("config", "main"), Json.parseToJsonElement(siteConfiguration(version = 3))) }
        endpoints().forEach { it.start() }
        gateways.forEach { it.start() }
        ingress.start(scope)
        callers.forEach { it.start() }
        withTimeout(START_LIMIT) { while (!gateways.all { it.isReady() }) delay(100.milliseconds) }
        delay(1.seconds)
    }

    private fun endpoints(): List<SiteEndpoint> {
        val roughness = Roughness.of(plan.roughness)
        val size = ENGINES / plan.groups
        val engines =
            List(plan.groups) { number ->
                val group = EngineGroup(size, randomFor(10 + number), roughness).also { it.start(scope) }
                List(size) { engineBehaviour("g$number", group, it) }
            }.flatten()
        val plain = List(ZONES.size) { plainBehaviour(randomFor(20 + it), roughness) }
        return (engines + plain).mapIndexed { i, behaviour ->
            val random = randomFor(30 + i)
            val id = "i-%08x".format(random.nextInt())
            val shapes = shapeChoice(plan.unframed, randomFor(60 + i))
            SiteEndpoint(id, ZONES[i % ZONES.size], behaviour, store, journal, random, shapes, scope)
        }
    }

    /** Lets callers send requests, and stops gateways one after the other, for [length]; waits for the last answers. */
    suspend fun run(length: Duration) {
        val end = journal.now() + length
        val stops = scope.launch { RollingStops(gateways, journal, randomFor(1), plan.overlap).run(end) }
        sendUntil(end)
        stops.join()
        delay(LAST_ANSWERS)
        // Runs that are still in progress tell their end when they are cancelled.
        scope.coroutineContext.job.cancelAndJoin()
    }

    private suspend fun sendUntil(end: Duration) {
        val random = randomFor(2)
        val total = DEMANDS.sumOf { it.perSecond }
        var at = journal.now()
        var number = 1
        while (at < end) {
            at += (-ln(1 - random.nextDouble()) / total).seconds
            delay(at - journal.now())
            var left = random.nextDouble() * total
            val demand = DEMANDS.first { d -> left.also { left -= d.perSecond } < d.perSecond }
            val usesNewConnection = random.nextInt(100) < NEW_CONNECTIONS_PERCENT
            callers.random(random).send(Demanded(demand, number++, eventsOf(random), usesNewConnection, journal.now()))
        }
    }

    private fun eventsOf(random: Random): Int =
        (MEDIAN_EVENTS * exp(plan.tail * random.asJavaRandom().nextGaussian())).toInt().coerceIn(1, MAX_EVENTS)

    override fun close() {
        gateways.forEach { it.kill() }
        runBlocking { scope.coroutineContext.job.cancelAndJoin() }
        dispatcher.close()
        Runtime.getRuntime().removeShutdownHook(endOfJvm)
    }

    private companion object {
        const val SEEDS = 3
        const val ENGINES = 12
        const val CALLERS = 72
        const val NEW_CONNECTIONS_PERCENT = 20

        /** The mean is 22 to 25 events for tails from 0.7 to 1.3, as longer streams are cut to the maximum. */
        const val MEDIAN_EVENTS = 18
        const val MAX_EVENTS = 60
        val START_LIMIT = 40.seconds
        val LAST_ANSWERS = 9.seconds
    }
}
