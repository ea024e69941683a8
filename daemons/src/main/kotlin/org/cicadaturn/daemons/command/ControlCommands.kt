package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Returns the command that groups the operators' commands that have a handler, or null if none has one. */
internal fun controlCommand(
    handlers: ControlHandlers,
    setUpLogs: (String, String) -> Unit,
): CliktCommand? {
    val commands =
        listOfNotNull(
            handlers.plan?.let(::planCommand),
            handlers.describe?.let(::DescribeCommand),
            handlers.confirm?.let(::ConfirmCommand),
            handlers.status?.let(::StatusCommand),
            handlers.history?.let(::HistoryCommand),
            handlers.localDrain?.let(::LocalDrainCommand),
        )
    if (commands.isEmpty()) return null
    // "ctl return ..." is short for "ctl plan return ...", and so on; every change starts with a plan.
    val shortForms = if (handlers.plan == null) emptyMap() else planNames.associateWith { listOf("plan", it) }
    return ControlCommand(shortForms, setUpLogs).subcommands(commands)
}

private val planNames = listOf("drain", "return", "admit", "remove")

private const val KEY_VARIABLE = "CICADATURN_OPERATOR_KEY"

private class ControlCommand(
    private val shortForms: Map<String, List<String>>,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("ctl") {
    private val admin by option("--admin", envvar = "CICADATURN_ADMIN")
        .address()
        .required()
        .help("Admin listener of an entry process; for local-drain, of the process that is to refuse new requests.")
    private val keyFile by option("--key-file", metavar = "FILE")
        .path()
        .help("File with the operator's key; without it, the variable $KEY_VARIABLE is read.")
    private val timeout by option("--timeout")
        .duration(10.milliseconds..10.minutes)
        .default(10.seconds, defaultForHelp = "10s")
        .help("Maximum time to wait for an answer.")
    private val format by formatOption()
    private val logs by LogOptions("warn")

    override fun help(context: Context): String =
        "Shows the state of the system, and plans and confirms changes. A change takes effect once its plan is confirmed."

    override fun aliases(): Map<String, List<String>> = shortForms

    override fun run() {
        setUpLogs(logs.level, logs.format)
        val key = keyFile?.let(::readKey) ?: currentContext.readEnvvar(KEY_VARIABLE)
        currentContext.obj =
            ControlConnection(admin, key?.trim()?.ifEmpty { null }?.let(::OperatorKey), timeout, format)
    }

    private fun readKey(file: Path): String =
        try {
            file.readText().ifBlank { throw UsageError("$file is empty; give a file that holds the key", "--key-file") }
        } catch (_: IOException) {
            throw UsageError("$file cannot be read; give a readable file", "--key-file")
        }
}

private class DescribeCommand(
    private val handler: (ControlConnection, String) -> Int,
) : CliktCommand("describe") {
    private val connection by requireObject<ControlConnection>()
    private val plan by argument("PLAN").help("Identifier of the plan, as printed by 'ctl plan'.")

    override fun help(context: Context): String = "Prints a plan."

    override fun run(): Unit = throw ProgramResult(handler(connection, plan))
}

private class ConfirmCommand(
    private val handler: (ControlConnection, String) -> Int,
) : CliktCommand("confirm") {
    private val connection by requireObject<ControlConnection>()
    private val plan by argument("PLAN").help("Identifier of the plan, as printed by 'ctl plan'.")

    override fun help(context: Context): String =
        "Puts a plan into force. The plan is refused if the configuration has changed since it was made."

    override fun run(): Unit = throw ProgramResult(handler(connection, plan))
}

private class StatusCommand(
    private val handler: (ControlConnection) -> Int,
) : CliktCommand("status") {
    private val connection by requireObject<ControlConnection>()

    override fun help(context: Context): String =
        "Prints the configuration in force and the state of the process that answers."

    override fun run(): Unit = throw ProgramResult(handler(connection))
}

private class HistoryCommand(
    private val handler: (ControlConnection, Int) -> Int,
) : CliktCommand("history") {
    private val connection by requireObject<ControlConnection>()
    private val limit by option("--limit", metavar = "N")
        .int()
        .restrictTo(1..1_000)
        .default(20)
        .help("Maximum number of changes to print.")

    override fun help(context: Context): String = "Prints the latest accepted changes."

    override fun run(): Unit = throw ProgramResult(handler(connection, limit))
}

private class LocalDrainCommand(
    private val handler: (ControlConnection, Boolean) -> Int,
) : CliktCommand("local-drain") {
    private val connection by requireObject<ControlConnection>()
    private val end by option("--end").flag().help("Ends the local drain.")

    override fun help(context: Context): String =
        "Makes one process refuse new requests, for when no newer configuration can reach it. " +
            "Ends with --end, with a restart or with a later revision."

    override fun run(): Unit = throw ProgramResult(handler(connection, !end))
}
