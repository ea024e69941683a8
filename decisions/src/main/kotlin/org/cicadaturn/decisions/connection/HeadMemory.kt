package org.cicadaturn.decisions.connection

/**
 * Returns the memory that a decoded head takes, in bytes, while its request is in progress.
 *
 * @param bytes size of the head as it was sent
 * @param lines number of its lines
 */
public fun headMemory(
    bytes: Int,
    lines: Int,
): Long = bytes * BYTES_PER_BYTE + lines * BYTES_PER_LINE

/** Text is held as it was sent, in the headers that are passed on, and in the request to an endpoint. */
private const val BYTES_PER_BYTE = 3L

/** Objects of one header: two strings and an entry in each of two lists, as received and as passed on. */
private const val BYTES_PER_LINE = 320L
