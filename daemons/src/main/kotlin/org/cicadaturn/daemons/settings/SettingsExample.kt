package org.cicadaturn.daemons.settings

import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsSection
import org.cicadaturn.schema.generated.settingsRoles

/**
 * Returns an example settings file for [role], with the meaning, unit, allowed range and default of every key.
 *
 * Required keys have an empty value to fill in; all other keys are commented out and show their default.
 */
internal fun exampleSettings(role: String): String {
    val intro =
        listOf(
            settingsRoles.first { it.name == role }.doc,
            "Fill in the required values. A commented key shows its default, which an optional key without a value has too.",
            "Put a value that contains # or ; into double quotes.",
        )
    return intro.joinToString("") { "# $it\n" } + sectionsOf(role).joinToString("") { exampleSection(it) }
}

private fun exampleSection(section: SettingsSection): String =
    "\n# ${section.doc}\n[${section.name}]\n" + section.keys.joinToString("") { exampleKey(it) }

private fun exampleKey(key: SettingsKey): String {
    val state =
        when {
            key.required -> "Required."
            key.default == null -> "Optional; no default."
            key.default == "" -> "Default: nothing."
            else -> "Default: ${key.default}."
        }
    val allowed = allowedValues(key).replaceFirstChar(Char::uppercase)
    val line = if (key.required) "${key.name} =" else "#${key.name} = ${key.default.orEmpty()}".trimEnd()
    return "\n# ${key.doc}\n# $allowed. $state\n$line\n"
}
