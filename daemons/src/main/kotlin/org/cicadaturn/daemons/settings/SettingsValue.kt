package org.cicadaturn.daemons.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsType
import org.cicadaturn.schema.generated.NetworkAddress
import java.net.InetAddress
import java.net.UnknownHostException
import kotlin.time.Duration

/** Settings value whose form and range have been checked against its key. */
internal sealed interface SettingsValue {
    /** Value as JSON, from which the generated data classes are decoded. */
    val json: JsonElement

    data class Text(
        val text: String,
    ) : SettingsValue {
        override val json: JsonElement get() = JsonPrimitive(text)
    }

    data class Secret(
        val text: String,
    ) : SettingsValue {
        override val json: JsonElement get() = JsonPrimitive(text)

        override fun toString(): String = "Secret(***)"
    }

    data class Integer(
        val number: Int,
    ) : SettingsValue {
        override val json: JsonElement get() = JsonPrimitive(number)
    }

    data class Decimal(
        val number: Double,
    ) : SettingsValue {
        override val json: JsonElement get() = JsonPrimitive(number)
    }

    data class Time(
        val duration: Duration,
    ) : SettingsValue {
        override val json: JsonElement get() = Json.encodeToJsonElement(Duration.serializer(), duration)
    }

    data class Flag(
        val on: Boolean,
    ) : SettingsValue {
        override val json: JsonElement get() = JsonPrimitive(on)
    }

    data class Addresses(
        val addresses: List<NetworkAddress>,
    ) : SettingsValue {
        override val json: JsonElement
            get() = Json.encodeToJsonElement(ListSerializer(NetworkAddress.serializer()), addresses)
    }

    data class Address(
        val address: NetworkAddress,
    ) : SettingsValue {
        override val json: JsonElement get() = Json.encodeToJsonElement(NetworkAddress.serializer(), address)
    }
}

/** Reason why a text is not a valid value of a key. */
internal enum class ValueError {
    EMPTY,
    WRONG_FORM,
    OUT_OF_RANGE,
}

/** Parses [text] and checks it against the type, range and choices of [key]. */
internal fun parseValue(
    key: SettingsKey,
    text: String,
): Either<ValueError, SettingsValue> {
    if (text.isEmpty() && key.type != SettingsType.ADDRESS_LIST) return ValueError.EMPTY.left()
    return when (key.type) {
        SettingsType.TEXT -> SettingsValue.Text(text).right()
        SettingsType.SECRET -> parseSecret(key, text)
        SettingsType.INTEGER -> parseInteger(key, text)
        SettingsType.DECIMAL -> parseDecimal(key, text)
        SettingsType.DURATION -> parseTime(key, text)
        SettingsType.BOOLEAN -> text.toBooleanStrictOrNull()?.let(SettingsValue::Flag).orWrongForm()
        SettingsType.ADDRESS -> parseAddress(text)?.let(SettingsValue::Address).orWrongForm()
        SettingsType.ADDRESS_LIST -> parseAddresses(text)
        SettingsType.CHOICE -> text.takeIf { it in key.choices }?.let(SettingsValue::Text).orWrongForm()
    }
}

/**
 * Returns true if [text] is what a template leaves of the optional [key] where the platform has no value: nothing, or
 * the unit of a duration. An empty list of addresses is a value.
 */
internal fun isUnfilled(
    key: SettingsKey,
    text: String,
): Boolean =
    when {
        key.required || key.type == SettingsType.ADDRESS_LIST -> false
        key.type == SettingsType.DURATION -> text.isEmpty() || text in durationUnits
        else -> text.isEmpty()
    }

/** Parses [text] as a number with one of the units ms, s, m and h; returns null if it has another form. */
internal fun parseDuration(text: String): Duration? {
    val parts = durationPattern.matchEntire(text) ?: return null
    val (number, unit) = parts.destructured
    // The standard parser accepts no exponent.
    return Duration.parseOrNull(number.toBigDecimal().toPlainString() + unit)
}

/** Parses [text] as an IP address and a port; returns null for any other form, including host names. */
internal fun parseAddress(text: String): NetworkAddress? {
    val parts = addressPattern.matchEntire(text) ?: return null
    val (ipv4, ipv6, portText) = parts.destructured
    val port = portText.toInt()
    val ip = if (ipv6.isEmpty()) ipv4.takeIf(::isIpv4) else ipv6.takeIf(::isIpv6)
    return if (ip == null || port > 65_535) null else NetworkAddress(ip, port)
}

