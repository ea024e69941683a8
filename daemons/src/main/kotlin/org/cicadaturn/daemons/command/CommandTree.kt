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
import org.cicadaturn.daemons.settings.readEndpointSettings
import org.cicadaturn.daemons.settings.readEntrySettings
import org.cicadaturn.daemons.settings.readGatewaySettings
import org.cicadaturn.schema.generated.ProcessSettings
import java.util.Properties

/** Is a command that only groups others. */
internal class GroupCommand(
    name: String,
    private val help: String,
) : CliktCommand(name) {
    override fun help(context: Context): String = help

    override fun run() = Unit
}

/** Returns the command tree over [work]; output goes to [terminal], environment variables come from [variable]. */
internal fun commandTree(
    work: Work,
    terminal: Terminal = Terminal(),
    variable: (String) -> String? = System::getenv,
): CliktCommand {
    val root =
        GroupCommand("cicadaturn", "Load balancer for expert-parallel model groups and the plain services beside them.")
    root.context {
        this.terminal = terminal
        helpFormatter = ::helpWithExitCodes
        // An argument that begins with @ is an ordinary value here, not a file of further arguments.
        readArgumentFile = null
        readEnvvar = variable
    }
    val version = readVersion()
    root.subcommands(nodeCommands(work) + otherCommands(work) + configCommand() + completionCommand())
    addVersion(root, version)
    return root
}

/** Runs the command that [args] name and returns the exit code. */
internal fun runCommand(
    root: CliktCommand,
    args: List<String>,
): Int =
    try {
        root.parse(args)
        SUCCESS
    } catch (e: MultiUsageError) {
        // Several errors at once carry no context of their own; without one, the usage line is the root's.
        e.context = e.errors.firstNotNullOfOrNull { it.context }
        root.echoFormattedHelp(e)
        BAD_USAGE
    } catch (e: CliktError) {
        root.echoFormattedHelp(e)
        exitCodeOf(e)
    }

/** Clikt gives usage errors the code 1, which here means a failed run. */
private fun exitCodeOf(e: CliktError): Int {
    val isUsage = e is UsageError || (e is PrintHelpMessage && e.error)
    return if (isUsage) BAD_USAGE else e.statusCode
}

private fun nodeCommands(work: Work): List<CliktCommand> =
    listOfNotNull(
        work.entry?.let { run ->
            NodeCommand("entry", "Runs an entry process.", ::readEntrySettings, { startLogs(work, it.process) }, run)
        },
        work.gateway?.let { run ->
            NodeCommand(
                "gateway",
                "Runs a gateway process.",
                ::readGatewaySettings,
                { startLogs(work, it.process) },
                run,
            )
        },
        work.endpoint?.let { run ->
            NodeCommand(
                "endpoint",
                "Runs an endpoint process.",
                ::readEndpointSettings,
                { startLogs(work, it.process) },
                run,
            )
        },
    )

private fun otherCommands(work: Work): List<CliktCommand> =
    listOfNotNull(
        standinCommand(work.standins, work.setUpLogs),
        controlCommand(work.control, work.setUpLogs),
        benchCommand(work.benches, work.setUpLogs),
        demoCommand(work.demo, work.setUpLogs),
    )

private fun startLogs(
    work: Work,
    process: ProcessSettings,
): Unit = work.setUpLogs(process.logLevel, process.logFormat)

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
    checkNotNull(Work::class.java.getResourceAsStream("/cicadaturn.properties")) {
        "cicadaturn.properties is missing in the jar"
    }.use(properties::load)
    return properties.getProperty("version")
}
