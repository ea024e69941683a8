package org.cicadaturn.schemagen

import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.CodeBlock
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.LIST
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeSpec

private val sectionType = ClassName("org.cicadaturn.schema", "SettingsSection")
private val keyType = ClassName("org.cicadaturn.schema", "SettingsKey")
private val valueType = ClassName("org.cicadaturn.schema", "SettingsType")
private val roleType = ClassName("org.cicadaturn.schema", "SettingsRole")

/** Returns the data class that holds the values of [section]. */
internal fun settingsClass(section: SectionEntry): TypeSpec {
    val spec =
        dataClass(
            section.type,
            "Values of section `${section.name}`. ${section.doc}",
            section.keys.map {
                fieldOf(it)
            },
            GENERATED_PACKAGE,
        )
    if (section.keys.any { it.type == "SECRET" }) spec.addFunction(toStringWithoutSecrets(section))
    return spec.build()
}

/** Returns a `toString` that masks secrets, which would otherwise appear in log lines and dumps. */
private fun toStringWithoutSecrets(section: SectionEntry): FunSpec {
    val fields =
        section.keys.joinToString { key ->
            val name = camelCase(key.name)
            if (key.type == "SECRET") "$name=***" else "$name=$$name"
        }
    return FunSpec
        .builder("toString")
        .addModifiers(KModifier.OVERRIDE)
        .returns(STRING)
        .addStatement("return %P", "${section.type}($fields)")
        .build()
}

/** Returns the data class that holds the sections of the settings file of [role]. */
internal fun settingsFileClass(
    role: RoleEntry,
    sections: List<SectionEntry>,
): TypeSpec {
    val fields =
        role.sections.map { name ->
            val section = sections.first { it.name == name }
            FieldEntry(name, section.type, section.doc)
        }
    return dataClass(role.type, role.doc, fields, GENERATED_PACKAGE).build()
}

/** Returns the property with all sections and keys, which the settings reader and the example printer use. */
internal fun settingsCatalogue(sections: List<SectionEntry>): PropertySpec {
    val body = CodeBlock.builder().add("listOf(\n")
    sections.forEach { s ->
        body.add("  %T(%S, %S, listOf(\n", sectionType, s.name, s.doc)
        s.keys.forEach { body.add("    %L,\n", keyOf(it)) }
        body.add("  )),\n")
    }
    return listProperty(
        "settingsSections",
        sectionType,
        "All settings sections with their keys.",
        body.add(")").build(),
    )
}

/** Returns the property with the process roles. */
internal fun settingsRoles(roles: List<RoleEntry>): PropertySpec {
    val body = CodeBlock.builder().add("listOf(\n")
    roles.forEach { r ->
        val names = r.sections.joinToString(", ") { "\"$it\"" }
        body.add("  %T(%S, %S, listOf(%L)),\n", roleType, r.name, r.doc, names)
    }
    return listProperty("settingsRoles", roleType, "All process roles with their sections.", body.add(")").build())
}

private fun listProperty(
    name: String,
    element: ClassName,
    doc: String,
    body: CodeBlock,
): PropertySpec =
    PropertySpec
        .builder(name, LIST.parameterizedBy(element))
        .addKdoc("%L", doc)
        .initializer(body)
        .build()

private fun keyOf(key: KeyEntry): CodeBlock =
    CodeBlock.of(
        "%T(name = %S, type = %T.%L, doc = %S, required = %L, default = %S, unit = %S, min = %S, max = %S, choices = listOf(%L))",
        keyType,
        key.name,
        valueType,
        key.type,
        key.doc,
        key.required,
        key.default,
        key.unit,
        key.min,
        key.max,
        key.choices.joinToString(", ") { "\"$it\"" },
    )

private fun fieldOf(key: KeyEntry): FieldEntry {
    val type =
        when (key.type) {
            "TEXT", "CHOICE", "SECRET" -> "String"
            "INTEGER" -> "Int"
            "DECIMAL" -> "Double"
            "DURATION" -> "Duration"
            "BOOLEAN" -> "Boolean"
            "ADDRESS" -> "NetworkAddress"
            "ADDRESS_LIST" -> "List<NetworkAddress>"
            else -> throw IllegalArgumentException("unknown settings type ${key.type} of key ${key.name}")
        }
    val optional = !key.required && key.default == null
    val doc = if (key.unit == null) key.doc else "${key.doc} Unit: ${key.unit}."
    return FieldEntry(
        name = camelCase(key.name),
        type = if (optional) "$type?" else type,
        doc = doc,
        serial = key.name.takeIf { '-' in it },
        default = if (optional) "null" else null,
    )
}

private fun camelCase(name: String): String {
    val words = name.split('-')
    return words.first() + words.drop(1).joinToString("") { w -> w.replaceFirstChar(Char::uppercase) }
}
