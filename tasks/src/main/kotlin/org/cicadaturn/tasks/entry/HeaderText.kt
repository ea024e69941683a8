package org.cicadaturn.tasks.entry

import org.cicadaturn.schema.generated.Header

/**
 * Returns text that was received, which has one character for each byte, decoded as UTF-8. The frames to endpoint
 * processes carry text, and those write headers in UTF-8.
 */
internal fun decodedText(received: String): String =
    if (received.all { it.code < ASCII_END }) received else String(received.toByteArray(Charsets.ISO_8859_1))

/** Returns [text] with one character for each byte of its UTF-8, as it is sent. */
internal fun encodedText(text: String): String =
    if (text.all { it.code < ASCII_END }) text else String(text.encodeToByteArray(), Charsets.ISO_8859_1)

/** Returns true if the name and the value of [header] cannot end its line or be taken for another header. */
internal fun isSendable(header: Header): Boolean =
    header.name.isNotEmpty() &&
        header.name.all { it in '!'..'~' && it != ':' } &&
        header.value.none { it.isISOControl() && it != '\t' }

private const val ASCII_END = 0x80
