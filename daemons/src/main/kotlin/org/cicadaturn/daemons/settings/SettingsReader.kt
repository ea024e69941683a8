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

/** Returns the settings of an entry process, or every fault of the file at [path]. */
internal fun readEntrySettings(path: Path): Either<List<SettingsFault>, EntryFile> =
    readSettings("entry", path, EntryFile.serializer())

/** Returns the settings of a gateway process, or every fault of the file at [path]. */
internal fun readGatewaySettings(path: Path): Either<List<SettingsFault>, GatewayFile> =
    readSettings("gateway", path, GatewayFile.serializer())

/** Returns the settings of an endpoint process, or every fault of the file at [path]. */
internal fun readEndpointSettings(path: Path): Either<List<SettingsFault>, EndpointFile> =
    readSettings("endpoint", path, EndpointFile.serializer())

/** Lists the readers by role; a test compares the roles with the catalogue. */
internal val settingsReaders: Map<String, (Path) -> Either<List<SettingsFault>, Any>> =
    mapOf(
        "entry" to ::readEntrySettings,
        "gateway" to ::readGatewaySettings,
        "endpoint" to ::readEndpointSettings,
    )

/** Returns the settings of [role] as [serializer] builds them, or every fault of the file at [path]. */
internal fun <T> readSettings(
    role: String,
    path: Path,
    serializer: KSerializer<T>,
): Either<List<SettingsFault>, T> {
    val ini = readIni(path).fold({ return listOf(it).left() }, { it })
    val sections = sectionsOf(role)
    val (faults, values) = readValues(path, ini, sections)
    val all = unknownSections(path, ini, sections) + unknownKeys(path, ini, sections) + faults + contradictions(values)
    return if (all.isEmpty()) decode(sections, values, serializer).right() else all.left()
}

/** Returns the descriptions of the sections that the settings file of [role] has. */
internal fun sectionsOf(role: String): List<SettingsSection> {
    val names = settingsRoles.first { it.name == role }.sections
    return names.map { name -> settingsSections.first { it.name == name } }
}

/** Similarity from 0 to 1 above which a known name is offered as a correction. */
private const val NEAR = 0.8

private val similarity = JaroWinklerSimilarity()

private val nameForm = Regex("[A-Za-z][A-Za-z0-9_-]{0,31}")

private const val WITHHELD = "(name withheld: the line has no name=value form and may hold a secret)"

private fun nearest(
    name: String,
    known: List<String>,
): String? = known.maxByOrNull { similarity.apply(name, it) }?.takeIf { similarity.apply(name, it) >= NEAR }

/** A secret on a line of its own is parsed as a key without a value, so not every unknown name may be printed. */
private fun printable(
    entry: IniEntry,
    known: List<String>,
): String {
    // Base64 text may end in one or two "=", which the parser takes for a separator and a value.
    val isName = nameForm.matches(entry.key) && entry.value.any { it != '=' }
    return if (isName || entry.key in known) entry.key else WITHHELD
}

private fun unknownSections(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = sections.map { it.name }
    return ini.sections.filter { it !in known }.map { name ->
        SettingsFault.UnknownSection(SettingsPlace(path, name, null), known, nearest(name, known))
    }
}

private fun unknownKeys(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val everyKey = sections.flatMap { s -> s.keys.map { it.name } }
    val outside = ini.entries.filter { it.section == null }
    val outsideFaults = outside.map { SettingsFault.OutsideSection(path, printable(it, everyKey)) }
    return outsideFaults + sections.flatMap { unknownKeysOf(path, ini, it, sections) }
}

private fun unknownKeysOf(
    path: Path,
    ini: IniFile,
    section: SettingsSection,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = section.keys.map { it.name }
    val everyKey = sections.flatMap { s -> s.keys.map { it.name } }
    return ini.entries.filter { it.section == section.name && it.key !in known }.map { entry ->
        val other = sections.firstOrNull { s -> s.keys.any { it.name == entry.key } }
        val near = nearest(entry.key, known)
        val remedy =
            when {
                near != null -> "did you mean $near?"
                other != null -> "move it to [${other.name}]"
                else -> "remove the line"
            }
        SettingsFault.UnknownKey(SettingsPlace(path, section.name, printable(entry, everyKey)), known, remedy)
    }
}

private fun readValues(
    path: Path,
    ini: IniFile,
    sections: List<SettingsSection>,
): Pair<List<SettingsFault>, SettingsValues> {
    val faults = mutableListOf<SettingsFault>()
    val values = mutableMapOf<Pair<String, String>, ReadValue>()
    sections.forEach { section ->
        section.keys.forEach { key ->
            val texts = ini.entries.filter { it.section == section.name && it.key == key.name }.map { it.value }
            readValue(SettingsPlace(path, section.name, key.name), key, texts).fold(
                { faults += it },
                { read -> if (read != null) values[section.name to key.name] = read },
            )
        }
    }
    return faults to SettingsValues(path, values)
}

/** Returns the value of [key], null if it is optional and absent; [texts] are its values in the file. */
private fun readValue(
    place: SettingsPlace,
    key: SettingsKey,
    texts: List<String>,
): Either<SettingsFault, ReadValue?> {
    if (texts.size > 1) return SettingsFault.DuplicateKey(place, texts.size).left()
    val text = texts.firstOrNull() ?: key.default
    if (text == null) {
        return if (key.required) SettingsFault.MissingValue(place, allowedValues(key), true).left() else null.right()
    }
    val shown = text.takeUnless { key.type == SettingsType.SECRET }
    return parseValue(key, text).fold(
        { error ->
            when (error) {
                ValueError.EMPTY -> SettingsFault.MissingValue(place, allowedValues(key), key.required)
                ValueError.WRONG_FORM -> SettingsFault.WrongType(place, shown, allowedValues(key))
                ValueError.OUT_OF_RANGE -> SettingsFault.OutOfRange(place, shown, allowedValues(key))
            }.left()
        },
        { ReadValue(text, it).right() },
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
