package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsType

/** Result of a command line; [calls] are the calls of the handlers with their arguments, in order. */
internal data class CommandRun(
    val code: Int,
    val out: String,
    val err: String,
    val calls: List<Any>,
)

/** Options of the benchmark that the tests declare. */
private val benchOptions =
    listOf(
        SettingsKey("endpoints", SettingsType.INTEGER, "Endpoints.", false, "12", "endpoints", "1", "100", emptyList()),
        SettingsKey("pause", SettingsType.DURATION, "Pause.", false, null, null, "0s", "1m", emptyList()),
        SettingsKey("policy", SettingsType.CHOICE, "Policy.", true, null, null, null, null, listOf("cost", "random")),
    )

/** Returns handlers that record each call in [calls] and return [code]. */
internal fun recordingHandlers(
    calls: MutableList<Any>,
    code: Int = SUCCESS,
): CommandHandlers {
    fun record(vararg call: Any): Int {
        calls += if (call.size == 1) call[0] else call.toList()
        return code
    }
    return CommandHandlers(
        entry = { record(it) },
        endpoint = { record(it) },
        standins = StandinHandlers({ record(it) }, { record(it) }, { record(it) }),
        control =
            ControlHandlers(
                plan = { connection, intent -> record(connection, intent) },
                describe = { connection, plan -> record(connection, plan) },
                confirm = { connection, plan -> record(connection, plan) },
                status = { connection -> record(connection) },
                history = { connection, limit -> record(connection, limit) },
                localDrain = { connection, on -> record(connection, on) },
            ),
        quarantine =
            QuarantineHandlers(
                list = { store, format -> record(store, format) },
                release = { store, service, segment -> record(store, service, segment) },
            ),
        benches = listOf(Bench("routing", "Measures the choice of endpoints.", benchOptions) { record(it) }),
        demo = DemoHandlers(configure = { record(it) }, drive = { record(it) }),
        setUpLogs = { level, format -> calls += "logs $level $format" },
    )
}

/** Command line of `demo drive` with the required options. */
internal val demoDriveCommand: List<String> =
    listOf("demo", "drive", "--entry", "127.0.0.1:1", "--admin", "127.0.0.1:2", "--orders", "127.0.0.1:3") +
        listOf("--engine", "127.0.0.1:4", "--organisation-key", "o", "--operator-key", "p")

/** Runs the command line [args] with handlers that record their calls and return [code]. */
internal fun runRecorded(
    args: List<String>,
    code: Int = SUCCESS,
    variables: Map<String, String> = emptyMap(),
): CommandRun {
    val calls = mutableListOf<Any>()
    val recorder = TerminalRecorder(ansiLevel = AnsiLevel.NONE, width = 200)
    val root = commandTree(recordingHandlers(calls, code), Terminal(terminalInterface = recorder), variables::get)
    val exit = runCommand(root, args)
    return CommandRun(exit, recorder.stdout(), recorder.stderr(), calls)
}

internal fun runRecorded(vararg args: String): CommandRun = runRecorded(args.toList())

/** Returns the paths of [command] and of all commands and groups below it, as lists of names. */
internal fun pathsBelow(
    command: CoreCliktCommand,
    path: List<String> = emptyList(),
): List<List<String>> = listOf(path) + command.registeredSubcommands().flatMap { pathsBelow(it, path + it.commandName) }
