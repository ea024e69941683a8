package org.cicadaturn.daemons.settings

import org.cicadaturn.schema.SettingsKey
import org.cicadaturn.schema.SettingsType
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.settingsRoles
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class SettingsReaderTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against values that are lost or changed between the file and the data classes. */
    @Test
    fun `values of the file and defaults reach the entry settings`() {
        val text =
            entryText.replace(
                "max-attempts = 3",
                "max-attempts = 5\npeers = 10.0.0.2:7, [::1]:8\nslow-reader-timeout = 1.5m",
            )
        val settings = readEntrySettings(folder.settingsFile(text)).getOrFail()
        assertEquals("entry-1", settings.process.id)
        assertEquals(SECRET, settings.wire.key)
        assertEquals(3.seconds, settings.wire.keepaliveTimeout)
        assertEquals(NetworkAddress("127.0.0.1", 8080), settings.entry.listen)
        assertEquals(listOf(NetworkAddress("10.0.0.2", 7), NetworkAddress("::1", 8)), settings.entry.peers)
        assertEquals(5, settings.entry.maxAttempts)
        assertEquals(90.seconds, settings.entry.slowReaderTimeout)
        assertEquals(2.minutes, settings.process.stopTimeout)
        assertEquals(NetworkAddress("127.0.0.1", 0), settings.process.adminListen)
        assertNull(settings.process.portFile)
    }

    /** Guards against an endpoint file that is read with the sections of another role. */
    @Test
    fun `values of the file and defaults reach the endpoint settings`() {
        val settings = readEndpointSettings(folder.settingsFile(endpointText)).getOrFail()
        assertEquals("drafting-1", settings.endpoint.id)
        assertEquals(16, settings.endpoint.warmBound)
        assertEquals(2, settings.endpoint.coldBound)
        assertEquals(200.milliseconds, settings.endpoint.queueWait)
        assertEquals("engine", settings.endpoint.kind)
    }

    /** Guards against values that are changed by comments, quotes or variable syntax. */
    @Test
    fun `comments, quotes, repeated sections and variables are read as documented`() {
        val text =
            entryText
                .replace("[process]", "; a comment\n[process] # another")
                .replace("host = host-1", "host = \"host #1; rack 2\"")
                .replace("failure-domain = kolkata", "failure-domain = \${env:HOME}")
                .replace("max-attempts = 3", "max-attempts = 3 # at most ten\n[store]\ntimeout = 1s")
        val settings = readEntrySettings(folder.settingsFile(text)).getOrFail()
        assertEquals("host #1; rack 2", settings.process.host)
        assertEquals("\${env:HOME}", settings.process.failureDomain)
        assertEquals(3, settings.entry.maxAttempts)
        assertEquals(1.seconds, settings.store.timeout)
    }

    /** Guards against a role in the catalogue without a settings reader. */
    @Test
    fun `each role of the catalogue has a reader`() {
        assertEquals(settingsRoles.map { it.name }.toSet(), settingsReaders.keys)
    }

    /** Guards against a default in the catalogue that the type or the bounds of its key do not allow. */
    @Test
    fun `each default of the catalogue is allowed`() {
        val keys = settingsRoles.flatMap { sectionsOf(it.name) }.flatMap { it.keys }
        val refused = keys.filter { key -> key.default?.let { parseValue(key, it).isLeft() } ?: false }
        assertEquals(emptyList<SettingsKey>(), refused)
    }

    /** Guards against a process that ends at its start as the platform has no value for an optional key. */
    @ParameterizedTest
    @ValueSource(strings = ["entry", "gateway", "endpoint"])
    fun `an optional key without a value counts as not given, with a notice`(role: String) {
        val reader = settingsReaders.getValue(role)
        val required = requiredText(role)
        val plain = reader(folder.settingsFile(required)).checkedOrFail()
        assertEquals(emptyList<SettingsNotice>(), plain.notices)
        for (section in sectionsOf(role)) {
            for (key in section.keys.filter { !it.required && it.type != SettingsType.ADDRESS_LIST }) {
                val units = if (key.type == SettingsType.DURATION) listOf("ms", "s", "m", "h") else emptyList()
                for (text in listOf("", "\"\"") + units) {
                    val file = folder.settingsFile("$required[${section.name}]\n${key.name} = $text\n")
                    val read = reader(file).checkedOrFail()
                    assertEquals(plain.settings.toString(), read.settings.toString(), "${key.name} = $text")
                    val holds = key.default?.let { "the default $it is used" } ?: "the key counts as not given"
                    val message = "$file: [${section.name}] ${key.name}: no value; $holds"
                    assertEquals(listOf(message), read.notices.map { it.message })
                }
            }
        }
    }

    /** Guards against a wrong value that passes as one that the platform has left out, as it ends with a unit. */
    @ParameterizedTest
    @ValueSource(strings = ["x", "-", "0", "d", "S", "-s", ".s", "s s", "10"])
    fun `a wrong duration is refused`(text: String) {
        val file = folder.settingsFile("${requiredText("gateway")}[gateway]\nretry-window = $text\n")
        assertTrue(readGatewaySettings(file).isLeft())
    }

    /** Returns a settings file of [role] with the required keys alone. */
    private fun requiredText(role: String): String {
        val values = requiredValues.toMap()
        return sectionsOf(role).joinToString("") { section ->
            val keys = section.keys.filter { it.required }
            "[${section.name}]\n" + keys.joinToString("") { "${it.name} = ${values.getValue(it.name)}\n" }
        }
    }

    /** Guards against wrong parsing of a schema type that no settings section uses yet. */
    @ParameterizedTest
    @ValueSource(strings = ["true", "false", "yes", "TRUE", "1"])
    fun `a boolean is either true or false`(text: String) {
        val key = SettingsKey("k", SettingsType.BOOLEAN, "", true, null, null, null, null, emptyList())
        val expected = if (text == "true" || text == "false") SettingsValue.Flag(text == "true") else null
        assertEquals(expected, parseValue(key, text).getOrNull())
    }

    /** Guards against an example that omits a key, shows a wrong default or is not a valid file. */
    @ParameterizedTest
    @ValueSource(strings = ["entry", "endpoint"])
    fun `the printed example passes the check once the required values are filled in`(role: String) {
        val example = exampleSettings(role)
        val filled =
            requiredValues.fold(
                example,
            ) { text, (key, value) -> text.replace("\n$key =\n", "\n$key = $value\n") }
        val uncommented =
            filled
                .replace(
                    Regex("(?m)^#(?=[a-z])"),
                    "",
                ).replace("port-file =\n", "port-file = /run/ports\n")
        val reader = settingsReaders.getValue(role)
        val fromFilled = reader(folder.settingsFile(filled)).getOrFail()
        val fromUncommented = reader(folder.settingsFile(uncommented)).getOrFail()
        assertEquals(fromFilled.toString(), fromUncommented.toString().replace("portFile=/run/ports", "portFile=null"))
        sectionsOf(role).flatMap { it.keys }.forEach { key ->
            assertTrue(example.contains(key.doc), key.name)
            listOfNotNull(
                key.unit,
                key.min,
                key.max,
                key.default,
            ).forEach { assertTrue(example.contains(it), "${key.name}: $it") }
        }
    }

    /** Guards against an example that passes the check although the required values are missing. */
    @ParameterizedTest
    @ValueSource(strings = ["entry", "endpoint"])
    fun `the unchanged example lacks exactly the required values`(role: String) {
        val faults = settingsReaders.getValue(role)(folder.settingsFile(exampleSettings(role))).leftOrNull().orEmpty()
        val required = sectionsOf(role).sumOf { s -> s.keys.count { it.required } }
        assertEquals(required, faults.count { it is SettingsFault.MissingValue })
        assertEquals(required, faults.size)
    }

    private val requiredValues =
        listOf(
            "id" to "one",
            "host" to "host-1",
            "failure-domain" to "recife",
            "key" to SECRET,
            "address" to "10.0.0.1:2379",
            "listen" to "127.0.0.1:8080",
            "service" to "orders",
            "backend" to "127.0.0.1:8000",
            "kind" to "plain",
        )
}
