package org.cicadaturn.schemagen

import com.squareup.kotlinpoet.AnnotationSpec
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.FileSpec
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries

/** Returns the generated Kotlin source code by file name, for all schema files in [directory]. */
fun generate(directory: Path): Map<String, String> =
    directory
        .listDirectoryEntries("*.json")
        .sorted()
        .map { readSchema(it) }
        .associate { "${it.file}.kt" to fileOf(it) }

private fun fileOf(schema: SchemaFile): String {
    val file =
        FileSpec
            .builder(schema.packageName, schema.file)
            .addFileComment(
                "%L",
                "Generated from the schema by schema-gen; run bin/generate after a change of the schema.",
            ).indent("    ")
    if (schema.types.any { hasBytesField(it) }) {
        val optIn = AnnotationSpec.builder(ClassName("kotlin", "OptIn"))
        optIn.addMember("%T::class", ClassName("kotlinx.serialization", "ExperimentalSerializationApi"))
        file.addAnnotation(optIn.useSiteTarget(AnnotationSpec.UseSiteTarget.FILE).build())
    }
    schema.types.forEach { file.addType(declarationOf(it, schema.packageName)) }
    schema.sections.forEach { file.addType(settingsClass(it)) }
    schema.roles.forEach { file.addType(settingsFileClass(it, schema.sections)) }
    if (schema.sections.isNotEmpty()) {
        file.addProperty(settingsCatalogue(schema.sections))
        file.addProperty(settingsRoles(schema.roles))
    }
    return file.build().toString()
}

private fun hasBytesField(type: TypeEntry): Boolean =
    (type.fields + type.variants.flatMap { it.fields }).any { it.type.startsWith("Bytes") }
