package org.cicadaturn.daemons.settings

import arrow.core.Either
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.GatewayFile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SettingsWaitTest {
    private val path = Path.of("/etc/settings.ini")
    private val absent = SettingsSource.None(SettingsFault.Unreadable(path, "no such file"), isPassing = true)

    /** Content of the file by the time since the start; it stays as the last entry says. */
    private class Writer(
        private vararg val content: Pair<Duration, SettingsSource>,
    ) {
        private var time = Duration.ZERO
        val pauses = mutableListOf<Duration>()
        val announced = mutableListOf<String>()

        val wait =
            SettingsWait(
                read = { content.last { it.first <= time }.second },
                pause = {
                    pauses += it
                    time += it
                },
                elapsed = { time },
                announce = { announced += it },
            )
    }

    private fun await(writer: Writer): Either<List<SettingsFault>, CheckedSettings<EntryFile>> =
        awaitSettings(path, entryCheck, writer.wait)

    private fun text(text: String) = SettingsSource.Text(text)

    /** Guards against a process that ends as its settings file is absent, empty or incomplete for a moment. */
    @Test
    fun `a file that is completed later is awaited`() {
        val cuts =
            listOf(absent, text(""), text("\n"), text("[proc")) + listOf(40, 80, 150).map { text(entryText.take(it)) }
        for (cut in cuts) {
            val writer = Writer(Duration.ZERO to cut, 9.seconds to text(entryText))
            assertEquals("entry-1", await(writer).getOrFail().process.id, "$cut")
            assertEquals(1, writer.announced.size, "$cut: ${writer.announced}")
            assertTrue(writer.announced.single().startsWith("$path: not complete ("), "${writer.announced}")
            assertTrue(writer.announced.single().endsWith("for up to 10s"), "${writer.announced}")
            assertTrue(writer.pauses.all { it >= 50.milliseconds }, "pauses ${writer.pauses}")
        }
    }

    /** Guards against an endless wait, and against a refusal that does not tell what is wrong. */
    @Test
    fun `a file that stays incomplete is refused with its faults`() {
        val none = Writer(Duration.ZERO to absent)
        assertEquals(listOf<SettingsFault>(absent.fault), await(none).leftOrNull())
        assertEquals(10.seconds, none.wait.elapsed())
        val cut = Writer(Duration.ZERO to text(entryText.substringBefore("listen")))
        val missing = await(cut).leftOrNull().orEmpty().single() as SettingsFault.MissingValue
        assertEquals(SettingsLocation(path, "entry", "listen"), missing.location)
        assertEquals(10.seconds, cut.wait.elapsed())
    }

    /** Guards against a wrong setting that an operator learns of only after the wait. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "failure-domain = kolkata|",
            "failure-domain = kolkata|failure-domain =",
            "listen = 127.0.0.1:8080|listen =",
            "listen = 127.0.0.1:8080|listen = localhost",
            "max-attempts = 3|max-attempts = 99",
            "max-attempts = 3|max-attempt = 3",
            "keepalive-timeout = 3s|keepalive-timeout = 500ms",
            "[store]|[stroe]",
        ],
    )
    fun `a wrong setting is refused at once`(change: String) {
        val (line, replacement) = change.split('|')
        val wrong = entryText.replace("$line\n", if (replacement.isEmpty()) "" else "$replacement\n")
        for (content in listOf(wrong, "${wrong}queue-wait = 1")) {
            val writer = Writer(Duration.ZERO to text(content), 50.milliseconds to text(entryText))
            assertTrue(await(writer).isLeft(), content)
            assertEquals(emptyList<Duration>(), writer.pauses, content)
        }
    }

    /** Guards against a file of another kind, or without permission, that is awaited. */
    @Test
    fun `a file that cannot be read is refused at once`() {
        val denied = SettingsSource.None(SettingsFault.Unreadable(path, "permission denied"), isPassing = false)
        val writer = Writer(Duration.ZERO to denied, 50.milliseconds to text(entryText))
        assertEquals(listOf<SettingsFault>(denied.fault), await(writer).leftOrNull())
    }

    /** Guards against a value that is used though its line was cut off, and a file that is refused for its last line. */
    @Test
    fun `a last line without an end counts once the file has stayed the same`() {
        val whole = entryText.removeSuffix("\n")
        val still = Writer(Duration.ZERO to text(whole))
        assertEquals(3, await(still).getOrFail().entry.maxAttempts)
        assertEquals(1.seconds, still.wait.elapsed())
        val growing =
            Writer(
                Duration.ZERO to text("${whole.dropLast(1)}1"),
                900.milliseconds to text("${whole.dropLast(1)}10\n"),
            )
        assertEquals(10, await(growing).getOrFail().entry.maxAttempts)
    }

    /** Guards against a file that is read in part before and in part after a change. */
    @Test
    fun `a file that changes while it is read is read again`() {
        val sources = ArrayDeque(listOf(entryText.replace("entry-1", "x = y"), entryText.replace("entry-1", "entry-2")))
        val wait =
            SettingsWait(
                read = { text(if (sources.size > 1) sources.removeFirst() else sources.first()) },
                pause = {},
                elapsed = { Duration.ZERO },
                announce = {},
            )
        assertEquals("entry-2", awaitSettings(path, entryCheck, wait).getOrFail().process.id)
    }

    /** Guards against a template whose file, if it is cut off anywhere, counts as whole and runs with defaults. */
    @Test
    fun `the template of the gateway is never whole before its last line`() {
        val template = Path.of("../deploy/gateway.ini").readText()
        val whole =
            template
                .replace(Regex("""\{\{([^}]*)}}""")) { field ->
                    val name = field.groupValues[1]
                    val isAddress = name == "provider.address" || name.startsWith("listen.")
                    if (isAddress) {
                        "10.0.0.1:${1_000 + field.range.first}"
                    } else if (name == "ip") {
                        "10.0.0.1"
                    } else {
                        "4"
                    }
                }.replace("seeds = 4", "seeds = 10.0.0.1:8229")
        val reading = readingOf(path, text(whole), gatewayCheck)
        assertNull(reading.unfinished, "${reading.outcome}")
        assertNotNull(reading.outcome.getOrNull())
        for (length in 0 until whole.length) {
            val cut: SettingsReading<GatewayFile> = readingOf(path, text(whole.take(length)), gatewayCheck)
            assertNotNull(cut.unfinished, "cut after $length: ${cut.outcome}")
        }
    }
}
