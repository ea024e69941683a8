package org.cicadaturn.schemagen

import com.squareup.kotlinpoet.AnnotationSpec
import com.squareup.kotlinpoet.BYTE_ARRAY
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.CodeBlock
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.INT
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.ParameterSpec
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeSpec

/** Returns the Kotlin declaration of [entry]. */
internal fun declarationOf(
    entry: TypeEntry,
    packageName: String,
): TypeSpec =
    when (entry.kind) {
        "value" -> valueClass(entry, packageName)
        "enum" -> enumeration(entry)
        "data" -> {
            val spec = dataClass(entry.name, entry.doc, entry.fields, packageName)
            if (entry.comparable) spec.addOrder(ClassName(packageName, entry.name), entry.fields.map { it.name })
            spec.build()
        }
        "sealed" -> sealedInterface(entry, packageName)
        else -> throw IllegalArgumentException(
            "unknown kind ${entry.kind} of type ${entry.name}; use value, enum, data or sealed",
        )
    }

private fun valueClass(
    entry: TypeEntry,
    packageName: String,
): TypeSpec {
    val property = if (entry.of == "Long") "number" else "text"
    val type =
        typeNameOf(requireNotNull(entry.of) { "value type ${entry.name} lacks 'of', the wrapped type" }, packageName)
    val self = ClassName(packageName, entry.name)
    val spec =
        TypeSpec
            .classBuilder(entry.name)
            .addKdoc("%L", "${entry.doc}\n\n@property $property the wrapped value")
            .addAnnotation(serializable)
            .addAnnotation(ClassName("kotlin.jvm", "JvmInline"))
            .addModifiers(KModifier.VALUE)
            .primaryConstructor(FunSpec.constructorBuilder().addParameter(property, type).build())
            .addProperty(PropertySpec.builder(property, type).initializer(property).build())
            .addFunction(toStringOf(property))
    if (entry.comparable) spec.addOrder(self, listOf(property))
    return spec.build()
}

/** Adds the order of [self] by its [properties], the first of which goes first. */
private fun TypeSpec.Builder.addOrder(
    self: ClassName,
    properties: List<String>,
) {
    val comparison =
        properties.singleOrNull()?.let { "$it.compareTo(other.$it)" }
            ?: properties.joinToString(prefix = "compareValuesBy(this, other, ", postfix = ")") { "{ it.$it }" }
    addSuperinterface(ClassName("kotlin", "Comparable").parameterizedBy(self))
    addFunction(
        FunSpec
            .builder("compareTo")
            .addModifiers(KModifier.OVERRIDE, KModifier.OPERATOR)
            .addParameter("other", self)
            .returns(INT)
            .addStatement("return %L", comparison)
            .build(),
    )
}

private fun toStringOf(property: String): FunSpec {
    val text = if (property == "number") "number.toString()" else property
    return FunSpec
        .builder("toString")
        .addModifiers(KModifier.OVERRIDE)
        .returns(STRING)
        .addStatement("return %L", text)
        .build()
}

private fun enumeration(entry: TypeEntry): TypeSpec {
    val spec = TypeSpec.enumBuilder(entry.name).addKdoc("%L", entry.doc).addAnnotation(serializable)
    entry.values.forEach {
        spec.addEnumConstant(
            it.name,
            TypeSpec.anonymousClassBuilder().addKdoc("%L", it.doc).build(),
        )
    }
    return spec.build()
}

private fun sealedInterface(
    entry: TypeEntry,
    packageName: String,
): TypeSpec {
    val spec =
        TypeSpec
            .interfaceBuilder(entry.name)
            .addKdoc("%L", entry.doc)
            .addAnnotation(serializable)
            .addModifiers(KModifier.SEALED)
    entry.variants.forEach { v ->
        val variant =
            dataClass(v.name, v.doc, v.fields, packageName)
                .addAnnotation(AnnotationSpec.builder(serialName).addMember("%S", v.serial).build())
                .addSuperinterface(ClassName(packageName, entry.name))
        spec.addType(variant.build())
    }
    return spec.build()
}

/** Returns a builder of the serializable data class [name] with [fields]. */
internal fun dataClass(
    name: String,
    doc: String,
    fields: List<FieldEntry>,
    packageName: String,
): TypeSpec.Builder {
    val constructor = FunSpec.constructorBuilder()
    val spec = TypeSpec.classBuilder(name).addKdoc("%L", kdocOf(doc, fields)).addAnnotation(serializable)
    spec.addModifiers(KModifier.DATA)
    fields.forEach { f ->
        val type = typeNameOf(f.type, packageName)
        val parameter = ParameterSpec.builder(f.name, type)
        f.default?.let { parameter.defaultValue(CodeBlock.of("%L", it)) }
        constructor.addParameter(parameter.build())
        val property = PropertySpec.builder(f.name, type).initializer(f.name)
        f.serial?.let { property.addAnnotation(AnnotationSpec.builder(serialName).addMember("%S", it).build()) }
        if (type.copy(nullable = false) == BYTE_ARRAY) property.addAnnotation(byteString)
        spec.addProperty(property.build())
    }
    return spec.primaryConstructor(constructor.build())
}

private fun kdocOf(
    doc: String,
    fields: List<FieldEntry>,
): String = doc + "\n\n" + fields.joinToString("\n") { "@property ${it.name} ${uncapitalized(it.doc)}" }

/** Returns [text] with its first letter in lower case, unless the text starts with an abbreviation such as HTTP. */
private fun uncapitalized(text: String): String =
    if (text.length > 1 && text[1].isUpperCase()) text else text.replaceFirstChar(Char::lowercase)
