package org.cicadaturn.bench.endpointlimits

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.cicadaturn.bench.limits.budgetRequestBytes
import org.cicadaturn.bench.limits.grantBytes
import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.decisions.ratelimit.namedLimits
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LimitNews
import org.cicadaturn.schema.generated.LimitNewsTraffic
import org.cicadaturn.schema.generated.OrganisationId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val GATEWAYS = 350
private const val ENDPOINTS = 3_800

/** A tenth of the endpoints has a limit; each limit lasts for as long as in the users' example. */
private const val LIMITED = ENDPOINTS / 10
private const val LIMIT_SECONDS = 19
private const val CHANGES_PER_SECOND = 2 * LIMITED / LIMIT_SECONDS
private const val FAN_OUT = 12
private val interval = 250.milliseconds
private const val ROUNDS_PER_SECOND = 4
private const val SECONDS = 10

/** Rounds after the last change in which what is under way still spreads. */
private const val LAST_ROUNDS = 8

/** Returns the messages with which changes spread from the gateway that notices them, each relayed once. */
internal fun newsTraffic(seed: Long): LimitNewsTraffic {
    val random = Random(seed)
    val limits = List(GATEWAYS) { namedLimits() }
    val heard = HashMap<EndpointId, Int>()
    var messages = 0
    var bytes = 0L
    var slowest = 0
    var changes = 0
    val startedIn = HashMap<EndpointId, Int>()
    for (round in 0 until SECONDS * ROUNDS_PER_SECOND + LAST_ROUNDS) {
        val now = Instant.fromEpochSeconds(0) + interval * round
        if (round < SECONDS * ROUNDS_PER_SECOND) {
            repeat(CHANGES_PER_SECOND / ROUNDS_PER_SECOND) {
                val endpoint = EndpointId("i-%08x".format(changes++))
                startedIn[endpoint] = round
                limits[random.nextInt(GATEWAYS)].named(endpoint, now.toEpochMilliseconds(), NamedLimit.Rate(6.5), now)
            }
        }
        limits.map { it.takeNews(now) }.forEachIndexed { sender, news ->
            if (news.isEmpty()) return@forEachIndexed
            news.forEach { report ->
                heard.merge(report.endpoint, 1, Int::plus)
                slowest = maxOf(slowest, round - startedIn.getValue(report.endpoint))
            }
            val peers = (0 until GATEWAYS).filter { it != sender }.shuffled(random).take(FAN_OUT)
            messages += peers.size
            bytes += peers.size * newsBytes(LimitNews(news))
            peers.forEach { peer -> news.forEach { limits[peer].reported(it, now) } }
        }
    }
    val all = changes.toDouble() * GATEWAYS
    return LimitNewsTraffic(
        name = "news, $CHANGES_PER_SECOND changes a second",
        messages = messages.toDouble() / GATEWAYS / SECONDS,
        bytes = bytes.toDouble() / GATEWAYS / SECONDS,
        unreached = 1 - heard.values.sum() / all,
        slowestSeconds = slowest * (interval / 1.seconds),
    )
}

@OptIn(ExperimentalSerializationApi::class)
private fun newsBytes(news: LimitNews): Int = Cbor.encodeToByteArray(LimitNews.serializer(), news).size + Int.SIZE_BYTES

/** Lease for a limit whose rule counts windows of 4 s: a longer one would reserve more than the limit allows. */
private const val LEASE_SECONDS = 4

/** Returns the messages of leases of each gateway for each limited endpoint, from an allocator for each endpoint. */
internal fun leaseTraffic(): LimitNewsTraffic {
    val request = LimitRequest(id = 1, tokens = 1, waitUntil = Instant.fromEpochSeconds(0))
    val organisation = OrganisationId("i-%08x".format(1))
    val leases = LIMITED.toDouble() / LEASE_SECONDS
    return LimitNewsTraffic(
        name = "leases for $LIMITED limited endpoints",
        messages = 2 * leases,
        bytes = leases * (budgetRequestBytes(organisation, request) + grantBytes(organisation, request)),
        unreached = 0.0,
        slowestSeconds = 0.0,
    )
}
