package org.cicadaturn.daemons.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import org.apache.commons.configuration2.tree.ImmutableNode
import java.io.StringReader
import java.nio.file.Path

/** Key and value of an INI file; [section] is null for a key before the first section line. */
internal data class IniEntry(
    val section: String?,
    val key: String,
    val value: String,
)

/** Content of an INI file as written, without interpolation of variables. */
internal data class IniFile(
    val sections: List<String>,
    val entries: List<IniEntry>,
)

/** Returns the content of the INI file at [path], whose text is [text]. */
internal fun parseIni(
    path: Path,
    text: String,
): Either<SettingsFault.Unreadable, IniFile> =
    try {
        val ini = INIConfiguration.builder().setSectionInLineCommentsAllowed(true).build()
        // With ":" as a second separator, an address after a missing "=" would be split.
        ini.separatorUsedInInput = "="
        ini.read(StringReader(text))
        contentOf(ini.nodeModel.nodeHandler.rootNode).right()
    } catch (_: ConfigurationException) {
        // The parser's message is not used, because it may quote a line that contains a secret.
        SettingsFault.Unreadable(path, "not an INI file").left()
    }

private fun contentOf(root: ImmutableNode): IniFile {
    val (globals, sections) = root.children.partition { it.value != null }
    val entries =
        globals.map { IniEntry(null, it.nodeName, it.value.toString()) } +
            sections.flatMap { s ->
                s.children.map { IniEntry(s.nodeName, it.nodeName, it.value?.toString().orEmpty()) }
            }
    return IniFile(sections.map { it.nodeName }.distinct(), entries)
}
