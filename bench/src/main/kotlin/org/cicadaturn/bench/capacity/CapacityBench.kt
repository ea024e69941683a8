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
private const val FRAME_LENGTH_BYTES = 4
private const val CHOICES_PER_ROUND = 2_000
private val endpointCounts = listOf(10, 100, 1_000, 3_800)
private val organisationCounts = listOf(10, 100, 870)
private val draftService = ServiceId("drafts")

/**
 * Measures the sizes of state and messages and the time to choose an endpoint, at increasing system sizes.
 *
 * The chooser draws its random numbers from [seed].
 */
public fun capacityBench(seed: Long): CapacityResult =
    CapacityResult(
        listOf(
            measureRow("configuration in the store", "bytes", "endpoints", endpointCounts, TARGET_ENDPOINTS) {
                encodeConfiguration(configuration(it, 0)).length.toDouble()
            },
            measureRow(
                "configuration in the store",
                "bytes",
                "organisations",
                organisationCounts,
                TARGET_ORGANISATIONS,
            ) {
                encodeConfiguration(configuration(0, it)).length.toDouble()
            },
            measureRow("configuration between processes", "bytes", "endpoints", endpointCounts, TARGET_ENDPOINTS) {
                packedConfigurationBytes(configuration(it, 0)).toDouble()
            },
            measureRow(
                "configuration between processes",
                "bytes",
                "organisations",
                organisationCounts,
                TARGET_ORGANISATIONS,
            ) {
                packedConfigurationBytes(configuration(0, it)).toDouble()
            },
            measureRow(
                "heap of index and directory",
                "bytes",
                "endpoints",
                endpointCounts,
                TARGET_ENDPOINTS,
            ) { stateHeapBytes(it, 0, seed) },
            measureRow(
                "heap of index",
                "bytes",
                "organisations",
                organisationCounts,
                TARGET_ORGANISATIONS,
            ) { stateHeapBytes(0, it, seed) },
            measureRow(
                "time of a choice",
                "microseconds",
                "endpoints",
                endpointCounts,
                TARGET_ENDPOINTS,
            ) { choiceMicros(it, seed) },
            measureRow("load report frame", "bytes", "frames", listOf(1, 2, 4), 1) {
                it * frameBytes(Frame.Load(report(1)))
            },
            measureRow("ping frame", "bytes", "frames", listOf(1, 2, 4), 1) { it * frameBytes(Frame.Ping(1_000)) },
            measureRow("configuration offer frame", "bytes", "frames", listOf(1, 2, 4), 1) {
                it * frameBytes(Frame.ConfigurationOffer(Revision(1_000)))
            },
        ) + quarantineRows(),
    )

private fun quarantineRows(): List<CapacityRow> =
    listOf(
        measureRow("report of a crash between gateways", "bytes", "lost prompts", listOf(1, 4, 16), 16) {
            crashNewsBytes(it)
        },
        measureRow("time of a review of suspicions", "microseconds", "crashes", listOf(1, 8, 24), 24) {
            reviewMicros(it)
        },
    )

private fun measureRow(
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

private fun frameBytes(frame: Frame): Double = (encodeFrame(frame).size + FRAME_LENGTH_BYTES).toDouble()

private fun configuration(
    endpoints: Int,
    organisations: Int,
): Configuration =
    Configuration(
        revision = Revision(1),
        acceptedAt = Instant.fromEpochSeconds(1_800_000_000),
        acceptedBy = "operator",
        services = listOf(Service(draftService, ServiceKind.MODEL, listOf("draft"), idempotent = true, 10.seconds)),
        failureDomains = List(DOMAINS) { FailureDomain(domain(it), AdmissionState.IN_SERVICE) },
        endpoints = List(endpoints) { endpoint(it) },
        organisations = List(organisations) { organisation(it) },
    )

private fun domain(i: Int): FailureDomainId = FailureDomainId("domain-${i % DOMAINS}")

private fun endpoint(i: Int): Endpoint {
    val address = NetworkAddress("10.${i shr 16}.${(i shr 8) and 255}.${i and 255}", 7_000)
    return Endpoint(
        EndpointId("endpoint-$i"),
        HostId("host-$i"),
        domain(i),
        draftService,
        address,
        AdmissionState.IN_SERVICE,
    )
}

private fun organisation(i: Int): Organisation =
    Organisation(OrganisationId("organisation-$i"), listOf(digestOf("key-$i")), 100, 1_000_000)

private fun report(i: Int): LoadReport =
    LoadReport(EndpointId("endpoint-$i"), draftService, 1_000, EngineState.WARM, 10, 2, 32, 6_000, accepting = true)

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

/** Returns the live heap that the state of a system of this size occupies, in bytes. */
private fun stateHeapBytes(
    endpoints: Int,
    organisations: Int,
    seed: Long,
): Double {
    val before = usedHeap()
    val configuration = configuration(endpoints, organisations)
    val state = listOf(configurationIndex(configuration), directory(configuration, seed))
    val after = usedHeap()
    check(state.isNotEmpty()) { "the state must stay reachable until it is measured" }
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
    val query = RoutingQuery(draftService, 300, now + 10.seconds)
    repeat(CHOICES_PER_ROUND) { chooseOnce(directory, query, now) }
    val start = TimeSource.Monotonic.markNow()
    repeat(CHOICES_PER_ROUND) { chooseOnce(directory, query, now) }
    return start.elapsedNow().inWholeNanoseconds / 1_000.0 / CHOICES_PER_ROUND
}

private fun chooseOnce(
    directory: EndpointDirectory,
    query: RoutingQuery,
    now: Instant,
) {
    val choice = directory.choose(query, now)
    if (choice is Choice.Chosen) directory.finished(choice.endpoint, query.tokens, AttemptOutcome.Neutral, now)
}

/** Returns [result] as text, one line per quantity. */
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
