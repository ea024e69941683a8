package org.cicadaturn.schema

/** Names the form of a settings value. */
public enum class SettingsType {
    /** Any text that is not empty. */
    TEXT,

    /** A whole number. */
    INTEGER,

    /** A number, with or without a decimal fraction. */
    DECIMAL,

    /** A number and a unit out of ms, s, m and h, for example `250ms`. */
    DURATION,

    /** `true` or `false`. */
    BOOLEAN,

    /** An IP number and a port, for example `127.0.0.1:8080`. */
    ADDRESS,

    /** Addresses separated by commas; may be empty. */
    ADDRESS_LIST,

    /** One of a set of words. */
    CHOICE,

    /** Text that is never printed. */
    SECRET,
}

/**
 * Describes a key of a settings file.
 *
 * @property name key as written in the file
 * @property type form of the value
 * @property doc what it sets
 * @property required true if the file must have it
 * @property default value if the file lacks it, as settings text
 * @property unit unit of a number
 * @property min least value, or least length of a secret
 * @property max greatest value
 * @property choices allowed words of a choice
 */
public data class SettingsKey(
    val name: String,
    val type: SettingsType,
    val doc: String,
    val required: Boolean,
    val default: String?,
    val unit: String?,
    val min: String?,
    val max: String?,
    val choices: List<String>,
)

/**
 * Describes a section of a settings file.
 *
 * @property name section as written in the file
 * @property doc what it is about
 * @property keys its keys
 */
public data class SettingsSection(
    val name: String,
    val doc: String,
    val keys: List<SettingsKey>,
)

/**
 * Describes the settings file of a process role.
 *
 * @property name role as given on the command line
 * @property doc what the file is for
 * @property sections names of its sections
 */
public data class SettingsRole(
    val name: String,
    val doc: String,
    val sections: List<String>,
)
