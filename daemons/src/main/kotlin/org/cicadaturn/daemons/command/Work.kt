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
 * Holds the work behind the commands; each function returns the exit code.
 *
 * A command whose work is null or an empty list is left out of the command tree.
 *
 * @property entry runs an entry process until it is stopped
 * @property gateway runs a gateway process until it is stopped
 * @property endpoint runs an endpoint process until it is stopped
 * @property standins runs the stand-ins of outside systems
 * @property control runs the operators' commands
 * @property benches lists the benchmarks
 * @property demo configures a demonstration and applies load to it
 * @property setUpLogs directs log lines, given the level and the format, before any other work begins
 */
internal data class Work(
    val entry: ((EntryFile) -> Int)? = null,
    val gateway: ((GatewayFile) -> Int)? = null,
    val endpoint: ((EndpointFile) -> Int)? = null,
    val standins: StandinWork = StandinWork(),
    val control: ControlWork = ControlWork(),
    val benches: List<Bench> = emptyList(),
    val demo: DemoWork = DemoWork(),
    val setUpLogs: (level: String, format: String) -> Unit = ::setUpLogs,
)

/** Form of the results that a command prints. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

/**
 * Holds the work behind the stand-ins; each function runs one until it is stopped.
 *
 * @property platform runs the platform's object API
 * @property engine runs a model engine
 * @property orders runs a plain order service
 */
internal data class StandinWork(
    val platform: ((StandinListener) -> Int)? = null,
    val engine: ((EngineOptions) -> Int)? = null,
    val orders: ((OrdersOptions) -> Int)? = null,
)

/**
 * Tells where a stand-in listens.
 *
 * @property listen address; port 0 lets the system pick one
 * @property portFile file that receives the listening port after start
 */
internal data class StandinListener(
    val listen: NetworkAddress,
    val portFile: Path?,
)

/**
 * Describes a model engine.
 *
 * @property stepTime time of one decoding step of the whole batch
 * @property coldBound requests at once that the engine handles when cold
 * @property coldStep finished requests after which the bound of a cold engine grows by one
 * @property batch requests at once that the engine handles when warm
 */
internal data class EngineOptions(
    val listener: StandinListener,
    val stepTime: Duration,
    val coldBound: Int,
    val coldStep: Int,
    val batch: Int,
)

/**
 * Describes a plain order service.
 *
 * @property delay time that each order takes
 */
internal data class OrdersOptions(
    val listener: StandinListener,
    val delay: Duration,
)

/**
 * Holds the work behind the operators' commands.
 *
 * @property plan has a plan made for an intent and prints it
 * @property describe prints a plan, given its identifier
 * @property confirm puts a plan into force, given its identifier
 * @property status prints the configuration in force and the state of the process that is asked
 * @property history prints the latest accepted changes, at most as many as given
 * @property localDrain makes the process that is asked refuse new work, or ends that if false is given
 */
internal data class ControlWork(
    val plan: ((ControlConnection, Intent) -> Int)? = null,
    val describe: ((ControlConnection, String) -> Int)? = null,
    val confirm: ((ControlConnection, String) -> Int)? = null,
    val status: ((ControlConnection) -> Int)? = null,
    val history: ((ControlConnection, Int) -> Int)? = null,
    val localDrain: ((ControlConnection, Boolean) -> Int)? = null,
)

/**
 * Tells how an operator's command reaches the system.
 *
 * @property admin admin listener of the process that is asked
 * @property key operator's key, null if none is given
 * @property timeout longest wait for an answer
 * @property format form of the printed result
 */
internal data class ControlConnection(
    val admin: NetworkAddress,
    val key: OperatorKey?,
    val timeout: Duration,
    val format: OutputFormat,
)

/** Is the key that proves who an operator is; its text form does not show it. */
@JvmInline
internal value class OperatorKey(
    val text: String,
) {
    override fun toString(): String = "***"
}

/**
 * Describes a benchmark.
 *
 * @property name name on the command line
 * @property doc what it measures
 * @property options options beside the seed and the format, described as settings keys are
 * @property run runs the benchmark
 */
internal data class Bench(
    val name: String,
    val doc: String,
    val options: List<SettingsKey>,
    val run: (BenchArguments) -> Int,
)

/**
 * Holds the options of a benchmark run.
 *
 * @property seed seed of all randomness
 * @property format form of the printed result
 * @property options checked values of the benchmark's own options, to decode into its data class;
 * durations are in ISO 8601 form
 */
internal data class BenchArguments(
    val seed: Long,
    val format: OutputFormat,
    val options: JsonObject,
)

/**
 * Holds the work behind the demonstration, whose processes a shell script starts and ends.
 *
 * @property configure writes the first configuration
 * @property drive applies load and prints the result
 */
internal data class DemoWork(
    val configure: ((DemoSite) -> Int)? = null,
    val drive: ((DemoDrive) -> Int)? = null,
)

/**
 * Describes the first configuration of a demonstration.
 *
 * @property store object API of the platform
 * @property endpoints endpoints to admit
 * @property organisationKey bearer key of the only organisation
 * @property operatorKey key of the only operator
 */
internal data class DemoSite(
    val store: NetworkAddress,
    val endpoints: List<Endpoint>,
    val organisationKey: String,
    val operatorKey: String,
)

/**
 * Describes the load of a demonstration.
 *
 * @property entries where callers connect
 * @property admins admin listeners of the entry processes
 * @property orderServices order services, which tell what they ran
 * @property engines model engines, which tell whether they were overloaded
 * @property organisationKey bearer key of the organisation
 * @property operatorKey key of the operator
 * @property drain failure domain that is taken out and brought back; null for none
 * @property draftsPerSecond mean rate of drafts
 * @property ordersPerSecond mean rate of orders
 * @property duration how long load is applied
 * @property seed seed of all randomness
 * @property format form of the printed result
 */
internal data class DemoDrive(
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
