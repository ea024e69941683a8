package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Returns the command that groups the stand-ins that have a handler, or null if none has one. */
internal fun standinCommand(
    handlers: StandinHandlers,
    setUpLogs: (String, String) -> Unit,
): CliktCommand? {
    val commands =
        listOfNotNull(
            handlers.platform?.let { PlatformCommand(it, setUpLogs) },
            handlers.engine?.let { EngineCommand(it, setUpLogs) },
            handlers.orders?.let { OrdersCommand(it, setUpLogs) },
        )
    if (commands.isEmpty()) return null
    return GroupCommand(
        "standin",
        "Runs a stand-in of an outside system, for tests and demonstrations.",
    ).subcommands(commands)
}

private const val MAX_REQUESTS = 100_000

private val timeRange = Duration.ZERO..10.minutes

private class PlatformCommand(
    private val handler: (StandinListener) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("platform") {
    private val listener by ListenerOptions()
    private val logs by LogOptions("info")

    override fun help(context: Context): String =
        "Runs a stand-in of the platform's object API, which keeps its objects in memory."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(listener.listener()))
    }
}

private class EngineCommand(
    private val handler: (EngineOptions) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("engine") {
    private val listener by ListenerOptions()
    private val stepTime by option("--step-time")
        .duration(timeRange)
        .default(20.milliseconds, defaultForHelp = "20ms")
        .help("Duration of one decoding step of the batch.")
    private val coldBound by option("--cold-bound", metavar = "REQUESTS")
        .int()
        .restrictTo(1..MAX_REQUESTS)
        .default(2)
        .help("Maximum number of concurrent requests when the engine is cold; at most --batch.")
    private val coldStep by option("--cold-step", metavar = "REQUESTS")
        .int()
        .restrictTo(1..MAX_REQUESTS)
        .default(4)
        .help("Number of finished requests after which the bound of a cold engine grows by one.")
    private val batch by option("--batch", metavar = "REQUESTS")
        .int()
        .restrictTo(1..MAX_REQUESTS)
        .default(32)
        .help("Maximum number of concurrent requests when the engine is warm.")
    private val logs by LogOptions("info")

    override fun help(context: Context): String =
        "Runs a stand-in of a model engine with continuous batching and cold start."

    override fun run() {
        if (coldBound >
            batch
        ) {
            throw UsageError("$coldBound exceeds --batch, $batch; lower --cold-bound", "--cold-bound")
        }
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(EngineOptions(listener.listener(), stepTime, coldBound, coldStep, batch)))
    }
}

private class OrdersCommand(
    private val handler: (OrdersOptions) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("orders") {
    private val listener by ListenerOptions()
    private val delay by option("--delay")
        .duration(timeRange)
        .default(5.milliseconds, defaultForHelp = "5ms")
        .help("Duration of each order.")
    private val logs by LogOptions("info")

    override fun help(context: Context): String =
        "Runs a stand-in of a plain order service whose calls may not be repeated."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(OrdersOptions(listener.listener(), delay)))
    }
}
