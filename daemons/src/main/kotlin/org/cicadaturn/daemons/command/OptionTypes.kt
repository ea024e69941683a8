package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.OptionWithValues
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.cicadaturn.daemons.settings.parseAddress
import org.cicadaturn.daemons.settings.parseDuration
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.settingsSections
import kotlin.time.Duration

/** Converts the option value to an IP address and a port. */
internal fun RawOption.address(): NullableOption<NetworkAddress, NetworkAddress> =
    convert("IP:PORT") {
        parseAddress(it)
            ?: fail("$it is not an IP address with a port, for example 127.0.0.1:8080 or [::1]:8080")
    }

/** Converts the option value, a number with a unit, to a duration within [range]. */
internal fun RawOption.duration(range: ClosedRange<Duration>): NullableOption<Duration, Duration> =
    convert("TIME") {
        val duration =
            parseDuration(it) ?: fail("$it is not a number with one of the units ms, s, m and h, for example 250ms")
        if (duration !in range) fail("$it is out of range; allowed is from ${range.start} to ${range.endInclusive}")
        duration
    }

/** Returns the option that selects the output format. */
internal fun ParameterHolder.formatOption(): OptionWithValues<OutputFormat, OutputFormat, OutputFormat> =
    option("--format")
        .choice(mapOf("text" to OutputFormat.TEXT, "json" to OutputFormat.JSON))
        .default(OutputFormat.TEXT, defaultForHelp = "text")
        .help("Format of the printed result.")

/** Returns the option that sets the random seed. */
internal fun ParameterHolder.seedOption(): OptionWithValues<Long, Long, Long> =
    option("--seed", metavar = "N").long().default(1).help("Random seed; equal seeds give equal runs.")

/** Logging options of a command without a settings file. */
internal class LogOptions(
    defaultLevel: String,
) : OptionGroup("Log options") {
    val level by option("--log-level")
        .choice(choicesOf("log-level"))
        .default(defaultLevel)
        .help("Least severe level that is logged.")
    val format by option("--log-format")
        .choice(choicesOf("log-format"))
        .default("text")
        .help("Format of log lines.")
}

/** Listener options of a stand-in. */
internal class ListenerOptions : OptionGroup("Listener options") {
    private val listen by option("--listen")
        .address()
        .default(NetworkAddress("127.0.0.1", 0), defaultForHelp = "127.0.0.1:0")
        .help("Address to listen on; port 0 lets the operating system choose a port.")
    private val portFile by option("--port-file", metavar = "FILE")
        .path()
        .help("File to which the listening port is written after start.")

    fun listener(): StandinListener = StandinListener(listen, portFile)
}

private fun choicesOf(key: String): Map<String, String> {
    val process = settingsSections.first { it.name == "process" }
    return process.keys
        .first { it.name == key }
        .choices
        .associateWith { it }
}
