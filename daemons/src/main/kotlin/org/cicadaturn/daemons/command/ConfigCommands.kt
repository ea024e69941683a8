package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import org.cicadaturn.daemons.settings.exampleSettings
import org.cicadaturn.daemons.settings.settingsReaders

/** Returns the command that groups the commands for settings files. */
internal fun configCommand(): CliktCommand =
    GroupCommand("config", "Checks settings files and prints examples.").subcommands(CheckCommand(), ExampleCommand())

private val roles = settingsReaders.keys.associateWith { it }

private class CheckCommand : CliktCommand("check") {
    private val role by option("--role").choice(roles).required().help("Role of the process.")
    private val file by argument("FILE").path().help("Settings file.")

    override fun help(context: Context): String = "Checks a settings file and prints every error in it."

    override fun run() {
        val (_, notices) = settingsReaders.getValue(role)(file).fold({ faults -> throw reportFaults(faults) }, { it })
        notices.forEach { echo(it.message, err = true) }
        echo("$file: correct settings for role $role")
    }
}

private class ExampleCommand : CliktCommand("example") {
    private val role by option("--role").choice(roles).required().help("Role of the process.")

    override fun help(context: Context): String =
        "Prints a commented settings file with the unit, allowed range and default of every setting."

    override fun run() {
        echo(exampleSettings(role), trailingNewline = false)
    }
}
