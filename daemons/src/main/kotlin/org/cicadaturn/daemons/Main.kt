package org.cicadaturn.daemons

import kotlin.system.exitProcess

/**
 * Runs the command given by [args] and exits with its exit code.
 *
 * Signals are handled before anything else is loaded, as the system ends a process that has no handler yet.
 */
fun main(args: Array<String>) {
    val signals = ProcessSignals()
    if (runsUntilStopped(args)) signals.handle()
    exitProcess(runProgram(args.toList(), signals))
}
