package org.cicadaturn.schemagen

import com.squareup.kotlinpoet.BOOLEAN
import com.squareup.kotlinpoet.BYTE_ARRAY
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.DOUBLE
import com.squareup.kotlinpoet.INT
import com.squareup.kotlinpoet.LIST
import com.squareup.kotlinpoet.LONG
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeName

/** Package of the generated code if the schema file does not set one. */
const val GENERATED_PACKAGE: String = "org.cicadaturn.schema.generated"

internal val serializable = ClassName("kotlinx.serialization", "Serializable")
internal val serialName = ClassName("kotlinx.serialization", "SerialName")
internal val byteString = ClassName("kotlinx.serialization.cbor", "ByteString")
internal val duration = ClassName("kotlin.time", "Duration")
internal val instant = ClassName("kotlin.time", "Instant")
internal val jsonElement = ClassName("kotlinx.serialization.json", "JsonElement")

/** Returns the Kotlin type of schema type [text], such as `List<Header>`; other names are types in [packageName]. */
internal fun typeNameOf(
    text: String,
    packageName: String,
): TypeName {
    if (text.endsWith("?")) return typeNameOf(text.dropLast(1), packageName).copy(nullable = true)
    if (text.startsWith("List<")) {
        return LIST.parameterizedBy(typeNameOf(text.removePrefix("List<").removeSuffix(">"), packageName))
    }
    return when (text) {
        "String" -> STRING
        "Int" -> INT
        "Long" -> LONG
        "Double" -> DOUBLE
        "Boolean" -> BOOLEAN
        "Bytes" -> BYTE_ARRAY
        "Duration" -> duration
        "Instant" -> instant
        "Json" -> jsonElement
        else -> ClassName(packageName, text)
    }
}
