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
import org.cicadaturn.bench.limits.limitsBench
import org.cicadaturn.bench.limits.limitsBenchText
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
import org.cicadaturn.schema.generated.LimitsBenchOptions
import org.cicadaturn.schema.generated.LimitsBenchResult
import org.cicadaturn.schema.generated.PathBenchOptions
import org.cicadaturn.schema.generated.PathBenchResult
import org.cicadaturn.schema.generated.PlacementBenchOptions
import org.cicadaturn.schema.generated.PlacementBenchResult
import org.cicadaturn.schema.generated.RoutingBenchOptions
import org.cicadaturn.schema.generated.RoutingBenchResult

private val json = Json { prettyPrint = true }

/** Lists the benchmarks that the command line offers. */
internal fun benches(): List<Bench> =
    listOf(
        Bench("capacity", "Measures sizes of state and messages over ladders of sizes.", emptyList()) {
            show(it, capacityBench(it.seed), CapacityResult.serializer(), ::renderCapacity)
        },
        Bench("confirmations", "Runs random fault histories and loads of confirmations.", confirmationOptions) {
            val result = confirmationsBench(decode(it, ConfirmationsBenchOptions.serializer()))
            val shown = show(it, result, ConfirmationsBenchResult.serializer()) { r -> r.toText() }
            if (result.isClean()) shown else FAILED_RUN
        },
        Bench("limits", "Measures shared limits beside a static split and a central counter.", limitsOptions) {
            val result = limitsBench(decode(it, LimitsBenchOptions.serializer()))
            show(it, result, LimitsBenchResult.serializer(), ::limitsBenchText)
        },
        Bench("routing", "Compares the choice of endpoints with simpler ways and an omniscient one.", routingOptions) {
            val result = routingBench(decode(it, RoutingBenchOptions.serializer()))
            show(it, result, RoutingBenchResult.serializer()) { r -> r.toText() }
        },
        Bench("path", "Compares calls through the system with direct calls to the same stand-in.", pathOptions) {
            val options = Json.decodeFromJsonElement(PathBenchOptions.serializer(), it.options)
            val result = runBlocking(Dispatchers.Default) { pathBench(options) }
            show(it, result, PathBenchResult.serializer(), ::renderPathBench)
        },
        Bench("placement", "Compares the placement of experts with simpler ways.", placementOptions) {
            val result = placementBench(decode(it, PlacementBenchOptions.serializer()))
            show(it, result, PlacementBenchResult.serializer(), ::renderPlacement)
        },
    )

/** Returns [options] of a benchmark with the seed of the command line. */
private fun <T> decode(
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
    listOf(number("histories", "Random fault histories.", default = 10_000, range = 1..1_000_000))

private val routingOptions =
    listOf(
        number("endpoints", "Endpoints.", default = 12, range = 1..10_000),
        number("nodes", "Entry nodes.", default = 8, range = 1..1_000),
        number(
            "load-percent",
            "Load in percent of what all endpoints serve when warm.",
            default = 85,
            range = 1..1_000,
        ),
        number("cold-percent", "Share of the endpoints whose engine restarts.", default = 10, range = 0..100),
        number("stalled-percent", "Share of the endpoints whose engine stalls.", default = 5, range = 0..100),
    )

private val limitsOptions =
    listOf(
        number("nodes", "Entry processes.", default = 20, range = 1..1_000),
        number("organisations", "Organisations.", default = 8, range = 1..1_000),
        number("demand-percent", "Demand in percent of the limits.", default = 150, range = 1..1_000),
        number("minutes", "Virtual time of a run.", default = 6, range = 2..120),
    )

private val pathOptions =
    listOf(
        number("seconds", "Time of each measurement.", default = 3, range = 1..600),
        number("workers", "Callers at once when saturation is measured.", default = 64, range = 1..1_000),
    )

private val placementOptions =
    listOf(
        number("ranks", "Ranks of the group.", default = 12, range = 2..1_000),
        number("experts", "Experts of a set.", default = 72, range = 2..10_000),
        number("sets", "Sets of layers.", default = 4, range = 1..1_000),
        number("places", "Experts that a rank holds at most in a set.", default = 8, range = 1..1_000),
        number("new-places", "Experts of a set that a rank can take in one change.", default = 3, range = 1..1_000),
        number("own-in-all", "Experts that a rank takes in one change by the own policy.", 1, 1..10_000),
        number("skew-percent", "Exponent of the Zipf distribution of the choices, in percent.", 130, 0..400),
        number("drift-percent", "Share of the experts whose liking a shift changes.", 57, 0..100),
        number("shifts", "Shifts of the demand.", default = 40, range = 1..10_000),
    )

/** Returns the description of a whole-number option. */
internal fun number(
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

private fun <T> show(
    arguments: BenchArguments,
    result: T,
    serializer: KSerializer<T>,
    render: (T) -> String,
): Int {
    println(if (arguments.format == OutputFormat.JSON) json.encodeToString(serializer, result) else render(result))
    return SUCCESS
}
