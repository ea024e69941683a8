package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import org.cicadaturn.schema.generated.NetworkAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Handlers of the commands about prompt segments and requests that gateways hold back.
 *
 * @property list prints them
 * @property release ends the quarantine of one, given its service and identifier
 */
internal data class QuarantineHandlers(
    val list: ((StoreConnection, OutputFormat) -> Int)? = null,
    val release: ((StoreConnection, String, String) -> Int)? = null,
)

/**
 * Connection of a command to the platform's store.
 *
 * @property timeout maximum time to wait for an answer
 */
internal data class StoreConnection(
    val address: NetworkAddress,
    val timeout: Duration,
)

/** Returns the command that groups the commands that have a handler, or null if none has one. */
internal fun quarantineCommand(
    handlers: QuarantineHandlers,
    setUpLogs: (String, String) -> Unit,
): CliktCommand? {
    val commands =
        listOfNotNull(
            handlers.list?.let { ListSegmentsCommand(it, setUpLogs) },
            handlers.release?.let { ReleaseSegmentCommand(it, setUpLogs) },
        )
    if (commands.isEmpty()) return null
    val group =
        GroupCommand("quarantine", "Shows and releases the prompt segments and requests that gateways hold back.")
    return group.subcommands(commands)
}

/** Options of a command that calls the platform's store. */
private class StoreOptions : OptionGroup("Store options") {
    private val store by option("--store", envvar = "CICADATURN_STORE")
        .address()
        .required()
        .help("Address of the platform's store.")
    private val timeout by option("--timeout")
        .duration(10.milliseconds..10.minutes)
        .default(10.seconds, defaultForHelp = "10s")
        .help("Maximum time to wait for an answer.")

    fun connection(): StoreConnection = StoreConnection(store, timeout)
}

private class ListSegmentsCommand(
    private val handler: (StoreConnection, OutputFormat) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("list") {
    private val store by StoreOptions()
    private val format by formatOption()
    private val logs by LogOptions("warn")

    override fun help(context: Context): String =
        "Prints the segments and requests with their confidence, the crashes that they explain and since when they " +
            "are held back. A request stands for all that have its method, path, organisation and body."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(store.connection(), format))
    }
}

private class ReleaseSegmentCommand(
    private val handler: (StoreConnection, String, String) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("release") {
    private val store by StoreOptions()
    private val logs by LogOptions("warn")
    private val service by argument(
        "SERVICE",
    ).help("Service of the segment or request, as printed by 'quarantine list'.")
    private val segment by argument(
        "SEGMENT",
    ).help("Identifier of the segment or request, as printed by 'quarantine list'.")

    override fun help(context: Context): String =
        "Ends the quarantine of a segment or request at all gateways. They hold it back again if it explains further " +
            "crashes."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(store.connection(), service, segment))
    }
}
