package org.cicadaturn.schema

/** Type of a settings value. */
public enum class SettingsType {
    /** Non-empty text. */
    TEXT,

    /** Integer. */
    INTEGER,

    /** Number with or without a decimal fraction. */
    DECIMAL,

    /** Number followed by one of the units ms, s, m and h, for example `250ms`. */
    DURATION,

    /** `true` or `false`. */
    BOOLEAN,

    /** IP address and port, for example `127.0.0.1:8080`. */
    ADDRESS,

    /** Comma-separated addresses; may be empty. */
    ADDRESS_LIST,

    /** One of a fixed set of words. */
    CHOICE,

    /** Text that is never printed. */
    SECRET,
}

/**
 * Description of a key in a settings file.
 *
 * @property name key as written in the file
 * @property type type of the value
 * @property doc explanation of the setting
 * @property required true if the file must contain the key
 * @property default value if the file does not contain the key, as written in the file
 * @property unit unit of a number
 * @property min smallest allowed value, or minimum length of a secret
 * @property max largest allowed value
 * @property choices allowed words of a [SettingsType.CHOICE]
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
 * Description of a section in a settings file.
 *
 * @property name section as written in the file
 * @property doc explanation of the section
 * @property keys keys of the section
 */
public data class SettingsSection(
    val name: String,
    val doc: String,
    val keys: List<SettingsKey>,
)

/**
 * Description of the settings file of a process role.
 *
 * @property name role as given on the command line
 * @property doc explanation of the file
 * @property sections names of the sections
 */
public data class SettingsRole(
    val name: String,
    val doc: String,
    val sections: List<String>,
)
