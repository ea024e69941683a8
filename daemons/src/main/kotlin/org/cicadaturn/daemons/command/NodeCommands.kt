package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.types.path
import org.apache.logging.log4j.LogManager
import org.cicadaturn.daemons.settings.SettingsCheck
import org.cicadaturn.daemons.settings.SettingsFault
import org.cicadaturn.daemons.settings.awaitSettings
import org.cicadaturn.daemons.settings.processWait

/**
 * Command that runs a process of the system with the settings from a file.
 *
 * @property check checks the text of the settings file
 * @property setUpLogs configures logging from the settings
 * @property handler runs the process and returns the exit code
 */
internal class NodeCommand<T>(
    name: String,
    private val help: String,
    private val check: SettingsCheck<T>,
    private val setUpLogs: (T) -> Unit,
    private val handler: (T) -> Int,
) : CliktCommand(name) {
    private val file by argument("FILE").path().help("Settings file; 'config example --role $name' prints an example.")

    override fun help(context: Context): String = help

    override fun run() {
        val wait = processWait { echo(it, err = true) }
        val (settings, notices) =
            awaitSettings(
                file,
                check,
                wait,
            ).fold({ faults -> throw reportFaults(faults) }, { it })
        setUpLogs(settings)
        notices.forEach { logger.warn("settings: {}", it.message) }
        throw ProgramResult(handler(settings))
    }

    private companion object {
        val logger = LogManager.getLogger(NodeCommand::class.java)
    }
}

/** Prints [faults] to standard error and returns the exception that ends the command. */
internal fun CliktCommand.reportFaults(faults: List<SettingsFault>): ProgramResult {
    faults.forEach { echo(it.message, err = true) }
    return ProgramResult(BAD_SETTINGS)
}
