package org.cicadaturn.daemons

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.cicadaturn.bench.capacity.capacityBench
import org.cicadaturn.bench.capacity.renderCapacity
import org.cicadaturn.bench.confirmations.confirmationsBench
import org.cicadaturn.bench.confirmations.isClean
import org.cicadaturn.bench.confirmations.toText
import org.cicadaturn.bench.endpointlimits.endpointLimitsBench
import org.cicadaturn.bench.endpointlimits.renderEndpointLimits
import org.cicadaturn.bench.limits.limitsBench
import org.cicadaturn.bench.limits.limitsBenchText
import org.cicadaturn.bench.overload.overloadBench
import org.cicadaturn.bench.overload.renderOverload
import org.cicadaturn.bench.path.pathBench
import org.cicadaturn.bench.path.renderPathBench
import org.cicadaturn.bench.placement.placementBench
import org.cicadaturn.bench.placement.renderPlacement
import org.cicadaturn.bench.routing.routingBench
import org.cicadaturn.bench.routing.toText
import org.cicadaturn.daemons.command.Bench
import org.cicadaturn.daemons.command.BenchArguments
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsType
import org.cicadaturn.schema.generated.CapacityResult
import org.cicadaturn.schema.generated.ConfirmationsBenchOptions
import org.cicadaturn.schema.generated.ConfirmationsBenchResult
import org.cicadaturn.schema.generated.EndpointLimitsBenchOptions
import org.cicadaturn.schema.generated.EndpointLimitsBenchResult
import org.cicadaturn.schema.generated.LimitsBenchOptions
import org.cicadaturn.schema.generated.LimitsBenchResult
import org.cicadaturn.schema.generated.OverloadBenchOptions
import org.cicadaturn.schema.generated.OverloadBenchResult
import org.cicadaturn.schema.generated.PathBenchOptions
import org.cicadaturn.schema.generated.PathBenchResult
import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementBenchResult
import org.cicadaturn.schema.generated.RoutingBenchOptions
import org.cicadaturn.schema.generated.RoutingBenchResult

private val json = Json { prettyPrint = true }

/** Returns the benchmarks that the command line offers. */
internal fun benches(): List<Bench> =
    listOf(
        Bench("capacity", "Measures the sizes of state and messages at increasing system sizes.", emptyList()) {
            printResult(it, capacityBench(it.seed), CapacityResult.serializer(), ::renderCapacity)
        },
        Bench("confirmations", "Runs random fault histories and load tests of confirmations.", confirmationOptions) {
            val result = confirmationsBench(decodeOptions(it, ConfirmationsBenchOptions.serializer()))
            val exitCode = printResult(it, result, ConfirmationsBenchResult.serializer()) { r -> r.toText() }
            if (result.isClean()) exitCode else FAILED_RUN
        },
        Bench("limits", "Compares shared limits with a static split and a central counter.", limitsOptions) {
            val result = limitsBench(decodeOptions(it, LimitsBenchOptions.serializer()))
            printResult(it, result, LimitsBenchResult.serializer(), ::limitsBenchText)
        },
        Bench("routing", "Compares endpoint selection with simpler policies and an omniscient one.", routingOptions) {
            val result = routingBench(decodeOptions(it, RoutingBenchOptions.serializer()))
            printResult(it, result, RoutingBenchResult.serializer()) { r -> r.toText() }
        },
        Bench("path", "Compares calls through the system with direct calls to the same stand-in.", pathOptions) {
            val options = Json.decodeFromJsonElement(PathBenchOptions.serializer(), it.options)
            val result = runBlocking(Dispatchers.Default) { pathBench(options) }
            printResult(it, result, PathBenchResult.serializer(), ::renderPathBench)
        },
        Bench("placement", "Compares expert placement with simpler policies.", placementOptions) {
            val result = placementBench(decodeOptions(it, PlacementBenchOptions.serializer()))
            printResult(it, result, PlacementBenchResult.serializer(), ::renderPlacement)
        },
        Bench(
            "overload",
            "Compares waiting and rejecting under load and faults with simpler policies.",
            overloadOptions,
        ) {
            val result = overloadBench(decodeOptions(it, OverloadBenchOptions.serializer()))
            printResult(it, result, OverloadBenchResult.serializer(), ::renderOverload)
        },
        Bench(
            "endpoint-limits",
            "Compares how gateways keep to the limits that endpoints name.",
            endpointLimitsOptions,
        ) {
            val result = endpointLimitsBench(decodeOptions(it, EndpointLimitsBenchOptions.serializer()))
            printResult(it, result, EndpointLimitsBenchResult.serializer(), ::renderEndpointLimits)
        },
    )

/** Returns the options of a benchmark, including the seed from the command line. */
private fun <T> decodeOptions(
    arguments: BenchArguments,
    serializer: KSerializer<T>,
): T {
    val values = arguments.options.mapKeys { (name, _) -> camelCase(name) }
    return Json.decodeFromJsonElement(serializer, JsonObject(values + ("seed" to JsonPrimitive(arguments.seed))))
}