/** Returns a description of the values that [key] allows, with range and unit. */
internal fun allowedValues(key: SettingsKey): String =
    when (key.type) {
        SettingsType.TEXT -> "text that is not empty"
        SettingsType.SECRET ->
            if (key.min ==
                null
            ) {
                "text that is not empty"
            } else {
                "text of at least ${key.min} characters"
            }
        SettingsType.INTEGER -> "a whole number${rangeOf(key)}${if (key.unit == null) "" else " (${key.unit})"}"
        SettingsType.DECIMAL -> "a number${rangeOf(key)}${if (key.unit == null) "" else " (${key.unit})"}"
        SettingsType.DURATION -> "a number with a unit out of ms, s, m and h${rangeOf(key)}"
        SettingsType.BOOLEAN -> "true or false"
        SettingsType.ADDRESS -> "an IP number and a port, for example 127.0.0.1:8080 or [::1]:8080"
        SettingsType.ADDRESS_LIST -> "IP numbers with ports, separated by commas, or nothing"
        SettingsType.CHOICE -> "one of ${key.choices.joinToString()}"
    }

private const val NUMBER = """\d+(?:\.\d+)?(?:[eE][+-]?\d{1,3})?"""

private val decimalPattern = Regex(NUMBER)

private val durationUnits = listOf("ms", "s", "m", "h")

private val durationPattern = Regex("($NUMBER)(${durationUnits.joinToString("|")})")

private val addressPattern = Regex("""(?:([0-9.]+)|\[([0-9a-fA-F:.]+)]):(\d{1,5})""")

private fun rangeOf(key: SettingsKey): String =
    when {
        key.min != null && key.max != null -> " from ${key.min} to ${key.max}"
        key.min != null -> " of at least ${key.min}"
        key.max != null -> " of at most ${key.max}"
        else -> ""
    }

private fun SettingsValue?.orWrongForm(): Either<ValueError, SettingsValue> =
    this?.right() ?: ValueError.WRONG_FORM.left()

private fun parseSecret(
    key: SettingsKey,
    text: String,
): Either<ValueError, SettingsValue> {
    val minimum = key.min?.toInt() ?: 1
    return if (text.length < minimum) ValueError.OUT_OF_RANGE.left() else SettingsValue.Secret(text).right()
}

private fun parseInteger(
    key: SettingsKey,
    text: String,
): Either<ValueError, SettingsValue> {
    val number = text.toBigIntegerOrNull() ?: return ValueError.WRONG_FORM.left()
    val minimum = key.min?.toInt() ?: Int.MIN_VALUE
    val maximum = key.max?.toInt() ?: Int.MAX_VALUE
    val inRange = number >= minimum.toBigInteger() && number <= maximum.toBigInteger()
    return if (inRange) SettingsValue.Integer(number.toInt()).right() else ValueError.OUT_OF_RANGE.left()
}

private fun parseDecimal(
    key: SettingsKey,
    text: String,
): Either<ValueError, SettingsValue> {
    if (!decimalPattern.matches(text)) return ValueError.WRONG_FORM.left()
    val number = text.toDouble()
    val minimum = key.min?.toDouble() ?: 0.0
    val maximum = key.max?.toDouble() ?: Double.MAX_VALUE
    return if (number in minimum..maximum) SettingsValue.Decimal(number).right() else ValueError.OUT_OF_RANGE.left()
}

private fun parseTime(
    key: SettingsKey,
    text: String,
): Either<ValueError, SettingsValue> {
    val duration = parseDuration(text) ?: return ValueError.WRONG_FORM.left()
    val minimum = key.min?.let(Duration::parse) ?: Duration.ZERO
    val maximum = key.max?.let(Duration::parse) ?: Duration.INFINITE
    return if (duration in minimum..maximum) SettingsValue.Time(duration).right() else ValueError.OUT_OF_RANGE.left()
}

private fun parseAddresses(text: String): Either<ValueError, SettingsValue> {
    if (text.isBlank()) return SettingsValue.Addresses(emptyList()).right()
    val addresses = text.split(',').map { parseAddress(it.trim()) ?: return ValueError.WRONG_FORM.left() }
    return SettingsValue.Addresses(addresses).right()
}

private fun isIpv4(text: String): Boolean {
    val parts = text.split('.')
    return parts.size == 4 && parts.all { it.length in 1..3 && it.toInt() <= 255 }
}

/** Returns true if [text] is an IPv6 address; in brackets, the JDK accepts nothing else and queries no name server. */
private fun isIpv6(text: String): Boolean =
    try {
        InetAddress.getByName("[$text]")
        true
    } catch (_: UnknownHostException) {
        false
    }
