package org.cicadaturn.daemons

import org.cicadaturn.daemons.command.DemoWork
import org.cicadaturn.daemons.command.StandinWork
import org.cicadaturn.daemons.command.Work
import org.cicadaturn.daemons.command.commandTree
import org.cicadaturn.daemons.command.runCommand
import org.cicadaturn.daemons.control.controlWork
import kotlin.system.exitProcess

/** Runs the command line. */
fun main(args: Array<String>) {
    exitProcess(runCommand(commandTree(work), args.toList()))
}

private val work =
    Work(
        entry = ::runEntry,
        gateway = ::runGateway,
        endpoint = ::runEndpoint,
        standins = StandinWork(::runPlatformStandin, ::runEngineStandin, ::runOrdersStandin),
        control = controlWork(),
        benches = benches(),
        demo = DemoWork(::configureDemo, ::driveDemo),
    )
