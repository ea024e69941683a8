package org.cicadaturn.daemons

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.cicadaturn.bench.load.TrafficClient
import org.cicadaturn.bench.load.TrafficOptions
import org.cicadaturn.bench.load.renderTraffic
import org.cicadaturn.bench.load.sendTraffic
import org.cicadaturn.bench.load.summariseTraffic
import org.cicadaturn.daemons.command.DemoLoad
import org.cicadaturn.daemons.command.DemoSetup
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.OrderRuns
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.schema.generated.TrafficReport
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.store.httpObjectStore
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

private const val DRAFT_SERVICE = "drafts"
private const val ORDER_SERVICE = "orders"
private const val DRAFT_MODEL = "draft"
private const val DRAFT_TOKENS = 24
private val DEADLINE = 10.seconds
private val json = Json { ignoreUnknownKeys = true }

/** Writes the first configuration of the demonstration; returns the exit code. */
internal fun configureDemo(setup: DemoSetup): Int =
    runBlocking {
        httpObjectStore(setup.store, 5.seconds, FailureDomainId("")).use { store ->
            store.put(CONFIGURATION_KEY, encodeConfiguration(configurationOf(setup)), expected = null).fold(
                {
                    System.err.println("demo: the configuration was not written: ${it.message}")
                    FAILED_RUN
                },
                { SUCCESS },
            )
        }
    }

private fun configurationOf(setup: DemoSetup): Configuration =
    Configuration(
        revision = Revision(1),
        acceptedAt = Clock.System.now(),
        acceptedBy = "demo",
        change = "first configuration",
        services =
            listOf(
                Service(ServiceId(DRAFT_SERVICE), ServiceKind.MODEL, listOf(DRAFT_MODEL), idempotent = true, DEADLINE),
                Service(
                    ServiceId(ORDER_SERVICE),
                    ServiceKind.PLAIN,
                    emptyList(),
                    idempotent = false,
                    DEADLINE,
                    priority = 1,
                ),
            ),
        failureDomains =
            setup.endpoints
                .map { it.failureDomain }
                .distinct()
                .map { FailureDomain(it, AdmissionState.IN_SERVICE) },
        endpoints = setup.endpoints,
        organisations =
            listOf(Organisation(OrganisationId("demo"), listOf(digestOf(setup.organisationKey)), 10_000, 100_000_000)),
        operators = listOf(Operator("demo", digestOf(setup.operatorKey), mayConfirm = true)),
    )

/**
 * Applies load and prints the result; returns the exit code.
 *
 * The run fails if an order was lost, ran twice or ran although it was reported as not_run, if an answer was cut off or
 * wrong, or if no call of a kind was sent.
 */
internal fun runDemoLoad(load: DemoLoad): Int =
    runBlocking(Dispatchers.Default) {
        val options =
            TrafficOptions(
                entries = load.entries,
                bearerKey = load.organisationKey,
                model = DRAFT_MODEL,
                orderPath = "/$ORDER_SERVICE",
                draftsPerSecond = load.draftsPerSecond,
                ordersPerSecond = load.ordersPerSecond,
                draftTokens = DRAFT_TOKENS,
                deadline = DEADLINE,
                duration = load.duration,
                seed = load.seed,
            )
        val results =
            coroutineScope {
                val drainTask = load.drain?.let { domain -> async { drainAndReturn(load, FailureDomainId(domain)) } }
                val traffic = TrafficClient().use { sendTraffic(options, it) }
                if (drainTask?.await() == false) return@coroutineScope null
                traffic
            } ?: return@runBlocking FAILED_RUN
        val runs = HttpClient(CIO).use { client -> load.orderServices.map { fetchRuns(client, it) } }
        val report = summariseTraffic(results, runs, options.deadline)
        val text = if (load.format == OutputFormat.JSON) Json.encodeToString(report) else renderTraffic(report)
        println(text)
        if (isClean(report)) SUCCESS else FAILED_RUN
    }

/**
 * Drains [domain] after a quarter of the load's duration, waits until it is idle and returns it to service.
 *
 * Returns false if a plan was refused.
 */
private suspend fun drainAndReturn(
    load: DemoLoad,
    domain: FailureDomainId,
): Boolean {
    val operator = DemoOperator(load.admins.first(), load.operatorKey)
    delay(load.duration / 4)
    val drained = operator.changeState(domain, AdmissionState.DRAINED) ?: return false
    printProgress(load, "revision $drained: $domain is drained")
    val idleAfter = operator.awaitIdle(domain, load.duration / 4)
    val state = if (idleAfter == null) "still has requests in flight" else "is idle after $idleAfter"
    printProgress(load, "$domain $state")
    delay(load.duration / 4)
    val returned = operator.changeState(domain, AdmissionState.IN_SERVICE) ?: return false
    printProgress(load, "revision $returned: $domain is back in service")
    return true
}

private fun printProgress(
    load: DemoLoad,
    text: String,
) {
    if (load.format == OutputFormat.TEXT) println("demo: $text")
}

private fun isClean(report: TrafficReport): Boolean =
    report.lost == 0 &&
        report.doubled == 0 &&
        report.falseNotRun == 0 &&
        report.kinds.all { it.cut == 0 && it.wrong == 0 && it.sent > 0 }

private suspend fun fetchRuns(
    client: HttpClient,
    service: NetworkAddress,
): OrderRuns = json.decodeFromString(client.get("http://${service.ip}:${service.port}/runs").bodyAsText())
