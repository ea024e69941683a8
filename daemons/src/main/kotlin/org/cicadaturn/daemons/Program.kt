package org.cicadaturn.daemons

import org.cicadaturn.daemons.command.CommandHandlers
import org.cicadaturn.daemons.command.DemoHandlers
import org.cicadaturn.daemons.command.QuarantineHandlers
import org.cicadaturn.daemons.command.StandinHandlers
import org.cicadaturn.daemons.command.commandTree
import org.cicadaturn.daemons.command.runCommand
import org.cicadaturn.daemons.control.controlHandlers

/** Runs the command given by [args], which [signals] may stop, and returns its exit code. */
internal fun runProgram(
    args: List<String>,
    signals: ProcessSignals,
): Int {
    val code = runCommand(commandTree(handlersOf(signals)), args)
    writeQueuedLogs()
    return code
}

internal fun handlersOf(signals: ProcessSignals): CommandHandlers =
    CommandHandlers(
        entry = { runEntry(it, signals) },
        gateway = { runGateway(it, signals) },
        endpoint = { runEndpoint(it, signals) },
        standins =
            StandinHandlers(
                platform = { runPlatformStandin(it, signals) },
                engine = { runEngineStandin(it, signals) },
                orders = { runOrdersStandin(it, signals) },
            ),
        control = controlHandlers(),
        quarantine = QuarantineHandlers(::listQuarantine, ::releaseSegment),
        benches = benches(),
        demo = DemoHandlers(::configureDemo, ::runDemoLoad),
    )
