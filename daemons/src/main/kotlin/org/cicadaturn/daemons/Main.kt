package org.cicadaturn.daemons

import org.cicadaturn.daemons.command.CommandHandlers
import org.cicadaturn.daemons.command.DemoHandlers
import org.cicadaturn.daemons.command.QuarantineHandlers
import org.cicadaturn.daemons.command.StandinHandlers
import org.cicadaturn.daemons.command.commandTree
import org.cicadaturn.daemons.command.runCommand
import org.cicadaturn.daemons.control.controlHandlers
import kotlin.system.exitProcess

/** Runs the command given by [args] and exits with its exit code. */
fun main(args: Array<String>) {
    val code = runCommand(commandTree(handlers), args.toList())
    writeQueuedLogs()
    exitProcess(code)
}

private val handlers =
    CommandHandlers(
        entry = ::runEntry,
        gateway = ::runGateway,
        endpoint = ::runEndpoint,
        standins = StandinHandlers(::runPlatformStandin, ::runEngineStandin, ::runOrdersStandin),
        control = controlHandlers(),
        quarantine = QuarantineHandlers(::listQuarantine, ::releaseSegment),
        benches = benches(),
        demo = DemoHandlers(::configureDemo, ::runDemoLoad),
    )
