package org.cicadaturn.daemons.settings

/**
 * Optional key without a value in a settings file, which counts as a key that is not given.
 *
 * A platform that fills in a template leaves a value empty, or a unit without its number, if it has none.
 *
 * @property default value that is used instead, or null if the key has no default
 */
internal data class SettingsNotice(
    val location: SettingsLocation,
    val default: String?,
) {
    /** Description with file, section, key and the value that is used. */
    val message: String
        get() =
            when (default) {
                null -> "$location: no value; the key counts as not given"
                else -> "$location: no value; the default $default is used"
            }
}

/** Valid settings of a role, and what an operator should know about their file. */
internal data class CheckedSettings<out T>(
    val settings: T,
    val notices: List<SettingsNotice>,
)
