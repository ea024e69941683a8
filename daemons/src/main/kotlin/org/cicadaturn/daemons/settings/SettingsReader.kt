package org.cicadaturn.daemons.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.apache.commons.text.similarity.JaroWinklerSimilarity
import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsSection
import org.cicadaturn.schema.SettingsType
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.GatewayFile
import org.cicadaturn.schema.generated.settingsRoles
import org.cicadaturn.schema.generated.settingsSections
import java.nio.file.Path

/** Returns the settings in the text of the file at the path, or all faults in it. */
internal typealias SettingsCheck<T> = (Path, String) -> Either<List<SettingsFault>, CheckedSettings<T>>

/** Check of the settings of an entry process. */
internal val entryCheck: SettingsCheck<EntryFile> = checkOf("entry", EntryFile.serializer())

/** Check of the settings of a gateway process. */
internal val gatewayCheck: SettingsCheck<GatewayFile> = checkOf("gateway", GatewayFile.serializer())

/** Check of the settings of an endpoint process. */
internal val endpointCheck: SettingsCheck<EndpointFile> = checkOf("endpoint", EndpointFile.serializer())

/** Returns the settings of an entry process from the file at [path], or all faults in the file. */
internal fun readEntrySettings(path: Path): Either<List<SettingsFault>, CheckedSettings<EntryFile>> =
    readSettings(path, entryCheck)

/** Returns the settings of a gateway process from the file at [path], or all faults in the file. */
internal fun readGatewaySettings(path: Path): Either<List<SettingsFault>, CheckedSettings<GatewayFile>> =
    readSettings(path, gatewayCheck)

/** Returns the settings of an endpoint process from the file at [path], or all faults in the file. */
internal fun readEndpointSettings(path: Path): Either<List<SettingsFault>, CheckedSettings<EndpointFile>> =
    readSettings(path, endpointCheck)

/** Settings readers by role; a test checks that the roles are those of the catalogue. */
internal val settingsReaders: Map<String, (Path) -> Either<List<SettingsFault>, CheckedSettings<Any>>> =
    mapOf(
        "entry" to ::readEntrySettings,
        "gateway" to ::readGatewaySettings,
        "endpoint" to ::readEndpointSettings,
    )

private fun <T> readSettings(
    path: Path,
    check: SettingsCheck<T>,
): Either<List<SettingsFault>, CheckedSettings<T>> = outcomeOf(path, readSource(path), check)

/** Returns the settings in [source], the content of the file at [path], or all faults in it. */
internal fun <T> outcomeOf(
    path: Path,
    source: SettingsSource,
    check: SettingsCheck<T>,
): Either<List<SettingsFault>, CheckedSettings<T>> =
    when (source) {
        is SettingsSource.None -> listOf(source.fault).left()
        is SettingsSource.Text -> check(path, source.text)
    }

private fun <T> checkOf(
    role: String,
    serializer: KSerializer<T>,
): SettingsCheck<T> = { path, text -> checkSettings(role, path, text, serializer) }

private fun <T> checkSettings(
    role: String,
    path: Path,
    text: String,
    serializer: KSerializer<T>,
): Either<List<SettingsFault>, CheckedSettings<T>> {
    val ini = parseIni(path, text).fold({ return listOf(it).left() }, { it })
    val sections = sectionsOf(role)
    val (faults, values) = readValues(path, ini, sections)
    val all = unknownSections(path, ini, sections) + unknownKeys(path, ini, sections) + faults + contradictions(values)
    if (all.isNotEmpty()) return all.left()
    return CheckedSettings(decode(sections, values, serializer), noticesOf(path, ini, sections)).right()
}

/** Returns a notice for each optional key that the file has without a value. */
private fun noticesOf(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): List<SettingsNotice> =
    sections.flatMap { section ->
        section.keys
            .filter { key -> ini.valuesOf(section, key).any { isUnfilled(key, it) } }
            .map { SettingsNotice(SettingsLocation(path, section.name, it.name), it.default) }
    }

private fun IniFile.valuesOf(
    section: SettingsSection,
    key: SettingsKey,
): List<String> = entries.filter { it.section == section.name && it.key == key.name }.map { it.value }

/** Returns the sections of the settings file of [role]. */
internal fun sectionsOf(role: String): List<SettingsSection> {
    val names = settingsRoles.first { it.name == role }.sections
    return names.map { name -> settingsSections.first { it.name == name } }
}

/** Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested as a correction. */
private const val MIN_SIMILARITY = 0.8

private val similarity = JaroWinklerSimilarity()

