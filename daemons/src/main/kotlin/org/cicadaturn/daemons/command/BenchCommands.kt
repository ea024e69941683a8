package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.OptionDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.serialization.json.JsonObject
import org.cicadaturn.daemons.settings.SettingsValue
import org.cicadaturn.daemons.settings.allowedValues
import org.cicadaturn.daemons.settings.parseValue
import org.cicadaturn.schema.SettingsKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Returns the command that groups [benches], or null if there are none. */
internal fun benchCommand(
    benches: List<Bench>,
    setUpLogs: (String, String) -> Unit,
): CliktCommand? {
    if (benches.isEmpty()) return null
    val group = GroupCommand("bench", "Runs a benchmark and prints its results.")
    return group.subcommands(benches.map { BenchCommand(it, setUpLogs) })
}

private class BenchCommand(
    private val bench: Bench,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand(bench.name) {
    private val seed by seedOption()
    private val format by formatOption()
    private val benchOptions = bench.options.map { it.name to declareOption(it) }
    private val logs by LogOptions("warn")

    override fun help(context: Context): String = bench.doc

    override fun run() {
        val values = benchOptions.mapNotNull { (name, option) -> option.value?.let { name to it.json } }
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(bench.run(BenchArguments(seed, format, JsonObject(values.toMap()))))
    }

    private fun declareOption(key: SettingsKey): OptionDelegate<out SettingsValue?> {
        val option =
            option("--${key.name}", metavar = key.unit?.uppercase())
                .help("${key.doc} Allowed: ${allowedValues(key)}.")
                .convert { text ->
                    parseValue(key, text).fold({ fail("expected ${allowedValues(key)}, but got '$text'") }, { it })
                }
        val default = key.default?.let { defaultOf(key, it) }
        val complete =
            when {
                default != null -> option.default(default, defaultForHelp = key.default.orEmpty())
                key.required -> option.required()
                else -> option
            }
        registerOption(complete)
        return complete
    }
}

private fun defaultOf(
    key: SettingsKey,
    text: String,
): SettingsValue =
    parseValue(key, text).fold(
        { error("default value '$text' of option ${key.name} is not allowed") },
        { it },
    )
