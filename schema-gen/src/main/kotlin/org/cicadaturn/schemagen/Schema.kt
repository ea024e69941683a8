package org.cicadaturn.schemagen

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Content of a schema file.
 *
 * A file contains either [types] or [sections] and [roles]. [packageName] is the package of the generated code.
 */
@Serializable
data class SchemaFile(
    val file: String,
    val doc: String,
    @SerialName("package") val packageName: String = GENERATED_PACKAGE,
    val types: List<TypeEntry> = emptyList(),
    val sections: List<SectionEntry> = emptyList(),
    val roles: List<RoleEntry> = emptyList(),
)

/**
 * Type declaration; [kind] selects a value class, an enum class, a data class or a sealed interface.
 *
 * A value class wraps a value of type [of]. A type for which [comparable] is true implements `Comparable`; a data class is
 * ordered by its fields, the first of which goes first.
 */
@Serializable
data class TypeEntry(
    val kind: String,
    val name: String,
    val doc: String,
    val of: String? = null,
    val comparable: Boolean = false,
    val values: List<EnumValueEntry> = emptyList(),
    val fields: List<FieldEntry> = emptyList(),
    val variants: List<VariantEntry> = emptyList(),
)

/** Value of an enum class. */
@Serializable
data class EnumValueEntry(
    val name: String,
    val doc: String,
)

/** Property of a data class; [serial] is its encoded name if it differs, [default] a Kotlin expression. */
@Serializable
data class FieldEntry(
    val name: String,
    val type: String,
    val doc: String,
    val serial: String? = null,
    val default: String? = null,
)

/** Variant of a sealed interface; [serial] is its encoded name. */
@Serializable
data class VariantEntry(
    val name: String,
    val serial: String,
    val doc: String,
    val fields: List<FieldEntry>,
)

/** Section of a settings file. */
@Serializable
data class SectionEntry(
    val name: String,
    val type: String,
    val doc: String,
    val keys: List<KeyEntry>,
)

/** Key of a settings section; [default], [min] and [max] are written as in a settings file. */
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

/** Process role with the sections of its settings file. */
@Serializable
data class RoleEntry(
    val name: String,
    val type: String,
    val sections: List<String>,
    val doc: String,
)

/** Reads the schema file at [path]; fails on an unknown key. */
fun readSchema(path: Path): SchemaFile = Json.decodeFromString(path.readText())
