package org.cicadaturn.schemagen

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText

/** One schema file: either [types] or [sections] and [roles]; [home] is the package of its code. */
@Serializable
data class SchemaFile(
    val file: String,
    val doc: String,
    @SerialName("package") val home: String = GENERATED_PACKAGE,
    val types: List<TypeEntry> = emptyList(),
    val sections: List<SectionEntry> = emptyList(),
    val roles: List<RoleEntry> = emptyList(),
)

/** A value class, an enumeration, a data class or a sealed family, as [kind] tells. */
@Serializable
data class TypeEntry(
    val kind: String,
    val name: String,
    val doc: String,
    val of: String? = null,
    val comparable: Boolean = false,
    val values: List<ConstantEntry> = emptyList(),
    val fields: List<FieldEntry> = emptyList(),
    val variants: List<VariantEntry> = emptyList(),
)

/** A constant of an enumeration. */
@Serializable
data class ConstantEntry(
    val name: String,
    val doc: String,
)

/** A property of a data class; [default] is Kotlin text. */
@Serializable
data class FieldEntry(
    val name: String,
    val type: String,
    val doc: String,
    val serial: String? = null,
    val default: String? = null,
)

/** A member of a sealed family; [serial] is its name in encoded form. */
@Serializable
data class VariantEntry(
    val name: String,
    val serial: String,
    val doc: String,
    val fields: List<FieldEntry>,
)

/** A section of a settings file. */
@Serializable
data class SectionEntry(
    val name: String,
    val type: String,
    val doc: String,
    val keys: List<KeyEntry>,
)

/** A key of a settings section, with its type, bounds and default as settings text. */
@Serializable
data class KeyEntry(
    val name: String,
    val type: String,
    val doc: String,
    val required: Boolean = false,
    val default: String? = null,
    val unit: String? = null,
    val min: String? = null,
    val max: String? = null,
    val choices: List<String> = emptyList(),
)

/** A process role and the sections that its settings file has. */
@Serializable
data class RoleEntry(
    val name: String,
    val type: String,
    val sections: List<String>,
    val doc: String,
)

/** Reads the schema file at [path]; an unknown key is an error. */
fun readSchema(path: Path): SchemaFile = Json.decodeFromString(path.readText())