private val namePattern = Regex("[A-Za-z][A-Za-z0-9_-]{0,31}")

private const val WITHHELD_NAME = "(name withheld: the line has no name=value form and may hold a secret)"

private fun nearest(
    name: String,
    known: List<String>,
): String? = known.maxByOrNull { similarity.apply(name, it) }?.takeIf { similarity.apply(name, it) >= MIN_SIMILARITY }

/**
 * Returns the key of [entry], or a placeholder if the key may be a secret.
 *
 * The parser treats a secret on a line of its own as a key.
 */
private fun printableName(
    entry: IniEntry,
    known: List<String>,
): String {
    // Base64 text may end in one or two "=", which the parser treats as a separator and a value.
    val isName = namePattern.matches(entry.key) && entry.value.any { it != '=' }
    return if (isName || entry.key in known) entry.key else WITHHELD_NAME
}

private fun unknownSections(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = sections.map { it.name }
    return ini.sections.filter { it !in known }.map { name ->
        SettingsFault.UnknownSection(SettingsLocation(path, name, null), known, nearest(name, known))
    }
}

private fun unknownKeys(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val allKeys = sections.flatMap { s -> s.keys.map { it.name } }
    val outside = ini.entries.filter { it.section == null }
    val outsideFaults = outside.map { SettingsFault.OutsideSection(path, printableName(it, allKeys)) }
    return outsideFaults + sections.flatMap { unknownKeysOf(path, ini, it, sections) }
}

private fun unknownKeysOf(
    path: Path,
    ini: IniFile,
    section: SettingsSection,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = section.keys.map { it.name }
    val allKeys = sections.flatMap { s -> s.keys.map { it.name } }
    return ini.entries.filter { it.section == section.name && it.key !in known }.map { entry ->
        val other = sections.firstOrNull { s -> s.keys.any { it.name == entry.key } }
        val near = nearest(entry.key, known)
        val remedy =
            when {
                near != null -> "did you mean $near?"
                other != null -> "move it to [${other.name}]"
                else -> "remove the line"
            }
        SettingsFault.UnknownKey(SettingsLocation(path, section.name, printableName(entry, allKeys)), known, remedy)
    }
}

private fun readValues(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): Pair<List<SettingsFault>, SettingsValues> {
    val faults = mutableListOf<SettingsFault>()
    val values = mutableMapOf<Pair<String, String>, ParsedValue>()
    sections.forEach { section ->
        section.keys.forEach { key ->
            readValue(SettingsLocation(path, section.name, key.name), key, ini.valuesOf(section, key)).fold(
                { faults += it },
                { read -> if (read != null) values[section.name to key.name] = read },
            )
        }
    }
    return faults to SettingsValues(path, values)
}

/** Returns the value of [key], or null if it is optional and absent; [texts] are its values in the file. */
private fun readValue(
    location: SettingsLocation,
    key: SettingsKey,
    texts: List<String>,
): Either<SettingsFault, ParsedValue?> {
    if (texts.size > 1) return SettingsFault.DuplicateKey(location, texts.size).left()
    val text = texts.firstOrNull()?.takeUnless { isUnfilled(key, it) } ?: key.default
    if (text == null) {
        return if (key.required) {
            SettingsFault
                .MissingValue(
                    location,
                    allowedValues(key),
                    isGiven = false,
                ).left()
        } else {
            null.right()
        }
    }
    val shown = text.takeUnless { key.type == SettingsType.SECRET }
    return parseValue(key, text).fold(
        { error ->
            when (error) {
                ValueError.EMPTY -> SettingsFault.MissingValue(location, allowedValues(key), isGiven = true)
                ValueError.WRONG_FORM -> SettingsFault.WrongType(location, shown, allowedValues(key))
                ValueError.OUT_OF_RANGE -> SettingsFault.OutOfRange(location, shown, allowedValues(key))
            }.left()
        },
        { ParsedValue(text, it).right() },
    )
}

private fun contradictions(values: SettingsValues): List<SettingsFault> = settingsRules.flatMap { rule -> rule(values) }

private fun <T> decode(
    sections: List<SettingsSection>,
    values: SettingsValues,
    serializer: KSerializer<T>,
): T {
    val bySection =
        sections.associate { section ->
            val read =
                section.keys.mapNotNull { key ->
                    values.values[section.name to key.name]?.let {
                        key.name to
                            it.value.json
                    }
                }
            section.name to JsonObject(read.toMap())
        }
    return Json.decodeFromJsonElement(serializer, JsonObject(bySection))
}
