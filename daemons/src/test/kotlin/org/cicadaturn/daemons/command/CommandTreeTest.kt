package org.cicadaturn.daemons.command

import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import org.cicadaturn.daemons.settings.SECRET
import org.cicadaturn.daemons.settings.endpointText
import org.cicadaturn.daemons.settings.entryText
import org.cicadaturn.daemons.settings.settingsFile
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EntryFile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path

class CommandTreeTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against a command whose help fails, calls a handler or omits the exit codes. */
    @ParameterizedTest
    @MethodSource("paths")
    fun `every command prints help with the exit codes`(path: List<String>) {
        val run = runRecorded(path + "--help")
        assertEquals(CommandRun(SUCCESS, run.out, "", emptyList()), run)
        assertTrue(run.out.contains("Usage: cicadaturn ${path.joinToString(" ")}".trim()), run.out)
        assertTrue(run.out.replace(Regex("\\s+"), " ").contains(EXIT_CODE_HELP), run.out)
    }

    /** Guards against a command without a version, and against a version placeholder that the build did not replace. */
    @ParameterizedTest
    @MethodSource("paths")
    fun `every command prints the version`(path: List<String>) {
        val run = runRecorded(path + "--version")
        assertEquals(SUCCESS, run.code)
        assertTrue(run.out.matches(Regex("cicadaturn \\d+\\.\\d+\\.\\d+\n")), run.out)
        assertEquals(emptyList<Any>(), run.calls)
    }

    /** Guards against a subcommand that is missing from the tree. */
    @Test
    fun `the tree has the commands of the design page`() {
        val names = paths().map { it.joinToString(" ") }
        val standins = listOf("standin platform", "standin engine", "standin orders")
        val changes = listOf("drain", "return", "admit", "remove", "limits", "service")
        val plans = changes.map { "ctl plan $it" }
        val control = plans + listOf("ctl describe", "ctl confirm", "ctl status", "ctl history", "ctl local-drain")
        val rest =
            listOf(
                "entry",
                "endpoint",
                "quarantine list",
                "quarantine release",
                "bench routing",
                "demo configure",
                "demo drive",
                "config check",
                "config example",
                "completion",
            )
        assertEquals(emptyList<String>(), (standins + control + rest) - names.toSet())
    }

    /** Guards against a command that is offered without a handler. */
    @Test
    fun `commands without a handler are left out`() {
        val root = commandTree(CommandHandlers(), Terminal(terminalInterface = TerminalRecorder()))
        val expected = listOf("", "config", "config check", "config example", "completion")
        assertEquals(expected, pathsBelow(root).map { it.joinToString(" ") })
    }

    /** Guards against a usage error that exits with the code of success or of a failed run. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "",
            "unknown",
            "config",
            "config check",
            "config check --role entry",
            "config check --role other file",
            "config example",
            "entry",
            "entry a b",
            "entry --unknown a",
            "standin",
            "standin engine --step-time 5",
            "standin engine --step-time 11m",
            "standin engine --cold-bound 0",
            "standin engine --cold-bound 8 --batch 7",
            "standin orders --listen localhost:1",
            "standin platform extra",
            "ctl --admin 127.0.0.1:1",
            "ctl status",
            "ctl --admin 127.0.0.1:1 --key-file /nonexistent/key status",
            "ctl --admin 127.0.0.1:1 plan drain rack r1",
            "ctl --admin 127.0.0.1:1 plan remove host h1",
            "ctl --admin 127.0.0.1:1 plan limits acme --requests-in-flight 5",
            "ctl --admin 127.0.0.1:1 plan service s --kind other --deadline 1s",
            "ctl --admin 127.0.0.1:1 plan admit endpoint e1",
            "ctl --admin 127.0.0.1:1 history --limit 0",
            "quarantine",
            "quarantine list",
            "quarantine list --store localhost:1",
            "quarantine release --store 127.0.0.1:1 s",
            "bench",
            "bench routing",
            "bench routing --policy best",
            "bench routing --policy cost --endpoints 101",
            "bench routing --policy cost --seed x",
            "bench routing --policy cost --format xml",
            "demo drive",
            "demo drive --duration 0s",
            "demo configure --endpoint e1",
            "completion",
            "completion tcsh",
            "@arguments",
        ],
    )
    fun `bad usage ends with code 2 and a message, and runs nothing`(line: String) {
        val run = runRecorded(line.split(' ').filter { it.isNotEmpty() })
        assertEquals(BAD_USAGE, run.code)
        assertTrue((run.out + run.err).contains("Usage: cicadaturn"), run.out + run.err)
        assertEquals(emptyList<Any>(), run.calls.filter { it !is String })
    }

    /** Guards against the usage line of the wrong command when several arguments are invalid. */
    @Test
    fun `several usage errors are printed below the usage line of their command`() {
        val lines = runRecorded("config", "check").err.lines().filter { it.isNotEmpty() }
        val errors = listOf("Error: missing argument <file>", "Error: missing option --role")
        assertEquals(listOf("Usage: cicadaturn config check [<options>] <file>") + errors, lines)
    }

    /** Guards against an exit code of a handler that is lost. */
    @ParameterizedTest
    @ValueSource(ints = [SUCCESS, FAILED_RUN, REFUSED, UNREACHABLE])
    fun `the exit code of the handler is the exit code of the command`(code: Int) {
        val lines =
            listOf(
                listOf("entry", folder.settingsFile(entryText).toString()),
                listOf("standin", "orders"),
                listOf("ctl", "--admin", "127.0.0.1:1", "status"),
                listOf("bench", "routing", "--policy", "cost"),
                demoDriveCommand,
            )
        assertEquals(lines.map { code }, lines.map { runRecorded(it, code).code })
    }

    /** Guards against a process that starts with settings other than those in the file, or before logging is set up. */
    @Test
    fun `entry and endpoint set up logs and run with the settings of the file`() {
        val json = endpointText.replace("host = host-2", "host = host-2\nlog-level = debug\nlog-format = json")
        val entry = runRecorded("entry", folder.settingsFile(entryText).toString())
        assertEquals("logs info text", entry.calls[0])
        assertEquals("entry-1", (entry.calls[1] as EntryFile).process.id)
        val endpoint = runRecorded("endpoint", folder.settingsFile(json).toString())
        assertEquals("logs debug json", endpoint.calls[0])
        assertEquals("drafting-1", (endpoint.calls[1] as EndpointFile).endpoint.id)
    }

    /** Guards against a process that starts with invalid settings, and against faults on standard output. */
    @ParameterizedTest
    @ValueSource(strings = ["entry", "endpoint", "config check --role entry", "config check --role endpoint"])
    fun `bad settings end with code 3 and every fault on standard error`(line: String) {
        val text = (if ("entry" in line) entryText else endpointText).replace("host = ", "hots = ")
        val run = runRecorded(line.split(' ') + folder.settingsFile(text).toString())
        assertEquals(BAD_SETTINGS, run.code)
        assertEquals("", run.out)
        assertEquals(2, run.err.lines().count { it.contains("[process] ho") })
        assertEquals(emptyList<Any>(), run.calls)
    }

    /** Guards against a secret in the output of a command that reads settings. */
    @ParameterizedTest
    @ValueSource(strings = ["entry", "config check --role entry"])
    fun `no command prints a secret`(line: String) {
        val texts = listOf(entryText, entryText.replace("key = ", "kee = "), entryText.replace("key = ", "key "))
        val runs = texts.map { runRecorded(line.split(' ') + folder.settingsFile(it).toString()) }
        assertEquals(listOf(SUCCESS, BAD_SETTINGS, BAD_SETTINGS), runs.map { it.code })
        runs.forEach { assertFalse((it.out + it.err).contains(SECRET), it.out + it.err) }
    }

    /** Guards against a check without output, and against an example that is not printed to standard output. */
    @Test
    fun `config check confirms a correct file and config example prints to standard output`() {
        val file = folder.settingsFile(entryText)
        val check = runRecorded("config", "check", "--role", "entry", file.toString())
        assertEquals(CommandRun(SUCCESS, "$file: correct settings for role entry\n", "", emptyList()), check)
        val example = runRecorded("config", "example", "--role", "endpoint")
        assertEquals("", example.err)
        assertTrue(example.out.contains("\n[endpoint]\n"))
    }

    /** Guards against a completion script that is empty or contains no commands. */
    @ParameterizedTest
    @ValueSource(strings = ["bash", "zsh", "fish"])
    fun `completion prints a script that names the commands`(shell: String) {
        val run = runRecorded("completion", shell)
        assertEquals(SUCCESS, run.code)
        listOf("standin", "local-drain", "--cold-bound", "routing").forEach { name ->
            assertTrue(run.out.contains(name.removePrefix("--")), name)
        }
    }

    companion object {
        @JvmStatic
        fun paths(): List<List<String>> =
            pathsBelow(
                commandTree(recordingHandlers(mutableListOf()), Terminal(terminalInterface = TerminalRecorder())),
            )
    }
}
