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
import org.cicadaturn.bench.load.Callers
import org.cicadaturn.bench.load.TrafficOptions
import org.cicadaturn.bench.load.renderTraffic
import org.cicadaturn.bench.load.sendTraffic
import org.cicadaturn.bench.load.summarise
import org.cicadaturn.daemons.command.DemoDrive
import org.cicadaturn.daemons.command.DemoSite
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

/** Writes the first configuration of a demonstration. */
internal fun configureDemo(site: DemoSite): Int =
    runBlocking {
        httpObjectStore(site.store, 5.seconds, FailureDomainId("")).use { store ->
            store.put(CONFIGURATION_KEY, encodeConfiguration(configurationOf(site)), expected = null).fold(
                {
                    System.err.println("demo: the configuration was not written: ${it.message}")
                    FAILED_RUN
                },
                { SUCCESS },
            )
        }
    }

private fun configurationOf(site: DemoSite): Configuration =
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
            site.endpoints
                .map { it.failureDomain }
                .distinct()
                .map { FailureDomain(it, AdmissionState.IN_SERVICE) },
        endpoints = site.endpoints,
        organisations =
            listOf(Organisation(OrganisationId("demo"), listOf(digestOf(site.organisationKey)), 10_000, 100_000_000)),
        operators = listOf(Operator("demo", digestOf(site.operatorKey), mayConfirm = true)),
    )

/** Applies load and prints the result; fails if anything was lost, doubled, cut or wrong. */
internal fun driveDemo(drive: DemoDrive): Int =
    runBlocking(Dispatchers.Default) {
        val options =
            TrafficOptions(
                entries = drive.entries,
                bearerKey = drive.organisationKey,
                model = DRAFT_MODEL,
                orderPath = "/$ORDER_SERVICE",
                draftsPerSecond = drive.draftsPerSecond,
                ordersPerSecond = drive.ordersPerSecond,
                draftTokens = DRAFT_TOKENS,
                deadline = DEADLINE,
                duration = drive.duration,
                seed = drive.seed,
            )
        val results =
            coroutineScope {
                val move = drive.drain?.let { domain -> async { moveDomain(drive, FailureDomainId(domain)) } }
                val traffic = Callers().use { sendTraffic(options, it) }
                if (move?.await() == false) return@coroutineScope null
                traffic
            } ?: return@runBlocking FAILED_RUN
        val runs = HttpClient(CIO).use { client -> drive.orderServices.map { runsOf(client, it) } }
        val report = summarise(results, runs, options.deadline)
        val text = if (drive.format == OutputFormat.JSON) Json.encodeToString(report) else renderTraffic(report)
        println(text)
        if (isClean(report)) SUCCESS else FAILED_RUN
    }

/** Takes [domain] out after a quarter of the load and back after half of it; false if a plan was refused. */
private suspend fun moveDomain(
    drive: DemoDrive,
    domain: FailureDomainId,
): Boolean {
    val operator = DemoOperator(drive.admins.first(), drive.operatorKey)
    delay(drive.duration / 4)
    val out = operator.changeState(domain, AdmissionState.DRAINED) ?: return false
    show(drive, "revision $out: $domain is taken out")
    val idle = operator.awaitIdle(domain, drive.duration / 4)
    show(drive, if (idle == null) "$domain still has work" else "$domain has no work left after $idle")
    delay(drive.duration / 4)
    val back = operator.changeState(domain, AdmissionState.IN_SERVICE) ?: return false
    show(drive, "revision $back: $domain is back")
    return true
}

private fun show(
    drive: DemoDrive,
    text: String,
) {
    if (drive.format == OutputFormat.TEXT) println("demo: $text")
}

private fun isClean(report: TrafficReport): Boolean =
    report.lost == 0 &&
        report.doubled == 0 &&
        report.falseNotRun == 0 &&
        report.kinds.all { it.cut == 0 && it.wrong == 0 && it.sent > 0 }

private suspend fun runsOf(
    client: HttpClient,
    service: NetworkAddress,
): OrderRuns = json.decodeFromString(client.get("http://${service.ip}:${service.port}/runs").bodyAsText())
