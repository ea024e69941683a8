package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.MultiUsageError
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.output.HelpFormatter
import com.github.ajalt.clikt.output.MordantHelpFormatter
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.mordant.terminal.Terminal
import org.cicadaturn.daemons.settings.endpointCheck
import org.cicadaturn.daemons.settings.entryCheck
import org.cicadaturn.daemons.settings.gatewayCheck
import org.cicadaturn.schema.generated.ProcessSettings
import java.util.Properties

/** Command that only groups other commands. */
internal class GroupCommand(
    name: String,
    private val help: String,
) : CliktCommand(name) {
    override fun help(context: Context): String = help

    override fun run() = Unit
}

/** Returns the command tree for [handlers]; it writes to [terminal] and reads environment variables with [variable]. */
internal fun commandTree(
    handlers: CommandHandlers,
    terminal: Terminal = Terminal(),
    variable: (String) -> String? = System::getenv,
): CliktCommand {
    val root =
        GroupCommand("cicadaturn", "Load balancer for expert-parallel model groups and the plain services beside them.")
    root.context {
        this.terminal = terminal
        helpFormatter = ::helpWithExitCodes
        // Treats an argument that starts with @ as an ordinary value instead of a file with further arguments.
        readArgumentFile = null
        readEnvvar = variable
    }
    val version = readVersion()
    root.subcommands(nodeCommands(handlers) + otherCommands(handlers) + configCommand() + completionCommand())
    addVersion(root, version)
    return root
}

/** Runs the command given by [args] and returns the exit code. */
internal fun runCommand(
    root: CliktCommand,
    args: List<String>,
): Int =
    try {
        root.parse(args)
        SUCCESS
    } catch (e: MultiUsageError) {
        // A MultiUsageError has no context of its own; without one, the usage line would be that of the root command.
        e.context = e.errors.firstNotNullOfOrNull { it.context }
        root.echoFormattedHelp(e)
        BAD_USAGE
    } catch (e: CliktError) {
        root.echoFormattedHelp(e)
        exitCodeOf(e)
    }

/** Returns the exit code for [e]; Clikt's code for usage errors is 1, which here means a failed run. */
private fun exitCodeOf(e: CliktError): Int {
    val isUsage = e is UsageError || (e is PrintHelpMessage && e.error)
    return if (isUsage) BAD_USAGE else e.statusCode
}

private fun nodeCommands(handlers: CommandHandlers): List<CliktCommand> =
    listOfNotNull(
        handlers.entry?.let { run ->
            NodeCommand(
                "entry",
                "Runs an entry process.",
                entryCheck,
                { startLogs(handlers, it.process) },
                run,
            )
        },
        handlers.gateway?.let { run ->
            NodeCommand(
                "gateway",
                "Runs a gateway process.",
                gatewayCheck,
                { startLogs(handlers, it.process) },
                run,
            )
        },
        handlers.endpoint?.let { run ->
            NodeCommand(
                "endpoint",
                "Runs an endpoint process.",
                endpointCheck,
                { startLogs(handlers, it.process) },
                run,
            )
        },
    )

private fun otherCommands(handlers: CommandHandlers): List<CliktCommand> =
    listOfNotNull(
        standinCommand(handlers.standins, handlers.setUpLogs),
        controlCommand(handlers.control, handlers.setUpLogs),
        quarantineCommand(handlers.quarantine, handlers.setUpLogs),
        benchCommand(handlers.benches, handlers.setUpLogs),
        demoCommand(handlers.demo, handlers.setUpLogs),
    )

private fun startLogs(
    handlers: CommandHandlers,
    process: ProcessSettings,
): Unit = handlers.setUpLogs(process.logLevel, process.logFormat)

private fun completionCommand(): CoreCliktCommand =
    CompletionCommand(
        help = "Prints a completion script for a shell, for example: source <(cicadaturn completion bash)",
        name = "completion",
    )

private fun helpWithExitCodes(context: Context): HelpFormatter {
    val formatter = MordantHelpFormatter(context, showDefaultValues = true, showRequiredTag = true)
    return object : HelpFormatter {
        override fun formatHelp(
            error: UsageError?,
            prolog: String,
            epilog: String,
            parameters: List<HelpFormatter.ParameterHelp>,
            programName: String,
        ): String {
            val end = listOf(epilog, EXIT_CODE_HELP).filter { it.isNotEmpty() }.joinToString("\n\n")
            return formatter.formatHelp(error, prolog, end, parameters, programName)
        }
    }
}

private fun addVersion(
    command: CoreCliktCommand,
    version: String,
) {
    command.versionOption(version, message = { "cicadaturn $it" })
    command.registeredSubcommands().forEach { addVersion(it, version) }
}

private fun readVersion(): String {
    val properties = Properties()
    checkNotNull(CommandHandlers::class.java.getResourceAsStream("/cicadaturn.properties")) {
        "cicadaturn.properties is missing from the jar"
    }.use(properties::load)
    return properties.getProperty("version")
}
