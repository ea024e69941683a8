package org.cicadaturn.daemons.settings

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import net.jqwik.api.constraints.StringLength
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.settingsSections
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toDuration

class SettingsValueProperties {
    /** Guards against a text for which the parser throws an exception instead of returning an error. */
    @Property(seed = "20250611")
    fun `any text is either a value or an error of each key`(
        @ForAll @StringLength(max = 40) text: String,
    ) {
        settingsSections.flatMap { it.keys }.forEach { assertNotNull(parseValue(it, text)) }
    }

    /** Guards against confusion of duration units. */
    @Property(seed = "20250612")
    fun `a duration is its number multiplied by its unit`(
        @ForAll @LongRange(min = 0, max = 100_000_000) number: Long,
        @ForAll @IntRange(min = 0, max = 3) unit: Int,
    ) {
        val (name, value) =
            listOf(
                "ms" to DurationUnit.MILLISECONDS,
                "s" to DurationUnit.SECONDS,
                "m" to DurationUnit.MINUTES,
                "h" to DurationUnit.HOURS,
            )[unit]
        val expected: Duration = number.toDuration(value)
        assertEquals(expected, parseDuration("$number$name"))
    }

    /** Guards against rejected or changed IPv4 addresses and ports at the limits of their ranges. */
    @Property(seed = "20250613")
    fun `an address consists of its IP address and its port`(
        @ForAll @IntRange(min = 0, max = 300) part: Int,
        @ForAll @IntRange(min = 0, max = 70_000) port: Int,
    ) {
        val allowed = part <= 255 && port <= 65_535
        val expected = if (allowed) NetworkAddress("10.$part.0.1", port) else null
        assertEquals(expected, parseAddress("10.$part.0.1:$port"))
    }
}
