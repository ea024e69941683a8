package org.cicadaturn.daemons.settings

import arrow.core.getOrElse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvFileSource
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Path
import kotlin.io.path.createDirectory
import kotlin.io.path.writeBytes

class SettingsFaultTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against an invalid file that is accepted, a fault that hides another, and a message without a remedy. */
    @ParameterizedTest
    @CsvFileSource(resources = ["/bad-settings.csv"], delimiter = '|', quoteCharacter = '`', numLinesToSkip = 1)
    fun `each invalid file has exactly the expected fault`(
        role: String,
        line: String,
        replacement: String?,
        fault: String,
    ) {
        val correct = if (role == "entry") entryText else endpointText
        val wrong = correct.replace("${line.expanded()}\n", "${replacement.orEmpty().expanded()}\n")
        assertNotEquals(correct, wrong, "the replacement does not change the file")
        val file = folder.settingsFile(wrong)
        assertEquals(listOf("$file: $fault"), faultsOf(role, file).map { it.message })
    }

    /** Guards against a reader that stops at the first fault. */
    @Test
    fun `faults of several kinds are reported at once`() {
        val text =
            entryText
                .replace("id = entry-1\n", "id =\nidd = 4\n")
                .replace("keepalive-timeout = 3s", "keepalive-timeout = 500ms")
                .replace("max-attempts = 3", "max-attempts = 99\n[stroe]")
        val kinds = faultsOf("entry", folder.settingsFile(text)).map { it::class.simpleName }
        assertEquals(
            setOf("MissingValue", "UnknownKey", "Contradiction", "OutOfRange", "UnknownSection"),
            kinds.toSet(),
        )
    }

    /** Guards against an empty file that is accepted because it has no section to check. */
    @Test
    fun `an empty file lacks every required value`() {
        val missing = faultsOf("endpoint", folder.settingsFile("")).map { (it as SettingsFault.MissingValue).location }
        val required =
            sectionsOf("endpoint").flatMap { s ->
                s.keys.filter { it.required }.map { "[${s.name}] ${it.name}" }
            }
        assertEquals(required, missing.map { "[${it.section}] ${it.key}" })
    }

    /** Guards against an exception instead of a fault when the file cannot be read. */
    @Test
    fun `unreadable files are reported with the cause`() {
        val absent = folder.resolve("absent.ini")
        val bytes =
            folder
                .resolve(
                    "bytes.ini",
                ).also { it.writeBytes(byteArrayOf(0x5b, 0xff.toByte(), 0xfe.toByte(), 0x5d)) }
        val directory = folder.resolve("directory.ini").createDirectory()
        val remedy = "give the path of a readable INI file in UTF-8"
        val faults = listOf(absent, bytes, directory).flatMap { faultsOf("entry", it) }
        assertTrue(faults.all { it is SettingsFault.Unreadable })
        assertEquals("$absent: cannot be read (no such file); $remedy", faults[0].message)
        assertEquals("$bytes: cannot be read (not UTF-8); $remedy", faults[1].message)
        assertEquals("$directory: cannot be read (Is a directory); $remedy", faults[2].message)
    }

    /** Guards against a secret in a message, for all kinds of invalid lines. */
    @ParameterizedTest
    @MethodSource("wrongSecretLines")
    fun `no fault shows a secret`(line: String) {
        val text = entryText.replace("key = $SECRET", line)
        val faults = faultsOf("entry", folder.settingsFile(text))
        assertTrue(faults.isNotEmpty())
        val printed = faults.joinToString("\n") { "${it.message} $it" }
        assertFalse(printed.contains(SECRET) || printed.contains("short-1"), printed)
    }

    /** Guards against a secret in a log line or an exception that shows parsed values or settings. */
    @Test
    fun `the text forms of values and settings hide secrets`() {
        assertFalse(SettingsValue.Secret(SECRET).toString().contains(SECRET))
        val settings = readEntrySettings(folder.settingsFile(entryText)).getOrNull()
        val text = settings.toString()
        assertTrue(text.contains("keepaliveTimeout=3s"), text)
        assertFalse(text.contains(SECRET), text)
    }

    private fun faultsOf(
        role: String,
        file: Path,
    ): List<SettingsFault> = settingsReaders.getValue(role)(file).fold({ it }, { emptyList() })

    private fun String.expanded(): String = replace("\\n", "\n").replace("\$SECRET", SECRET)

    companion object {
        @JvmStatic
        fun wrongSecretLines(): List<String> =
            listOf(
                "key = short-1",
                "keey = $SECRET",
                "key = $SECRET\nkey = $SECRET",
                "key: $SECRET",
                "key $SECRET",
                "key =\n$SECRET",
                "key =\n$SECRET =",
                "key =\n$SECRET==",
                "zzz = $SECRET",
                "[$SECRET",
            )
    }
}
