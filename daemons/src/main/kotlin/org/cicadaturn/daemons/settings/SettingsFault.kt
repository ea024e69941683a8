package org.cicadaturn.daemons.settings

import java.nio.file.Path

/** Location of a key in a settings file, or of a section if [key] is null. */
internal data class SettingsLocation(
    val file: Path,
    val section: String,
    val key: String?,
) {
    override fun toString(): String = if (key == null) "$file: [$section]" else "$file: [$section] $key"
}

/**
 * Error in a settings file, with the way to correct it.
 *
 * No fault contains the value of a secret.
 */
internal sealed interface SettingsFault {
    /** Description with file, section, key and value, the allowed values, and the remedy. */
    val message: String

    /** The file is missing, is not UTF-8 text or cannot be parsed; [detail] is the cause. */
    data class Unreadable(
        val file: Path,
        val detail: String,
    ) : SettingsFault {
        override val message: String
            get() = "$file: cannot be read ($detail); give the path of a readable INI file in UTF-8"
    }

    /** The settings file of the role has no such section; [allowed] lists the sections that it may have. */
    data class UnknownSection(
        val location: SettingsLocation,
        val allowed: List<String>,
        val nearest: String?,
    ) : SettingsFault {
        override val message: String
            get() {
                val remedy = if (nearest == null) "remove it" else "remove it or rename it to [$nearest]"
                return "$location: unknown section; allowed are ${allowed.joinToString { "[$it]" }}; $remedy"
            }
    }

    /** The section has no such key; [remedy] suggests a similar known key if there is one. */
    data class UnknownKey(
        val location: SettingsLocation,
        val allowed: List<String>,
        val remedy: String,
    ) : SettingsFault {
        override val message: String
            get() = "$location: unknown key; allowed are ${allowed.joinToString()}; $remedy"
    }

    /** A key is placed before the first section line; [key] is its name, unless the name may be a secret. */
    data class OutsideSection(
        val file: Path,
        val key: String,
    ) : SettingsFault {
        override val message: String
            get() = "$file: $key: key outside of any section; move it below the section line that it belongs to"
    }

    /** A key occurs [times] times in the file. */
    data class DuplicateKey(
        val location: SettingsLocation,
        val times: Int,
    ) : SettingsFault {
        override val message: String
            get() = "$location: given $times times; a key may be given once; keep one of the lines"
    }

    /** A required key is absent, or has an empty value if [isGiven] is true. */
    data class MissingValue(
        val location: SettingsLocation,
        val allowed: String,
        val isGiven: Boolean,
    ) : SettingsFault {
        override val message: String
            get() = "$location: no value; allowed is $allowed; add a value"
    }

    /** A value does not have the form of the key's type; [value] is null for a secret. */
    data class WrongType(
        val location: SettingsLocation,
        val value: String?,
        val allowed: String,
    ) : SettingsFault {
        override val message: String
            get() = "$location${shown(value)}: wrong form; allowed is $allowed; correct the value"
    }

    /** A value is below the minimum or above the maximum, or a secret is too short; [value] is null for a secret. */
    data class OutOfRange(
        val location: SettingsLocation,
        val value: String?,
        val allowed: String,
    ) : SettingsFault {
        override val message: String
            get() = "$location${shown(value)}: out of range; allowed is $allowed; correct the value"
    }

    /** A value is inconsistent with the value of another key. */
    data class Contradiction(
        val location: SettingsLocation,
        val value: String,
        val allowed: String,
        val remedy: String,
    ) : SettingsFault {
        override val message: String
            get() = "$location${shown(value)}: contradicts another setting; allowed is $allowed; $remedy"
    }
}

private fun shown(value: String?): String = if (value == null) "" else " = $value"