private fun camelCase(name: String): String {
    val words = name.split('-')
    return words.first() + words.drop(1).joinToString("") { it.replaceFirstChar(Char::uppercase) }
}

private val confirmationOptions =
    listOf(integerOption("histories", "Number of random fault histories.", default = 10_000, range = 1..1_000_000))

private val routingOptions =
    listOf(
        integerOption("endpoints", "Endpoints.", default = 12, range = 1..10_000),
        integerOption("nodes", "Number of entry processes.", default = 8, range = 1..1_000),
        integerOption(
            "load-percent",
            "Load in percent of the capacity of all endpoints when warm.",
            default = 85,
            range = 1..1_000,
        ),
        integerOption(
            "cold-percent",
            "Percentage of the endpoints whose engine restarts.",
            default = 10,
            range = 0..100,
        ),
        integerOption(
            "stalled-percent",
            "Percentage of the endpoints whose engine stalls.",
            default = 5,
            range = 0..100,
        ),
    )

private val endpointLimitsOptions =
    listOf(
        integerOption("gateways", "Number of gateways.", default = 4, range = 1..1_000),
        integerOption("endpoints", "Endpoints.", default = 5, range = 1..1_000),
        integerOption("limited", "Endpoints that name a limit.", default = 3, range = 1..1_000),
        integerOption("limit-per-minute", "Requests per minute that they name.", default = 390, range = 0..1_000_000),
        integerOption("load", "Requests of callers per second.", default = 390, range = 1..100_000),
        integerOption(
            "busy-percent",
            "Percentage of the load at one gateway in the runs with uneven load.",
            default = 70,
            range = 0..100,
        ),
        integerOption("seconds", "Virtual duration of a run, in seconds.", default = 60, range = 30..3_600),
    )

private val limitsOptions =
    listOf(
        integerOption("nodes", "Number of entry processes.", default = 20, range = 1..1_000),
        integerOption("organisations", "Organisations.", default = 8, range = 1..1_000),
        integerOption("demand-percent", "Demand in percent of the limits.", default = 150, range = 1..1_000),
        integerOption("minutes", "Virtual duration of a run, in minutes.", default = 6, range = 2..120),
    )

private val pathOptions =
    listOf(
        integerOption("seconds", "Duration of each measurement, in seconds.", default = 3, range = 1..600),
        integerOption(
            "workers",
            "Number of concurrent callers in the saturation measurement.",
            default = 64,
            range = 1..1_000,
        ),
    )

private val placementOptions =
    listOf(
        integerOption("ranks", "Number of ranks in the group.", default = 12, range = 2..1_000),
        integerOption("experts", "Number of experts in a set.", default = 72, range = 2..10_000),
        integerOption("sets", "Number of sets of layers.", default = 4, range = 1..1_000),
        integerOption("places", "Maximum number of experts that a rank holds in a set.", default = 8, range = 1..1_000),
        integerOption(
            "new-places",
            "Maximum number of experts of a set that a rank can load in one change.",
            default = 3,
            range = 1..1_000,
        ),
        integerOption(
            "own-in-all",
            "Maximum number of experts over all sets that a rank loads in one change under policy OWN.",
            1,
            1..10_000,
        ),
        integerOption(
            "skew-percent",
            "Exponent of the Zipf distribution with which tokens choose experts, in percent.",
            130,
            0..400,
        ),
        integerOption(
            "drift-percent",
            "Mean share of the experts that exchange their popularity in a shift, in percent.",
            57,
            0..100,
        ),
        integerOption("shifts", "Number of shifts of the demand.", default = 40, range = 1..10_000),
    )

private val overloadOptions =
    listOf(
        integerOption("gateways", "Number of gateways.", default = 6, range = 1..1_000),
        integerOption("groups", "Number of groups.", default = 2, range = 1..100),
        integerOption("ranks", "Number of ranks in each group.", default = 8, range = 1..1_000),
        integerOption(
            "load-percent",
            "Load in percent of the rate that all groups serve in time.",
            default = 100,
            range = 1..1_000,
        ),
        integerOption("seconds", "Virtual duration of a run, in seconds.", default = 30, range = 20..600),
    )

/** Returns the description of an integer option. */
internal fun integerOption(
    name: String,
    doc: String,
    default: Int,
    range: IntRange,
): SettingsKey =
    SettingsKey(
        name = name,
        type = SettingsType.INTEGER,
        doc = doc,
        required = false,
        default = default.toString(),
        unit = null,
        min = range.first.toString(),
        max = range.last.toString(),
        choices = emptyList(),
    )

/** Prints [result] in the requested format and returns the exit code. */
private fun <T> printResult(
    arguments: BenchArguments,
    result: T,
    serializer: KSerializer<T>,
    render: (T) -> String,
): Int {
    println(if (arguments.format == OutputFormat.JSON) json.encodeToString(serializer, result) else render(result))
    return SUCCESS
}
