package org.cicadaturn.daemons

import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.SUCCESS
import sun.misc.Signal
import sun.misc.SignalHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Returns true if [args] run a process until it is stopped. Other commands end on a signal as the system does it.
 *
 * The command line is read much later, when more classes have been loaded.
 */
internal fun runsUntilStopped(args: Array<String>): Boolean =
    args.isNotEmpty() && (args[0] == "gateway" || args[0] == "entry" || args[0] == "endpoint" || args[0] == "standin")

/**
 * Signals to a process that runs until it is stopped.
 *
 * Until [takeOver] is called, a SIGTERM or SIGINT ends the process at once with [SUCCESS], as it has begun nothing.
 * Afterwards the first of them completes the future. A SIGINT after it ends the process immediately; a further SIGTERM
 * is ignored, as platforms and scripts send it more than once and end a process that takes too long with SIGKILL.
 * SIGHUP is ignored, as settings are read only at start.
 *
 * Uses classes of the Java library only, so that no other class is loaded before the signals are handled. A lambda would
 * load many.
 */
internal class ProcessSignals : SignalHandler {
    private val isRunning = AtomicBoolean()
    private val stopRequest = CompletableFuture<Long>()

    /** Sets the handlers. */
    fun handle() {
        Signal.handle(Signal("HUP"), this)
        Signal.handle(Signal("TERM"), this)
        Signal.handle(Signal("INT"), this)
    }

    /** Returns a future that completes with the time of the first signal to stop, by [System.nanoTime]. */
    fun takeOver(): CompletableFuture<Long> {
        isRunning.set(true)
        return stopRequest
    }

    override fun handle(signal: Signal) {
        if (signal.name == "HUP") return
        // No shutdown hook is needed yet, and one would wait for classes that are being loaded.
        if (!isRunning.get()) Runtime.getRuntime().halt(SUCCESS)
        val isFirst = stopRequest.complete(System.nanoTime())
        if (!isFirst && signal.name == "INT") Runtime.getRuntime().halt(FAILED_RUN)
    }
}
