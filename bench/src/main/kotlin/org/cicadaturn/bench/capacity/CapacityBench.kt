package org.cicadaturn.bench.capacity

import org.cicadaturn.decisions.configuration.configurationIndex
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.routing.AttemptOutcome
import org.cicadaturn.decisions.routing.Choice
import org.cicadaturn.decisions.routing.EndpointDirectory
import org.cicadaturn.decisions.routing.RoutingQuery
import org.cicadaturn.decisions.routing.endpointDirectory
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.CapacityResult
import org.cicadaturn.schema.generated.CapacityRow
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.configuration.packedConfigurationBytes
import org.cicadaturn.tasks.wire.encodeFrame
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

private const val TARGET_ENDPOINTS = 3_800
private const val TARGET_ORGANISATIONS = 870
private const val DOMAINS = 16
private const val LENGTH_BYTES = 4
private const val CHOICES = 2_000
private val endpointSizes = listOf(10, 100, 1_000, 3_800)
private val organisationSizes = listOf(10, 100, 870)
private val drafts = ServiceId("drafts")

/** Measures sizes of state and messages, and the time of a choice, over ladders of sizes; [seed] seeds the chooser. */
public fun capacityBench(seed: Long): CapacityResult =
    CapacityResult(
        listOf(
            row("configuration in the store", "bytes", "endpoints", endpointSizes, TARGET_ENDPOINTS) {
                encodeConfiguration(configuration(it, 0)).length.toDouble()
            },
            row("configuration in the store", "bytes", "organisations", organisationSizes, TARGET_ORGANISATIONS) {
                encodeConfiguration(configuration(0, it)).length.toDouble()
            },
            row("configuration between processes", "bytes", "endpoints", endpointSizes, TARGET_ENDPOINTS) {
                packedConfigurationBytes(configuration(it, 0)).toDouble()
            },
            row("configuration between processes", "bytes", "organisations", organisationSizes, TARGET_ORGANISATIONS) {
                packedConfigurationBytes(configuration(0, it)).toDouble()
            },
            row(
                "heap of index and directory",
                "bytes",
                "endpoints",
                endpointSizes,
                TARGET_ENDPOINTS,
            ) { heap(it, 0, seed) },
            row(
                "heap of index",
                "bytes",
                "organisations",
                organisationSizes,
                TARGET_ORGANISATIONS,
            ) { heap(0, it, seed) },
            row(
                "time of a choice",
                "microseconds",
                "endpoints",
                endpointSizes,
                TARGET_ENDPOINTS,
            ) { choiceMicros(it, seed) },
            row("load report frame", "bytes", "frames", listOf(1, 2, 4), 1) { it * frameBytes(Frame.Load(report(1))) },
            row("ping frame", "bytes", "frames", listOf(1, 2, 4), 1) { it * frameBytes(Frame.Ping(1_000)) },
            row("configuration offer frame", "bytes", "frames", listOf(1, 2, 4), 1) {
                it * frameBytes(Frame.ConfigurationOffer(Revision(1_000)))
            },
        ),
    )

private fun row(
    quantity: String,
    unit: String,
    over: String,
    sizes: List<Int>,
    target: Int,
    measure: (Int) -> Double,
): CapacityRow {
    val values = sizes.map(measure)
    val meanX = sizes.average()
    val meanY = values.average()
    val slope =
        sizes.zip(values).sumOf { (x, y) -> (x - meanX) * (y - meanY) } / sizes.sumOf { (it - meanX) * (it - meanX) }
    return CapacityRow(quantity, unit, over, sizes, values, slope, target, meanY + slope * (target - meanX))
}

private fun frameBytes(frame: Frame): Double = (encodeFrame(frame).size + LENGTH_BYTES).toDouble()

private fun configuration(
    endpoints: Int,
    organisations: Int,
): Configuration =
    Configuration(
        revision = Revision(1),
        acceptedAt = Instant.fromEpochSeconds(1_800_000_000),
        acceptedBy = "operator",
        services = listOf(Service(drafts, ServiceKind.MODEL, listOf("draft"), idempotent = true, 10.seconds)),
        failureDomains = List(DOMAINS) { FailureDomain(domain(it), AdmissionState.IN_SERVICE) },
        endpoints = List(endpoints) { endpoint(it) },
        organisations = List(organisations) { organisation(it) },
    )

private fun domain(i: Int): FailureDomainId = FailureDomainId("domain-${i % DOMAINS}")

private fun endpoint(i: Int): Endpoint {
    val address = NetworkAddress("10.${i shr 16}.${(i shr 8) and 255}.${i and 255}", 7_000)
    return Endpoint(EndpointId("endpoint-$i"), HostId("host-$i"), domain(i), drafts, address, AdmissionState.IN_SERVICE)
}

private fun organisation(i: Int): Organisation =
    Organisation(OrganisationId("organisation-$i"), listOf(digestOf("key-$i")), 100, 1_000_000)

private fun report(i: Int): LoadReport =
    LoadReport(EndpointId("endpoint-$i"), drafts, 1_000, EngineState.WARM, 10, 2, 32, 6_000, accepting = true)

private fun directory(
    configuration: Configuration,
    seed: Long,
): EndpointDirectory {
    val now = Instant.fromEpochSeconds(1_800_000_000)
    val directory = endpointDirectory(domain(0), 1.milliseconds, sampledChooser(Random(seed)))
    directory.configure(configurationIndex(configuration), now)
    configuration.endpoints.forEachIndexed { i, e ->
        directory.connected(e.id, up = true)
        directory.reported(e.id, report(i), now)
    }
    return directory
}

/** Returns the live heap that the state for these sizes adds. */
private fun heap(
    endpoints: Int,
    organisations: Int,
    seed: Long,
): Double {
    val before = usedHeap()
    val configuration = configuration(endpoints, organisations)
    val held = listOf(configurationIndex(configuration), directory(configuration, seed))
    val after = usedHeap()
    check(held.isNotEmpty()) { "the state must stay reachable until it is measured" }
    return (after - before).toDouble()
}

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private fun choiceMicros(
    endpoints: Int,
    seed: Long,
): Double {
    val directory = directory(configuration(endpoints, 0), seed)
    val now = Instant.fromEpochSeconds(1_800_000_000)
    val query = RoutingQuery(drafts, 300, now + 10.seconds)
    repeat(CHOICES) { chooseOnce(directory, query, now) }
    val start = TimeSource.Monotonic.markNow()
    repeat(CHOICES) { chooseOnce(directory, query, now) }
    return start.elapsedNow().inWholeNanoseconds / 1_000.0 / CHOICES
}

private fun chooseOnce(
    directory: EndpointDirectory,
    query: RoutingQuery,
    now: Instant,
) {
    val choice = directory.choose(query, now)
    if (choice is Choice.Chosen) directory.finished(choice.endpoint, query.tokens, AttemptOutcome.Neutral, now)
}

/** Returns [result] as a table for people. */
public fun renderCapacity(result: CapacityResult): String =
    result.rows.joinToString("\n") { r ->
        val points = r.sizes.zip(r.values).joinToString(", ") { (x, y) -> "%d: %.1f".format(x, y) }
        "%s over %s (%s): %s; slope %.3f; at %d: %.1f".format(
            r.quantity,
            r.over,
            r.unit,
            points,
            r.slope,
            r.target,
            r.atTarget,
        )
    }
