package org.cicadaturn.daemons.command

import kotlinx.serialization.json.JsonObject
import org.cicadaturn.daemons.setUpLogs
import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.NetworkAddress
import java.nio.file.Path
import kotlin.time.Duration

/**
 * Functions that carry out the commands; each returns the exit code.
 *
 * A command whose handler is null, or whose list is empty, is left out of the command tree.
 *
 * @property entry runs an entry process until it is stopped
 * @property gateway runs a gateway process until it is stopped
 * @property endpoint runs an endpoint process until it is stopped
 * @property standins handlers of the stand-ins for outside systems
 * @property control handlers of the operators' commands
 * @property quarantine handlers of the commands about prompt segments that are held back
 * @property benches benchmarks
 * @property demo handlers of the demonstration
 * @property setUpLogs configures logging with the given level and format before a command runs
 */
internal data class CommandHandlers(
    val entry: ((EntryFile) -> Int)? = null,
    val gateway: ((GatewayFile) -> Int)? = null,
    val endpoint: ((EndpointFile) -> Int)? = null,
    val standins: StandinHandlers = StandinHandlers(),
    val control: ControlHandlers = ControlHandlers(),
    val quarantine: QuarantineHandlers = QuarantineHandlers(),
    val benches: List<Bench> = emptyList(),
    val demo: DemoHandlers = DemoHandlers(),
    val setUpLogs: (level: String, format: String) -> Unit = ::setUpLogs,
)

/** Format in which a command prints its result. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

/**
 * Handlers of the stand-in commands; each runs a stand-in until it is stopped.
 *
 * @property platform runs the stand-in of the platform's object API
 * @property engine runs the stand-in of a model engine
 * @property orders runs the stand-in of a plain order service
 */
internal data class StandinHandlers(
    val platform: ((StandinListener) -> Int)? = null,
    val engine: ((EngineOptions) -> Int)? = null,
    val orders: ((OrdersOptions) -> Int)? = null,
)

/**
 * Listener of a stand-in.
 *
 * @property listen address to listen on; port 0 lets the operating system choose a port
 * @property portFile file to which the listening port is written after start
 */
internal data class StandinListener(
    val listen: NetworkAddress,
    val portFile: Path?,
)

/**
 * Options of the model engine stand-in.
 *
 * @property listener listener of the stand-in
 * @property stepTime duration of one decoding step of the batch
 * @property coldBound maximum number of concurrent requests when the engine is cold
 * @property coldStep number of finished requests after which the bound of a cold engine grows by one
 * @property batch maximum number of concurrent requests when the engine is warm
 */
internal data class EngineOptions(
    val listener: StandinListener,
    val stepTime: Duration,
    val coldBound: Int,
    val coldStep: Int,
    val batch: Int,
)

/**
 * Options of the order service stand-in.
 *
 * @property listener listener of the stand-in
 * @property delay duration of each order
 */
internal data class OrdersOptions(
    val listener: StandinListener,
    val delay: Duration,
)

/**
 * Handlers of the operators' commands.
 *
 * @property plan requests a plan for an intent and prints it
 * @property describe prints a plan, given its identifier
 * @property confirm confirms a plan, given its identifier
 * @property status prints the configuration in force and the state of the process that answers
 * @property history prints the latest accepted changes, up to the given number
 * @property localDrain starts a local drain of the process if given true, otherwise ends it
 */
internal data class ControlHandlers(
    val plan: ((ControlConnection, Intent) -> Int)? = null,
    val describe: ((ControlConnection, String) -> Int)? = null,
    val confirm: ((ControlConnection, String) -> Int)? = null,
    val status: ((ControlConnection) -> Int)? = null,
    val history: ((ControlConnection, Int) -> Int)? = null,
    val localDrain: ((ControlConnection, Boolean) -> Int)? = null,
)

/**
 * Connection of an operator's command to the system.
 *
 * @property admin admin listener of the process to call
 * @property key operator's key, or null if none is given
 * @property timeout maximum time to wait for an answer
 * @property format format of the printed result
 */
internal data class ControlConnection(
    val admin: NetworkAddress,
    val key: OperatorKey?,
    val timeout: Duration,
    val format: OutputFormat,
)

/** Key that authenticates an operator; `toString` does not reveal it. */
@JvmInline
internal value class OperatorKey(
    val text: String,
) {
    override fun toString(): String = "***"
}

/**
 * Benchmark that the command line offers.
 *
 * @property name name on the command line
 * @property doc what it measures
 * @property options options in addition to the seed and the format, described in the same way as settings keys
 * @property run runs the benchmark
 */
internal data class Bench(
    val name: String,
    val doc: String,
    val options: List<SettingsKey>,
    val run: (BenchArguments) -> Int,
)

/**
 * Arguments of a benchmark run.
 *
 * @property seed random seed
 * @property format format of the printed result
 * @property options validated values of the benchmark's own options, to be decoded into its data class;
 * durations are in ISO 8601 format
 */
internal data class BenchArguments(
    val seed: Long,
    val format: OutputFormat,
    val options: JsonObject,
)

/**
 * Handlers of the demonstration commands; a shell script starts and stops the processes of the demonstration.
 *
 * @property configure writes the first configuration
 * @property drive applies load and prints the result
 */
internal data class DemoHandlers(
    val configure: ((DemoSetup) -> Int)? = null,
    val drive: ((DemoLoad) -> Int)? = null,
)

/**
 * First configuration of a demonstration.
 *
 * @property store address of the platform's object API
 * @property endpoints endpoints to admit
 * @property organisationKey bearer key of the only organisation
 * @property operatorKey key of the only operator
 */
internal data class DemoSetup(
    val store: NetworkAddress,
    val endpoints: List<Endpoint>,
    val organisationKey: String,
    val operatorKey: String,
)

/**
 * Load of a demonstration.
 *
 * @property entries addresses on which the entry processes accept callers
 * @property admins admin listeners of the entry processes
 * @property orderServices addresses of the order services, which report their runs
 * @property engines addresses of the model engines, which report whether they were overloaded
 * @property organisationKey bearer key of the organisation
 * @property operatorKey key of the operator
 * @property drain failure domain to drain and return to service during the run, or null for none
 * @property draftsPerSecond mean rate of drafts
 * @property ordersPerSecond mean rate of orders
 * @property duration duration of the load
 * @property seed random seed
 * @property format format of the printed result
 */
internal data class DemoLoad(
    val entries: List<NetworkAddress>,
    val admins: List<NetworkAddress>,
    val orderServices: List<NetworkAddress>,
    val engines: List<NetworkAddress>,
    val organisationKey: String,
    val operatorKey: String,
    val drain: String?,
    val draftsPerSecond: Double,
    val ordersPerSecond: Double,
    val duration: Duration,
    val seed: Long,
    val format: OutputFormat,
)
