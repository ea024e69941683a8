package org.cicadaturn.decisions.answer

/**
 * Returns true if an answer of a server with [status] may reach a caller: it is final and exists (RFC 9110, section 15).
 *
 * Any other answer is treated as none at all, as a caller could take it for a success or be unable to read it.
 */
public fun isFinalStatus(status: Int): Boolean = status in FINAL_STATUSES

private val FINAL_STATUSES = 200..599
