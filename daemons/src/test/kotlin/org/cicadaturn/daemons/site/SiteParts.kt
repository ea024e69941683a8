package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the random numbers of each part of a site with [seed]; several threads may use those of one part. */
internal fun randomsFor(seed: Int): (Int) -> Random = { java.util.Random(seed * 1_000L + it).asKotlinRandom() }

/** Returns the addresses of the gateways that the others ask for the members of the system. */
internal fun seedsOf(addresses: List<GatewayAddresses>): String =
    addresses.take(SEEDS).joinToString(",") { "127.0.0.1:${it.control}" }

/**
 * Endpoints of a site.
 *
 * @property groups number of groups that the twelve engines form
 * @property unframed share of the answers of endpoints that have neither a length nor chunks; see [shapeChoice]
 */
internal data class EndpointPlan(
    val groups: Int,
    val roughness: Roughness,
    val unframed: Double,
)

/** What the endpoint [number] of a site is made of, beside what all endpoints share. */
internal data class EndpointParts(
    val number: Int,
    val id: String,
    val zone: String,
    val behaviour: EndpointBehaviour,
    val random: Random,
    val shapes: ShapeChoice,
)

/**
 * Returns twelve engines, whose groups run in [scope], and a plain endpoint in each zone.
 *
 * @param machineOf returns the state of the machine of an endpoint by its number
 */
internal fun siteEndpoints(
    plan: EndpointPlan,
    randomFor: (Int) -> Random,
    scope: CoroutineScope,
    record: (SiteEvent) -> Unit,
    machineOf: (Int) -> StateFlow<EndpointMachine> = { MutableStateFlow(EndpointMachine()) },
    create: (EndpointParts) -> SiteEndpoint,
): List<SiteEndpoint> {
    val engines =
        (0 until ENGINES).chunked(ENGINES / plan.groups).flatMapIndexed { number, members ->
            val machines = members.map(machineOf)
            val group = EngineGroup("g$number", machines, randomFor(10 + number), plan.roughness, record)
            group.start(scope)
            List(members.size) { engineBehaviour("g$number", group, it) }
        }
    val plain = List(ZONES.size) { plainBehaviour(randomFor(20 + it), plan.roughness) }
    return (engines + plain).mapIndexed { i, behaviour ->
        val random = randomFor(30 + i)
        val id = "i-%08x".format(random.nextInt())
        val shapes = shapeChoice(plan.unframed, randomFor(60 + i))
        create(EndpointParts(i, id, ZONES[i % ZONES.size], behaviour, random, shapes))
    }
}

/** Returns the callers of a site, spread over its zones. */
internal fun siteCallers(
    ingress: Ingress,
    journal: SiteJournal,
    randomFor: (Int) -> Random,
    scope: CoroutineScope,
): List<SiteCaller> =
    List(CALLERS) { SiteCaller(it, ZONES[it % ZONES.size], ingress, journal, randomFor(100 + it), scope) }

/**
 * Requests of [callers] at the rates of [DEMANDS].
 *
 * @param tail standard deviation of the logarithm of the number of events of a stream
 * @param observe is told each request when it is sent
 */
internal class SiteTraffic(
    private val callers: List<SiteCaller>,
    private val journal: SiteJournal,
    private val random: Random,
    private val tail: Double,
    private val observe: (Demanded) -> Unit = {},
) {
    /** Lets the callers send requests until the time [end] of the journal. */
    suspend fun sendUntil(end: Duration) {
        val total = DEMANDS.sumOf { it.perSecond }
        var at = journal.now()
        var number = 1
        while (at < end) {
            at += (-ln(1 - random.nextDouble()) / total).seconds
            delay(at - journal.now())
            var left = random.nextDouble() * total
            val demand = DEMANDS.first { d -> left.also { left -= d.perSecond } < d.perSecond }
            val usesNewConnection = random.nextInt(100) < NEW_CONNECTIONS_PERCENT
            val caller = callers.random(random)
            val demanded = Demanded(demand, number++, eventsOf(random), usesNewConnection, journal.now())
            observe(demanded)
            caller.send(demanded)
        }
    }

    private fun eventsOf(random: Random): Int =
        (MEDIAN_EVENTS * exp(tail * random.asJavaRandom().nextGaussian())).toInt().coerceIn(1, MAX_EVENTS)

    private companion object {
        const val NEW_CONNECTIONS_PERCENT = 20

        /** The mean is 22 to 25 events for tails from 0.7 to 1.3, as longer streams are cut to the maximum. */
        const val MEDIAN_EVENTS = 18
        const val MAX_EVENTS = 60
    }
}

private const val SEEDS = 3
private const val ENGINES = 12

/** Number of endpoints of a site. */
internal const val ENDPOINTS = ENGINES + 3
private const val CALLERS = 72
