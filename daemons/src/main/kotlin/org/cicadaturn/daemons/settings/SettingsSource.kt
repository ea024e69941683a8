package org.cicadaturn.daemons.settings

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.file.AccessDeniedException
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import kotlin.io.path.readBytes

/** What one reading of a settings file gives. */
internal sealed interface SettingsSource {
    data class Text(
        val text: String,
    ) : SettingsSource

    /** No text; [isPassing] is true if the file is absent, or ends within a character as one that is being written. */
    data class None(
        val fault: SettingsFault.Unreadable,
        val isPassing: Boolean,
    ) : SettingsSource
}

/** Reads the file at [path], which must be UTF-8. */
internal fun readSource(path: Path): SettingsSource =
    try {
        val bytes = path.readBytes()
        val text = decoded(bytes)
        if (text != null) SettingsSource.Text(text) else notUtf8(path, bytes)
    } catch (_: NoSuchFileException) {
        SettingsSource.None(SettingsFault.Unreadable(path, "no such file"), isPassing = true)
    } catch (_: AccessDeniedException) {
        SettingsSource.None(SettingsFault.Unreadable(path, "permission denied"), isPassing = false)
    } catch (e: IOException) {
        SettingsSource.None(SettingsFault.Unreadable(path, e.message ?: "input error"), isPassing = false)
    }

private fun notUtf8(
    path: Path,
    bytes: ByteArray,
): SettingsSource.None {
    val lines = bytes.copyOf(bytes.lastIndexOf('\n'.code.toByte()) + 1)
    val isCut = lines.isNotEmpty() && lines.size < bytes.size && decoded(lines) != null
    return SettingsSource.None(SettingsFault.Unreadable(path, "not UTF-8"), isPassing = isCut)
}

private fun decoded(bytes: ByteArray): String? =
    try {
        // The decoder of a String replaces what is malformed; this one refuses it.
        Charsets.UTF_8
            .newDecoder()
            .decode(ByteBuffer.wrap(bytes))
            .toString()
    } catch (_: CharacterCodingException) {
        null
    }
